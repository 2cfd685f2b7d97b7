"""Rate at which the slots of a server group become free."""

from __future__ import annotations

import math

__all__ = ["DrainRate"]

_WINDOW_S = 4.0
# Before that, the measured rate is one of arrivals, not of what the engines can do.
_MIN_SATURATED_S = 1.0
_SATURATED_RATIO = 0.9
# After a longer time without an update it isn't known whether slots were free.
_MAX_GAP_S = 1.0


class DrainRate:
    """Estimates how many slots become free in a second, over the whole fleet.

    While slots are free, requests end as fast as they arrive, which says nothing of the
    capacity: then it is estimated from the expected duration of the requests. Every
    `now_s` is the current time on the entry's clock, in seconds.
    """

    def __init__(self) -> None:
        self._ended_before = 0
        self._observed_s = 0.0
        self._ended = 0.0
        self._updated_s = float("-inf")

    @property
    def is_measured(self) -> bool:
        """Whether the slots were in use for long enough to count those that ended."""
        return self._observed_s >= _MIN_SATURATED_S

    def update(self, ended: int, occupied_ratio: float, now_s: float) -> None:
        """Take in the requests that have ended.

        Args:
            ended: Number of ended requests since the start of the entry.
            occupied_ratio: Fraction of the slots that is in use.
        """
        new, self._ended_before = ended - self._ended_before, ended
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        if occupied_ratio < _SATURATED_RATIO or elapsed_s > _MAX_GAP_S:
            self._ended = self._observed_s = 0.0
            return
        decay = math.exp(-elapsed_s / _WINDOW_S)
        self._ended = self._ended * decay + new
        self._observed_s = self._observed_s * decay + elapsed_s

    def per_s(self, in_use: int, service_s: float) -> float:
        """Slots that become free per second; 0 if nothing is known.

        Args:
            in_use: Slots in use.
            service_s: Mean of the expected seconds that a request takes its slot.
        """
        if self.is_measured:
            # One more than ended: without any, the first may be about to.
            return (self._ended + 1.0) / self._observed_s
        return in_use / service_s if service_s > 0.0 else 0.0
