"""Admission and execution of generation requests on one engine."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from gentianhoist.backends import (
    EngineClient,
    EngineConnectionError,
    EngineReadTimeout,
    EngineRefused,
    EngineStream,
    EngineStreamEnd,
    EngineTokens,
    StreamRequest,
)
from gentianhoist.capacity import AdmissionController, Refuse, Start, WorkClass
from gentianhoist.clocks import Clock
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.settings import LimitSettings, TimingSettings
from gentianhoist.sidecar._attempt import (
    Attempt,
    AttemptState,
    engine_stream_id,
    make_failure,
)
from gentianhoist.sidecar._cache_events import CacheEventFollower
from gentianhoist.sidecar._frames import read_frames
from gentianhoist.sidecar._kv_reservations import KvReservationLedger
from gentianhoist.sidecar._orphan_streams import OrphanStreamReconciler
from gentianhoist.sidecar._work_estimator import WorkEstimator, request_prefix_hashes
from gentianhoist.store import HttpPlatform
from gentianhoist.wire import EngineLoad, Failed, Frame, RunRequest

_MAINTENANCE_PERIOD_S = 0.05
_ENGINE_READ_TIMEOUT_S = 20.0
_MAX_ENGINE_RESUMES = 2
_PROMPT_TOO_LONG_STATUS = 413
# Reason with which an engine that crashes may end its streams.
_CRASHED = "crashed"


class EngineRunner:
    """Admits attempts, runs them on one engine and buffers their tokens.

    Args:
        url: Base URL of the engine.
        object_store: Object store of exported KV cache.
        admission: Admission controller, which decides when work starts.
        limits: Bounds of the length classes and of the frame buffers.
        timing: Resume lease, keepalive and coalescing periods.
        clock: Clocks of this machine.
        events: Event ring that records decisions.
    """

    def __init__(
        self,
        url: str,
        object_store: HttpPlatform,
        admission: AdmissionController,
        limits: LimitSettings,
        timing: TimingSettings,
        clock: Clock,
        events: EventRing,
    ) -> None:
        self._client = EngineClient(url, _ENGINE_READ_TIMEOUT_S, self._observe_boot_id)
        self._admission = admission
        self._limits = limits
        self._timing = timing
        self._clock = clock
        self._events = events
        self._attempts: dict[str, Attempt] = {}
        self._boot_id = ""
        self._maintenance: asyncio.Task[None] | None = None
        self._cache_events = CacheEventFollower(self._client, clock)
        self._orphans = OrphanStreamReconciler(
            self._client, admission, events, self._owns_stream
        )
        self._kv_reservations = KvReservationLedger(
            admission, object_store, clock, self._orphans.add
        )
        self._estimator = WorkEstimator(
            limits, self._cache_events, self._kv_reservations
        )

    @property
    def client(self) -> EngineClient:
        """Client of the engine."""
        return self._client

    @property
    def cache_events(self) -> CacheEventFollower:
        """Prefix cache events of the engine."""
        return self._cache_events

    @property
    def kv_reservations(self) -> KvReservationLedger:
        """Reservations of the engine's KV cache."""
        return self._kv_reservations

    @property
    def in_progress(self) -> int:
        """Number of attempts that have not ended, plus that of reservations."""
        attempts = sum(
            attempt.state is not AttemptState.ENDED
            for attempt in self._attempts.values()
        )
        return attempts + len(self._kv_reservations)

    @property
    def is_ready(self) -> bool:
        """Whether the engine can take work; see `OrphanStreamReconciler.is_ready`."""
        return self._orphans.is_ready

    async def start(self) -> None:
        """Create the HTTP session and start the background tasks."""
        await self._client.start()
        await self._orphans.start()
        await self._cache_events.start()
        self._maintenance = asyncio.create_task(self._maintain())

    async def close(self) -> None:
        """Stop at once, and cancel the streams that still run in the engine."""
        if self._maintenance is not None:
            self._maintenance.cancel()
        for attempt in list(self._attempts.values()):
            self._cancel(
                attempt, "the sidecar is shutting down", ErrorKind.BACKEND_FAILED
            )
        tasks = [attempt.task for attempt in self._attempts.values() if attempt.task]
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._cache_events.close()
        await self._orphans.close()
        await self._client.close()

    def load_report(self) -> EngineLoad:
        """Load of the engine, as reported to entries."""
        now_s = self._clock.monotonic_s()
        admission = self._admission
        return EngineLoad(
            boot_id=self._boot_id,
            limit_streams=admission.concurrency_limit.limit_streams,
            running_streams=len(admission.running_ids),
            waiting_streams=len(admission.waiting_ids),
            prefill_tokens_ahead_of_short=admission.prefill_backlog_tokens(
                WorkClass.SHORT, now_s
            ),
            prefill_tokens_ahead_of_long=admission.prefill_backlog_tokens(
                WorkClass.LONG, now_s
            ),
            kv_free_tokens=admission.kv_free_tokens,
            prefill_tokens_per_s=admission.speed.prefill_tokens_per_s,
            decode_step_s=admission.speed.decode_step_s,
            long_streams=admission.long_streams,
        )

    def admit(self, request: RunRequest) -> Attempt | Failed:
        """Admit a new attempt, or refuse it.

        Returns:
            The attempt, running or waiting, or the frame with the reason for refusal.
        """
        if not self.is_ready:
            return make_failure(request, ErrorKind.NOT_READY, "the engine is not ready")
        if request.reservation_id and not self._kv_reservations.is_active(
            request.reservation_id
        ):
            return make_failure(
                request,
                ErrorKind.BACKEND_FAILED,
                "the reservation has expired or was lost",
                NotRun.UNKNOWN,
            )
        if engine_stream_id(request) in self._attempts:
            return make_failure(
                request, ErrorKind.INVALID_REQUEST, "duplicate attempt", NotRun.UNKNOWN
            )
        now_s = self._clock.monotonic_s()
        work = self._estimator.estimate(request, now_s)
        decision = self._admission.offer(work, now_s)
        if isinstance(decision, Refuse):
            self._events.record(
                EventKind.WORK_REFUSED, decision.message, request.request_id
            )
            return make_failure(
                request,
                decision.kind,
                decision.message,
                retry_after_s=decision.retry_after_s,
            )
        attempt = Attempt(request, work, now_s)
        self._attempts[attempt.stream_id] = attempt
        self._events.record(
            EventKind.WORK_ADMITTED,
            f"{work.work_class.name.lower()}, {work.uncached_tokens} tokens to prefill,"
            f" {len(self._admission.running_ids)} of"
            f" {self._admission.concurrency_limit.limit_streams} streams are running",
            request.request_id,
        )
        if isinstance(decision, Start):
            self._launch(attempt)
        return attempt

    def find_attempt(self, request: RunRequest) -> Attempt | None:
        """Attempt that a request asks to resume, `None` if it is unknown."""
        return self._attempts.get(engine_stream_id(request))

    def frames(self, attempt: Attempt, offset: int) -> AsyncIterator[Frame]:
        """Stream the frames of an attempt from a token offset on; see `read_frames`."""
        return read_frames(attempt, offset, self.load_report, self._timing, self._clock)

    def acknowledge(self, attempt: Attempt, offset: int) -> None:
        """Discard the tokens before an offset, which the entry has received."""
        attempt.buffer.acknowledge(offset)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt on request of the entry."""
        self._cancel(attempt, "cancelled by the caller")

    def _launch(self, attempt: Attempt) -> None:
        attempt.state = AttemptState.RUNNING
        attempt.task = asyncio.create_task(self._run(attempt))

    async def _run(self, attempt: Attempt) -> None:
        request = attempt.request
        can_import = bool(
            request.imported_object
        ) and await self._kv_reservations.claim_export(
            request.reservation_id, request.imported_object
        )
        stream_request = StreamRequest(
            attempt.stream_id,
            request.prompt,
            request.prompt_tokens + request.offset,
            request.max_tokens,
            request.offset,
            self._admission.priority(attempt.work, self._clock.monotonic_s()),
            tuple(
                (item.digest, item.tokens) for item in request_prefix_hashes(request)
            ),
            request.generated_text,
            request.sampling,
            request.prefill_only,
            can_import,
        )
        if request.prefill_only:
            self._kv_reservations.attach_stream(
                request.reservation_id, attempt.stream_id
            )
        stream = self._client.open_stream(stream_request)
        try:
            for _ in range(_MAX_ENGINE_RESUMES + 1):
                if await self._read_stream(attempt, stream):
                    return
                self._events.record(
                    EventKind.STREAM_RESUMED,
                    f"engine connection lost at offset {attempt.buffer.end_offset}",
                    request.request_id,
                )
                stream = self._client.resume_stream(
                    attempt.stream_id, attempt.buffer.end_offset
                )
            attempt.fail(
                ErrorKind.BACKEND_FAILED, "the engine connection failed", NotRun.UNKNOWN
            )
        finally:
            self._release_capacity(attempt)

    async def _read_stream(self, attempt: Attempt, stream: EngineStream) -> bool:
        """Read until the attempt ends; returns False if the stream is to be resumed."""
        try:
            async for item in stream:
                match item:
                    case EngineTokens(texts=texts):
                        self._append_tokens(attempt, texts)
                    case EngineStreamEnd(reason="length"):
                        await self._complete(attempt)
                        return True
                    case EngineStreamEnd(reason=reason):
                        attempt.fail(
                            ErrorKind.BACKEND_FAILED,
                            reason,
                            NotRun.UNKNOWN,
                            engine_crashed=reason == _CRASHED and attempt.is_beginning,
                        )
                        return True
        except EngineRefused as error:
            self._handle_refusal(attempt, error)
            return True
        except EngineReadTimeout:
            return False
        except EngineConnectionError:
            attempt.was_cut = attempt.is_beginning
            return False
        return False

    async def _complete(self, attempt: Attempt) -> None:
        request = attempt.request
        if request.prefill_only:
            # Such a stream generates no tokens, so its end counts as its first token.
            now_s = self._clock.monotonic_s()
            self._admission.first_token(attempt.work.request_id, now_s)
            with contextlib.suppress(EngineConnectionError):
                data = await self._client.export_kv(attempt.stream_id)
                await self._kv_reservations.store_export(request.reservation_id, data)
        attempt.complete("length")

    def _append_tokens(self, attempt: Attempt, texts: list[str]) -> None:
        if attempt.buffer.end_offset == attempt.request.offset:
            self._admission.first_token(
                attempt.work.request_id, self._clock.monotonic_s()
            )
        attempt.buffer.append(texts)
        attempt.notify_readers()

    def _handle_refusal(self, attempt: Attempt, error: EngineRefused) -> None:
        if attempt.was_cut:
            # The engine began the answer, and doesn't know the stream any more.
            attempt.fail(
                ErrorKind.BACKEND_FAILED,
                f"the engine crashed while it began the answer ({error})",
                NotRun.UNKNOWN,
                engine_crashed=True,
            )
            return
        has_tokens = attempt.buffer.end_offset > attempt.request.offset
        not_run = NotRun.UNKNOWN if has_tokens else NotRun.TRUE
        if error.status == _PROMPT_TOO_LONG_STATUS:
            attempt.fail(ErrorKind.PROMPT_TOO_LONG, str(error), not_run)
            return
        self._admission.concurrency_limit.record_overload()
        self._events.record(
            EventKind.BACKEND_LIMIT,
            f"stream refused or engine unreachable ({error}); the stream limit is now"
            f" {self._admission.concurrency_limit.limit_streams}",
            attempt.request.request_id,
        )
        kind = ErrorKind.BACKEND_FAILED if has_tokens else ErrorKind.OVERLOADED
        attempt.fail(kind, str(error), not_run)

    def _release_capacity(self, attempt: Attempt) -> None:
        now_s = self._clock.monotonic_s()
        tokens = attempt.buffer.end_offset - attempt.request.offset
        self._admission.end(attempt.work.request_id, now_s, tokens)
        if self.is_ready:
            self._launch_startable(now_s)

    def _launch_startable(self, now_s: float) -> None:
        for work in self._admission.startable(now_s):
            self._launch(self._attempts[work.request_id])

    def _cancel(
        self,
        attempt: Attempt,
        reason: str,
        kind: ErrorKind = ErrorKind.DEADLINE_EXCEEDED,
    ) -> None:
        if attempt.state is AttemptState.ENDED:
            return
        was_running = attempt.state is AttemptState.RUNNING
        not_run = NotRun.UNKNOWN if was_running else NotRun.TRUE
        attempt.fail(kind, reason, not_run)
        if attempt.task is not None:
            attempt.task.cancel()
        self._release_capacity(attempt)
        if was_running and not self._kv_reservations.owns_stream(attempt.stream_id):
            self._orphans.add(attempt.stream_id, attempt.work.kv_tokens)

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_PERIOD_S)
            now_s = self._clock.monotonic_s()
            for work in self._admission.infeasible_work(now_s):
                self._cancel(
                    self._attempts[work.request_id],
                    "the request cannot complete in time",
                )
            for attempt in list(self._attempts.values()):
                self._expire(attempt, now_s)
            self._limit_buffers()
            self._kv_reservations.release_expired()
            self._launch_startable(now_s)

    def _expire(self, attempt: Attempt, now_s: float) -> None:
        is_unread = not attempt.reader_count and (
            now_s - attempt.unread_since_s > self._timing.resume_lease_s
        )
        if attempt.state is AttemptState.ENDED:
            if is_unread:
                del self._attempts[attempt.stream_id]
        elif now_s > attempt.work.deadline_s:
            self._cancel(attempt, "the deadline has passed")
        elif is_unread:
            self._cancel(attempt, "no entry has resumed reading in time")

    def _limit_buffers(self) -> None:
        """Cancel the attempt with the largest buffer if the total exceeds the limit."""
        attempts = list(self._attempts.values())
        buffered_bytes = sum(attempt.buffer.size_chars for attempt in attempts)
        if buffered_bytes > self._limits.frame_buffer_bytes:
            largest = max(attempts, key=lambda attempt: attempt.buffer.size_chars)
            self._cancel(largest, "the entry reads too slowly and buffers are full")
            del self._attempts[largest.stream_id]

    def _owns_stream(self, stream_id: str) -> bool:
        if self._kv_reservations.owns_stream(stream_id):
            return True
        attempt = self._attempts.get(stream_id)
        return attempt is not None and attempt.state is AttemptState.RUNNING

    def _observe_boot_id(self, boot_id: str) -> None:
        if not boot_id or boot_id == self._boot_id:
            return
        self._boot_id = boot_id
        self._admission.turned_cold()
        self._kv_reservations.clear()
        self._cache_events.reset()
        self._events.record(EventKind.BACKEND_COLD, f"new boot id {boot_id[:8]}")
