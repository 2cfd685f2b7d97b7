"""State of one attempt to run a generation request on this sidecar's engine."""

from __future__ import annotations

import asyncio
from enum import StrEnum

import msgspec

from gentianhoist.capacity import Work
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.streams import RetransmissionBuffer
from gentianhoist.wire import Completed, Failed, RunRequest

# A prompt that crashes its engine does so as soon as the answer begins.
_MAX_BEGINNING_TOKENS = 16


class AttemptState(StrEnum):
    """State of an attempt.

    Attributes:
        WAITING: Admitted, but not yet started on the engine.
        RUNNING: Started on the engine.
        ENDED: Completed, failed or cancelled; the final frame is set.
    """

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class Attempt:
    """One attempt: its request, its buffered tokens and the frame that ends it.

    Args:
        request: Request of an entry, the kind of process that accepts callers'
            requests and dispatches them to sidecars.
        work: The request as admission control sees it.
        now_s: Monotonic time at which the attempt was admitted, in seconds.

    Attributes:
        buffer: Tokens that the entry has not acknowledged.
        state: Current state.
        final_frame: Frame that ends the attempt, `None` until it has ended.
        reader_count: Number of entry streams that read the attempt's frames.
        unread_since_s: Monotonic time of admission, or at which the last reader left.
        task: Task that reads the engine's stream, `None` until the attempt starts.
        was_cut: Whether the connection to the engine was lost, other than by a timeout,
            while the engine began the answer.
    """

    def __init__(self, request: RunRequest, work: Work, now_s: float) -> None:
        self.request = request
        self.work = work
        self.buffer = RetransmissionBuffer(request.offset)
        self.state = AttemptState.WAITING
        self.final_frame: Completed | Failed | None = None
        self.reader_count = 0
        self.unread_since_s = now_s
        self.task: asyncio.Task[None] | None = None
        self.was_cut = False
        self._changed_event = asyncio.Event()
        self._ended_event = asyncio.Event()

    @property
    def ended_event(self) -> asyncio.Event:
        """Event that is set when the attempt ends."""
        return self._ended_event

    @property
    def is_beginning(self) -> bool:
        """Whether hardly any token was generated yet."""
        return self.buffer.end_offset - self.request.offset <= _MAX_BEGINNING_TOKENS

    @property
    def stream_id(self) -> str:
        """Identifier of the attempt's stream in the engine."""
        return engine_stream_id(self.request)

    @property
    def changed_event(self) -> asyncio.Event:
        """Event that is set at the next change; each change replaces it."""
        return self._changed_event

    def notify_readers(self) -> None:
        """Wake the readers after new tokens or after the end of the attempt."""
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    def complete(self, finish_reason: str) -> None:
        """End the attempt successfully; only the first end of an attempt counts.

        Args:
            finish_reason: Reason why the engine stopped generating.
        """
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
        *,
        engine_crashed: bool = False,
    ) -> None:
        """End the attempt without a complete answer; only the first end counts.

        Args:
            kind: Kind of error that the entry is sent.
            message: One sentence for a person.
            not_run: Whether the request is known not to have run.
            retry_after_s: Seconds after which a retry is worthwhile.
            engine_crashed: Whether the engine crashed while it began the answer.
        """
        failure = make_failure(self.request, kind, message, not_run, retry_after_s)
        self._close(msgspec.structs.replace(failure, engine_crashed=engine_crashed))

    def _close(self, frame: Completed | Failed) -> None:
        if self.final_frame is None:
            self.final_frame = frame
            self.state = AttemptState.ENDED
            self._ended_event.set()
            self.notify_readers()


def engine_stream_id(request: RunRequest) -> str:
    """Identifier of an attempt's stream in the engine, unique across attempts."""
    return f"{request.request_id}.{request.attempt}"


def make_failure(
    request: RunRequest,
    kind: ErrorKind,
    message: str,
    not_run: NotRun = NotRun.TRUE,
    retry_after_s: float = 0.0,
) -> Failed:
    """Build the frame that ends an attempt without a complete answer.

    It is sent for a request that was refused and for one that failed while it ran.

    Args:
        request: The entry's request.
        kind: Kind of error.
        message: One sentence for a person.
        not_run: Whether the request is known not to have run.
        retry_after_s: Seconds after which a retry is worthwhile.

    Returns:
        The frame.
    """
    return Failed(
        request.request_id, request.attempt, kind, message, not_run, retry_after_s
    )
