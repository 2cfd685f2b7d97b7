"""One attempt of one request, as the sidecar runs it."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from gentianhoist.capacity import Work
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.streams import FrameBuffer
from gentianhoist.wire import Last, Refused, RunRequest


class AttemptState(StrEnum):
    """Where an attempt stands."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class Attempt:
    """State of one attempt.

    Args:
        request: What was asked.
        work: The same for the gate.
        now_s: The time on the sidecar's clock.
    """

    def __init__(self, request: RunRequest, work: Work, now_s: float) -> None:
        self.request = request
        self.work = work
        self.buffer = FrameBuffer(request.offset)
        self.state = AttemptState.WAITING
        self.final_frame: Last | Refused | None = None
        self.reader_count = 0
        self.unread_since_s = now_s
        self.task: asyncio.Task[None] | None = None
        self._changed_event = asyncio.Event()
        self._ended_event = asyncio.Event()

    @property
    def ended_event(self) -> asyncio.Event:
        """Set when the attempt has ended."""
        return self._ended_event

    @property
    def stream_id(self) -> str:
        """Name of its stream in the engine."""
        return engine_stream_id(self.request)

    @property
    def changed_event(self) -> asyncio.Event:
        """Set at the next change."""
        return self._changed_event

    def notify_readers(self) -> None:
        """Tell the readers that something has changed."""
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    def complete(self, finish_reason: str) -> None:
        """The answer is whole."""
        self._close(
            Last(
                self.request.request_id,
                self.request.attempt,
                self.buffer.end_offset,
                self.buffer.digest,
                finish_reason,
            )
        )

    def fail(
        self,
        kind: ErrorKind,
        message: str,
        not_run: NotRun,
        retry_after_s: float = 0.0,
    ) -> None:
        """The attempt ends without a whole answer."""
        self._close(make_refusal(self.request, kind, message, not_run, retry_after_s))

    def _close(self, end: Last | Refused) -> None:
        if self.final_frame is None:
            self.final_frame = end
            self.state = AttemptState.ENDED
            self._ended_event.set()
            self.notify_readers()


def engine_stream_id(request: RunRequest) -> str:
    """Name of an attempt's stream in the engine."""
    return f"{request.request_id}.{request.attempt}"


def make_refusal(
    request: RunRequest,
    kind: ErrorKind,
    message: str,
    not_run: NotRun = NotRun.TRUE,
    retry_after_s: float = 0.0,
) -> Refused:
    """The frame that ends an attempt without a whole answer."""
    return Refused(
        request.request_id, request.attempt, kind, message, not_run, retry_after_s
    )
