"""A sidecar's calls of its plain service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gentianhoist.calls._group_commit import GroupCommit
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

_RECORD_TRIES = 8
_FREE_TRIES = 2
_RECORD_PAUSE_S = 0.25
_LATE_ANSWER_S = 600.0
_CLOSE_S = 1.0
_OUTCOMES_DISTANCE_S = 0.2
_OUTCOMES_LINGER_S = 0.1
_REMEMBERED_CALLS = 10_000


class NotSent(Exception):
    """The backend server can't have seen the call."""


class CallSender(Protocol):
    """Sends a call to the backend server."""

    async def send(self, request: CallRequest) -> CallOutcome:
        """Send a call and wait for its answer.

        Raises:
            NotSent: If the backend server can't have seen it.
            ConnectionError: If it may have.
        """
        ...


@dataclass
class _Call:
    request: CallRequest
    digest: str
    reply: asyncio.Future[CallReply]
    # Whether the store alone now keeps the key from being run again.
    forgettable: bool = False


class CallExecutor:
    """Runs each key at most once in this life, and only under its own intent.

    Args:
        table: The table service.
        sender: Sends calls to the backend server.
        clock: This machine's clocks.
        instance: Name of this sidecar's instance.
        incarnation: Random name of its present life.
        on_executed: Told the request id of each call handed to the backend server.
    """

    def __init__(
        self,
        table: TableClient,
        sender: CallSender,
        clock: Clock,
        instance: str,
        incarnation: str,
        on_executed: Callable[[str], None] = lambda _request_id: None,
    ) -> None:
        self._table = table
        self._sender = sender
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._on_executed = on_executed
        self._commits = GroupCommit(table)
        # Nobody waits for the record of an outcome.
        self._outcomes = GroupCommit(table, _OUTCOMES_DISTANCE_S, _OUTCOMES_LINGER_S)
        self._calls: dict[str, _Call] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def commits(self) -> GroupCommit:
        """The writer of the rows."""
        return self._commits

    async def start(self) -> None:
        """Start writing rows."""
        await self._commits.start()
        await self._outcomes.start()

    async def close(self) -> None:
        """Stop, with a moment for outcomes that are being recorded."""
        tasks = list(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=_CLOSE_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._commits.close()
        await self._outcomes.close()

    def has_call(self, request: CallRequest) -> bool:
        """Whether this life has already been asked for the call's key."""
        return not request.idempotent and call_row_key(request) in self._calls

    async def call(self, request: CallRequest) -> CallReply:
        """Run a call, or join it, or tell its outcome.

        Args:
            request: The call.

        Returns:
            The outcome, or a truthful word on why there is none.
        """
        if request.idempotent:
            return await self._send_idempotent(request)
        key = call_row_key(request)
        call = self._calls.get(key)
        if call is None or self._may_begin_again(call):
            call = self._begin(key, request)
            return await self._join(call, request.deadline_left_s)
        if call.digest != body_digest(request.body):
            return _reply(
                ErrorKind.KEY_REUSED,
                "the key was used with another body",
                NotRun.UNKNOWN,
            )
        reply = await self._join(call, request.deadline_left_s)
        # The joined attempt may have begun while the store was still out.
        if reply.kind is ErrorKind.STORE_UNAVAILABLE and self._may_begin_again(call):
            call = self._begin(key, request)
            return await self._join(call, request.deadline_left_s)
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
                ErrorKind.DEADLINE_EXCEEDED, "no answer in time", NotRun.UNKNOWN
            )

    def _may_begin_again(self, call: _Call) -> bool:
        """Whether the call was surely not handed on and its row decides anew."""
        if not call.forgettable or not call.reply.done():
            return False
        reply = call.reply.result()
        return reply.outcome is None and reply.not_run is NotRun.TRUE

    def _begin(self, key: str, request: CallRequest) -> _Call:
        reply = asyncio.get_running_loop().create_future()
        call = _Call(request, body_digest(request.body), reply)
        self._calls[key] = call
        task = asyncio.create_task(self._run(key, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._forget_old_calls()
        return call

    def _forget_old_calls(self) -> None:
        if len(self._calls) <= _REMEMBERED_CALLS:
            return
        for key, call in list(self._calls.items()):
            if call.forgettable:
                del self._calls[key]

    async def _join(self, call: _Call, wait_s: float) -> CallReply:
        try:
            async with asyncio.timeout(wait_s):
                return await asyncio.shield(call.reply)
        except TimeoutError:
            return _reply(
                ErrorKind.OUTCOME_UNKNOWN,
                "still running; ask again with the same key",
                NotRun.UNKNOWN,
            )

    async def _run(self, key: str, call: _Call) -> None:
        request = call.request
        deadline_s = self._clock.elapsed_s() + request.deadline_left_s
        refusal = await self._obtain_intent(key, request)
        if refusal is not None:
            # Nothing was handed on, so the row may decide anew.
            call.forgettable = True
            call.reply.set_result(refusal)
            return
        if self._clock.elapsed_s() >= deadline_s:
            late = _reply(ErrorKind.DEADLINE_TOO_SHORT, "no time left", NotRun.TRUE)
            await self._refuse_unsent(key, call, late)
            return
        self._on_executed(request.request_id)
        try:
            async with asyncio.timeout(_LATE_ANSWER_S):
                outcome = await self._sender.send(request)
        except NotSent as error:
            gone = _reply(ErrorKind.NO_BACKEND_SERVER, str(error), NotRun.TRUE)
            await self._refuse_unsent(key, call, gone)
        except (ConnectionError, TimeoutError) as error:
            # It may have run, so the intent stands and nobody runs the key again.
            call.reply.set_result(
                _reply(ErrorKind.OUTCOME_UNKNOWN, str(error), NotRun.UNKNOWN)
            )
            await self._record(key, call, CallState.DOUBT, None)
        else:
            call.reply.set_result(CallReply(outcome))
            await self._record(key, call, CallState.DONE, outcome)

    async def _obtain_intent(self, key: str, request: CallRequest) -> CallReply | None:
        """Write the intent; a reply means that the call must not be run."""
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
                    "the store doesn't answer",
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

    async def _refuse_unsent(self, key: str, call: _Call, refusal: CallReply) -> None:
        """Give the intent up, so that another sidecar can take the call.

        If that can't be written, the intent stands and nobody runs the key: this life
        answers every repeat with the same refusal.
        """
        await self._record(key, call, CallState.FREE, None, tries=_FREE_TRIES)
        call.reply.set_result(refusal)
        if not call.forgettable:
            await self._record(key, call, CallState.FREE, None)

    async def _record(
        self,
        key: str,
        call: _Call,
        state: CallState,
        outcome: CallOutcome | None,
        tries: int = _RECORD_TRIES,
    ) -> None:
        value = encode_call(self._new_record(call.request, state, outcome))
        for attempt in range(tries):
            try:
                row = await self._own_intent(key)
                if row is not None:
                    writer = self._outcomes if outcome else self._commits
                    await writer.write(key, row.version, value)
            except (StoreUnavailable, StoreInDoubt, ConditionFailed):
                await asyncio.sleep(_RECORD_PAUSE_S * (attempt + 1))
            else:
                call.forgettable = True
                return
        _LOG.warning("the outcome of %s is not recorded", call.request.request_id)

    async def _own_intent(self, key: str) -> Row | None:
        (row,) = await self._table.read([key])
        if not row.version:
            return None
        record = decode_call(row.value)
        owned = record.incarnation == self._incarnation
        return row if owned and record.state is CallState.INTENT else None

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
            request.key_attempt,
            self._clock.wall_s(),
            outcome,
        )


def _reply(kind: ErrorKind, message: str, not_run: NotRun) -> CallReply:
    return CallReply(None, kind, message, not_run)
