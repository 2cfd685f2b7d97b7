"""Health of backend servers as one entry sees it, from the results of its requests."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerHealth", "ServerHealthRegistry"]

_FAILURE_HALF_LIFE_S = 4.0
_FAILURE_PENALTY = 1.5
_EJECT_AFTER_FAILURES = 2
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 6.0
_SLOWNESS_SMOOTHING = 0.2
_MAX_SLOWNESS = 8.0
# Weighted failures, and slowness, from which a server is chosen only while others are
# busy.
_SUSPECT_FAILURES = 0.25
_SUSPECT_SLOWNESS = 1.5
_SLOWNESS_HALF_LIFE_S = 5.0


@dataclass
class ServerHealth:
    """Recent request results of one backend server.

    The server is ejected (gets no requests) for a while after consecutive failures. The
    ejection time doubles, up to a maximum, with each ejection since the last success.

    All times are on the entry's clock, in seconds.

    Attributes:
        failures: Weighted number of failures, with exponential decay.
        consecutive_failures: Number of failures since the last success.
        slowness: Moving average of the ratio of measured to expected processing time,
            which decays towards 1.
        updated_s: Time of the last decay.
        ejected_until_s: End of the ejection.
        consecutive_ejections: Number of ejections since the last success.
    """

    failures: float = 0.0
    consecutive_failures: int = 0
    slowness: float = 1.0
    updated_s: float = 0.0
    ejected_until_s: float = float("-inf")
    consecutive_ejections: int = 0

    def record_success(self, now_s: float, ratio: float | None = None) -> None:
        """Record a successful request.

        Args:
            now_s: Current time.
            ratio: Ratio of measured to expected processing time, or None if unknown.
        """
        self._decay(now_s)
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        if ratio is not None:
            # The bounds limit the effect of a single outlier.
            clamped_ratio = min(_MAX_SLOWNESS, max(0.5, ratio))
            self.slowness += _SLOWNESS_SMOOTHING * (clamped_ratio - self.slowness)

    def record_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Record a failure that the server itself caused.

        Args:
            now_s: Current time.
            weight: Weight of the failure; 1 for one lost request. A larger weight
                ejects the server at once.
        """
        self._decay(now_s)
        self.failures += weight
        self.consecutive_failures += 1
        if self.consecutive_failures >= _EJECT_AFTER_FAILURES or weight > 1.0:
            ejection_s = min(
                _MAX_EJECTION_S, _MIN_EJECTION_S * 2**self.consecutive_ejections
            )
            self.ejected_until_s = now_s + ejection_s
            self.consecutive_ejections += 1

    def penalty(self, now_s: float) -> float:
        """Return the value that a request to the server is expected to lose."""
        self._decay(now_s)
        return _FAILURE_PENALTY * self.failures

    def is_ejected(self, now_s: float) -> bool:
        """Whether the server gets no requests at the moment."""
        return now_s < self.ejected_until_s

    def is_suspect(self, now_s: float) -> bool:
        """Whether it failed recently or has turned slow."""
        if not self.failures and self.slowness < _SUSPECT_SLOWNESS:
            return False
        self._decay(now_s)
        return self.failures >= _SUSPECT_FAILURES or self.slowness >= _SUSPECT_SLOWNESS

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.failures *= 0.5 ** (elapsed_s / _FAILURE_HALF_LIFE_S)
        decay = 0.5 ** (elapsed_s / _SLOWNESS_HALF_LIFE_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * decay


class ServerHealthRegistry:
    """Health of all backend servers, by incarnation (id, address and start time)."""

    def __init__(self) -> None:
        self._by_incarnation: dict[tuple[str, str, int], ServerHealth] = {}

    def get(self, incarnation: tuple[str, str, int]) -> ServerHealth:
        """Return the health of one incarnation; a new one starts healthy."""
        return self._by_incarnation.setdefault(incarnation, ServerHealth())

    def ejected(self, now_s: float) -> set[tuple[str, str, int]]:
        """Return the incarnations that get no requests at the moment."""
        return {
            incarnation
            for incarnation, health in self._by_incarnation.items()
            if health.ejected_until_s > now_s
        }

    def suspects(self, now_s: float) -> set[tuple[str, str, int]]:
        """Return the incarnations that failed recently or have turned slow."""
        return {
            incarnation
            for incarnation, health in self._by_incarnation.items()
            if health.is_suspect(now_s)
        }

    def keep_only(self, incarnations: set[tuple[str, str, int]]) -> None:
        """Remove all other incarnations."""
        for removed in self._by_incarnation.keys() - incarnations:
            del self._by_incarnation[removed]
