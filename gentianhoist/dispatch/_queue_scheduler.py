"""Looks at the queue when something has changed, but never too often."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gentianhoist.clocks import Clock
from gentianhoist.placement import PlacementQueue

__all__ = ["QueueScanScheduler"]

_MIN_SCAN_INTERVAL_S = 0.005
# Time between two looks while nothing changes.
_IDLE_SCAN_INTERVAL_S = 0.02
# Time left to other work for each second spent on the queue, in seconds.
_SCAN_DELAY_RATIO = 5.0


class QueueScanScheduler:
    """Wakes the queue.

    Changes come by the hundred a second from many entries, and a look at a long queue
    takes a slow processor many milliseconds. So looks are gathered, and each is
    followed by a rest in proportion to what it took.

    Args:
        queue: The waiting requests.
        clock: The entry's clock.
        stopwatch: Measures what a look takes, in seconds.
    """

    def __init__(
        self,
        queue: PlacementQueue,
        clock: Clock,
        stopwatch: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._stopwatch = stopwatch
        self._queue = queue
        self._clock = clock
        self._next_scan_s = float("-inf")
        self._due_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    def request_scan(self) -> None:
        """Look at the queue as soon as the rest is over, if anything waits in it."""
        if len(self._queue):
            self._schedule_scan(self._next_scan_s)

    def close(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _scan(self) -> None:
        self._timer = None
        began_s = self._stopwatch()
        self._queue.changed(self._clock.elapsed_s())
        took_s = self._stopwatch() - began_s
        delay_s = max(_MIN_SCAN_INTERVAL_S, _SCAN_DELAY_RATIO * took_s)
        now_s = asyncio.get_running_loop().time()
        self._next_scan_s = now_s + delay_s
        if len(self._queue):
            # Time alone changes what is worth waiting for.
            self._schedule_scan(now_s + max(delay_s, _IDLE_SCAN_INTERVAL_S))

    def _schedule_scan(self, when_s: float) -> None:
        loop = asyncio.get_running_loop()
        when_s = max(when_s, loop.time())
        if self._timer is not None:
            if self._due_s <= when_s:
                return
            self._timer.cancel()
        self._due_s = when_s
        self._timer = loop.call_at(when_s, self._scan)
