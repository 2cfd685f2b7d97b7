"""Ranking backend servers for a request, by policy."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from gentianhoist.capacity import WorkClass
from gentianhoist.routing._estimate import BackendView, Demand, expected_first_token_s

__all__ = [
    "ExpectedFirstToken",
    "LeastOutstanding",
    "RoundRobin",
    "RoutingPolicy",
    "rank_backends",
]

# Entries that see the same loads must not all choose the same backend server, and
# learnt speeds differ by chance: estimates that differ by less than this are alike.
_ALIKE_RATIO = 0.25
_LONG_OUTSIDE_LANE_S = 20.0
_MEDIUM_OUTSIDE_LANE_S = 0.5
_SHORT_INSIDE_LANE_S = 0.3


@dataclass(frozen=True)
class ExpectedFirstToken:
    """Ours: expected time to first token among a few choices.

    Attributes:
        choices: Backend servers compared for one request.
        lanes: Whether engines are kept for long work.
    """

    choices: int = 8
    lanes: bool = True


@dataclass
class RoundRobin:
    """A baseline: one after the other."""

    position: int = 0


@dataclass(frozen=True)
class LeastOutstanding:
    """A baseline: the fewest requests of this entry in progress."""


RoutingPolicy = ExpectedFirstToken | RoundRobin | LeastOutstanding


def rank_backends(
    policy: RoutingPolicy,
    views: Sequence[BackendView],
    demand: Demand,
    lane: frozenset[str],
    now_s: float,
    rng: random.Random,
) -> list[BackendView]:
    """Order the backend servers in which a request asks them.

    Args:
        policy: How to choose.
        views: The backend servers that may be asked.
        demand: What the request asks.
        lane: Names of those kept for long work.
        now_s: The time on the entry's clock.
        rng: Source of random choices.

    Returns:
        The best first.
    """
    match policy:
        case ExpectedFirstToken(choices=choices, lanes=lanes):
            kept = lane if lanes else frozenset()
            sample = _sample(views, demand, choices, kept, rng)
            costs = _costs(sample, demand, kept, now_s, rng)
            return sorted(sample, key=lambda view: costs[view.name])
        case RoundRobin():
            if not views:
                return []
            policy.position = (policy.position + 1) % len(views)
            return [*views[policy.position :], *views[: policy.position]]
        case LeastOutstanding():
            shuffled = rng.sample(views, len(views))
            return sorted(shuffled, key=lambda view: view.outstanding)


def _costs(
    sample: Sequence[BackendView],
    demand: Demand,
    lane: frozenset[str],
    now_s: float,
    rng: random.Random,
) -> dict[str, float]:
    """Expected times, with the least recently used first among those much alike."""
    by_use = sorted(sample, key=lambda view: (view.last_sent_s, rng.random()))
    step = _ALIKE_RATIO / max(1, len(by_use) - 1)
    return {
        view.name: expected_first_token_s(view, demand, now_s) * (1.0 + step * place)
        + _lane_cost_s(view, demand, lane)
        for place, view in enumerate(by_use)
    }


def _sample(
    views: Sequence[BackendView],
    demand: Demand,
    choices: int,
    lane: frozenset[str],
    rng: random.Random,
) -> list[BackendView]:
    if len(views) <= choices:
        return list(views)
    sample = rng.sample(views, choices)
    wanted = [view for view in views if _worth_a_look(view, demand, lane)]
    return list({view.name: view for view in [*sample, *wanted]}.values())


def _worth_a_look(view: BackendView, demand: Demand, lane: frozenset[str]) -> bool:
    if demand.work_class is WorkClass.LONG and view.name in lane:
        return True
    return bool(demand.marks) and view.cache.cached_tokens(demand.marks, 0.0) > 0


def _lane_cost_s(view: BackendView, demand: Demand, lane: frozenset[str]) -> float:
    inside = view.name in lane
    match demand.work_class:
        case WorkClass.LONG:
            return 0.0 if inside or not lane else _LONG_OUTSIDE_LANE_S
        case WorkClass.MEDIUM:
            return 0.0 if inside or not lane else _MEDIUM_OUTSIDE_LANE_S
        case WorkClass.SHORT:
            return _SHORT_INSIDE_LANE_S if inside else 0.0
