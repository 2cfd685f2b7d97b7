"""Reads one attempt's stream from a sidecar on one connection."""

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
    EngineLoad,
    Frame,
    Last,
    Refused,
    RunMessage,
    RunRequest,
    SidecarStub,
)

_ACK_TOKENS = 256
_FAREWELL_S = 0.5

_Stream = Stream[RunMessage, Frame]


class ConnectionLost(Exception):
    """The connection failed; the attempt may be resumed on a new one."""


class ConnectionTimedOut(ConnectionLost):
    """The connection says nothing, though nothing has closed it."""


async def read_stream(
    stub: SidecarStub,
    request: RunRequest,
    assembler: StreamAssembler,
    idle_monitor: IdleStreamMonitor,
    on_load: Callable[[EngineLoad], None] = lambda _load: None,
) -> AsyncIterator[tuple[str, ...]]:
    """Read until the answer is whole.

    Args:
        stub: Calls the sidecar.
        request: What to run or resume.
        assembler: Puts the answer together.
        idle_monitor: Finds out whether the connection is silent.
        on_load: Told what the sidecar says of its engine.

    Yields:
        Consecutive tokens.

    Raises:
        HoistError: If the sidecar ends the attempt, or the answer is corrupt.
        ConnectionLost: If the connection fails or is silent.
    """
    try:
        async with stub.run.open() as stream:
            reading = _read_open(stream, request, assembler, idle_monitor, on_load)
            async with aclosing(reading) as tokens:
                async for texts in tokens:
                    yield texts
    except TimeoutError as error:
        raise ConnectionTimedOut("silent") from error
    except (OSError, StreamTerminatedError, GRPCError) as error:
        raise ConnectionLost(type(error).__name__) from error


async def _read_open(
    stream: _Stream,
    request: RunRequest,
    assembler: StreamAssembler,
    idle_monitor: IdleStreamMonitor,
    on_load: Callable[[EngineLoad], None],
) -> AsyncIterator[tuple[str, ...]]:
    acknowledged = assembler.next_offset
    try:
        async with asyncio.timeout(None) as timeout:
            watch = idle_monitor.add(timeout)
            try:
                await stream.send_message(request)
                while True:
                    frame = await stream.recv_message()
                    idle_monitor.record_activity(watch)
                    if frame is None:
                        raise ConnectionLost("the stream broke off")
                    if isinstance(frame, Admitted | Last) and frame.load is not None:
                        on_load(frame.load)
                    texts = _take(assembler, frame)
                    if texts is None:
                        await stream.end()
                        return
                    if texts:
                        watch.is_paused = True
                        yield texts
                        watch.is_paused = False
                        idle_monitor.record_activity(watch)
                    if assembler.next_offset - acknowledged >= _ACK_TOKENS:
                        acknowledged = assembler.next_offset
                        await stream.send_message(Ack(acknowledged))
            finally:
                idle_monitor.remove(watch)
    except (GeneratorExit, asyncio.CancelledError):
        await _say_farewell(stream)
        raise


def _take(assembler: StreamAssembler, frame: Frame) -> tuple[str, ...] | None:
    """Tokens to pass on, or nothing if the answer is whole.

    Raises:
        HoistError: If the attempt has ended, or the answer is corrupt.
    """
    match assembler.feed(frame):
        case Deliver(texts=texts):
            return texts
        case Drop():
            return ()
        case Complete():
            return None
        case AttemptRefused(refusal=refusal):
            raise _as_error(refusal)
        case Corrupt(reason=reason):
            raise HoistError(ErrorKind.CORRUPT_ANSWER, reason)


async def _say_farewell(stream: _Stream) -> None:
    """Tell the sidecar that nobody wants the answer, and wait until it has heard."""
    with contextlib.suppress(Exception):
        async with asyncio.timeout(_FAREWELL_S):
            await stream.send_message(Cancel(), end=True)
            while not isinstance(await stream.recv_message(), Refused | None):
                continue


def _as_error(refusal: Refused) -> HoistError:
    return HoistError(
        refusal.kind,
        refusal.message,
        retry_after_s=refusal.retry_after_s,
        not_run=refusal.not_run,
    )
