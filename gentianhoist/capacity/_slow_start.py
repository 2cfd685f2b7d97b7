"""How many streams a backend server bears, learnt from what it did."""

from __future__ import annotations

_GROWTH_PER_SUCCESS = 0.25
_GROWTH_WHILE_SLOW = 0.0625
_SLOW_RATIO = 2.0
_CUT = 0.5


class SlowStart:
    """A limit that starts small, grows with success and falls at overload.

    Args:
        cold_streams: The limit just after a start.
        max_streams: The limit of a warm backend server.

    Example:
        >>> limit = SlowStart(cold_streams=2, max_streams=64)
        >>> limit.record_success(slowness_ratio=1.0, at_limit=True)
        >>> limit.limit_streams
        2
    """

    def __init__(self, cold_streams: int, max_streams: int) -> None:
        self._cold = float(min(cold_streams, max_streams))
        self._max = float(max_streams)
        self._limit = self._cold

    @property
    def limit_streams(self) -> int:
        """Streams that it bears now."""
        return int(self._limit)

    @property
    def is_warm(self) -> bool:
        """Whether the limit has reached its maximum."""
        return self._limit >= self._max

    def record_success(self, *, slowness_ratio: float, at_limit: bool) -> None:
        """Take note of one success.

        Args:
            slowness_ratio: Its service time against that of a warm backend server.
            at_limit: Whether the limit was in use; else success proves nothing.
        """
        if not at_limit:
            return
        slow = slowness_ratio > _SLOW_RATIO
        growth = _GROWTH_WHILE_SLOW if slow else _GROWTH_PER_SUCCESS
        self._limit = min(self._max, self._limit + growth)

    def record_overload(self) -> None:
        """Fall at a sign of overload."""
        self._limit = max(self._cold, self._limit * _CUT)

    def reset(self) -> None:
        """Start again from the beginning."""
        self._limit = self._cold
