"""Which calls may have had records that a restored store has lost."""

from __future__ import annotations

import logging

import msgspec

from gentianhoist.calls._keys import key_created_s
from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.store import (
    NO_HISTORY,
    Check,
    ConditionFailed,
    HistoryMonitor,
    HistoryStart,
    Put,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
    Transaction,
    new_transaction_id,
    transact_with_retry,
)
from gentianhoist.wire import CallReply, CallRequest

__all__ = ["LostRecords"]

_LOG = logging.getLogger(__name__)

# Clocks of callers, by which keys are created, may be ahead by as much.
_CALLER_CLOCK_AHEAD_S = 10.0


class LostRecords:
    """Decides whether the row of a key tells all that was recorded about it.

    A store that was restored from a copy has lost the latest rows. Nobody can tell the
    row of a key that was created before from one that lacks the last record, so such a
    call is not run, and not said not to have run.

    Args:
        table: Client of the table service.
        clock: Clocks of this machine.
    """

    def __init__(self, table: TableClient, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._monitor = HistoryMonitor(table, clock)
        self._has_read = False
        self._recorded_history = NO_HISTORY
        self._recorded_start_s = 0.0

    @property
    def history(self) -> int:
        """Number of the store's history if it was restored, else 0."""
        restored = self._monitor.restored()
        return 0 if restored is None else restored.history

    async def synchronise(self) -> None:
        """Learn when the present history began, or record it for the other processes.

        Without that, a process that starts long after a restore would take all earlier
        keys for such that the store may have lost.
        """
        try:
            if not self._has_read:
                await self._table.read([_start_key(NO_HISTORY)])
                self._has_read = True
            restored = self._monitor.restored()
            if restored is None or restored.history == self._recorded_history:
                return
            self._recorded_start_s = await self._read_or_write_start(restored)
            self._recorded_history = restored.history
        except (ConditionFailed, StoreInDoubt, StoreUnavailable) as error:
            _LOG.info("the begin of the store's history is not known yet: %r", error)

    async def _read_or_write_start(self, restored: HistoryStart) -> float:
        key = _start_key(restored.history)
        (row,) = await self._table.read([key])
        if row.version:
            return float(row.value)
        transaction = Transaction(
            new_transaction_id(),
            (Check(key, 0),),
            (Put(key, repr(restored.wall_s).encode()),),
        )
        await transact_with_retry(self._table, transaction)
        return restored.wall_s

    def may_concern(self, request: CallRequest) -> bool:
        """Whether the store may have lost a record of this call's key.

        Ask after the response of the store by which the row is known.
        """
        restored = self._monitor.restored()
        if restored is None:
            return False
        start_s = restored.wall_s
        if restored.history == self._recorded_history:
            start_s = min(start_s, self._recorded_start_s)
        created_s = key_created_s(request.idempotency_key)
        if created_s is None:
            return True
        is_ahead = created_s > self._clock.wall_s() + _CALLER_CLOCK_AHEAD_S
        return is_ahead or created_s < start_s + _CALLER_CLOCK_AHEAD_S

    def checked(self, reply: CallReply, request: CallRequest) -> CallReply:
        """Return a reply by the key's row, without what the row may no longer tell."""
        if reply.not_run is not NotRun.TRUE or not self.may_concern(request):
            return reply
        return msgspec.structs.replace(reply, not_run=NotRun.UNKNOWN)

    def refusal(self) -> CallReply:
        """Return the reply to a call that is not run for this reason."""
        return CallReply(
            None,
            ErrorKind.OUTCOME_UNKNOWN,
            "the store was restored from a copy, which may lack the outcome of an"
            " earlier attempt; repeat the call with the same key",
            NotRun.UNKNOWN,
        )


def _start_key(history: int) -> str:
    """Key of the row that tells when a history was first heard of."""
    return f"history/{history}"
