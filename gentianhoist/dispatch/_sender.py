"""Attempts at one request: checks before each send, failure handling after it."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from functools import partial

from gentianhoist.backoff import PauseNamed
from gentianhoist.dispatch._attempt import (
    Attempt,
    AttemptFailed,
    Execution,
    StreamProgress,
)
from gentianhoist.dispatch._candidates import Candidates
from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._interfaces import (
    SendOptions,
    ServerResponse,
)
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._send_rules import (
    failure_weight,
    may_tell_rate_limit,
    options_at_send,
    progress_fields,
    shows_overload,
)
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.http1 import (
    Attribution,
    DroppedResponse,
    EncodedRequest,
    Responder,
)
from gentianhoist.quarantine import TrialResult
from gentianhoist.ratelimits import SendPermit

__all__ = ["Sender"]

# Attempts at one request, including those that sent nothing on an open connection.
_MAX_ATTEMPTS = 12


class Sender(ABC):
    """Sends one request to one backend server, or to several in turn.

    Args:
        context: DispatchContext with the state that all requests share.
        request: The admitted request.
        responder: Sends the response to the caller.
    """

    def __init__(
        self, context: DispatchContext, request: Request, responder: Responder
    ) -> None:
        self._responder = responder
        self._context = context
        self._state = context.state
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._attempts = 0
        # Servers that couldn't be connected to; each one is tried once.
        self._unreachable_servers = 0
        self._retry_reserved = False
        self._quarantine = context.quarantine
        self._candidates = Candidates(context, request)
        # Time on the clock of the quarantine when the request was sent last.
        self._sent_clock_s = 0.0

    async def run(self) -> str:
        """Serve the request; returns the outcome for the metrics.

        Raises:
            HoistError: If the request fails before any part of a response was sent.
        """
        call = self._request.call
        trial = await self._quarantine.admit(call.id, call.quarantine_keys)
        if trial is None:
            return await self._run_attempts()
        self._candidates.is_trial = True
        try:
            return await self._run_attempts()
        finally:
            self._quarantine.end_trial(trial, self._trial_result())

    @abstractmethod
    async def _run_attempts(self) -> str:
        """Send the request until it is served or fails, as `run`."""

    @property
    @abstractmethod
    def _was_answered(self) -> bool:
        """Whether a server has shown that the request doesn't crash it."""

    def _trial_result(self) -> TrialResult:
        if not self._request.may_have_run:
            return TrialResult.INCONCLUSIVE
        return TrialResult.PASSED if self._was_answered else TrialResult.FAILED

    @property
    def group(self) -> ServerGroup:
        """The server group chosen for the request; see `Candidates.group`."""
        return self._candidates.group

    def candidates(self) -> list[BackendServer]:
        """Servers that may be chosen; see `Candidates.servers`."""
        return self._candidates.servers()

    async def send(
        self,
        server: BackendServer,
        options: SendOptions,
        permit: SendPermit,
        *,
        max_idle_s: float,
    ) -> Attempt:
        """Send the request to a backend server.

        Args:
            server: The backend server.
            options: Values to add, except organisation and remaining time, which are
                set at the send.
            permit: Tokens of the servers' rate limits; spent by the send.
            max_idle_s: Maximum seconds that a reused connection may have been idle.

        Raises:
            AttemptFailed: If the request was not sent.
        """
        self._attempts += 1
        request = self._request
        sent_s = self._context.clock.monotonic_s()
        attempt = Attempt(
            request.call,
            server,
            self._state.pool(server, self.group),
            self._context.codec,
            lambda response: self._observe_response(server, response, sent_s),
            partial(_log_dropped, self._context, server.id, request.call.id),
        )

        def encode() -> EncodedRequest:
            nonlocal sent_s
            sent_s = self._context.clock.monotonic_s()
            remaining_s = request.remaining_s(self._loop.time())
            final = options_at_send(options, request, remaining_s)
            permit.use()
            self._sent_clock_s = sent_s
            request.mark_sent(server.id)
            self._state.record_sent(server, sent_s)
            return self._context.codec.encode(request.call, server, final)

        await attempt.send(
            encode, lambda: self.refusal_reason(server), max_idle_s=max_idle_s
        )
        return attempt

    def _observe_response(
        self, server: BackendServer, response: ServerResponse, sent_s: float
    ) -> None:
        """Take what a response says about its server."""
        if response.wrong_server:
            return
        request_id = self._request.call.id
        self._context.observe_notice(server, response.notice, request_id)
        if not isinstance(response.notice.pause, PauseNamed):
            now_s = self._context.clock.monotonic_s()
            if self._state.pauses.record_answered(server, sent_s, now_s):
                self._context.log.record(
                    "server_pause_over", request_id, server=server.id
                )
                self._context.slow_starts.begin(server, now_s)
        if may_tell_rate_limit(response):
            self._context.rate_limits.observe(
                request_id, server, response.rate_limit, sent_s
            )

    def finish(self, attempt: Attempt) -> None:
        """End an attempt that sent the request: release its connection and load."""
        attempt.close()
        self._state.record_finished(attempt.server)

    def record_failure(
        self,
        server: BackendServer,
        failure: AttemptFailed,
        progress: StreamProgress | None = None,
    ) -> None:
        """Record a failed attempt in the request, server health, metrics and log.

        Args:
            server: The backend server that was addressed.
            failure: Why the attempt failed.
            progress: How far the attempt's stream had come, if it has one.
        """
        now_s = self._context.clock.monotonic_s()
        request = self._request
        request.excluded_ids.add(server.id)
        if failure.execution is Execution.NOT_EXECUTED:
            request.mark_not_executed(server.id)
        if failure.execution is Execution.UNSENT and failure.no_response:
            self._unreachable_servers += 1
        if failure.wrong_server:
            self._context.observe_replaced(server)
        faulty_server = (
            self._server_at_fault(server, failure)
            if failure.counts_against_server
            else None
        )
        if faulty_server is not None:
            request.excluded_ids.add(faulty_server.id)
            self._state.server_health.record_failure(
                faulty_server.incarnation, now_s, failure_weight(failure)
            )
        if shows_overload(failure):
            self._context.slow_starts.record_refusal(server)
        self._context.metrics.record_failed_send(failure.execution.name.lower())
        self._context.log.record(
            "send_failed",
            request.call.id,
            server=server.id,
            execution=failure.execution.name.lower(),
            reason=failure.reason,
            blamed=faulty_server.id if faulty_server else None,
            directory_age_s=round(self._state.directory.age_s(now_s), 3),
            sends=request.sends,
            content=request.call.content_key,
            **progress_fields(progress, self._loop.time()),
        )

    async def try_begin_retry(self, failure: AttemptFailed) -> bool:
        """Begin a retry on another server after a failed attempt, if one is permitted.

        Withdraws a retry from the budget, unless the request was not sent or a retry
        is reserved already.

        Returns:
            Whether the request may be sent again.
        """
        if not self._has_sends_left:
            return False
        if failure.execution is Execution.UNSENT:
            return True
        reserved, self._retry_reserved = self._retry_reserved, False
        return reserved or await self._withdraw_retry()

    async def _withdraw_retry(self) -> bool:
        request = self._request
        return await self._context.retry_quotas.withdraw(
            request.group_name, request.call.id
        )

    async def reserve_retry(self, server: BackendServer) -> bool:
        """Reserve a retry; returns whether an unresponsive server may be abandoned.

        Without a retry the wait goes on: a timeout alone ends no request. It also goes
        on while the rate limits of the other servers allow no request.

        Args:
            server: The unresponsive server.
        """
        if not self._candidates.may_send_to_another(server):
            return False
        if not self._retry_reserved and self._has_sends_left:
            self._retry_reserved = await self._withdraw_retry()
        return self._retry_reserved

    @property
    def _has_sends_left(self) -> bool:
        request = self._request
        if (
            self._attempts - self._unreachable_servers >= _MAX_ATTEMPTS
            or request.sends >= self._state.policy.max_sends
        ):
            return False
        return request.may_run_again

    async def await_response(
        self, attempt: Attempt, wait_deadline_s: float, extension_s: float
    ) -> ServerResponse:
        """Wait for a response head, and longer while no retry is available.

        Args:
            attempt: The attempt that sent the request.
            wait_deadline_s: End of the response timeout, on the event loop's clock.
            extension_s: Seconds by which the wait is extended without a retry.

        Raises:
            AttemptFailed: If no response arrives that may be forwarded.
        """
        while True:
            try:
                return await attempt.await_response(wait_deadline_s)
            except AttemptFailed as failure:
                if not failure.no_response or await self.reserve_retry(attempt.server):
                    raise
                if wait_deadline_s >= self._request.deadline_s:
                    raise
            wait_deadline_s = min(
                self._request.deadline_s, self._loop.time() + extension_s
            )

    def final_error(self, failure: AttemptFailed) -> HoistError:
        """The error for the caller after the last failed attempt."""
        if self._request.may_have_run:
            return HoistError(ErrorKind.BACKEND_FAILED, failure.reason)
        return self.no_server_error(failure.reason)

    @property
    def is_trial(self) -> bool:
        """Whether the request is the trial of a key that is held otherwise."""
        return self._candidates.is_trial

    def raise_if_quarantined(self) -> None:
        """Raise the error for the caller if the request may not be sent now."""
        self._candidates.raise_if_quarantined()

    async def report_loss(self, server: BackendServer, failure: AttemptFailed) -> None:
        """Report a connection that was lost while the server began to answer.

        A server that drains, or isn't listed any more, may end at any time.
        """
        now_s = self._context.clock.monotonic_s()
        listed = self._state.directory.find_usable(server.id, now_s)
        if (
            failure.connection_lost
            and listed is not None
            and listed.incarnation == server.incarnation
        ):
            await self._quarantine.report_lost_connection(
                server,
                self._request.call.quarantine_keys,
                self._sent_clock_s,
                may_repeat=self._has_sends_left,
            )

    async def may_retry(self, failure: AttemptFailed) -> bool:
        """Whether the request may be sent again; begins the retry if so."""
        if self.is_trial:
            return False
        if (
            self._request.may_have_run
            and self._candidates.quarantine_refusal() is not None
        ):
            return False
        return await self.try_begin_retry(failure)

    def no_server_error(self, reason: str) -> HoistError:
        """The error for the caller when no server can be chosen."""
        return self._candidates.no_server_error(reason)

    def refusal_reason(self, server: BackendServer) -> str | None:
        """Why the request may not be sent to this server at this moment, or None."""
        if self._candidates.quarantine_refusal() is not None:
            return "the quarantine holds the request"
        reason = self._context.recheck_configuration(self._request)
        if reason is not None:
            return reason
        now_s = self._context.clock.monotonic_s()
        current = self._state.directory.find_usable(server.id, now_s)
        if current is None or current.incarnation != server.incarnation:
            return "the server no longer accepts new requests"
        if not self._state.pauses.may_send(current, now_s):
            return "the server has asked for a pause"
        if not self._state.slow_starts.has_unit(current, self.group, now_s):
            return "the server is cold and has reached its request limit"
        return None

    def _server_at_fault(
        self, server: BackendServer, failure: AttemptFailed
    ) -> BackendServer | None:
        if failure.fault_address and failure.fault_address != server.address:
            for other in self._state.directory.servers.values():
                if other.address == failure.fault_address:
                    return other
            return None
        return server


def _log_dropped(
    context: DispatchContext, server_id: str, request_id: str, dropped: DroppedResponse
) -> None:
    """Log a response on the connection of a request that isn't passed on.

    The connection may call this long after the request.
    """
    position = dropped.position.name.lower()
    names_request = dropped.attribution is Attribution.OWN
    context.metrics.record_dropped_response(position, names_request=names_request)
    context.log.record(
        "response_dropped",
        request_id,
        server=server_id,
        position=position,
        status=dropped.head.status,
        names_request=names_request,
    )
