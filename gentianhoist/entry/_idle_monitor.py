"""Idle timeouts for streams that discount stalls of this process's own event loop.

After its event loop was blocked, a process must not conclude that its streams were
idle or that its peers are dead: it had no time to read their messages. One task checks
all open streams at a fixed interval. When a check runs late, all idle timeouts are
extended by the delay.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gentianhoist.clocks import Clock

_CHECK_INTERVAL_S = 0.1
_STALL_THRESHOLD_S = 0.2


class MonitoredStream:
    """One stream with an idle timeout.

    Args:
        timeout: Timeout around the reading of the stream, rescheduled to end it.
        now_s: Current monotonic time.

    Attributes:
        last_activity_s: Monotonic time of the last activity, plus later stalls.
        is_paused: Whether the idle timeout is suspended.
    """

    def __init__(self, timeout: asyncio.Timeout, now_s: float) -> None:
        self._timeout = timeout
        self.last_activity_s = now_s
        # Set while a slow caller accepts no tokens, because no frame is read then.
        self.is_paused = False

    def time_out(self) -> None:
        """End the reading of the stream with ``TimeoutError``."""
        self._timeout.reschedule(asyncio.get_running_loop().time())


class IdleStreamMonitor:
    """Ends streams that stay idle for too long, except through stalls of this process.

    Args:
        clock: Source of monotonic time.
        idle_timeout_s: Idle timeout in seconds.
        on_stall: Called with the duration of each stall in seconds.
    """

    def __init__(
        self, clock: Clock, idle_timeout_s: float, on_stall: Callable[[float], None]
    ) -> None:
        self._clock = clock
        self._idle_timeout_s = idle_timeout_s
        self._on_stall = on_stall
        self._streams: set[MonitoredStream] = set()
        self._checked_s = clock.monotonic_s()
        self._last_stall_s = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check."""
        self._checked_s = self._clock.monotonic_s()
        self._task = asyncio.create_task(self._run_checks())

    async def close(self) -> None:
        """Stop the periodic check."""
        if self._task is not None:
            self._task.cancel()

    def has_stalled_since(self, since_s: float) -> bool:
        """Whether this process stalled at or after a monotonic time."""
        self.check_stall()
        return self._last_stall_s >= since_s

    def check_stall(self) -> None:
        """Detect a stall that has just ended, and extend all idle timeouts by it."""
        now_s = self._clock.monotonic_s()
        stall_s = now_s - self._checked_s - _CHECK_INTERVAL_S
        if stall_s > _STALL_THRESHOLD_S:
            self._last_stall_s = now_s
            self._checked_s = now_s
            for stream in self._streams:
                stream.last_activity_s += stall_s
            self._on_stall(stall_s)

    def add(self, timeout: asyncio.Timeout) -> MonitoredStream:
        """Start the idle timeout of a stream.

        Args:
            timeout: Timeout around the reading of the stream.
        """
        stream = MonitoredStream(timeout, self._clock.monotonic_s())
        self._streams.add(stream)
        return stream

    def record_activity(self, stream: MonitoredStream) -> None:
        """Restart the idle timeout of a stream."""
        stream.last_activity_s = self._clock.monotonic_s()

    def remove(self, stream: MonitoredStream) -> None:
        """Stop the idle timeout of a stream."""
        self._streams.discard(stream)

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.check_stall()
            self._checked_s = self._clock.monotonic_s()
            idle_before_s = self._checked_s - self._idle_timeout_s
            idle_streams = [
                stream
                for stream in self._streams
                if not stream.is_paused and stream.last_activity_s < idle_before_s
            ]
            for stream in idle_streams:
                self._streams.discard(stream)
                stream.time_out()
