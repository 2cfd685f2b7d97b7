"""Execution of calls by a sidecar on the backend server of its service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gentianhoist.calls._group_commit import GroupCommit
from gentianhoist.calls._lost_records import LostRecords
from gentianhoist.calls._rewriter import RecordRewriter
from gentianhoist.calls.core import (
    CallRecord,
    CallState,
    Execute,
    ReplaceRow,
    ReturnReply,
    body_digest,
    call_row_key,
    decide_call,
    decode_call,
    encode_call,
)
from gentianhoist.clocks import Clock
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.store import (
    ConditionFailed,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    TableClient,
)
from gentianhoist.wire import CallOutcome, CallReply, CallRequest

_LOG = logging.getLogger(__name__)

_MAX_RECORD_TRIES = 8
_MAX_FREE_TRIES = 2
_RECORD_BACKOFF_S = 0.25
_RESPONSE_TIMEOUT_S = 600.0
_CLOSE_TIMEOUT_S = 1.0
_OUTCOMES_MIN_INTERVAL_S = 0.2
_OUTCOMES_LINGER_S = 0.1
_MAX_CALLS_IN_MEMORY = 10_000


class NotSent(Exception):
    """The call was not sent: the backend server cannot have received it."""


class CallSender(Protocol):
    """Sends a call to the backend server."""

    async def send(self, request: CallRequest) -> CallOutcome:
        """Send a call and wait for the response.

        Args:
            request: The call.

        Returns:
            The response of the backend server.

        Raises:
            NotSent: If the backend server cannot have received the call.
            ConnectionError: If it may have received the call.
        """
        ...


@dataclass
class _Call:
    request: CallRequest
    digest: str
    reply: asyncio.Future[CallReply]
    # Whether the call can be dropped from memory, because the stored row alone decides
    # whether it may run again.
    is_evictable: bool = False


class CallExecutor:
    """Runs the calls that a sidecar receives, at most once for each idempotency key.

    An incarnation runs a key's call at most once, and only under its own intent: the
    stored record by which it claims the call.

    Args:
        table: Client of the table service.
        sender: Sends calls to the backend server.
        clock: Clocks of this machine.
        instance: Instance name of this sidecar.
        incarnation: Random id of this process, new at each start.
        on_send: Called with the request id of each non-idempotent call before it is
            sent to the backend server.
    """

    def __init__(
        self,
        table: TableClient,
        sender: CallSender,
        clock: Clock,
        instance: str,
        incarnation: str,
        on_send: Callable[[str], None] = lambda _request_id: None,
    ) -> None:
        self._table = table
        self._sender = sender
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._on_send = on_send
        self._commits = GroupCommit(table)
        # The reply does not wait for the record of its outcome, so a longer linger
        # and larger batches cost no latency.
        self._outcome_commits = GroupCommit(
            table, _OUTCOMES_MIN_INTERVAL_S, _OUTCOMES_LINGER_S
        )
        self._lost_records = LostRecords(table, clock)
        self._rewriter = RecordRewriter(
            table, self._commits, self._lost_records, self._known_records
        )
        self._calls: dict[str, _Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def commits(self) -> GroupCommit:
        """Group commit that writes intents and all records without an outcome."""
        return self._commits

    async def start(self) -> None:
        """Start the group commits."""
        await self._commits.start()
        await self._outcome_commits.start()
        await self._lost_records.synchronise()
        await self._rewriter.start()

    async def close(self) -> None:
        """Stop, after a bounded wait for running calls and their records."""
        await self._rewriter.close()
        tasks = list(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=_CLOSE_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._commits.close()
        await self._outcome_commits.close()

    def has_call(self, request: CallRequest) -> bool:
        """Whether this incarnation holds a non-idempotent call with this key."""
        return not request.idempotent and call_row_key(request) in self._calls

    async def call(self, request: CallRequest) -> CallReply:
        """Run a call, wait for the running call with its key, or return its outcome.

        Args:
            request: The call.

        Returns:
            The outcome, or an error that says whether the call is known not to have
            run.
        """
        if request.idempotent:
            return await self._send_idempotent(request)
        key = call_row_key(request)
        call = self._calls.get(key)
        if call is None or self._can_restart(call):
            call = self._start_call(key, request)
            return await self._await_reply(call, request.deadline_left_s)
        if call.digest != body_digest(request.body):
            return _reply(
                ErrorKind.KEY_REUSED,
                "the idempotency key was used with a different request body",
                NotRun.UNKNOWN,
            )
        reply = await self._await_reply(call, request.deadline_left_s)
        # The attempt that was waited for may have started during a store outage.
        if reply.kind is ErrorKind.STORE_UNAVAILABLE and self._can_restart(call):
            call = self._start_call(key, request)
            return await self._await_reply(call, request.deadline_left_s)
        return reply

    async def _send_idempotent(self, request: CallRequest) -> CallReply:
        try:
            async with asyncio.timeout(request.deadline_left_s):
                return CallReply(await self._sender.send(request))
        except NotSent as error:
            return _reply(ErrorKind.NO_BACKEND_SERVER, str(error), NotRun.TRUE)
        except ConnectionError as error:
            return _reply(ErrorKind.BACKEND_FAILED, str(error), NotRun.UNKNOWN)
        except TimeoutError:
            return _reply(
                ErrorKind.DEADLINE_EXCEEDED,
                "the backend server did not respond before the deadline",
                NotRun.UNKNOWN,
            )

    def _can_restart(self, call: _Call) -> bool:
        """Whether the call was certainly not sent and its row can be read again."""
        if not call.is_evictable or not call.reply.done():
            return False
        reply = call.reply.result()
        return reply.outcome is None and reply.not_run is NotRun.TRUE

    def _start_call(self, key: str, request: CallRequest) -> _Call:
        reply = asyncio.get_running_loop().create_future()
        call = _Call(request, body_digest(request.body), reply)
        self._calls[key] = call
        task = asyncio.create_task(self._run_call(key, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._evict_old_calls()
        return call

    def _evict_old_calls(self) -> None:
        if len(self._calls) <= _MAX_CALLS_IN_MEMORY:
            return
        for key, call in list(self._calls.items()):
            if call.is_evictable:
                del self._calls[key]

    async def _await_reply(self, call: _Call, wait_s: float) -> CallReply:
        try:
            async with asyncio.timeout(wait_s):
                return await asyncio.shield(call.reply)
        except TimeoutError:
            return _reply(
                ErrorKind.OUTCOME_UNKNOWN,
                "the call is still running; repeat it with the same key",
                NotRun.UNKNOWN,
            )

    async def _run_call(self, key: str, call: _Call) -> None:
        request = call.request
        deadline_s = self._clock.monotonic_s() + request.deadline_left_s
        refusal = await self._write_intent(key, request)
        if refusal is not None:
            # Nothing was sent, so a repeat may read the row again.
            call.is_evictable = True
            call.reply.set_result(refusal)
            return
        if self._clock.monotonic_s() >= deadline_s:
            expired = _reply(
                ErrorKind.DEADLINE_TOO_SHORT,
                "the deadline passed before the call was sent",
                NotRun.TRUE,
            )
            await self._release_intent(key, call, expired)
            return
        self._on_send(request.request_id)
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                outcome = await self._sender.send(request)
        except NotSent as error:
            not_sent = _reply(ErrorKind.NO_BACKEND_SERVER, str(error), NotRun.TRUE)
            await self._release_intent(key, call, not_sent)
        except (ConnectionError, TimeoutError) as error:
            # The call may have run, so the intent stays: the call is never run again.
            call.reply.set_result(
                _reply(ErrorKind.OUTCOME_UNKNOWN, str(error), NotRun.UNKNOWN)
            )
            await self._record_state(key, call, CallState.DOUBT, None)
        else:
            call.reply.set_result(CallReply(outcome))
            await self._record_state(key, call, CallState.DONE, outcome)

    async def _write_intent(self, key: str, request: CallRequest) -> CallReply | None:
        """Write the intent; if a reply is returned, the call must not be run."""
        refusal = await self._claim_row(key, request)
        await self._lost_records.synchronise()
        if refusal is not None:
            return self._lost_records.checked(refusal, request)
        if self._lost_records.may_concern(request):
            doubt = encode_call(self._new_record(request, CallState.DOUBT))
            await self._replace_own_intent(key, doubt)
            return self._lost_records.refusal()
        return None

    async def _claim_row(self, key: str, request: CallRequest) -> CallReply | None:
        intent = encode_call(self._new_record(request, CallState.INTENT))
        version = 0
        while True:
            try:
                await self._commits.write(key, version, intent)
            except ConditionFailed as error:
                row = error.rows[0]
            except (StoreUnavailable, StoreInDoubt):
                return _reply(
                    ErrorKind.STORE_UNAVAILABLE,
                    "the store does not respond",
                    NotRun.TRUE,
                )
            else:
                return None
            if not row.version:
                version = 0
                continue
            match decide_call(decode_call(row.value), request, self._incarnation):
                case Execute():
                    return None
                case ReplaceRow():
                    version = row.version
                case ReturnReply(reply=reply):
                    return reply

    async def _release_intent(self, key: str, call: _Call, refusal: CallReply) -> None:
        """Free the intent, so that another sidecar can run the call.

        While that cannot be written, the intent stays and no process runs the call:
        this incarnation replies to every repeat with the same refusal.
        """
        await self._record_state(key, call, CallState.FREE, None, tries=_MAX_FREE_TRIES)
        call.reply.set_result(refusal)
        if not call.is_evictable:
            await self._record_state(key, call, CallState.FREE, None)

    async def _record_state(
        self,
        key: str,
        call: _Call,
        state: CallState,
        outcome: CallOutcome | None,
        tries: int = _MAX_RECORD_TRIES,
    ) -> None:
        value = encode_call(self._new_record(call.request, state, outcome))
        for attempt in range(tries):
            try:
                row = await self._read_own_intent(key)
                if row is not None:
                    writer = self._outcome_commits if outcome else self._commits
                    await writer.write(key, row.version, value)
            except (StoreUnavailable, StoreInDoubt, ConditionFailed):
                await asyncio.sleep(_RECORD_BACKOFF_S * (attempt + 1))
            else:
                call.is_evictable = True
                return
        _LOG.warning(
            "call state of request %s not recorded after retries",
            call.request.request_id,
        )

    async def _replace_own_intent(self, key: str, value: bytes) -> None:
        """Replace the intent of a call that is not run; without success, it stays."""
        try:
            row = await self._read_own_intent(key)
            if row is not None:
                await self._commits.write(key, row.version, value)
        except (StoreUnavailable, StoreInDoubt, ConditionFailed) as error:
            _LOG.info("intent of %s not replaced: %r", key, error)

    def _known_records(self) -> dict[str, CallRecord]:
        """Return what this process knows of the calls in its memory, by row key."""
        records = {key: self._known_record(call) for key, call in self._calls.items()}
        return {key: record for key, record in records.items() if record is not None}

    def _known_record(self, call: _Call) -> CallRecord | None:
        """Return what this process knows of a call, None if it did not run here."""
        if not call.reply.done():
            return self._new_record(call.request, CallState.INTENT)
        reply = call.reply.result()
        if reply.outcome is not None:
            return self._new_record(call.request, CallState.DONE, reply.outcome)
        if reply.not_run is NotRun.TRUE:
            return None
        return self._new_record(call.request, CallState.DOUBT)

    async def _read_own_intent(self, key: str) -> Row | None:
        (row,) = await self._table.read([key])
        if not row.version:
            return None
        record = decode_call(row.value)
        is_own = record.incarnation == self._incarnation
        return row if is_own and record.state is CallState.INTENT else None

    def _new_record(
        self,
        request: CallRequest,
        state: CallState,
        outcome: CallOutcome | None = None,
    ) -> CallRecord:
        return CallRecord(
            state,
            self._instance,
            self._incarnation,
            body_digest(request.body),
            request.idempotency_attempt,
            self._clock.wall_s(),
            outcome,
        )


def _reply(kind: ErrorKind, message: str, not_run: NotRun) -> CallReply:
    return CallReply(None, kind, message, not_run)
