"""Relays event streams to the caller and resumes them after failures."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

from gentianhoist.dispatch._attempt import (
    Attempt,
    AttemptFailed,
    Execution,
    ResponseTrace,
    StreamProgress,
)
from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._events import EventReader, StreamEvent
from gentianhoist.dispatch._interfaces import SendOptions, ServerResponse
from gentianhoist.dispatch._kv_reserver import ReservedPlacement
from gentianhoist.dispatch._prompt_placer import PromptPlacer
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._resumption import EventSequence
from gentianhoist.dispatch._sender import Sender
from gentianhoist.exceptions import HoistError
from gentianhoist.fleet import BackendServer
from gentianhoist.http1 import Responder, ResponseFraming

__all__ = ["StreamRelay"]

_OK = 200
_MIN_FIRST_EVENT_TIMEOUT_S = 0.9
_FIRST_EVENT_MARGIN_S = 0.3
_MIN_STALL_TIMEOUT_S = 0.75
_RETRY_MARGIN_S = 0.4
# Interval at which a stream whose engine is silent looks for a place at another one.
_PLACE_POLL_INTERVAL_S = 0.25
# A prompt that crashes its engine does so as soon as the answer begins. A stream that
# has been written for longer is only a victim of the crash.
_MAX_SUSPECT_WRITING_S = 0.25
# A part of a stream of this size may hold thousands of events.
_MAX_PART_BYTES = 2 * 1024


class StreamRelay(Sender):
    """Relays the event stream of one prompt.

    Args:
        context: DispatchContext with the state that all requests share.
        request: The admitted request.
        responder: Sends the response to the caller.
    """

    def __init__(
        self, context: DispatchContext, request: Request, responder: Responder
    ) -> None:
        super().__init__(context, request, responder)
        self._placer = PromptPlacer(context, request, self._candidates)
        self._sequence = EventSequence(
            request.call.last_event_id, may_resume=request.idempotent
        )
        self._events_forwarded = 0
        self._longest_pause_s = 0.0
        self._progress = StreamProgress()
        self._is_served = False
        self._first_event_s: float | None = None

    @property
    def _was_answered(self) -> bool:
        writing_s = self._progress.writing_s(self._loop.time())
        return self._is_served or writing_s > _MAX_SUSPECT_WRITING_S

    async def reserve_retry(self, server: BackendServer) -> bool:
        """Reserve a retry; returns whether a silent engine may be abandoned.

        It is kept until another one has a place: an engine is also silent while it
        reads a long prompt, and a stream that finds no place is lost.

        Args:
            server: The silent engine.
        """
        if not self._placer.has_place_without(server):
            return False
        return await super().reserve_retry(server)

    async def _run_attempts(self) -> str:
        while True:
            try:
                reserved = await self._placer.place()
            except HoistError as error:
                if self._responder.started:
                    return self._abort_stream(f"not resumed: {error.message}")
                raise
            try:
                return await self._stream_from(reserved)
            except AttemptFailed as failure:
                engine = reserved.placement.decode_engine
                self.record_failure(engine, failure, self._progress)
                writing_s = self._progress.writing_s(self._loop.time())
                if writing_s <= _MAX_SUSPECT_WRITING_S:
                    await self.report_loss(engine, failure)
                if not self._sequence.can_resume or not await self.may_retry(failure):
                    return self._end_after_failure(failure)
            finally:
                self._placer.release(reserved)

    async def _stream_from(self, reserved: ReservedPlacement) -> str:
        placement = reserved.placement
        self._progress = StreamProgress()
        self._sequence.begin_part()
        options = SendOptions(
            None,
            0.0,
            last_event_id=self._sequence.last_event_id,
            urgency=reserved.urgency,
            helpers=reserved.helpers,
            decode_reservation_id=reserved.decode_reservation_id,
        )
        attempt = await self.send(
            placement.decode_engine,
            options,
            reserved.permit,
            max_idle_s=self._max_idle_s(),
        )
        sent_s = self._loop.time()
        if self._request.idempotent:
            reserved.on_decode_engine_lost = attempt.abort
        try:
            wait_deadline_s = self._first_event_deadline_s(reserved)
            response = await self.await_response(
                attempt, wait_deadline_s, _PLACE_POLL_INTERVAL_S
            )
            if response.status != _OK:
                return await self._retry_or_forward_error(attempt, response)
            await self._relay(attempt, response, reserved, sent_s, wait_deadline_s)
            trace = attempt.trace
        finally:
            reserved.on_decode_engine_lost = None
            self.finish(attempt)
        self._start_response(response)
        self._responder.end_chunked()
        self._log_served(reserved, trace)
        self._quarantine.report_completed(
            self._request.call.quarantine_keys,
            self._sent_clock_s,
            is_trial=self.is_trial,
        )
        self._is_served = True
        return "served"

    def _max_idle_s(self) -> float:
        if self._request.idempotent:
            return float("inf")
        return self._state.policy.max_non_idempotent_idle_s

    def _first_event_deadline_s(self, reserved: ReservedPlacement) -> float:
        """When an engine without a first event is abandoned for another."""
        request = self._request
        if (
            not request.idempotent
            or request.sends >= request.route.max_executing_servers
        ):
            return request.deadline_s
        ratio = self._state.policy.first_event_timeout_ratio
        expected_s = reserved.placement.expected_ttft_s
        timeout_s = max(
            _MIN_FIRST_EVENT_TIMEOUT_S, ratio * expected_s + _FIRST_EVENT_MARGIN_S
        )
        now_s = self._loop.time()
        wait_deadline_s = now_s + timeout_s
        # Leave another engine enough time before the caller disconnects without an
        # event, but give this one at least its expected time.
        latest_s = request.no_event_deadline_s - expected_s - _RETRY_MARGIN_S
        if latest_s > now_s + max(_MIN_STALL_TIMEOUT_S, expected_s):
            wait_deadline_s = min(wait_deadline_s, latest_s)
        return min(request.deadline_s, wait_deadline_s)

    async def _relay(
        self,
        attempt: Attempt,
        response: ServerResponse,
        reserved: ReservedPlacement,
        sent_s: float,
        wait_deadline_s: float,
    ) -> None:
        reader = EventReader()
        first = True
        while True:
            data = await self._next_chunk(attempt, wait_deadline_s)
            if not data:
                break
            async for events in _read_events(reader, data):
                self._progress.record_events(len(events), self._loop.time())
                if first:
                    first = False
                    after_s = self._loop.time() - sent_s
                    self._record_pace(reserved, after_s)
                    self._placer.record_first_event(reserved, after_s)
                await self._forward(events, response)
                wait_deadline_s = self._stall_deadline_s()
        if reader.incomplete.strip():
            raise AttemptFailed(
                Execution.UNKNOWN,
                "the stream ended inside an event",
                connection_lost=True,
            )
        fault = self._sequence.end_fault(
            has_stated_end=attempt.trace.framing != ResponseFraming.CLOSE.value
        )
        if fault is not None:
            raise AttemptFailed(
                Execution.UNKNOWN, fault, connection_lost=not self._progress.events
            )
        if self._responder.started:
            await self._responder.send_chunk(reader.incomplete)

    def _record_pace(self, reserved: ReservedPlacement, after_s: float) -> None:
        """Compare a first event with that of an engine that isn't slow."""
        placement = reserved.placement
        server = placement.decode_engine
        health = self._state.server_health.get(server.incarnation)
        now_s = self._context.clock.monotonic_s()
        expected_s = placement.expected_ttft_s / health.slowness(now_s)
        self._context.slow_starts.record_response(server, after_s, expected_s)

    async def _next_chunk(self, attempt: Attempt, wait_deadline_s: float) -> bytes:
        while True:
            try:
                async with asyncio.timeout_at(wait_deadline_s):
                    return await attempt.read_chunk()
            except TimeoutError:
                if (
                    wait_deadline_s >= self._request.deadline_s
                    or await self.reserve_retry(attempt.server)
                ):
                    raise AttemptFailed(
                        Execution.UNKNOWN,
                        "no event before the timeout",
                        no_response=True,
                    ) from None
            wait_deadline_s = min(
                self._request.deadline_s, self._loop.time() + _PLACE_POLL_INTERVAL_S
            )

    def _stall_deadline_s(self) -> float:
        request = self._request
        if (
            not request.idempotent
            or not request.may_run_again
            or not self._sequence.can_resume
        ):
            return request.deadline_s
        ratio = self._state.policy.stall_timeout_ratio
        timeout_s = max(_MIN_STALL_TIMEOUT_S, ratio * request.route.pause_goal_s)
        return min(request.deadline_s, self._loop.time() + timeout_s)

    async def _forward(
        self, events: list[StreamEvent], response: ServerResponse
    ) -> None:
        """Forward the events that the caller doesn't have yet."""
        checked = self._sequence.check(events)
        if checked.accepted:
            await self._send_events(checked.accepted, response)
        if checked.fault is not None:
            raise AttemptFailed(Execution.UNKNOWN, checked.fault)

    async def _send_events(
        self, events: list[StreamEvent], response: ServerResponse
    ) -> None:
        now_s = self._loop.time()
        if self._first_event_s is None:
            self._first_event_s = now_s - self._request.call.received_s
            self._context.metrics.record_first_event(self._first_event_s)
        else:
            self._longest_pause_s = max(
                self._longest_pause_s, now_s - (self._request.last_event_s or now_s)
            )
        self._start_response(response)
        self._request.last_event_s = now_s
        self._events_forwarded += len(events)
        await self._responder.send_chunk(b"".join(event.data for event in events))

    def _start_response(self, response: ServerResponse) -> None:
        if not self._responder.started:
            self._responder.start_chunked(response.status, response.headers)

    async def _retry_or_forward_error(
        self, attempt: Attempt, response: ServerResponse
    ) -> str:
        body = await attempt.read_body(self._responder.reserve)
        reason = f"the server responded with status {response.status}"
        if (
            self._request.may_run_again
            and self._request.remaining_s(self._loop.time())
            > self._request.route.goal_s
        ):
            # A local variable for it would be a reference cycle with its traceback.
            raise AttemptFailed(Execution.UNKNOWN, reason)
        if self._responder.started:
            return self._abort_stream(reason)
        self._responder.send_response(response.status, response.headers, body)
        return "server_failed"

    def _end_after_failure(self, failure: AttemptFailed) -> str:
        if self._responder.started:
            return self._abort_stream(failure.reason)
        raise self.final_error(failure) from failure

    def _abort_stream(self, reason: str) -> str:
        self._context.log.record(
            "stream_broken_off",
            self._request.call.id,
            reason=reason,
            events=self._events_forwarded,
            sends=self._request.sends,
        )
        self._responder.abort()
        return "broken_off"

    def _log_served(self, reserved: ReservedPlacement, trace: ResponseTrace) -> None:
        self._context.log.record(
            "stream_served",
            self._request.call.id,
            server=reserved.placement.decode_engine.id,
            events=self._events_forwarded,
            first_event_s=round(self._first_event_s or 0.0, 4),
            longest_pause_s=round(self._longest_pause_s, 4),
            goal_s=self._request.route.goal_s,
            pause_goal_s=self._request.route.pause_goal_s,
            prompt_tokens=self._request.call.prompt_tokens,
            content=self._request.call.content_key,
            sends=self._request.sends,
            configuration=self._request.configuration_version,
            **trace._asdict(),
        )


async def _read_events(
    reader: EventReader, data: bytes
) -> AsyncGenerator[list[StreamEvent], None]:
    """Read the events of a stream's next bytes; others get their turn in between.

    Raises:
        AttemptFailed: If an event has no end.
    """
    for start in range(0, len(data), _MAX_PART_BYTES):
        if start:
            await asyncio.sleep(0)
        try:
            events = reader.feed(data[start : start + _MAX_PART_BYTES])
        except ValueError as error:
            raise AttemptFailed(Execution.UNKNOWN, str(error)) from error
        if events:
            yield events
