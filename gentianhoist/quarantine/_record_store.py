"""Keeps the records of the quarantine in the store, where they outlast the entries."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import DECODE_ERRORS
from gentianhoist.fleet import FeedRow
from gentianhoist.quarantine._interfaces import DecisionRecorder, QuarantineRows
from gentianhoist.quarantine._records import (
    QuarantineRecord,
    decode_record,
    encode_record,
)
from gentianhoist.store import (
    ConditionFailed,
    StoreCallCause,
    StoreInDoubt,
    StoreUnavailable,
    StoreVersion,
    store_calls_caused_by,
)

__all__ = ["RecordStore"]

_log = logging.getLogger(__name__)

# An entry writes a record that another one has created only after this time, if the
# store still lacks it; plus up to as much again, at random.
_WRITE_DELAY_S = 2.0
_RETRY_S = 0.5
_NO_ROW = StoreVersion(0, 0)
_STORE_ERRORS = (ConditionFailed, StoreUnavailable, StoreInDoubt)


class _StoredRecord(NamedTuple):
    record: QuarantineRecord
    version: StoreVersion


class RecordStore:
    """Writes the records that the store lacks, and follows those that it has.

    Args:
        rows: Rows of the store.
        current: Returns this entry's record of a key, None if it has none.
        clock: The entry's clock.
        log: Receives one record for each call that fails.
    """

    def __init__(
        self,
        rows: QuarantineRows,
        current: Callable[[str], QuarantineRecord | None],
        clock: Clock,
        log: DecisionRecorder,
    ) -> None:
        self._rows = rows
        self._current = current
        self._clock = clock
        self._log = log
        self._stored: dict[str, _StoredRecord] = {}
        # Time on the monotonic clock from which a record is to be written, by key.
        self._write_from_s: dict[str, float] = {}
        # Keys whose last write failed.
        self._failed: set[str] = set()
        self._is_write_due = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to write records."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop writing; records that are not written yet stay with other entries."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def replace(self, rows: Iterable[FeedRow]) -> list[QuarantineRecord]:
        """Take all rows of the store; returns their records."""
        rows = list(rows)
        for key in self._stored.keys() - {row.key for row in rows}:
            del self._stored[key]
        return self.change(rows)

    def change(self, rows: Iterable[FeedRow]) -> list[QuarantineRecord]:
        """Take changed rows of the store; returns their records."""
        records = []
        for row in rows:
            record = _decode(row)
            if record is None:
                self._stored.pop(row.key, None)
                continue
            self._stored[row.key] = _StoredRecord(record, row.version)
            records.append(record)
        return records

    def write_soon(self, record: QuarantineRecord) -> None:
        """Write a record that this entry has created."""
        self._write_from_s[record.key] = self._clock.monotonic_s()
        self._is_write_due.set()

    def write_later(self, record: QuarantineRecord) -> None:
        """Write a record unless another entry does so before."""
        delay_s = _WRITE_DELAY_S * (1.0 + random.random())
        self._write_from_s[record.key] = self._clock.monotonic_s() + delay_s
        self._is_write_due.set()

    def write_missing(self, records: Iterable[QuarantineRecord]) -> None:
        """Write those records that the store lacks or has older, unless others do."""
        for record in records:
            stored = self._stored.get(record.key)
            known = None if stored is None else stored.record
            if record.key not in self._write_from_s and record.is_later_than(known):
                self.write_later(record)

    async def claim(
        self, record: QuarantineRecord, replaces: QuarantineRecord
    ) -> str | None:
        """Replace a record by another, if the store has it and no entry is faster.

        Returns:
            Why the record was not replaced, or None if it was.
        """
        stored = self._stored.get(record.key)
        if stored is None or not stored.record.is_same_change(replaces):
            return "the store has another record"
        try:
            with store_calls_caused_by(StoreCallCause.QUARANTINE):
                await self._rows.write(
                    record.key, encode_record(record), stored.version
                )
        except _STORE_ERRORS as error:
            return repr(error)
        return None

    async def remove(self, record: QuarantineRecord) -> None:
        """Remove a record that all entries forget, unless it has changed."""
        stored = self._stored.get(record.key)
        if stored is None or not stored.record.is_same_change(record):
            return
        try:
            with store_calls_caused_by(StoreCallCause.QUARANTINE):
                await self._rows.remove(record.key, stored.version)
        except _STORE_ERRORS as error:
            self._log.record(
                "quarantine_not_removed", segment=record.key, reason=repr(error)
            )

    async def _run(self) -> None:
        while True:
            pause_s = await self._write_due_records()
            self._is_write_due.clear()
            try:
                async with asyncio.timeout(pause_s):
                    await self._is_write_due.wait()
            except TimeoutError:
                continue

    async def _write_due_records(self) -> float | None:
        """Write what is due; returns the seconds until the next try, None for none."""
        waits_s = []
        for segment in list(self._write_from_s):
            wait_s = self._write_from_s[segment] - self._clock.monotonic_s()
            if wait_s > 0.0:
                waits_s.append(wait_s)
            elif not await self._write(segment):
                waits_s.append(_RETRY_S * (0.5 + random.random()))
        return min(waits_s, default=None)

    async def _write(self, segment: str) -> bool:
        """Write one record; returns whether the store has it or needs none."""
        record = self._current(segment)
        stored = self._stored.get(segment)
        known = None if stored is None else stored.record
        if record is None or not record.is_later_than(known):
            self._forget_write(segment)
            return True
        version = _NO_ROW if stored is None else stored.version
        is_retry = segment in self._failed
        cause = (
            StoreCallCause.QUARANTINE_RETRY if is_retry else StoreCallCause.QUARANTINE
        )
        try:
            with store_calls_caused_by(cause):
                await self._rows.write(segment, encode_record(record), version)
        except _STORE_ERRORS as error:
            # After a conflict the feed brings the row of the other entry.
            self._failed.add(segment)
            self._log.record(
                "quarantine_not_written", segment=segment, reason=repr(error)
            )
            return False
        self._failed.discard(segment)
        if self._current(segment) == record:
            self._forget_write(segment)
        return True

    def _forget_write(self, segment: str) -> None:
        self._write_from_s.pop(segment, None)
        self._failed.discard(segment)


def _decode(row: FeedRow) -> QuarantineRecord | None:
    if row.value is None:
        return None
    try:
        return decode_record(row.value)
    except DECODE_ERRORS as error:
        _log.warning(
            "ignoring a quarantine record that cannot be decoded",
            extra={"key": row.key, "cause": str(error)},
        )
        return None
