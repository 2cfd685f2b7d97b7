"""Rates of events that decay exponentially, so that they need no list of events."""

from __future__ import annotations

import math

__all__ = ["DecayingRate"]


class DecayingRate:
    """Rate of recent events. Every `now_s` is a monotonic time in seconds.

    Args:
        window_s: Time constant of the decay, in seconds.

    Example:
        >>> rate = DecayingRate(window_s=1.0)
        >>> for _ in range(20):
        ...     rate.record(now_s=5.0)
        >>> round(rate.per_s(5.0)), round(rate.per_s(6.0), 1)
        (20, 7.4)
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._events = 0.0
        self._updated_s = float("-inf")

    def record(self, now_s: float, events: float = 1.0) -> None:
        """Add events that happened now."""
        self._decay(now_s)
        self._events += events

    def per_s(self, now_s: float) -> float:
        """Events per second."""
        self._decay(now_s)
        return self._events / self._window_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        if self._events:
            self._events *= math.exp(-elapsed_s / self._window_s)
        self._updated_s = max(now_s, self._updated_s)
