"""How an entry settles a call that no sidecar has answered for."""

from __future__ import annotations

from gentianhoist.calls._group_commit import GroupCommit
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
_TRIES = 4


class CallResolver:
    """Puts a tombstone in the place of an intent, so that "not run" becomes true.

    Args:
        commits: Writes the rows.
        clock: This machine's clocks.
        instance: Name of this entry's instance.
    """

    def __init__(self, commits: GroupCommit, clock: Clock, instance: str) -> None:
        self._commits = commits
        self._clock = clock
        self._instance = instance

    async def resolve(
        self, request: CallRequest, refusal: HoistError, *, sent: bool
    ) -> CallReply:
        """Find out what can be said of a call that was not answered with an outcome.

        Args:
            request: The call.
            refusal: Why it is refused if it did not run.
            sent: Whether a sidecar may still act on it.

        Returns:
            The outcome, or the refusal with what is known of the execution.
        """
        record = CallRecord(
            CallState.VOID,
            self._instance,
            _NO_INCARNATION,
            body_digest(request.body),
            request.key_attempt,
            self._clock.wall_s(),
        )
        version = 0
        for _ in range(_TRIES):
            try:
                await self._commits.write(
                    call_row_key(request), version, encode_call(record)
                )
            except ConditionFailed as error:
                row = error.rows[0]
            except (StoreInDoubt, StoreUnavailable):
                return self._without_store(request, refusal, sent)
            else:
                return _reply(refusal, NotRun.TRUE)
            version = row.version
            if version:
                verdict = decide_call(decode_call(row.value), request, _NO_INCARNATION)
                if isinstance(verdict, ReturnReply):
                    return verdict.reply
            # Else a tombstone of an earlier attempt stands; this one's replaces it.
        return _reply(refusal, NotRun.UNKNOWN)

    def _without_store(
        self, request: CallRequest, refusal: HoistError, sent: bool
    ) -> CallReply:
        first = request.key_attempt == 1
        return _reply(refusal, NotRun.TRUE if first and not sent else NotRun.UNKNOWN)


def _reply(refusal: HoistError, not_run: NotRun) -> CallReply:
    kind = refusal.kind
    if not_run is NotRun.UNKNOWN:
        kind = ErrorKind.OUTCOME_UNKNOWN
    return CallReply(None, kind, refusal.message, not_run, refusal.retry_after_s)
