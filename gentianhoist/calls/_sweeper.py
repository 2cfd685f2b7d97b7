"""Deletion of call records whose idempotency keys have expired."""

from __future__ import annotations

import asyncio
import logging
import random

from gentianhoist.calls.core import decode_call
from gentianhoist.clocks import Clock
from gentianhoist.store import (
    Check,
    ConditionFailed,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
    new_transaction_id,
)

_LOG = logging.getLogger(__name__)

_PREFIX = "call/"
_ROWS_PER_BATCH = 64
_BATCH_INTERVAL_S = 5.0
# A key may be created by a clock that is ahead and checked by one that is behind.
_CLOCK_MARGIN_S = 900.0


class CallSweeper:
    """Scans all call records in an endless cycle and deletes the expired ones.

    Args:
        table: Client of the table service.
        clock: Clocks of this machine.
        retention_s: Seconds that outcomes are kept; older keys are refused.
    """

    def __init__(self, table: TableClient, clock: Clock, retention_s: float) -> None:
        self._table = table
        self._clock = clock
        self._retention_s = retention_s
        self._scan_after_key = ""
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the background scan."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the background scan."""
        if self._task is not None:
            self._task.cancel()

    async def sweep_batch(self) -> int:
        """Scan the next batch of rows and delete those that have expired.

        Returns:
            Number of rows deleted.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        rows = await self._table.scan(_PREFIX, _ROWS_PER_BATCH, self._scan_after_key)
        self._scan_after_key = rows[-1].key if len(rows) == _ROWS_PER_BATCH else ""
        expired = [row for row in rows if self._is_expired(row)]
        if not expired:
            return 0
        transaction = Transaction(
            new_transaction_id(),
            checks=tuple(Check(row.key, row.version) for row in expired),
            deletes=tuple(row.key for row in expired),
        )
        try:
            await self._table.transact(transaction)
        except (ConditionFailed, StoreInDoubt):
            # Another sidecar deletes the same rows, or the next cycle does.
            return 0
        return len(expired)

    def _is_expired(self, row: Row) -> bool:
        recorded_s = decode_call(row.value).recorded_s
        return recorded_s + self._retention_s + _CLOCK_MARGIN_S < self._clock.wall_s()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_BATCH_INTERVAL_S * random.uniform(0.5, 1.5))
            try:
                await self.sweep_batch()
            except StoreUnavailable as error:
                _LOG.debug("call records not swept, store unavailable: %s", error)
