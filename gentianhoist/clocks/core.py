"""The clock that tasks hand to decisions."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time for a task. Decisions get the time as an argument instead."""

    def elapsed_s(self) -> float:
        """Seconds on a clock that never steps back and runs through a pause."""
        ...

    def wall_s(self) -> float:
        """Seconds since the epoch, as the platform's other processes see them."""
        ...


class SystemClock:
    """The machine's clocks."""

    def elapsed_s(self) -> float:
        """Seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Seconds since the epoch."""
        return time.time()


class ManualClock:
    """A clock that a test moves by hand.

    Args:
        start_s: The first reading of both clocks, in seconds.

    Example:
        >>> clock = ManualClock(10.0)
        >>> clock.advance(2.5)
        >>> clock.elapsed_s()
        12.5
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def elapsed_s(self) -> float:
        """The present reading, in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """The present reading, in seconds."""
        return self._now_s

    def advance(self, by_s: float) -> None:
        """Move the clock forward by a number of seconds."""
        self._now_s += by_s
