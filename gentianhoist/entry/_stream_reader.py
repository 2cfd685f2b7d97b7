"""Reads one attempt's stream from a sidecar on one connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from grpclib.client import Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError

from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.streams import (
    Complete,
    Corrupt,
    Deliver,
    Drop,
    Ended,
    StreamAssembler,
)
from gentianhoist.wire import (
    Ack,
    Admitted,
    Cancel,
    EngineLoad,
    Frame,
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


class ConnectionSilent(ConnectionLost):
    """The connection says nothing, though nothing has closed it."""


async def read_stream(
    stub: SidecarStub,
    request: RunRequest,
    assembler: StreamAssembler,
    silence_s: float,
    on_load: Callable[[EngineLoad], None] = lambda _load: None,
) -> AsyncIterator[tuple[str, ...]]:
    """Read until the answer is whole.

    Args:
        stub: Calls the sidecar.
        request: What to run or resume.
        assembler: Puts the answer together.
        silence_s: Seconds after which the connection counts as silent.
        on_load: Told what the sidecar says of its engine.

    Yields:
        Consecutive tokens.

    Raises:
        HoistError: If the sidecar ends the attempt, or the answer is corrupt.
        ConnectionLost: If the connection fails or is silent.
    """
    try:
        async with stub.run.open() as stream:
            async with asyncio.timeout(silence_s):
                await stream.send_message(request)
            async with aclosing(
                _read_open(stream, assembler, silence_s, on_load)
            ) as tokens:
                async for texts in tokens:
                    yield texts
    except TimeoutError as error:
        raise ConnectionSilent("silent") from error
    except (OSError, StreamTerminatedError, GRPCError) as error:
        raise ConnectionLost(type(error).__name__) from error


async def _read_open(
    stream: _Stream,
    assembler: StreamAssembler,
    silence_s: float,
    on_load: Callable[[EngineLoad], None],
) -> AsyncIterator[tuple[str, ...]]:
    acknowledged = assembler.next_offset
    now = asyncio.get_running_loop().time
    try:
        async with asyncio.timeout(None) as watch:
            while True:
                watch.reschedule(now() + silence_s)
                frame = await stream.recv_message()
                # A slow caller is not a silent sidecar.
                watch.reschedule(None)
                if frame is None:
                    raise ConnectionLost("the stream broke off")
                if isinstance(frame, Admitted):
                    on_load(frame.load)
                match assembler.feed(frame):
                    case Deliver(texts=texts) if texts:
                        yield texts
                    case Complete():
                        await stream.end()
                        return
                    case Ended(refusal=refusal):
                        raise _as_error(refusal)
                    case Corrupt(reason=reason):
                        raise HoistError(ErrorKind.CORRUPT_ANSWER, reason)
                    case Deliver() | Drop():
                        continue
                if assembler.next_offset - acknowledged >= _ACK_TOKENS:
                    acknowledged = assembler.next_offset
                    await stream.send_message(Ack(acknowledged))
    except (GeneratorExit, asyncio.CancelledError):
        await _say_farewell(stream)
        raise


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
