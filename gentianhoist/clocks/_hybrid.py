"""Hybrid logical clock: wall time that never contradicts cause and effect."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.clocks.core import Clock

_MICROSECONDS_PER_S = 1_000_000


class HybridTime(NamedTuple):
    """A hybrid time stamp, ordered first by wall time, then by the counter.

    Attributes:
        wall_us: Microseconds since the epoch.
        counter: Orders events within the same microsecond.
    """

    wall_us: int
    counter: int


class HybridClock:
    """Issues time stamps later than every one issued or received before.

    Args:
        clock: The machine's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = HybridTime(0, 0)

    @property
    def last(self) -> HybridTime:
        """The newest time stamp issued or received."""
        return self._last

    def tick(self) -> HybridTime:
        """Issue the time stamp of a local event."""
        return self._advance(self._last)

    def receive(self, remote: HybridTime) -> HybridTime:
        """Take note of a remote time stamp and issue one later than it."""
        return self._advance(max(self._last, remote))

    def _advance(self, floor: HybridTime) -> HybridTime:
        wall_us = int(self._clock.wall_s() * _MICROSECONDS_PER_S)
        if wall_us > floor.wall_us:
            self._last = HybridTime(wall_us, 0)
        else:
            self._last = HybridTime(floor.wall_us, floor.counter + 1)
        return self._last
