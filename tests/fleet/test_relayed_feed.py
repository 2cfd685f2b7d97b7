"""Entries of a large fleet that read tables through a few readers, in virtual time."""

import asyncio

import pytest

from gentianhoist.fleet import FeedPage, FeedRow, RelayedFeed
from gentianhoist.fleet._relayed_feed import choose_readers
from gentianhoist.store import StoreUnavailable, StoreVersion
from tests.virtual_time_loop import VirtualTimeLoop

TABLE = "operators"
SINCE = StoreVersion(1, 5)


@pytest.fixture
def loop():
    instance = VirtualTimeLoop()
    yield instance
    instance.cancel_and_close()


class FakeStore:
    """The store's feed, which counts its calls."""

    def __init__(self, version: StoreVersion = SINCE) -> None:
        self.version = version
        self.calls = 0
        self.is_down = False

    async def read(self, timeout_s: float) -> FeedPage:
        return self._answer()

    async def changes(self, since, wait_s: float, timeout_s: float) -> FeedPage:
        await asyncio.sleep(wait_s)
        return self._answer()

    def _answer(self) -> FeedPage:
        self.calls += 1
        if self.is_down:
            raise StoreUnavailable("down")
        return FeedPage([], self.version)


class FakeRelay:
    """Readers that all have one answer, None if they can't be reached."""

    def __init__(self, entries: int, answer: FeedPage | None) -> None:
        self.live_hosts = [f"10.0.0.{i}" for i in range(1, entries)]
        self.answer = answer
        self.asked: list[str] = []

    async def poll(self, host, table, since, wait_s: float) -> FeedPage | None:
        self.asked.append(host)
        await asyncio.sleep(0.01)
        return self.answer

    async def fetch(self, host: str, table: str) -> FeedPage | None:
        return await self.poll(host, table, SINCE, 0.0)


def _page(number: int = 6, age_s: float = 0.2, history: int = 1) -> FeedPage:
    version = StoreVersion(history, number)
    return FeedPage([FeedRow("a", b"x", version)], version, age_s)


def _listener(
    loop: VirtualTimeLoop, entries: int, answer: FeedPage | None
) -> tuple[RelayedFeed, FakeStore, FakeRelay]:
    store, relay = FakeStore(), FakeRelay(entries, answer)
    hosts = [*relay.live_hosts, "10.0.0.0"]
    readers = choose_readers(TABLE, hosts)
    host = next(name for name in hosts if name not in readers or entries < 12)
    relay.live_hosts = [name for name in hosts if name != host]
    feed = RelayedFeed(TABLE, store, host, relay, loop)
    return feed, store, relay


def test_store_gets_as_many_calls_from_300_entries_as_from_30(loop):
    """Each call of each entry would use up the rate that the store allows."""

    async def count_calls(entries: int) -> int:
        hosts = [f"10.0.{i // 250}.{i % 250}" for i in range(entries)]
        stores = []
        for host in hosts:
            store, relay = FakeStore(), FakeRelay(1, _page())
            relay.live_hosts = [name for name in hosts if name != host]
            feed = RelayedFeed(TABLE, store, host, relay, loop)
            await feed.read(0.5)
            for _ in range(3):
                await feed.changes(SINCE, 1.0, 1.5)
            stores.append(store)
        return sum(store.calls for store in stores) - entries

    small = loop.run(count_calls(30))
    assert loop.run(count_calls(300)) == small == 18


def test_change_is_taken_from_a_reader(loop):
    feed, store, _ = _listener(loop, 68, _page())
    assert loop.run(feed.changes(SINCE, 3.0, 3.5)).version == StoreVersion(1, 6)
    assert store.calls == 0


@pytest.mark.parametrize(
    "answer",
    [None, _page(age_s=2.0)],
    ids=["not reached", "cut off from the store"],
)
def test_store_is_polled_without_a_fresh_answer(loop, answer):
    """An entry that reaches the store must not depend on one that doesn't."""
    feed, store, relay = _listener(loop, 68, answer)
    for _ in range(2):
        loop.run(feed.changes(SINCE, 3.0, 3.5))
    assert store.calls == 2
    assert len(set(relay.asked)) == 2


def test_version_does_not_go_back_with_a_reader_that_is_behind(loop):
    """The store counts up with each write to any table, so readers often are."""
    feed, store, _ = _listener(loop, 68, _page(number=4))
    page = loop.run(feed.changes(SINCE, 3.0, 3.5))
    assert page.version == SINCE
    assert not page.rows
    assert store.calls == 0


def test_reader_that_was_not_fresh_is_asked_again_later(loop):
    feed, store, relay = _listener(loop, 68, None)
    loop.run(feed.changes(SINCE, 3.0, 3.5))
    relay.answer = _page()
    loop.run(asyncio.sleep(5.0))
    loop.run(feed.changes(SINCE, 3.0, 3.5))
    assert relay.asked[0] == relay.asked[1]
    assert store.calls == 1


def test_unavailable_store_is_reported_if_no_reader_answers(loop):
    feed, store, _ = _listener(loop, 68, None)
    store.is_down = True
    with pytest.raises(StoreUnavailable):
        loop.run(feed.changes(SINCE, 3.0, 3.5))


def test_small_fleet_polls_the_store_for_as_long_as_it_may(loop):
    feed, store, relay = _listener(loop, 5, _page())
    loop.run(feed.changes(SINCE, 3.0, 3.5))
    assert loop.time() >= 3.0
    assert store.calls == 1
    assert not relay.asked


def test_snapshot_of_a_restored_store_is_read_from_the_store(loop):
    """Only the store's own answer shows this entry's other calls the new history."""
    feed, store, relay = _listener(loop, 68, _page())
    loop.run(feed.read(0.5))
    relay.answer = _page(history=2)
    loop.run(feed.changes(SINCE, 3.0, 3.5))
    store.version = StoreVersion(2, 6)
    calls = store.calls
    assert loop.run(feed.read(0.5)).version == StoreVersion(2, 6)
    assert store.calls == calls + 1


@pytest.mark.parametrize("history", [0, 1])
def test_repeated_snapshots_come_from_a_reader(loop, history):
    feed, store, _ = _listener(loop, 68, _page(history=history))
    store.version = StoreVersion(history, 5)
    loop.run(feed.read(0.5))
    loop.run(feed.read(0.5))
    assert store.calls == 1
