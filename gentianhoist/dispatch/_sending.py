"""Sends of one request: the checks before each, and the lessons after."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gentianhoist.dispatch._attempt import Attempt, AttemptFailed, Execution
from gentianhoist.dispatch._ports import SendOptions, ServerResponse
from gentianhoist.dispatch._request import Request
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.http1 import Responder

if TYPE_CHECKING:
    from gentianhoist.dispatch.core import Dispatcher

__all__ = ["Sender"]

_MAX_TRIES = 12
_GONE_WEIGHT = 2.0
_SILENT_WEIGHT = 1.5
_NOT_EXECUTED_WEIGHT = 0.3
_RETRY_AFTER_S = 0.3


class Sender:
    """Sends one request, once or to several servers in turn.

    Args:
        dispatcher: What decides, and what all requests share.
        request: The request.
        responder: Where its answer goes.
    """

    def __init__(
        self, dispatcher: Dispatcher, request: Request, responder: Responder
    ) -> None:
        self._responder = responder
        self._dispatcher = dispatcher
        self._state = dispatcher.state
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._tries = 0
        self._repeat_reserved = False

    @property
    def group(self) -> ServerGroup:
        """The group that the request goes to.

        Raises:
            HoistError: If the configuration doesn't have it.
        """
        configuration = self._state.replica.current
        group = configuration and configuration.groups.get(self._request.chosen_group)
        if not group:
            raise HoistError(
                ErrorKind.NO_BACKEND_SERVER,
                "the route's group is not configured",
                retry_after_s=_RETRY_AFTER_S,
            )
        return group

    def candidates(self) -> list[BackendServer]:
        """Servers that may be asked, those in good standing only if there are any."""
        now_s = self._dispatcher.clock.elapsed_s()
        group = self.group
        members = [
            server
            for server in self._state.directory.members(group.name, now_s)
            if server.id not in self._request.avoid
        ]
        trusted = [
            server
            for server in members
            if not self._state.evidence.of(server.incarnation).ejected(now_s)
        ]
        return trusted or members

    async def send(
        self, server: BackendServer, options: SendOptions, *, max_idle_s: float
    ) -> Attempt:
        """Send the request to a server.

        Args:
            server: The server.
            options: What is added; the time left is set at the send.
            max_idle_s: Longest time that a kept connection may have been idle.

        Raises:
            AttemptFailed: If it wasn't sent.
        """
        self._tries += 1
        request = self._request
        attempt = Attempt(
            request.call,
            server,
            self._state.pool(server, self.group),
            self._dispatcher.codec,
        )

        def encode() -> bytes:
            left_s = request.left_s(self._loop.time())
            final = _options_at_send(options, request, left_s)
            request.sent(server.id)
            self._state.note_sent(server, self._dispatcher.clock.elapsed_s())
            return self._dispatcher.codec.encode(request.call, server, final)

        await attempt.send(
            encode, lambda: self._forbidden(server), max_idle_s=max_idle_s
        )
        return attempt

    def finish(self, attempt: Attempt) -> None:
        """The send has ended, in whatever way."""
        attempt.close()
        self._state.note_done(attempt.server)

    def learn(self, server: BackendServer, failure: AttemptFailed) -> None:
        """Take note of a failed send."""
        now_s = self._dispatcher.clock.elapsed_s()
        request = self._request
        request.avoid.add(server.id)
        if failure.execution is Execution.NOT_EXECUTED:
            request.not_executed(server.id)
        blamed = self._blamed(server, failure) if failure.by_server else None
        if blamed is not None:
            request.avoid.add(blamed.id)
            evidence = self._state.evidence.of(blamed.incarnation)
            evidence.failed(now_s, _weight(failure))
        self._dispatcher.metrics.send_failed(failure.execution.name.lower())
        self._dispatcher.log.record(
            "send_failed",
            request.call.id,
            server=server.id,
            execution=failure.execution.name.lower(),
            reason=failure.reason,
            blamed=blamed.id if blamed else None,
            directory_age_s=round(self._state.directory.age_s(now_s), 3),
            sends=request.sends,
        )

    def may_repeat(self, failure: AttemptFailed) -> bool:
        """Whether the request may go to another server after a failed send."""
        if not self._sends_left:
            return False
        if failure.execution is Execution.UNSENT:
            return True
        reserved, self._repeat_reserved = self._repeat_reserved, False
        return reserved or self._state.budget(self._request.chosen_group).spend()

    def reserve_repeat(self) -> bool:
        """Whether a silent server may be given up, since another may be asked instead.

        Where it may not, its answer is waited for: silence alone ends no request.
        """
        if not self._repeat_reserved and self._sends_left:
            budget = self._state.budget(self._request.chosen_group)
            self._repeat_reserved = budget.spend()
        return self._repeat_reserved

    @property
    def _sends_left(self) -> bool:
        request = self._request
        if self._tries >= _MAX_TRIES or request.sends >= self._state.policy.max_sends:
            return False
        return request.may_run_again

    async def answer(
        self, attempt: Attempt, until_s: float, patience_s: float
    ) -> ServerResponse:
        """Wait for the head of an answer, and longer where nobody else may be asked.

        Args:
            attempt: The send.
            until_s: When the server counts as silent, on the loop's clock.
            patience_s: Time that is added as long as nobody else may be asked.

        Raises:
            AttemptFailed: If there is none that may be passed on.
        """
        while True:
            try:
                return await attempt.answer(until_s)
            except AttemptFailed as failure:
                if not failure.silent or self.reserve_repeat():
                    raise
                if until_s >= self._request.end_s:
                    raise
            until_s = min(self._request.end_s, self._loop.time() + patience_s)

    def gave_up(self, failure: AttemptFailed) -> HoistError:
        """The error that a request ends with after its last failed send."""
        if self._request.may_have_run:
            return HoistError(ErrorKind.BACKEND_FAILED, failure.reason)
        return self.no_server(failure.reason)

    def no_server(self, reason: str) -> HoistError:
        """The refusal of a request that no server runs."""
        if self._request.may_have_run:
            return HoistError(ErrorKind.BACKEND_FAILED, reason)
        return HoistError(
            ErrorKind.NO_BACKEND_SERVER,
            reason,
            retry_after_s=_RETRY_AFTER_S * (0.5 + self._state.rng.random()),
        )

    def _forbidden(self, server: BackendServer) -> str | None:
        """Why the request may not be sent to this server at this moment."""
        reason = self._dispatcher.refresh(self._request)
        if reason is not None:
            return reason
        now_s = self._dispatcher.clock.elapsed_s()
        current = self._state.directory.usable(server.id, now_s)
        if current is None or current.incarnation != server.incarnation:
            return "the server takes no new requests any more"
        if not self._state.may_start_cold(current, self.group, now_s):
            return "the server is cold and has its part of requests"
        return None

    def _blamed(
        self, server: BackendServer, failure: AttemptFailed
    ) -> BackendServer | None:
        if failure.fault_address and failure.fault_address != server.address:
            for other in self._state.directory.servers.values():
                if other.address == failure.fault_address:
                    return other
            return None
        return server


def _options_at_send(
    options: SendOptions, request: Request, left_s: float
) -> SendOptions:
    """The options as of the moment of the send."""
    return SendOptions(
        organisation=request.organisation,
        remaining_s=left_s,
        last_event_id=options.last_event_id,
        urgency=options.urgency,
        helpers=options.helpers,
        first_reservation_id=options.first_reservation_id,
    )


def _weight(failure: AttemptFailed) -> float:
    if failure.wrong_server:
        return _GONE_WEIGHT
    if failure.execution is Execution.NOT_EXECUTED:
        return _NOT_EXECUTED_WEIGHT
    if failure.silent:
        return _SILENT_WEIGHT
    return 1.0
