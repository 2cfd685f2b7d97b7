"""Rules that place a prompt: ours, and baselines to compare it with.

Every entry places prompts by one of these, whichever boundary a prompt comes from.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from gentianhoist.fleet import EngineProfile
from gentianhoist.placement._engine_choice import (
    DEFAULT_POLICY,
    Candidate,
    Demand,
    Placement,
    PlacementPolicy,
    choose_engines,
    is_worth_waiting,
)

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
    """Names of the rules, for settings."""

    EXPECTED_VALUE = "expected_value"
    NO_GANGS = "no_gangs"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"


@dataclass(frozen=True)
class ExpectedValue:
    """Ours: the engines whose use is expected to lose the least value.

    Attributes:
        policy: Weights of the choice.
        gangs: Whether several engines may read a prompt that one has the memory for.
    """

    policy: PlacementPolicy = DEFAULT_POLICY
    gangs: bool = True


@dataclass(frozen=True)
class LeastOutstanding:
    """A baseline: the engine with the fewest requests."""


@dataclass
class RoundRobin:
    """A baseline: one engine after the other.

    Attributes:
        position: Where the next choice begins.
    """

    position: int = 0


PlacementRule = ExpectedValue | LeastOutstanding | RoundRobin


def make_placement_rule(name: PlacementRuleName) -> PlacementRule:
    """The rule that a setting names.

    Example:
        >>> make_placement_rule(PlacementRuleName.LEAST_OUTSTANDING)
        LeastOutstanding()
    """
    match name:
        case PlacementRuleName.EXPECTED_VALUE:
            return ExpectedValue()
        case PlacementRuleName.NO_GANGS:
            return ExpectedValue(gangs=False)
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
) -> Placement | None:
    """Choose the engines of one prompt.

    Args:
        rule: How to choose.
        demand: The prompt.
        candidates: Engines that may be chosen.
        profile: Costs of their work.
        now_s: The time on the entry's clock.
        rng: Source of random choices.

    Returns:
        The engines, or nothing if they have no places and memory for it.
    """
    match rule:
        case ExpectedValue(policy=policy, gangs=gangs):
            return choose_engines(
                demand, candidates, profile, now_s, policy, gangs=gangs
            )
        case LeastOutstanding():
            shuffled = rng.sample(candidates, len(candidates))
            shuffled.sort(key=lambda item: item.load.requests)
            return _first_that_fit(demand, shuffled, profile, now_s)
        case RoundRobin():
            if not candidates:
                return None
            rule.position = (rule.position + 1) % len(candidates)
            turned = [*candidates[rule.position :], *candidates[: rule.position]]
            return _first_that_fit(demand, turned, profile, now_s)


def should_wait(
    rule: PlacementRule, demand: Demand, placement: Placement, slack_s: float
) -> bool:
    """Whether a prompt should wait for better engines than those it can have now.

    Args:
        rule: How engines are chosen.
        demand: The prompt.
        placement: The best that it can have now.
        slack_s: Seconds that it can wait and still end in its time.
    """
    match rule:
        case ExpectedValue(policy=policy):
            return is_worth_waiting(demand, placement, slack_s, policy)
        case LeastOutstanding() | RoundRobin():
            return False


def _first_that_fit(
    demand: Demand, ordered: Sequence[Candidate], profile: EngineProfile, now_s: float
) -> Placement | None:
    """The first engines that have a place and memory, as few as hold the prompt."""
    count = math.ceil(demand.kv_tokens / profile.kv_capacity_tokens)
    kv_each = math.ceil(demand.kv_tokens / count)

    def has_memory(item: Candidate) -> bool:
        return item.load.kv_tokens + kv_each <= profile.kv_capacity_tokens

    first = _find(
        ordered,
        lambda item: (
            item.startable and item.load.requests < profile.slots and has_memory(item)
        ),
    )
    if first is None:
        return None
    helpers = [
        item
        for item in ordered
        if item is not first
        and item.load.helper_prefills < profile.slots
        and has_memory(item)
    ][: count - 1]
    if len(helpers) < count - 1:
        return None
    part_s = profile.prefill_s(demand.prompt_tokens) / count
    ready_s = part_s + max(item.load.backlog_s(now_s) for item in [first, *helpers])
    return Placement(
        first.server,
        tuple(item.server for item in helpers),
        part_s,
        ready_s,
        kv_each if helpers else 0,
        own_loss=0.0,
        damage=0.0,
    )


def _find(
    candidates: Sequence[Candidate], fits: Callable[[Candidate], bool]
) -> Candidate | None:
    return next((item for item in candidates if fits(item)), None)
