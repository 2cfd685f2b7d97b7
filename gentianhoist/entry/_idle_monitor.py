"""Telling a silent connection from a process that was busy itself.

A process that had no time for its connections for a while must not take them for
silent, nor their other ends for dead. One task looks at all open streams, notes when
it was late itself, and forgives that much.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gentianhoist.clocks import Clock

_TICK_S = 0.1
_LATE_S = 0.2


class MonitoredStream:
    """One stream that is watched.

    Args:
        timeout: Ends the stream's reading when it is told to.
        now_s: The time on this process's clock.
    """

    def __init__(self, timeout: asyncio.Timeout, now_s: float) -> None:
        self._timeout = timeout
        self.last_activity_s = now_s
        # A stream whose caller is slow is not waited for.
        self.is_paused = False

    def time_out(self) -> None:
        """End the reading: the stream is silent."""
        self._timeout.reschedule(asyncio.get_running_loop().time())


class IdleStreamMonitor:
    """The task that watches all streams of a process.

    Args:
        clock: This machine's clocks.
        silence_s: Seconds after which a stream counts as silent.
        on_stall: Told by how many seconds this process was late.
    """

    def __init__(
        self, clock: Clock, silence_s: float, on_stall: Callable[[float], None]
    ) -> None:
        self._clock = clock
        self._silence_s = silence_s
        self._on_stall = on_stall
        self._watches: set[MonitoredStream] = set()
        self._ticked_s = clock.elapsed_s()
        self._stalled_s = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to watch."""
        self._ticked_s = self._clock.elapsed_s()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def has_stalled_since(self, since_s: float) -> bool:
        """Whether this process was late at some time after a reading of its clock."""
        self.check_stall()
        return self._stalled_s >= since_s

    def check_stall(self) -> None:
        """Forgive a stall that is only now over."""
        now_s = self._clock.elapsed_s()
        late_s = now_s - self._ticked_s - _TICK_S
        if late_s > _LATE_S:
            self._stalled_s = now_s
            self._ticked_s = now_s
            for watch in self._watches:
                watch.last_activity_s += late_s
            self._on_stall(late_s)

    def add(self, timeout: asyncio.Timeout) -> MonitoredStream:
        """Begin to watch a stream."""
        watch = MonitoredStream(timeout, self._clock.elapsed_s())
        self._watches.add(watch)
        return watch

    def record_activity(self, watch: MonitoredStream) -> None:
        """A stream has said something."""
        watch.last_activity_s = self._clock.elapsed_s()

    def remove(self, watch: MonitoredStream) -> None:
        """Watch a stream no longer."""
        self._watches.discard(watch)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.check_stall()
            self._ticked_s = self._clock.elapsed_s()
            oldest_s = self._ticked_s - self._silence_s
            silent = [
                watch
                for watch in self._watches
                if not watch.is_paused and watch.last_activity_s < oldest_s
            ]
            for watch in silent:
                self._watches.discard(watch)
                watch.time_out()
