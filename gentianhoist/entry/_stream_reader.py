"""Reads the stream of one generation attempt from a sidecar on one connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from grpclib.client import Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError

from gentianhoist.entry._idle_monitor import IdleStreamMonitor
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.streams import (
    AttemptRefused,
    Complete,
    Corrupt,
    Deliver,
    Drop,
    StreamAssembler,
)
from gentianhoist.wire import (
    Ack,
    Admitted,
    Cancel,
    Completed,
    EngineLoad,
    Failed,
    Frame,
    RunMessage,
    RunRequest,
    SidecarStub,
)

_ACK_INTERVAL_TOKENS = 256
_CANCEL_TIMEOUT_S = 0.5

_Stream = Stream[RunMessage, Frame]


class ConnectionLost(Exception):
    """The connection failed; the attempt can be resumed on another connection."""


class EngineCrashedError(HoistError):
    """The engine crashed while it began the answer."""


class ConnectionTimedOut(ConnectionLost):
    """The connection is open but delivered no frame within the idle timeout."""


async def read_stream(
    stub: SidecarStub,
    request: RunRequest,
    assembler: StreamAssembler,
    idle_monitor: IdleStreamMonitor,
    on_load: Callable[[EngineLoad], None] = lambda _load: None,
) -> AsyncIterator[tuple[str, ...]]:
    """Start or resume an attempt and read its stream until the generation is complete.

    If the reader is closed or cancelled before that, it cancels the attempt at the
    sidecar.

    Args:
        stub: Client of the sidecar's gRPC service.
        request: The attempt to start or resume.
        assembler: Orders and checks the frames of the stream.
        idle_monitor: Ends the reading if no frame arrives for too long.
        on_load: Called with each load report of the engine.

    Yields:
        Texts of consecutive tokens.

    Raises:
        HoistError: If the sidecar ends the attempt, or the stream is corrupt.
        ConnectionLost: If the connection fails or the idle timeout expires.
    """
    try:
        async with stub.run.open() as stream:
            reading = _read_messages(stream, request, assembler, idle_monitor, on_load)
            async with aclosing(reading) as tokens:
                async for texts in tokens:
                    yield texts
    except TimeoutError as error:
        raise ConnectionTimedOut("no frame within the idle timeout") from error
    except (OSError, StreamTerminatedError, GRPCError) as error:
        raise ConnectionLost(type(error).__name__) from error


async def _read_messages(
    stream: _Stream,
    request: RunRequest,
    assembler: StreamAssembler,
    idle_monitor: IdleStreamMonitor,
    on_load: Callable[[EngineLoad], None],
) -> AsyncIterator[tuple[str, ...]]:
    acked_offset = assembler.next_offset
    try:
        async with asyncio.timeout(None) as timeout:
            monitored = idle_monitor.add(timeout)
            try:
                await stream.send_message(request)
                while True:
                    frame = await stream.recv_message()
                    idle_monitor.record_activity(monitored)
                    if frame is None:
                        raise ConnectionLost("the stream ended before its last frame")
                    if (
                        isinstance(frame, Admitted | Completed)
                        and frame.load is not None
                    ):
                        on_load(frame.load)
                    texts = _feed(assembler, frame)
                    if texts is None:
                        await stream.end()
                        return
                    if texts:
                        monitored.is_paused = True
                        yield texts
                        monitored.is_paused = False
                        idle_monitor.record_activity(monitored)
                    if assembler.next_offset - acked_offset >= _ACK_INTERVAL_TOKENS:
                        acked_offset = assembler.next_offset
                        await stream.send_message(Ack(acked_offset))
            finally:
                idle_monitor.remove(monitored)
    except (GeneratorExit, asyncio.CancelledError):
        await _cancel(stream)
        raise


def _feed(assembler: StreamAssembler, frame: Frame) -> tuple[str, ...] | None:
    """Process a frame; return tokens to pass on, or None once all have arrived.

    Raises:
        HoistError: If the attempt was refused or failed, or the stream is corrupt.
    """
    match assembler.feed(frame):
        case Deliver(texts=texts):
            return texts
        case Drop():
            return ()
        case Complete():
            return None
        case AttemptRefused(refusal=failure):
            raise _to_error(failure)
        case Corrupt(reason=reason):
            raise HoistError(ErrorKind.CORRUPT_ANSWER, reason)


async def _cancel(stream: _Stream) -> None:
    """Cancel the attempt at the sidecar and wait for its confirmation."""
    with contextlib.suppress(Exception):
        async with asyncio.timeout(_CANCEL_TIMEOUT_S):
            await stream.send_message(Cancel(), end=True)
            while not isinstance(await stream.recv_message(), Failed | None):
                continue


def _to_error(failure: Failed) -> HoistError:
    error_type = EngineCrashedError if failure.engine_crashed else HoistError
    return error_type(
        failure.kind,
        failure.message,
        retry_after_s=failure.retry_after_s,
        not_run=failure.not_run,
    )
