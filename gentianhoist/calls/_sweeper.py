"""Deletes the rows of keys that are too old to be asked for."""

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
_ROWS_PER_STEP = 64
_STEP_S = 5.0
# A key may be made by a clock that is ahead, and be checked by one that is behind.
_MARGIN_S = 900.0


class CallSweeper:
    """Walks over all rows again and again, a few at a time.

    Args:
        table: The table service.
        clock: This machine's clocks.
        retention_s: Seconds that outcomes are kept; older keys are refused.
    """

    def __init__(self, table: TableClient, clock: Clock, retention_s: float) -> None:
        self._table = table
        self._clock = clock
        self._retention_s = retention_s
        self._after = ""
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start walking."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop walking."""
        if self._task is not None:
            self._task.cancel()

    async def sweep_batch(self) -> int:
        """Look at the next rows.

        Returns:
            How many were deleted.

        Raises:
            StoreUnavailable: If the store doesn't answer.
        """
        rows = await self._table.scan(_PREFIX, _ROWS_PER_STEP, self._after)
        self._after = rows[-1].key if len(rows) == _ROWS_PER_STEP else ""
        old = [row for row in rows if self._is_old(row)]
        if not old:
            return 0
        transaction = Transaction(
            new_transaction_id(),
            checks=tuple(Check(row.key, row.version) for row in old),
            deletes=tuple(row.key for row in old),
        )
        try:
            await self._table.transact(transaction)
        except (ConditionFailed, StoreInDoubt):
            # Another sidecar deletes them too, or the next round does.
            return 0
        return len(old)

    def _is_old(self, row: Row) -> bool:
        recorded_s = decode_call(row.value).recorded_s
        return recorded_s + self._retention_s + _MARGIN_S < self._clock.wall_s()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_STEP_S * random.uniform(0.5, 1.5))
            try:
                await self.sweep_batch()
            except StoreUnavailable as error:
                _LOG.debug("no sweep: %s", error)
