"""Calls whose answer is passed on when it is complete."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.dispatch._attempt import AttemptFailed, Execution
from gentianhoist.dispatch._ports import SendOptions, ServerResponse
from gentianhoist.dispatch._sending import Sender
from gentianhoist.fleet import BackendServer

__all__ = ["WholeCall"]

_SERVER_ERROR = 500


class _Complete(NamedTuple):
    answer: ServerResponse
    body: bytes


class WholeCall(Sender):
    """A call to a plain service."""

    async def run(self) -> str:
        """Answer the call; returns the outcome for the metrics.

        Raises:
            HoistError: If no server's answer can be passed on.
        """
        failed_answer: _Complete | None = None
        while True:
            server = self._choose()
            if server is None:
                if failed_answer is not None:
                    return self._pass_on(failed_answer)
                raise self.no_server("no backend server takes the call")
            try:
                complete = await self._ask(server)
            except AttemptFailed as failure:
                self.learn(server, failure)
                if self.may_repeat(failure):
                    continue
                if failed_answer is not None:
                    return self._pass_on(failed_answer)
                raise self.gave_up(failure) from failure
            if not self._worth_repeating(server, complete):
                return self._pass_on(complete)
            failed_answer = complete

    def _choose(self) -> BackendServer | None:
        now_s = self._dispatcher.clock.elapsed_s()
        group = self.group
        ranked = [
            (self._cost(server, now_s), self._state.rng.random(), server)
            for server in self.candidates()
            if self._state.may_start_cold(server, group, now_s)
        ]
        return min(ranked)[2] if ranked else None

    def _cost(self, server: BackendServer, now_s: float) -> float:
        evidence = self._state.evidence.of(server.incarnation)
        load = (self._state.outstanding.get(server.id, 0) + 1) / max(1, server.slots)
        return load * evidence.slowness + evidence.penalty(now_s)

    async def _ask(self, server: BackendServer) -> _Complete:
        request = self._request
        policy = self._state.policy
        idle_s = float("inf") if request.idempotent else policy.proven_idle_s
        options = SendOptions(request.organisation, 0.0)
        attempt = await self.send(server, options, max_idle_s=idle_s)
        sent_s = self._loop.time()
        try:
            until_s = self._patience_until_s()
            answer = await self.answer(attempt, until_s, self._patience_s)
            complete = _Complete(answer, await attempt.body())
        finally:
            self.finish(attempt)
        elapsed_s = self._loop.time() - sent_s
        self._learn_answer(server, complete, elapsed_s)
        return complete

    def _patience_until_s(self) -> float:
        """How long one server may be silent, where another could still answer."""
        request = self._request
        now_s = self._loop.time()
        if not request.idempotent or len(self.candidates()) < 2:
            return request.end_s
        if request.sends >= request.route.max_servers:
            return request.end_s
        return min(request.end_s, now_s + self._patience_s)

    @property
    def _patience_s(self) -> float:
        policy = self._state.policy
        goal_s = self._request.route.goal_s
        return max(policy.min_patience_s, policy.silent_ratio * goal_s)

    def _learn_answer(
        self, server: BackendServer, complete: _Complete, elapsed_s: float
    ) -> None:
        now_s = self._dispatcher.clock.elapsed_s()
        evidence = self._state.evidence.of(server.incarnation)
        evidence.succeeded(now_s)
        self._dispatcher.log.record(
            "server_answered",
            self._request.call.id,
            server=server.id,
            status=complete.answer.status,
            after_s=round(elapsed_s, 4),
            sends=self._request.sends,
            configuration=self._request.version,
        )

    def _worth_repeating(self, server: BackendServer, complete: _Complete) -> bool:
        """Whether a failure that the server answered may come out well elsewhere."""
        request = self._request
        if complete.answer.status < _SERVER_ERROR or not request.idempotent:
            return False
        left_s = request.left_s(self._loop.time())
        if left_s < 0.5 * request.route.goal_s:
            return False
        request.avoid.add(server.id)
        failure = AttemptFailed(Execution.UNKNOWN, "the server failed")
        return self.may_repeat(failure)

    def _pass_on(self, complete: _Complete) -> str:
        self._responder.whole(
            complete.answer.status, complete.answer.headers, complete.body
        )
        served = complete.answer.status < _SERVER_ERROR
        return "served" if served else "server_failed"
