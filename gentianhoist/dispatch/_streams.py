"""Streams of events, passed on as they come and resumed where they broke off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gentianhoist.dispatch._attempt import Attempt, AttemptFailed, Execution
from gentianhoist.dispatch._events import EventReader, StreamEvent
from gentianhoist.dispatch._placing import Placer, Reserved
from gentianhoist.dispatch._ports import SendOptions, ServerResponse
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._sending import Sender
from gentianhoist.exceptions import HoistError
from gentianhoist.http1 import Responder

if TYPE_CHECKING:
    from gentianhoist.dispatch.core import Dispatcher

__all__ = ["StreamRelay"]

_OK = 200
_MIN_FIRST_EVENT_S = 0.9
_FIRST_EVENT_EXTRA_S = 0.3
_MIN_PAUSE_S = 0.75
_SECOND_TRY_S = 0.4


class StreamRelay(Sender):
    """A prompt whose answer is a stream.

    Args:
        dispatcher: What decides, and what all requests share.
        request: The request.
        responder: Where its answer goes.
    """

    def __init__(
        self, dispatcher: Dispatcher, request: Request, responder: Responder
    ) -> None:
        super().__init__(dispatcher, request, responder)
        self._placer = Placer(dispatcher, request, self)
        self._last_id = request.call.last_event_id
        self._passed_on = 0
        self._longest_pause_s = 0.0
        self._first_event_s: float | None = None

    async def run(self) -> str:
        """Answer the prompt; returns the outcome for the metrics.

        Raises:
            HoistError: If no stream can be passed on whole.
        """
        while True:
            try:
                reserved = await self._placer.place()
            except HoistError:
                if self._responder.started:
                    return self._break_off("no engine to resume on")
                raise
            try:
                return await self._stream_from(reserved)
            except AttemptFailed as failure:
                self.learn(reserved.placement.first, failure)
                if not self.may_repeat(failure):
                    return self._give_up(failure)
            finally:
                self._placer.release(reserved)

    async def _stream_from(self, reserved: Reserved) -> str:
        placement = reserved.placement
        options = SendOptions(
            None,
            0.0,
            last_event_id=self._last_id,
            urgency=reserved.urgency,
            helpers=reserved.helpers,
            first_reservation_id=reserved.own_ticket,
        )
        attempt = await self.send(
            placement.first, options, max_idle_s=self._max_idle_s()
        )
        sent_s = self._loop.time()
        if self._request.idempotent:
            reserved.first_is_gone = attempt.break_off
        try:
            until_s = self._first_event_until_s(reserved)
            answer = await self.answer(attempt, until_s, _MIN_FIRST_EVENT_S)
            if answer.status != _OK:
                return await self._pass_on_failure(attempt, answer)
            await self._relay(attempt, answer, reserved, sent_s, until_s)
        finally:
            reserved.first_is_gone = None
            self.finish(attempt)
        self._responder.end()
        self._log_served(reserved)
        return "served"

    def _max_idle_s(self) -> float:
        if self._request.idempotent:
            return float("inf")
        return self._state.policy.proven_idle_s

    def _first_event_until_s(self, reserved: Reserved) -> float:
        """When a silent engine is given up, where another may go on."""
        request = self._request
        if not request.idempotent or request.sends >= request.route.max_servers:
            return request.end_s
        ratio = self._state.policy.first_event_ratio
        expected_s = reserved.placement.first_event_s
        patience_s = max(_MIN_FIRST_EVENT_S, ratio * expected_s + _FIRST_EVENT_EXTRA_S)
        now_s = self._loop.time()
        until_s = now_s + patience_s
        # Another engine must still have time before the caller leaves in silence, and
        # this one as long as is expected of it.
        last_s = request.silence_ends_s - expected_s - _SECOND_TRY_S
        if last_s > now_s + max(_MIN_PAUSE_S, expected_s):
            until_s = min(until_s, last_s)
        return min(request.end_s, until_s)

    async def _relay(
        self,
        attempt: Attempt,
        answer: ServerResponse,
        reserved: Reserved,
        sent_s: float,
        until_s: float,
    ) -> None:
        reader = EventReader()
        first = True
        while True:
            data = await self._data(attempt, until_s)
            if not data:
                break
            try:
                events = reader.feed(data)
            except ValueError as error:
                raise AttemptFailed(Execution.UNKNOWN, str(error)) from error
            for event in events:
                if first:
                    first = False
                    self._placer.first_event(reserved, self._loop.time() - sent_s)
                if not self._passed_on_before(event):
                    await self._pass_on(event, answer)
            if not first:
                until_s = self._pause_until_s()
        if reader.rest.strip():
            raise AttemptFailed(Execution.UNKNOWN, "the stream ends inside an event")
        if first:
            raise AttemptFailed(Execution.UNKNOWN, "the stream has no events")

    def _passed_on_before(self, event: StreamEvent) -> bool:
        """Whether a resumed run repeats an event; ids increase along a stream."""
        if event.id is None or self._last_id is None:
            return False
        if not (event.id.isdigit() and self._last_id.isdigit()):
            return event.id == self._last_id
        return int(event.id) <= int(self._last_id)

    async def _data(self, attempt: Attempt, until_s: float) -> bytes:
        while True:
            try:
                async with asyncio.timeout_at(until_s):
                    return await attempt.data()
            except TimeoutError:
                if until_s >= self._request.end_s or self.reserve_repeat():
                    raise AttemptFailed(
                        Execution.UNKNOWN, "the stream has stopped", silent=True
                    ) from None
            until_s = min(self._request.end_s, self._loop.time() + _MIN_PAUSE_S)

    def _pause_until_s(self) -> float:
        request = self._request
        if not request.idempotent or not request.may_run_again:
            return request.end_s
        ratio = self._state.policy.pause_ratio
        patience_s = max(_MIN_PAUSE_S, ratio * request.route.pause_goal_s)
        return min(request.end_s, self._loop.time() + patience_s)

    async def _pass_on(self, event: StreamEvent, answer: ServerResponse) -> None:
        now_s = self._loop.time()
        if not self._responder.started:
            self._responder.begin(answer.status, answer.headers)
            self._first_event_s = now_s - self._request.call.received_s
            self._dispatcher.metrics.first_event(self._first_event_s)
        else:
            self._longest_pause_s = max(
                self._longest_pause_s, now_s - (self._request.heard_s or now_s)
            )
        self._request.heard_s = now_s
        if event.id is not None:
            self._last_id = event.id
        self._passed_on += 1
        await self._responder.chunk(event.data)

    async def _pass_on_failure(self, attempt: Attempt, answer: ServerResponse) -> str:
        body = await attempt.body()
        failure = AttemptFailed(
            Execution.UNKNOWN, f"the server answered {answer.status}"
        )
        if (
            self._request.may_run_again
            and self._request.left_s(self._loop.time()) > self._request.route.goal_s
        ):
            raise failure
        if self._responder.started:
            return self._break_off(failure.reason)
        self._responder.whole(answer.status, answer.headers, body)
        return "server_failed"

    def _give_up(self, failure: AttemptFailed) -> str:
        if self._responder.started:
            return self._break_off(failure.reason)
        raise self.gave_up(failure) from failure

    def _break_off(self, reason: str) -> str:
        self._dispatcher.log.record(
            "stream_broken_off",
            self._request.call.id,
            reason=reason,
            events=self._passed_on,
            sends=self._request.sends,
        )
        self._responder.abort()
        return "broken_off"

    def _log_served(self, reserved: Reserved) -> None:
        self._dispatcher.log.record(
            "stream_served",
            self._request.call.id,
            server=reserved.placement.first.id,
            events=self._passed_on,
            first_event_s=round(self._first_event_s or 0.0, 4),
            longest_pause_s=round(self._longest_pause_s, 4),
            goal_s=self._request.route.goal_s,
            pause_goal_s=self._request.route.pause_goal_s,
            prompt_tokens=self._request.call.prompt_tokens,
            sends=self._request.sends,
            configuration=self._request.version,
        )
