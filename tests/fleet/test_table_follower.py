"""Replication of a table through store failures, in virtual time."""

import asyncio

from gentianhoist.fleet import (
    FeedPage,
    FeedRow,
    FollowPolicy,
    HistoryLost,
    TableFollower,
)
from gentianhoist.store import (
    StoreUnavailable,
    StoreVersion,
    current_store_call_cause,
)
from gentianhoist.telemetry import DecisionLog
from tests.virtual_time_loop import VirtualTimeLoop


class FakeTable:
    """A table whose calls raise the given errors in turn and then succeed."""

    def __init__(self, *errors: Exception, rows: int = 1) -> None:
        self.errors = list(errors)
        self.rows = rows
        self.calls: list[str] = []
        self.causes: list[str] = []
        self.version = StoreVersion(1, 1)

    async def read(self, timeout_s: float) -> FeedPage:
        return await self._answer("read")

    async def changes(
        self, since: StoreVersion, wait_s: float, timeout_s: float
    ) -> FeedPage:
        await asyncio.sleep(wait_s)
        return await self._answer("changes")

    async def _answer(self, call: str) -> FeedPage:
        self.calls.append(call)
        self.causes.append(current_store_call_cause())
        await asyncio.sleep(0.004)
        if self.errors:
            raise self.errors.pop(0)
        self.version = StoreVersion(1, self.version.number + 1)
        count = self.rows if call == "read" else 1
        rows = [FeedRow(f"k{i}", b"x", self.version) for i in range(count)]
        return FeedPage(rows, self.version)


def _follow(
    loop: VirtualTimeLoop, table: FakeTable, seconds: float, apply_rows
) -> None:
    async def run() -> None:
        follower = TableFollower(
            "t",
            table,
            FollowPolicy(long_poll_s=1.0),
            apply_rows,
            apply_rows,
            loop,
            DecisionLog({}),
        )
        follower.start()
        await asyncio.sleep(seconds)
        await follower.close()

    loop.run(run())


class TestTableFollower:
    def test_reads_one_snapshot_and_then_polls_changes(self, loop):
        table = FakeTable()
        _follow(loop, table, 4.0, lambda rows: None)
        assert table.calls[0] == "read"
        assert set(table.calls[1:]) == {"changes"}

    def test_large_table_is_rarely_read_as_snapshot(self, loop):
        """Snapshots of 3,000 servers must not dominate an entry's network traffic."""
        table = FakeTable(rows=3_000)
        _follow(loop, table, 110.0, lambda rows: None)
        assert table.calls.count("read") == 1
        _follow(loop, small := FakeTable(rows=80), 110.0, lambda rows: None)
        assert 8 <= small.calls.count("read") <= 10

    def test_lost_response_is_retried_at_once(self, loop):
        table = FakeTable(StoreUnavailable("lost"))
        applied = []
        _follow(loop, table, 0.02, applied.append)
        assert len(applied) == 1
        assert table.causes[:2] == ["snapshot", "snapshot_retry"]

    # Guards against: the store's operators see an outage where there is none.
    def test_snapshots_without_failures_are_no_retries(self, loop):
        table = FakeTable(StoreUnavailable("lost"))
        _follow(loop, table, 30.0, lambda rows: None)
        assert table.causes.count("snapshot_retry") == 1
        assert table.causes.count("snapshot") >= 2
        polls = [call for call in table.calls if call == "changes"]
        assert table.causes.count("long_poll") == len(polls)

    def test_backs_off_during_a_long_outage(self, loop):
        table = FakeTable(*(StoreUnavailable("down") for _ in range(1_000)))
        _follow(loop, table, 10.0, lambda rows: None)
        assert len(table.calls) < 80

    def test_lost_history_leads_to_a_snapshot(self, loop):
        table = FakeTable()
        applied = []

        def apply_rows(rows) -> None:
            applied.append(rows)
            if len(applied) == 1:
                table.errors.append(HistoryLost())

        _follow(loop, table, 3.0, apply_rows)
        assert table.calls[:3] == ["read", "changes", "read"]

    def test_failing_callback_does_not_end_replication(self, loop):
        applied = []

        def apply_rows(rows) -> None:
            applied.append(rows)
            if len(applied) == 2:
                raise AttributeError("error in the callback")

        _follow(loop, FakeTable(), 5.0, apply_rows)
        assert len(applied) > 3
