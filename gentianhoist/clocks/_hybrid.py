"""Hybrid logical clock: timestamps near wall time that preserve causal order."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.clocks.core import Clock

_MICROSECONDS_PER_S = 1_000_000


class HybridTime(NamedTuple):
    """Hybrid logical timestamp, ordered by wall time and then by the counter.

    Attributes:
        wall_us: Wall time in microseconds since the epoch.
        counter: Orders timestamps with the same wall time.
    """

    wall_us: int
    counter: int


class HybridClock:
    """Issues timestamps that are later than all issued or received before.

    Args:
        clock: Source of wall time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = HybridTime(0, 0)

    @property
    def last(self) -> HybridTime:
        """The timestamp issued last, zero before the first."""
        return self._last

    def tick(self) -> HybridTime:
        """Issue the timestamp of a local event."""
        return self._advance(self._last)

    def receive(self, remote: HybridTime) -> HybridTime:
        """Advance the clock past a timestamp received from another process.

        Args:
            remote: Timestamp of the received message.

        Returns:
            A timestamp later than the received one and than all issued before.
        """
        return self._advance(max(self._last, remote))

    def _advance(self, floor: HybridTime) -> HybridTime:
        wall_us = int(self._clock.wall_s() * _MICROSECONDS_PER_S)
        if wall_us > floor.wall_us:
            self._last = HybridTime(wall_us, 0)
        else:
            self._last = HybridTime(floor.wall_us, floor.counter + 1)
        return self._last
