"""The frames of one attempt, as one reader gets them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec

from gentianhoist.clocks import Clock
from gentianhoist.settings import TimingSettings
from gentianhoist.sidecar._attempt import Attempt
from gentianhoist.wire import (
    Admitted,
    Beat,
    Chunk,
    EngineLoad,
    Frame,
    Last,
    Refused,
)


async def read_frames(
    attempt: Attempt,
    offset: int,
    report_load: Callable[[], EngineLoad],
    timing: TimingSettings,
    clock: Clock,
) -> AsyncIterator[Frame]:
    """The frames of an attempt from an offset on, with beats between them.

    Args:
        attempt: The attempt.
        offset: First token wanted.
        report_load: What the entry is told of the engine with the first and last frame.
        timing: Periods.
        clock: This machine's clocks.

    Yields:
        Frames, the last of which ends the attempt.
    """
    request_id, number = attempt.request.request_id, attempt.request.attempt
    attempt.reader_count += 1
    try:
        yield Admitted(request_id, number, report_load())
        while True:
            changed = attempt.changed_event
            texts = attempt.buffer.tokens_from(offset)
            if texts:
                yield Chunk(request_id, number, offset, texts)
                offset += len(texts)
                # What comes within a moment goes into one message.
                await _wait(attempt.ended_event, timing.coalesce_s)
            elif attempt.final_frame is not None:
                yield _with_load(attempt.final_frame, report_load())
                return
            elif not await _wait(changed, timing.stream_beat_s):
                yield Beat(request_id, number)
    finally:
        attempt.reader_count -= 1
        attempt.unread_since_s = clock.elapsed_s()


def _with_load(end: Last | Refused, load: EngineLoad) -> Last | Refused:
    match end:
        case Last():
            return msgspec.structs.replace(end, load=load)
        case Refused():
            return end


async def _wait(event: asyncio.Event, most_s: float) -> bool:
    """Wait for an event for a time; whether it came."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(most_s):
            return await event.wait()
    return False
