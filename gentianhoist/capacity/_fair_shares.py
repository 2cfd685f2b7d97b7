"""Recent use by organisation, to find those that use more than their fair share."""

from __future__ import annotations

import math

_DECAY_TIME_S = 5.0
_TOLERANCE_RATIO = 1.25
_MIN_USED_TOKENS = 1.0


class FairShares:
    """Exponentially decaying use of an engine or a fleet, by organisation.

    An organisation is active as long as its decayed use is at least one token. The fair
    share of an active organisation is in proportion to its weight.

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
        """Add the cost of work to the use of its organisation.

        Args:
            organisation: Organisation that the work is for.
            weight: Weight of the organisation.
            tokens: Cost of the work, in tokens.
            now_s: Monotonic time on the process's clock.
        """
        self._decay(now_s)
        self._weights[organisation] = weight
        self._used[organisation] = self._used.get(organisation, 0.0) + tokens

    def is_over_share(self, organisation: str, now_s: float) -> bool:
        """Whether the recent use of an organisation exceeds its fair share."""
        return organisation in self.organisations_over_share(now_s)

    def organisations_over_share(self, now_s: float) -> frozenset[str]:
        """Active organisations whose recent use exceeds their fair share.

        A tolerance of a quarter applies. With fewer than two active organisations,
        none exceeds its share.
        """
        self._decay(now_s)
        total = sum(self._used.values())
        if len(self._used) < 2 or not total:
            return frozenset()
        bound_per_weight = _TOLERANCE_RATIO * total / sum(self._weights.values())
        return frozenset(
            organisation
            for organisation, used in self._used.items()
            if used > bound_per_weight * self._weights[organisation]
        )

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._updated_s) / _DECAY_TIME_S)
        self._updated_s = max(now_s, self._updated_s)
        for organisation in list(self._used):
            self._used[organisation] *= factor
            if self._used[organisation] < _MIN_USED_TOKENS:
                del self._used[organisation]
                del self._weights[organisation]
