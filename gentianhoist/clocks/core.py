"""Clocks that are passed to the tasks of a process, so that tests can replace them."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time for a task.

    Decision logic does not read a clock; it takes the time as an argument.
    """

    def monotonic_s(self) -> float:
        """Monotonic time in seconds, including time while the machine is suspended."""
        ...

    def wall_s(self) -> float:
        """Wall time in seconds since the epoch.

        It is comparable with other processes' wall time up to the clock skew.
        """
        ...


class SystemClock:
    """Clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Monotonic time in seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Wall time in seconds since the epoch."""
        return time.time()


class ManualClock:
    """Clock for tests that moves only when `advance` is called.

    Args:
        start_s: Initial monotonic time and wall time, in seconds.

    Example:
        >>> clock = ManualClock(10.0)
        >>> clock.advance(2.5)
        >>> clock.monotonic_s()
        12.5
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Current time of the clock, in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Current time of the clock, in seconds; the same as `monotonic_s`."""
        return self._now_s

    def advance(self, by_s: float) -> None:
        """Move the clock forward by a duration, in seconds."""
        self._now_s += by_s
