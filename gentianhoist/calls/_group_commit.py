"""Group commit: many conditional row writes in one transaction of the store."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.store import (
    Check,
    ConditionFailed,
    Put,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
    new_transaction_id,
    transact_with_retry,
)

_MAX_ROWS_PER_TRANSACTION = 128


class _Write(NamedTuple):
    check: Check
    value: bytes
    done: asyncio.Future[None]


class GroupCommit:
    """Writes rows conditionally, in batches, with one transaction at a time.

    A row that arrives after an idle period is written at once, unless `linger_s` is
    set. Under load the transactions keep a minimum interval, so that the write rate of
    the store limits the number of batches and not the number of calls.

    Args:
        table: Client of the table service.
        min_interval_s: Minimum seconds between the starts of two transactions.
        linger_s: Seconds to wait for more rows before a transaction.
    """

    def __init__(
        self, table: TableClient, min_interval_s: float = 0.02, linger_s: float = 0.0
    ) -> None:
        self._table = table
        self._min_interval_s = min_interval_s
        self._linger_s = linger_s
        self._pending: list[_Write] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._transactions = 0
        self._rows = 0

    @property
    def transactions(self) -> int:
        """Number of transactions sent so far."""
        return self._transactions

    @property
    def rows(self) -> int:
        """Number of rows written so far."""
        return self._rows

    async def start(self) -> None:
        """Start the background task that commits batches."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Commit the pending writes, then stop."""
        while self._pending:
            await self._commit_batch()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def write(self, key: str, version: int, value: bytes) -> None:
        """Write one row if its current version is the expected one.

        Args:
            key: Key of the row.
            version: Expected version; 0 if the row must not exist.
            value: New value.

        Raises:
            ConditionFailed: If the version differs; carries the current row.
            StoreUnavailable: If the row was not written.
            StoreInDoubt: If it is unknown whether the row was written.
        """
        done = asyncio.get_running_loop().create_future()
        self._pending.append(_Write(Check(key, version), value, done))
        self._wake.set()
        await done

    async def _run(self) -> None:
        now = asyncio.get_running_loop().time
        next_commit_s = 0.0
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await asyncio.sleep(max(self._linger_s, next_commit_s - now()))
                next_commit_s = now() + self._min_interval_s
                await self._commit_batch()

    async def _commit_batch(self) -> None:
        batch = self._take_batch()
        while batch:
            try:
                await self._transact(batch)
            except ConditionFailed as error:
                batch = self._fail_conflicts(batch, error.rows)
            except (StoreUnavailable, StoreInDoubt) as error:
                _fail_all(batch, error)
                return
            else:
                self._rows += len(batch)
                for write in batch:
                    if not write.done.done():
                        write.done.set_result(None)
                return

    def _take_batch(self) -> list[_Write]:
        # A transaction can contain each row only once.
        batch: dict[str, _Write] = {}
        deferred: list[_Write] = []
        for write in self._pending:
            is_full = len(batch) >= _MAX_ROWS_PER_TRANSACTION
            if is_full or write.check.key in batch:
                deferred.append(write)
            else:
                batch[write.check.key] = write
        self._pending = deferred
        return list(batch.values())

    async def _transact(self, batch: list[_Write]) -> None:
        self._transactions += 1
        await transact_with_retry(
            self._table,
            Transaction(
                new_transaction_id(),
                tuple(write.check for write in batch),
                tuple(Put(write.check.key, write.value) for write in batch),
            ),
        )

    def _fail_conflicts(
        self, batch: list[_Write], rows: tuple[Row, ...]
    ) -> list[_Write]:
        """Fail the writes whose condition failed, and return the others."""
        failed = {row.key: row for row in rows}
        for write in batch:
            row = failed.get(write.check.key)
            if row is not None and not write.done.done():
                write.done.set_exception(ConditionFailed((row,)))
        return [write for write in batch if write.check.key not in failed]


def _fail_all(batch: list[_Write], error: Exception) -> None:
    for write in batch:
        if not write.done.done():
            write.done.set_exception(error)
