"""Resolution of in-doubt calls: those for which no sidecar returned an outcome."""

from __future__ import annotations

from gentianhoist.calls._group_commit import GroupCommit
from gentianhoist.calls._lost_records import LostRecords
from gentianhoist.calls.core import (
    CallRecord,
    CallState,
    ReturnReply,
    body_digest,
    call_row_key,
    decide_call,
    decode_call,
    encode_call,
)
from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.store import ConditionFailed, StoreInDoubt, StoreUnavailable
from gentianhoist.wire import CallReply, CallRequest

_NO_INCARNATION = ""
_MAX_TRIES = 4


class CallResolver:
    """Resolves in-doubt calls by tombstones in the rows of their idempotency keys.

    A tombstone is written where a sidecar's intent to run the call would be. While it
    is in the row, no sidecar can write an intent for its attempt or an earlier one, so
    the call is known not to run under them.

    Args:
        commits: Writes the rows.
        clock: Clocks of this machine.
        instance: Instance name of this entry.
        lost_records: Tells which rows may lack their last record.
    """

    def __init__(
        self,
        commits: GroupCommit,
        clock: Clock,
        instance: str,
        lost_records: LostRecords,
    ) -> None:
        self._commits = commits
        self._lost_records = lost_records
        self._clock = clock
        self._instance = instance

    async def resolve(
        self, request: CallRequest, refusal: HoistError, *, sent: bool
    ) -> CallReply:
        """Determine the reply to a call for which no outcome was returned.

        Args:
            request: The call.
            refusal: Error for the caller if the call did not run.
            sent: Whether a sidecar may have received the call and still run it.

        Returns:
            The recorded outcome, or the refusal together with whether the call is known
            not to have run.
        """
        record = CallRecord(
            CallState.VOID,
            self._instance,
            _NO_INCARNATION,
            body_digest(request.body),
            request.idempotency_attempt,
            self._clock.wall_s(),
        )
        version = 0
        await self._lost_records.synchronise()
        for _ in range(_MAX_TRIES):
            try:
                await self._commits.write(
                    call_row_key(request), version, encode_call(record)
                )
            except ConditionFailed as error:
                row = error.rows[0]
            except (StoreInDoubt, StoreUnavailable):
                return self._reply_without_store(request, refusal, sent)
            else:
                if self._lost_records.may_concern(request):
                    return self._reply_without_store(request, refusal, sent)
                return _reply(refusal, NotRun.TRUE)
            version = row.version
            if version:
                decision = decide_call(decode_call(row.value), request, _NO_INCARNATION)
                if isinstance(decision, ReturnReply):
                    return self._lost_records.checked(decision.reply, request)
            # Otherwise the row is free, or a tombstone of an earlier attempt: the
            # tombstone of this attempt replaces it.
        return _reply(refusal, NotRun.UNKNOWN)

    def _reply_without_store(
        self, request: CallRequest, refusal: HoistError, sent: bool
    ) -> CallReply:
        # A later attempt, or one without a number (0), may follow an attempt that ran.
        is_first_attempt = request.idempotency_attempt == 1
        return _reply(
            refusal, NotRun.TRUE if is_first_attempt and not sent else NotRun.UNKNOWN
        )


def _reply(refusal: HoistError, not_run: NotRun) -> CallReply:
    kind = refusal.kind
    if not_run is NotRun.UNKNOWN:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return CallReply(None, kind, refusal.message, not_run, refusal.retry_after_s)
