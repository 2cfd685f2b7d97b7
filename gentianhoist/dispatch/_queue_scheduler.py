"""Schedules scans of the placement queue at a bounded rate."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gentianhoist.clocks import Clock
from gentianhoist.placement import PlacementQueue

__all__ = ["QueueScanScheduler"]

_MIN_SCAN_INTERVAL_S = 0.005
# Interval between scans while prompts wait and nothing changes.
_IDLE_SCAN_INTERVAL_S = 0.02
# Seconds left to other work for each second that a scan takes.
_SCAN_DELAY_RATIO = 5.0


class QueueScanScheduler:
    """Scans the placement queue after changes, at a bounded share of the processor.

    Many entries together cause hundreds of changes a second, and a scan of a long queue
    takes many milliseconds on a slow processor. Requests for a scan are therefore
    coalesced, and each scan is followed by a delay in proportion to its duration.

    Args:
        queue: Queue of prompts that wait for engines.
        clock: The entry's clock.
        stopwatch: Returns the time in seconds; measures the duration of a scan.
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
        """Scan the queue once the delay has passed, if anything waits in it."""
        if len(self._queue):
            self._schedule_scan(self._next_scan_s)

    def close(self) -> None:
        """Cancel the scheduled scan."""
        if self._timer is not None:
            self._timer.cancel()

    def _scan(self) -> None:
        self._timer = None
        began_s = self._stopwatch()
        self._queue.place_waiting(self._clock.monotonic_s())
        took_s = self._stopwatch() - began_s
        delay_s = max(_MIN_SCAN_INTERVAL_S, _SCAN_DELAY_RATIO * took_s)
        now_s = asyncio.get_running_loop().time()
        self._next_scan_s = now_s + delay_s
        if len(self._queue):
            # The decision to wait depends on the time, so scan without a change too.
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
