"""Writes call records again that a restored store may have lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gentianhoist.calls._group_commit import GroupCommit
from gentianhoist.calls._lost_records import LostRecords
from gentianhoist.calls.core import CallRecord, CallState, decode_call, encode_call
from gentianhoist.store import (
    ConditionFailed,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
)

__all__ = ["RecordRewriter"]

_LOG = logging.getLogger(__name__)

_CHECK_INTERVAL_S = 0.5


class RecordRewriter:
    """Background task that writes a process's records once after each restore.

    Args:
        table: Client of the table service.
        commits: Writes the rows.
        lost_records: Tells whether the store was restored.
        known_records: Returns what the process knows, by row key.
    """

    def __init__(
        self,
        table: TableClient,
        commits: GroupCommit,
        lost_records: LostRecords,
        known_records: Callable[[], dict[str, CallRecord]],
    ) -> None:
        self._table = table
        self._commits = commits
        self._lost_records = lost_records
        self._known_records = known_records
        self._rewritten_history = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to watch for restores."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop at once."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            history = self._lost_records.history
            if history == self._rewritten_history:
                continue
            try:
                for key, record in self._known_records().items():
                    await self._rewrite(key, record)
            except (StoreUnavailable, StoreInDoubt) as error:
                _LOG.info("call records not written again yet: %r", error)
            else:
                self._rewritten_history = history

    async def _rewrite(self, key: str, record: CallRecord) -> None:
        """Write a record, unless the store has an outcome."""
        (row,) = await self._table.read([key])
        if row.version and decode_call(row.value).state is CallState.DONE:
            return
        try:
            await self._commits.write(key, row.version, encode_call(record))
        except ConditionFailed as error:
            _LOG.info("record of %s not written again: %r", key, error)
