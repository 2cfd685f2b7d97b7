"""Adaptive concurrency limit of a backend server."""

from __future__ import annotations

_GROWTH_PER_SUCCESS = 0.25
_SLOW_GROWTH_PER_SUCCESS = 0.0625
_SLOW_RATIO = 2.0
_OVERLOAD_FACTOR = 0.5


class AdaptiveConcurrencyLimit:
    """Concurrency limit with additive increase and multiplicative decrease.

    It starts small, grows with each success and is halved by an overload.

    Args:
        cold_streams: Limit after a start of the backend server; also the minimum.
        max_streams: Limit of a warm backend server; also the maximum.

    Example:
        >>> limit = AdaptiveConcurrencyLimit(cold_streams=2, max_streams=64)
        >>> limit.record_success(slowness_ratio=1.0, at_limit=True)
        >>> limit.limit_streams
        2
    """

    def __init__(self, cold_streams: int, max_streams: int) -> None:
        self._cold_limit = float(min(cold_streams, max_streams))
        self._max_limit = float(max_streams)
        self._limit = self._cold_limit

    @property
    def limit_streams(self) -> int:
        """Maximum number of streams that may run at once now."""
        return int(self._limit)

    @property
    def is_warm(self) -> bool:
        """Whether the limit has reached its maximum."""
        return self._limit >= self._max_limit

    def record_success(self, *, slowness_ratio: float, at_limit: bool) -> None:
        """Raise the limit after a success, by less while the backend server is slow.

        Args:
            slowness_ratio: Average inter-token latency divided by its initial estimate;
                1 for a backend server whose speed isn't measured.
            at_limit: Whether the limit was reached as the work started; otherwise the
                success doesn't show that a higher limit would do, and changes nothing.
        """
        if not at_limit:
            return
        is_slow = slowness_ratio > _SLOW_RATIO
        growth = _SLOW_GROWTH_PER_SUCCESS if is_slow else _GROWTH_PER_SUCCESS
        self._limit = min(self._max_limit, self._limit + growth)

    def record_overload(self) -> None:
        """Halve the limit after a sign of overload, but not below the cold limit."""
        self._limit = max(self._cold_limit, self._limit * _OVERLOAD_FACTOR)

    def reset(self) -> None:
        """Return to the cold limit, as after a restart of the backend server."""
        self._limit = self._cold_limit
