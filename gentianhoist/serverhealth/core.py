"""Health of all backend servers, by incarnation."""

from __future__ import annotations

from collections.abc import Collection

from gentianhoist.serverhealth._evidence import Incarnation
from gentianhoist.serverhealth._own_evidence import OwnEvidence

__all__ = ["ServerHealthRegistry"]


class ServerHealthRegistry:
    """Health of all backend servers, by incarnation (id, address and start time)."""

    def __init__(self) -> None:
        self._by_incarnation: dict[Incarnation, OwnEvidence] = {}

    def get(self, incarnation: Incarnation) -> OwnEvidence:
        """Return the health of one incarnation; a new one starts healthy."""
        return self._by_incarnation.setdefault(incarnation, OwnEvidence())

    def record_success(
        self, incarnation: Incarnation, now_s: float, ratio: float | None = None
    ) -> None:
        """Record a successful request; arguments as in `OwnEvidence`."""
        self.get(incarnation).record_success(now_s, ratio)

    def record_failure(
        self, incarnation: Incarnation, now_s: float, weight: float = 1.0
    ) -> None:
        """Record a failure that the server caused; arguments as in `OwnEvidence`."""
        self.get(incarnation).record_failure(now_s, weight)

    def ejected(self, now_s: float) -> set[Incarnation]:
        """Return the incarnations that get no requests at the moment."""
        return {
            incarnation
            for incarnation, health in self._by_incarnation.items()
            if health.ejected_until_s > now_s
        }

    def suspects(self, now_s: float) -> set[Incarnation]:
        """Return the incarnations that failed recently or have turned slow."""
        return {
            incarnation
            for incarnation, health in self._by_incarnation.items()
            if health.is_suspect(now_s)
        }

    def keep_only(self, incarnations: Collection[Incarnation]) -> None:
        """Remove all other incarnations."""
        for removed in self._by_incarnation.keys() - incarnations:
            del self._by_incarnation[removed]
