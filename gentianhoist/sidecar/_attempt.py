"""One attempt of one request, as the sidecar runs it."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from gentianhoist.capacity import Work
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.streams import FrameBuffer
from gentianhoist.wire import Completed, Refused, RunRequest


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
        self.end: Completed | Refused | None = None
        self.readers = 0
        self.detached_s = now_s
        self.task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._ended = asyncio.Event()

    @property
    def ended(self) -> asyncio.Event:
        """Set when the attempt has ended."""
        return self._ended

    @property
    def stream_id(self) -> str:
        """Name of its stream in the engine."""
        return stream_id(self.request)

    @property
    def changed(self) -> asyncio.Event:
        """Set at the next change."""
        return self._changed

    def wake(self) -> None:
        """Tell the readers that something has changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    def finish(self, finish_reason: str) -> None:
        """The answer is whole."""
        self._close(
            Completed(
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
        self._close(refused(self.request, kind, message, not_run, retry_after_s))

    def _close(self, end: Completed | Refused) -> None:
        if self.end is None:
            self.end = end
            self.state = AttemptState.ENDED
            self._ended.set()
            self.wake()


def stream_id(request: RunRequest) -> str:
    """Name of an attempt's stream in the engine."""
    return f"{request.request_id}.{request.attempt}"


def refused(
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
