"""Frame stream of one attempt, as sent to one reader."""

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
    Chunk,
    Completed,
    EngineLoad,
    Failed,
    Frame,
    Keepalive,
)


async def read_frames(
    attempt: Attempt,
    offset: int,
    report_load: Callable[[], EngineLoad],
    timing: TimingSettings,
    clock: Clock,
) -> AsyncIterator[Frame]:
    """Stream the frames of an attempt from a token offset on.

    A keepalive frame is sent whenever nothing else was for `timing.stream_beat_s`.

    Args:
        attempt: The attempt.
        offset: Offset of the first token wanted, from the start of the answer.
        report_load: Returns the engine's load, which the first frame carries and the
            last one too if the answer is complete.
        timing: Keepalive and coalescing periods.
        clock: Clocks of this machine.

    Yields:
        Frames, the last of which ends the attempt.
    """
    request_id, attempt_number = attempt.request.request_id, attempt.request.attempt
    attempt.reader_count += 1
    try:
        yield Admitted(request_id, attempt_number, report_load())
        while True:
            changed_event = attempt.changed_event
            texts = attempt.buffer.tokens_from(offset)
            if texts:
                yield Chunk(request_id, attempt_number, offset, texts)
                offset += len(texts)
                # Coalesces the tokens of the next `coalesce_s` into one message.
                await _wait(attempt.ended_event, timing.coalesce_s)
            elif attempt.final_frame is not None:
                yield _with_load(attempt.final_frame, report_load())
                return
            elif not await _wait(changed_event, timing.stream_beat_s):
                yield Keepalive(request_id, attempt_number)
    finally:
        attempt.reader_count -= 1
        attempt.unread_since_s = clock.monotonic_s()


def _with_load(frame: Completed | Failed, load: EngineLoad) -> Completed | Failed:
    match frame:
        case Completed():
            return msgspec.structs.replace(frame, load=load)
        case Failed():
            return frame


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; returns whether it was set within the timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    return False
