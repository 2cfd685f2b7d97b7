"""Placement rules: least expected loss of value, and baselines for comparison.

Every entry places prompts by one of these rules, whichever API a prompt comes from.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from gentianhoist.fleet import EngineProfile
from gentianhoist.placement._choice import choose_engines, is_worth_waiting
from gentianhoist.placement._model import (
    DEFAULT_POLICY,
    Candidate,
    Demand,
    Placement,
    PlacementPolicy,
)
from gentianhoist.placement._shortlist import FleetLoad

__all__ = [
    "ExpectedValue",
    "LeastOutstanding",
    "PlacementRule",
    "PlacementRuleName",
    "RoundRobin",
    "place",
    "make_placement_rule",
    "should_wait",
]


class PlacementRuleName(StrEnum):
    """Names of the placement rules in settings."""

    EXPECTED_VALUE = "expected_value"
    NO_GANGS = "no_gangs"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"


@dataclass(frozen=True)
class ExpectedValue:
    """Default rule: the engines with the least expected loss of value.

    Attributes:
        policy: Weights of the cost function.
        allow_gangs: Whether several engines may share the prefill of a prompt that
            fits in the KV cache of one.
    """

    policy: PlacementPolicy = DEFAULT_POLICY
    allow_gangs: bool = True


@dataclass(frozen=True)
class LeastOutstanding:
    """Baseline rule: the engine with the fewest outstanding requests."""


@dataclass
class RoundRobin:
    """Baseline rule: each engine in turn.

    Attributes:
        position: Index of the candidate that was tried first for the last prompt.
    """

    position: int = 0


PlacementRule = ExpectedValue | LeastOutstanding | RoundRobin


def make_placement_rule(name: PlacementRuleName) -> PlacementRule:
    """Create the placement rule that a setting names.

    Example:
        >>> make_placement_rule(PlacementRuleName.LEAST_OUTSTANDING)
        LeastOutstanding()
    """
    match name:
        case PlacementRuleName.EXPECTED_VALUE:
            return ExpectedValue()
        case PlacementRuleName.NO_GANGS:
            return ExpectedValue(allow_gangs=False)
        case PlacementRuleName.LEAST_OUTSTANDING:
            return LeastOutstanding()
        case PlacementRuleName.ROUND_ROBIN:
            return RoundRobin()


def place(
    rule: PlacementRule,
    demand: Demand,
    candidates: Sequence[Candidate],
    profile: EngineProfile,
    now_s: float,
    rng: random.Random,
    fleet_load: FleetLoad | None = None,
) -> Placement | None:
    """Choose the engines for one prompt.

    Args:
        rule: Placement rule.
        demand: Resources and latency goals of the request.
        candidates: Engines that may be chosen.
        profile: Costs of prefill and decode on these engines.
        now_s: Current time on the entry's clock, in seconds.
        rng: Source of randomness for ties.
        fleet_load: Load of all engines, if the candidates are only some of them.

    Returns:
        The placement, or None if the candidates lack slots or KV cache.
    """
    match rule:
        case ExpectedValue(policy=policy, allow_gangs=allow_gangs):
            return choose_engines(
                demand,
                candidates,
                profile,
                now_s,
                policy,
                allow_gangs=allow_gangs,
                fleet_load=fleet_load,
            )
        case LeastOutstanding():
            shuffled = rng.sample(candidates, len(candidates))
            shuffled.sort(key=lambda item: item.load.requests)
            return _place_on_first_fit(demand, shuffled, profile, now_s)
        case RoundRobin():
            if not candidates:
                return None
            rule.position = (rule.position + 1) % len(candidates)
            rotated = [*candidates[rule.position :], *candidates[: rule.position]]
            return _place_on_first_fit(demand, rotated, profile, now_s)


def should_wait(
    rule: PlacementRule, demand: Demand, placement: Placement, slack_s: float
) -> bool:
    """Decide whether a request should wait for a better placement.

    Args:
        rule: Placement rule; the baselines never wait by choice.
        demand: Resources and latency goals of the request.
        placement: The best placement that it can have now.
        slack_s: Seconds that it can wait and still complete before its deadline.
    """
    match rule:
        case ExpectedValue(policy=policy):
            return is_worth_waiting(demand, placement, slack_s, policy)
        case LeastOutstanding() | RoundRobin():
            return False


def _place_on_first_fit(
    demand: Demand, ordered: Sequence[Candidate], profile: EngineProfile, now_s: float
) -> Placement | None:
    """Place on the first engines with capacity, as few as the KV cache requires."""
    count = math.ceil(demand.kv_tokens / profile.kv_capacity_tokens)
    kv_tokens_per_engine = math.ceil(demand.kv_tokens / count)

    def has_kv_capacity(item: Candidate) -> bool:
        return item.load.kv_tokens + kv_tokens_per_engine <= profile.kv_capacity_tokens

    decode_candidate = _find_first(
        ordered,
        lambda item: (
            item.is_within_cold_limit
            and item.is_within_rate_limit
            and item.load.requests < profile.slots
            and has_kv_capacity(item)
        ),
    )
    if decode_candidate is None:
        return None
    helpers = [
        item
        for item in ordered
        if item is not decode_candidate
        and item.is_within_rate_limit
        and item.load.helper_prefills < profile.slots
        and has_kv_capacity(item)
    ][: count - 1]
    if len(helpers) < count - 1:
        return None
    share_s = profile.prefill_s(demand.prompt_tokens) / count
    ttft_s = share_s + max(
        item.load.backlog_s(now_s) for item in [decode_candidate, *helpers]
    )
    return Placement(
        decode_candidate.server,
        tuple(item.server for item in helpers),
        share_s,
        ttft_s,
        kv_tokens_per_engine if helpers else 0,
        own_loss=0.0,
        selection_cost=0.0,
    )


def _find_first(
    candidates: Sequence[Candidate], fits: Callable[[Candidate], bool]
) -> Candidate | None:
    return next((item for item in candidates if fits(item)), None)
