"""How much an entry trusts a backend server, by what its requests did there."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerHealth", "ServerHealthRegistry"]

_MEMORY_S = 4.0
_FAILURE_PENALTY = 1.5
_EJECT_AFTER = 2
_EJECT_S = 1.0
_MAX_EJECT_S = 6.0
_SLOW_WEIGHT = 0.2
_MAX_SLOWNESS = 8.0
_SLOWNESS_MEMORY_S = 5.0


@dataclass
class ServerHealth:
    """What requests to one server did lately.

    Attributes:
        failures: Failures, each counting less as it ages.
        consecutive_failures: Failures since the last success.
        slowness: Time of its work as a ratio of what was expected.
        updated_s: When the figures were last aged.
        ejected_until_s: Until when it gets no requests.
        consecutive_ejections: Times in a row that it was ejected.
    """

    failures: float = 0.0
    consecutive_failures: int = 0
    slowness: float = 1.0
    updated_s: float = 0.0
    ejected_until_s: float = float("-inf")
    consecutive_ejections: int = 0

    def record_success(self, now_s: float, ratio: float | None = None) -> None:
        """Take note of a success.

        Args:
            now_s: The time on the entry's clock.
            ratio: Its time as a ratio of what was expected, if that is known.
        """
        self._age(now_s)
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        if ratio is not None:
            bounded = min(_MAX_SLOWNESS, max(0.5, ratio))
            self.slowness += _SLOW_WEIGHT * (bounded - self.slowness)

    def record_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Take note of a failure that is the server's own.

        Args:
            now_s: The time on the entry's clock.
            weight: How much it tells; 1 for a request lost.
        """
        self._age(now_s)
        self.failures += weight
        self.consecutive_failures += 1
        if self.consecutive_failures >= _EJECT_AFTER or weight > 1.0:
            span_s = min(_MAX_EJECT_S, _EJECT_S * 2**self.consecutive_ejections)
            self.ejected_until_s = now_s + span_s
            self.consecutive_ejections += 1

    def penalty(self, now_s: float) -> float:
        """Value that a request to it is expected to lose."""
        self._age(now_s)
        return _FAILURE_PENALTY * self.failures

    def is_ejected(self, now_s: float) -> bool:
        """Whether it gets no requests now."""
        return now_s < self.ejected_until_s

    def _age(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.failures *= 0.5 ** (elapsed_s / _MEMORY_S)
        decay = 0.5 ** (elapsed_s / _SLOWNESS_MEMORY_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * decay


class ServerHealthRegistry:
    """ServerHealth of all servers, by incarnation."""

    def __init__(self) -> None:
        self._by_incarnation: dict[tuple[str, str, int], ServerHealth] = {}

    def get(self, incarnation: tuple[str, str, int]) -> ServerHealth:
        """The evidence of one incarnation."""
        return self._by_incarnation.setdefault(incarnation, ServerHealth())

    def keep_only(self, incarnations: set[tuple[str, str, int]]) -> None:
        """Forget all other incarnations."""
        for gone in self._by_incarnation.keys() - incarnations:
            del self._by_incarnation[gone]
