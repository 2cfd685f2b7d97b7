"""Expired call records are deleted in bounded batches; others are kept."""

from gentianhoist.calls import CallRecord, CallState, CallSweeper, encode_call
from gentianhoist.clocks import ManualClock
from gentianhoist.standins import MemoryTable
from gentianhoist.store import Check, Put, Transaction

_RETENTION_S = 3_600.0


def _put(table: MemoryTable, name: str, recorded_s: float) -> None:
    record = CallRecord(CallState.DONE, "s0", "l1", "digest", 0, recorded_s)
    key = f"call/club/valves/flood/{name}"
    table.model.transact(
        Transaction(name, (Check(key, 0),), (Put(key, encode_call(record)),))
    )


async def test_expired_rows_are_deleted_in_bounded_batches():
    table = MemoryTable()
    clock = ManualClock(100_000.0)
    for number in range(150):
        _put(table, f"old{number:03d}", recorded_s=0.0)
    for number in range(10):
        _put(table, f"new{number}", recorded_s=99_000.0)
    sweeper = CallSweeper(table, clock, _RETENTION_S)
    deleted = [await sweeper.sweep_batch() for _ in range(6)]
    assert max(deleted) <= 64
    assert sum(deleted) == 150
    assert len(table.model.list_rows("call/", 1_000)) == 10


async def test_lost_write_is_retried_by_the_next_batch():
    table = MemoryTable()
    _put(table, "old", recorded_s=0.0)
    sweeper = CallSweeper(table, ManualClock(100_000.0), _RETENTION_S)
    table.drop_writes = 1
    assert await sweeper.sweep_batch() == 0
    assert await sweeper.sweep_batch() == 1
