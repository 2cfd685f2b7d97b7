"""Which organisations have taken more than their share lately."""

from __future__ import annotations

import math

_MEMORY_S = 5.0
_TOLERANCE = 1.25
_FORGOTTEN_TOKENS = 1.0


class FairShares:
    """Recent use of an engine or a fleet by organisation, forgotten exponentially.

    Example:
        >>> shares = FairShares()
        >>> shares.charge("large", 1.0, 9_000, now_s=0.0)
        >>> shares.charge("small", 1.0, 1_000, now_s=0.0)
        >>> shares.is_over_share("large", 0.0), shares.is_over_share("small", 0.0)
        (True, False)
    """

    def __init__(self) -> None:
        self._used: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._updated_s = 0.0

    def charge(
        self, organisation: str, weight: float, tokens: int, now_s: float
    ) -> None:
        """Take note of work.

        Args:
            organisation: Whose it is.
            weight: Weight of the organisation.
            tokens: Tokens that it costs.
            now_s: The time on the process's clock.
        """
        self._decay(now_s)
        self._weights[organisation] = weight
        self._used[organisation] = self._used.get(organisation, 0.0) + tokens

    def is_over_share(self, organisation: str, now_s: float) -> bool:
        """Whether an organisation has had more than its share among the active ones."""
        return organisation in self.organisations_over_share(now_s)

    def organisations_over_share(self, now_s: float) -> frozenset[str]:
        """All organisations that have had more than their share."""
        self._decay(now_s)
        total = sum(self._used.values())
        if len(self._used) < 2 or not total:
            return frozenset()
        bound = _TOLERANCE * total / sum(self._weights.values())
        return frozenset(
            organisation
            for organisation, used in self._used.items()
            if used > bound * self._weights[organisation]
        )

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._updated_s) / _MEMORY_S)
        self._updated_s = max(now_s, self._updated_s)
        for organisation in list(self._used):
            self._used[organisation] *= factor
            if self._used[organisation] < _FORGOTTEN_TOKENS:
                del self._used[organisation]
                del self._weights[organisation]
