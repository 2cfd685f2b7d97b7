"""Following a table through losses, in virtual time."""

import asyncio

import pytest

from gentianhoist.fleet import (
    FeedPage,
    FeedRow,
    FollowPolicy,
    HistoryLost,
    TableFollower,
)
from gentianhoist.store import StoreUnavailable
from gentianhoist.telemetry import DecisionLog
from tests.virtual_time_loop import VirtualTimeLoop


class Table:
    """A table whose calls meet what a list says, then succeed."""

    def __init__(self, *troubles: Exception, rows: int = 1) -> None:
        self.troubles = list(troubles)
        self.rows = rows
        self.calls: list[str] = []
        self.version = 1

    async def read(self, timeout_s: float) -> FeedPage:
        return await self._answer("read")

    async def changes(self, since: int, wait_s: float, timeout_s: float) -> FeedPage:
        await asyncio.sleep(wait_s)
        return await self._answer("changes")

    async def _answer(self, call: str) -> FeedPage:
        self.calls.append(call)
        await asyncio.sleep(0.004)
        if self.troubles:
            raise self.troubles.pop(0)
        self.version += 1
        count = self.rows if call == "read" else 1
        rows = [FeedRow(f"k{i}", b"x", self.version) for i in range(count)]
        return FeedPage(rows, self.version)


@pytest.fixture
def loop():
    instance = VirtualTimeLoop()
    yield instance
    instance.cancel_and_close()


def _follow(loop: VirtualTimeLoop, table: Table, seconds: float, take) -> None:
    async def run() -> None:
        follower = TableFollower(
            "t", table, FollowPolicy(wait_s=1.0), take, take, loop, DecisionLog({})
        )
        follower.start()
        await asyncio.sleep(seconds)
        await follower.close()

    loop.run(run())


class TestTableFollower:
    def test_reads_once_and_asks_for_changes(self, loop):
        table = Table()
        _follow(loop, table, 4.0, lambda rows: None)
        assert table.calls[0] == "read"
        assert set(table.calls[1:]) == {"changes"}

    def test_a_large_table_is_seldom_read_whole(self, loop):
        """3,000 servers: plain reads must not take most of an entry's bytes."""
        table = Table(rows=3_000)
        _follow(loop, table, 110.0, lambda rows: None)
        assert table.calls.count("read") == 1
        _follow(loop, small := Table(rows=80), 110.0, lambda rows: None)
        assert 8 <= small.calls.count("read") <= 10

    def test_a_lost_answer_is_asked_for_again_at_once(self, loop):
        table = Table(StoreUnavailable("lost"))
        taken = []
        _follow(loop, table, 0.02, taken.append)
        assert len(taken) == 1

    def test_a_long_outage_is_not_hammered(self, loop):
        table = Table(*(StoreUnavailable("down") for _ in range(1_000)))
        _follow(loop, table, 10.0, lambda rows: None)
        assert len(table.calls) < 80

    def test_lost_history_leads_to_a_plain_read(self, loop):
        table = Table()
        taken = []

        def take(rows) -> None:
            taken.append(rows)
            if len(taken) == 1:
                table.troubles.append(HistoryLost())

        _follow(loop, table, 3.0, take)
        assert table.calls[:3] == ["read", "changes", "read"]

    def test_a_view_that_fails_does_not_end_the_following(self, loop):
        taken = []

        def take(rows) -> None:
            taken.append(rows)
            if len(taken) == 2:
                raise AttributeError("a fault of ours")

        _follow(loop, Table(), 5.0, take)
        assert len(taken) > 3
