"""Rate at which late requests leave the placement queue for engines."""

from __future__ import annotations

__all__ = ["LateDrain"]

# Time for which late requests have waited before their rate is known.
_MIN_OBSERVED_S = 0.5
# Past placements count for about this time.
_WINDOW_S = 1.0


class LateDrain:
    """Estimates how long a late request waits behind others.

    Late requests are placed after all that can still be on time, so the rate at which
    they are placed says how much the engines have left for them. Every `now_s` is the
    current time on the entry's clock, in seconds.

    Example:
        >>> drain = LateDrain()
        >>> drain.observe(10, now_s=0.0)
        >>> for _ in range(8):
        ...     drain.record_placed()
        >>> drain.expected_wait_s(17, now_s=1.0)
        2.0
    """

    def __init__(self) -> None:
        self._began_s: float | None = None
        self._placed = 0.0

    def observe(self, waiting: int, now_s: float) -> None:
        """Record how many late requests wait; without any, the estimate begins anew."""
        if not waiting:
            self._began_s = None
        elif self._began_s is None:
            self._began_s = now_s
            self._placed = 0.0
        elif now_s - self._began_s > 2 * _WINDOW_S:
            # The earlier half of the window no longer counts.
            self._began_s += (now_s - self._began_s) / 2
            self._placed /= 2

    def record_placed(self) -> None:
        """Record that a late request was placed."""
        self._placed += 1.0

    def expected_wait_s(self, ahead: int, now_s: float) -> float:
        """Return the time until a request is placed that has others ahead of it.

        Args:
            ahead: Number of late requests ahead of it.

        Returns:
            Seconds; 0 while too little is known.
        """
        if self._began_s is None:
            return 0.0
        observed_s = now_s - self._began_s
        if observed_s < _MIN_OBSERVED_S:
            return 0.0
        # One more than were placed: without any, the first may be about to be.
        return (ahead + 1) * observed_s / (self._placed + 1.0)
