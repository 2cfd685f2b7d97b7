"""Times at which refused callers are asked to come back."""

from __future__ import annotations

import random

__all__ = ["RetrySchedule"]

_MIN_RETRY_AFTER_S = 0.2
_MAX_RETRY_AFTER_S = 10.0
# Times are spread by this fraction, so that callers of several entries don't meet.
_SPREAD_RATIO = 0.2


class RetrySchedule:
    """Spreads the retries of refused callers over the time of expected capacity.

    Each refusal is given the time after the one before it at which a slot is expected
    to become free, so callers that are refused together don't come back together.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_s = float("-inf")

    def next_after_s(self, wait_s: float, interval_s: float, now_s: float) -> float:
        """Return the seconds after which a caller that is refused now should retry.

        Args:
            wait_s: Expected seconds until there is capacity for it.
            interval_s: Expected seconds between two slots for callers of this entry.
            now_s: Current time on the entry's clock, in seconds.
        """
        earliest_s = now_s + max(_MIN_RETRY_AFTER_S, min(wait_s, _MAX_RETRY_AFTER_S))
        at_s = max(earliest_s, self._last_s + interval_s)
        if at_s > now_s + _MAX_RETRY_AFTER_S:
            # The time is full: further callers are spread over the whole of it.
            at_s = self._rng.uniform(earliest_s, now_s + _MAX_RETRY_AFTER_S)
        else:
            self._last_s = at_s
        return (at_s - now_s) * (1.0 + _SPREAD_RATIO * self._rng.random())
