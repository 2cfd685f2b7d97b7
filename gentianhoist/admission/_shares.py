"""Weighted max-min fair shares of the slots of a server group."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["max_min_shares"]

_EQUAL_WEIGHT = 1.0


def max_min_shares(
    demands: Mapping[str, float],
    slots: float,
    weights: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Divide slots so that nobody gets more unless all smaller shares are satisfied.

    An organisation that needs less than its part leaves the rest to the others. The
    shares never sum to more than the slots, and none exceeds its demand.

    Args:
        demands: Slots that each organisation could use now.
        slots: Slots to divide.
        weights: Weights of the organisations; 1.0 where one has none.

    Returns:
        The share of each organisation, in slots.

    Example:
        >>> max_min_shares({"flood": 90.0, "small": 3.0, "medium": 20.0}, 30.0)
        {'small': 3.0, 'medium': 13.5, 'flood': 13.5}
    """
    weights = weights or {}
    remaining = max(0.0, slots)

    def weight_of(organisation: str) -> float:
        return weights.get(organisation, _EQUAL_WEIGHT)

    remaining_weight = sum(map(weight_of, demands))
    by_satisfaction = sorted(
        demands, key=lambda name: (demands[name] / weight_of(name), name)
    )
    shares = {}
    for organisation in by_satisfaction:
        weight = weight_of(organisation)
        # The last part is exact: a rounded weight could sum to more than the slots.
        is_last = len(shares) == len(demands) - 1
        part = remaining if is_last else remaining * weight / remaining_weight
        share = min(max(0.0, demands[organisation]), part, remaining)
        shares[organisation] = share
        remaining -= share
        remaining_weight -= weight
    return shares
