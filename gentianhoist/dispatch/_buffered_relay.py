"""Requests whose response is buffered and forwarded once it is complete."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.dispatch._attempt import AttemptFailed, Execution, ResponseTrace
from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._interfaces import SendOptions, ServerResponse
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._sender import Sender
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer
from gentianhoist.http1 import Responder
from gentianhoist.ratelimits import SendPermit, expected_wait_s

__all__ = ["BufferedRelay"]

_SERVER_ERROR = 500
# Load that a server with a rate limit is charged with, as a fraction of its slots, so
# that servers without one come first.
_RATE_LIMITED_LOAD = 0.5
# The same for a server that started or recovered and has as many requests as its pace
# allows. It isn't left out, since requests without streaming don't wait for servers.
_PACED_LOAD = 2.0
# Requests of this entry at one server while others pause, as a multiple of its slots.
_MAX_CROWDING = 2
# Expected time of a response as a fraction of the route's goal, for a server that has
# started: within the goal it responds as expected.
_EXPECTED_GOAL_RATIO = 0.5
# Fraction of the time to its deadline that a request may wait for the rate limits.
_MAX_WAIT_RATIO = 0.5
# Interval at which the first request that waits looks for a server.
_TURN_POLL_INTERVAL_S = 0.02


class _CompleteResponse(NamedTuple):
    response: ServerResponse
    body: bytes
    trace: ResponseTrace


class _Chosen(NamedTuple):
    server: BackendServer
    permit: SendPermit


class BufferedRelay(Sender):
    """Relays a request whose response isn't a stream.

    Args:
        context: DispatchContext with the state that all requests share.
        request: The admitted request.
        responder: Sends the response to the caller.
    """

    def __init__(
        self, context: DispatchContext, request: Request, responder: Responder
    ) -> None:
        super().__init__(context, request, responder)
        self._has_response = False

    @property
    def _was_answered(self) -> bool:
        return self._has_response

    async def _run_attempts(self) -> str:
        failed_response: _CompleteResponse | None = None
        while True:
            self.raise_if_quarantined()
            chosen = self._choose_server()
            if chosen is None and failed_response is None:
                chosen = await self._wait_for_turn()
            if chosen is None:
                if failed_response is not None:
                    return self._forward(failed_response)
                raise self.no_server_error(
                    "no backend server is available for the request"
                )
            server = chosen.server
            try:
                complete = await self._send_and_read(chosen)
            except AttemptFailed as failure:
                self.record_failure(server, failure)
                await self.report_loss(server, failure)
                if await self.may_retry(failure):
                    continue
                if failed_response is not None:
                    return self._forward(failed_response)
                raise self.final_error(failure) from failure
            if not await self._try_begin_error_retry(server, complete):
                return self._forward(complete)
            failed_response = complete

    def _choose_server(self, *, is_first: bool = False) -> _Chosen | None:
        """Choose a server and take a token of its rate limit, if it names one.

        Args:
            is_first: Whether no request that waits for the rate limits is ahead. Others
                get servers without a limit only.
        """
        now_s = self._context.clock.monotonic_s()
        group = self.group
        limits = self._state.rate_limits
        is_first = is_first or not self._state.turns(group.name).waiting
        ranked = [
            (self._cost(server, now_s), self._state.rng.random(), server)
            for server in self.candidates()
            if self._state.slow_starts.has_unit(server, group, now_s)
            and self._has_room(server)
            and (
                limits.can_send(server, now_s)
                if is_first
                else limits.limit_per_s(server) is None
            )
        ]
        if not ranked:
            return None
        server = min(ranked)[2]
        return _Chosen(server, self._context.rate_limits.permit((server,)))

    def refusal_reason(self, server: BackendServer) -> str | None:
        """Why the request may not be sent to this server at this moment, or None."""
        reason = super().refusal_reason(server)
        if reason is None and not self._has_room(server):
            reason = "the server is crowded while others pause"
        return reason

    def _has_room(self, server: BackendServer) -> bool:
        """Whether a server is not crowded by requests that others don't take.

        It has no bound of this entry's while no server pauses.
        """
        if not self._state.pauses:
            return True
        outstanding = self._state.outstanding.get(server.id, 0)
        return outstanding < _MAX_CROWDING * max(1, server.slots)

    async def _wait_for_turn(self) -> _Chosen | None:
        """Wait until the rate limits of the servers allow a request.

        Returns:
            The server, or None if no server has a limit to wait for.

        Raises:
            HoistError: If that takes too long.
        """
        limited = self._limited_servers()
        if not limited:
            return None
        now_s = self._context.clock.monotonic_s()
        max_wait_s = self._max_turn_wait_s()
        turns = self._state.turns(self.group.name)
        wait_s = expected_wait_s(self._state.rate_limits, limited, turns.waiting, now_s)
        if wait_s > max_wait_s:
            raise self._rate_limit_error(wait_s)
        self._context.log.record(
            "waiting_for_rate_limits",
            self._request.call.id,
            ahead=turns.waiting,
            expected_s=round(wait_s, 3),
        )
        try:
            async with asyncio.timeout(max_wait_s), turns.turn():
                while (chosen := self._choose_server(is_first=True)) is None:
                    await asyncio.sleep(_TURN_POLL_INTERVAL_S)
                return chosen
        except TimeoutError:
            raise self._rate_limit_error(wait_s) from None

    def _max_turn_wait_s(self) -> float:
        """Seconds that leave time for the response, also if the entry stops."""
        loop_now_s = self._loop.time()
        stop_slack_s = (
            self._context.shutdown.remaining_s(loop_now_s) - self._request.route.goal_s
        )
        wait_s = _MAX_WAIT_RATIO * self._request.remaining_s(loop_now_s)
        return min(wait_s, stop_slack_s)

    def _limited_servers(self) -> list[BackendServer]:
        limits = self._state.rate_limits
        return [
            server
            for server in self.candidates()
            if limits.limit_per_s(server) is not None
        ]

    def _rate_limit_error(self, wait_s: float) -> HoistError:
        reason = "all servers have reached the rate limits that they name"
        if self._request.may_have_run:
            return HoistError(ErrorKind.BACKEND_FAILED, reason)
        jitter = 0.5 + self._state.rng.random()
        return HoistError(
            ErrorKind.BACKEND_RATE_LIMITED, reason, retry_after_s=wait_s * jitter
        )

    def _cost(self, server: BackendServer, now_s: float) -> float:
        health = self._state.server_health.get(server.incarnation)
        outstanding = self._state.outstanding.get(server.id, 0)
        load = (outstanding + 1) / max(1, server.slots)
        if self._state.rate_limits.limit_per_s(server) is not None:
            load += _RATE_LIMITED_LOAD
        if self._state.slow_starts.is_at_pace(server, self.group, outstanding, now_s):
            load += _PACED_LOAD
        return load * health.slowness(now_s) + health.penalty(now_s)

    async def _send_and_read(self, chosen: _Chosen) -> _CompleteResponse:
        server = chosen.server
        request = self._request
        policy = self._state.policy
        idle_s = (
            float("inf") if request.idempotent else policy.max_non_idempotent_idle_s
        )
        options = SendOptions(request.organisation, 0.0)
        try:
            attempt = await self.send(server, options, chosen.permit, max_idle_s=idle_s)
        finally:
            chosen.permit.release()
        sent_s = self._loop.time()
        try:
            wait_deadline_s = self._response_deadline_s()
            response = await self.await_response(
                attempt, wait_deadline_s, self._response_timeout_s
            )
            body = await attempt.read_body(self._responder.reserve)
            complete = _CompleteResponse(response, body, attempt.trace)
        finally:
            self.finish(attempt)
        elapsed_s = self._loop.time() - sent_s
        self._record_response(server, complete, elapsed_s)
        return complete

    def _response_deadline_s(self) -> float:
        """When a server without a response is abandoned for another."""
        request = self._request
        now_s = self._loop.time()
        if not request.idempotent or len(self.candidates()) < 2:
            return request.deadline_s
        if request.sends >= request.route.max_executing_servers:
            return request.deadline_s
        return min(request.deadline_s, now_s + self._response_timeout_s)

    @property
    def _response_timeout_s(self) -> float:
        policy = self._state.policy
        goal_s = self._request.route.goal_s
        return max(
            policy.min_response_timeout_s, policy.response_timeout_ratio * goal_s
        )

    def _record_response(
        self, server: BackendServer, complete: _CompleteResponse, elapsed_s: float
    ) -> None:
        now_s = self._context.clock.monotonic_s()
        self._state.server_health.record_success(server.incarnation, now_s)
        if complete.response.status < _SERVER_ERROR:
            self._context.slow_starts.record_response(
                server, elapsed_s, _EXPECTED_GOAL_RATIO * self._request.route.goal_s
            )
        else:
            self._context.slow_starts.record_refusal(server)
        self._has_response = True
        self._quarantine.report_completed(
            self._request.call.quarantine_keys,
            self._sent_clock_s,
            is_trial=self.is_trial,
        )
        self._context.log.record(
            "server_answered",
            self._request.call.id,
            server=server.id,
            status=complete.response.status,
            after_s=round(elapsed_s, 4),
            rate_limit_per_s=self._state.rate_limits.limit_per_s(server),
            sends=self._request.sends,
            content=self._request.call.content_key,
            configuration=self._request.configuration_version,
            body_bytes=len(complete.body),
            **complete.trace._asdict(),
        )

    async def _try_begin_error_retry(
        self, server: BackendServer, complete: _CompleteResponse
    ) -> bool:
        """Begin a retry on another server after a server error, if one is permitted.

        Excludes the server, and withdraws a retry from the budget.
        """
        request = self._request
        if complete.response.status < _SERVER_ERROR or not request.idempotent:
            return False
        remaining_s = request.remaining_s(self._loop.time())
        if remaining_s < 0.5 * request.route.goal_s:
            return False
        request.excluded_ids.add(server.id)
        failure = AttemptFailed(Execution.UNKNOWN, "the server responded with an error")
        return await self.may_retry(failure)

    def _forward(self, complete: _CompleteResponse) -> str:
        self._responder.send_response(
            complete.response.status, complete.response.headers, complete.body
        )
        served = complete.response.status < _SERVER_ERROR
        return "served" if served else "server_failed"
