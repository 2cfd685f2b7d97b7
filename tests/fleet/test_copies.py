"""An entry that the store turns away goes by what others have read."""

import asyncio

import pytest

from gentianhoist.fleet import FeedPage, FeedRow, FollowPolicy, TableCopy, TableFollower
from gentianhoist.store import StoreUnavailable
from gentianhoist.telemetry import DecisionLog
from tests.virtual_time_loop import VirtualTimeLoop


class TurnsAway:
    """The store, which answers once and then turns this entry away."""

    def __init__(self, returns_s: float) -> None:
        self.returns_s = returns_s

    async def read(self, timeout_s: float) -> FeedPage:
        return self._answer()

    async def changes(self, since: int, wait_s: float, timeout_s: float) -> FeedPage:
        await asyncio.sleep(wait_s)
        return self._answer()

    def _answer(self) -> FeedPage:
        now_s = asyncio.get_running_loop().time()
        if 0.0 < now_s < self.returns_s:
            raise StoreUnavailable("HTTP 503")
        version = 5 if now_s == 0.0 else 30
        return FeedPage([FeedRow("config", b"%d" % version, version)], version)


class Others:
    """Entries that the store serves, each with one version."""

    def __init__(self, *versions: int) -> None:
        self.versions = list(versions)

    async def newer(self, table: str, than: int) -> FeedPage | None:
        await asyncio.sleep(0.003)
        version = self.versions.pop(0) if self.versions else 0
        if not version:
            return None
        return FeedPage([FeedRow("config", b"%d" % version, version)], version)


@pytest.fixture
def loop():
    instance = VirtualTimeLoop()
    yield instance
    instance.cancel_and_close()


def _follow(loop, others, returns_s: float) -> tuple[list[bytes], list[float]]:
    taken: list[bytes] = []
    regained: list[float] = []

    async def run() -> None:
        follower = TableFollower(
            "t",
            TurnsAway(returns_s),
            FollowPolicy(wait_s=0.5),
            lambda rows: taken.extend(row.value for row in rows),
            lambda rows: taken.extend(row.value for row in rows),
            loop,
            DecisionLog({}),
            lambda: regained.append(loop.time()),
            others,
        )
        follower.start()
        await asyncio.sleep(returns_s + 1.0)
        await follower.close()

    loop.run(run())
    return taken, regained


class TestStoreTurnsOneEntryAway:
    def test_takes_what_others_have_read(self, loop):
        taken, _ = _follow(loop, Others(9, 14), returns_s=6.0)
        assert taken[:4] == [b"5", b"9", b"14", b"30"]

    def test_never_goes_back(self, loop):
        taken, _ = _follow(loop, Others(9, 5, 8, 9), returns_s=6.0)
        assert taken[:3] == [b"5", b"9", b"30"]

    def test_the_first_news_counts_as_the_end_of_an_outage(self, loop):
        """Entries of servers that lapsed in it must have time to come back."""
        _, regained = _follow(loop, Others(9, 14), returns_s=6.0)
        assert len(regained) == 2

    def test_nobody_to_ask(self, loop):
        taken, _ = _follow(loop, None, returns_s=6.0)
        assert taken[:2] == [b"5", b"30"]


def test_copy_keeps_the_newest():
    copy = TableCopy()
    copy.replace(FeedPage([FeedRow("a", b"1", 3), FeedRow("b", b"2", 4)], 4))
    copy.change([FeedRow("a", None, 5), FeedRow("c", b"3", 6)], 6)
    assert copy.page() == FeedPage([FeedRow("b", b"2", 4), FeedRow("c", b"3", 6)], 6)
    copy.replace(FeedPage([], 5))
    assert copy.version == 6
    assert len(copy.page().rows) == 2


class TestRowsOfAnotherEntryThatCanNotBeTaken:
    def test_the_table_is_followed_all_the_same(self, loop):
        taken: list[bytes] = []

        def take(rows) -> None:
            if any(row.value == b"9" for row in rows):
                raise ValueError("unreadable")
            taken.extend(row.value for row in rows)

        async def run() -> None:
            follower = TableFollower(
                "t",
                TurnsAway(6.0),
                FollowPolicy(wait_s=0.5),
                take,
                take,
                loop,
                DecisionLog({}),
                others=Others(9, 14),
            )
            follower.start()
            await asyncio.sleep(7.0)
            await follower.close()

        loop.run(run())
        assert taken[:3] == [b"5", b"14", b"30"]
