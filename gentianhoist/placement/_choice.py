"""Chooses the engines that prefill one prompt, by least expected loss of value.

A prefill has a cost for other requests: while an engine prefills its share, the streams
that it decodes pause and short prompts can't use it. Several engines may share one
prefill (a gang); each further engine makes these pauses shorter but more numerous. For
each number of engines, the expected loss of the request itself is added to the cost of
selecting them (mainly the expected loss of other requests), and the smallest sum wins.
A request may also wait for better engines: see `is_worth_waiting`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from gentianhoist.fleet import EngineProfile
from gentianhoist.placement._model import (
    DEFAULT_POLICY,
    Candidate,
    Demand,
    Placement,
    PlacementPolicy,
)
from gentianhoist.placement._scoring import (
    EngineSnapshot,
    ScoredEngine,
    late_probability,
    score_engine,
    snapshot_engine,
)
from gentianhoist.placement._shortlist import FleetLoad

__all__ = ["choose_engines", "is_worth_waiting", "suits_one_engine"]

_ENGINE_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Fraction of the latency limits below which a whole prefill stays on one engine.
_SINGLE_ENGINE_RATIO = 0.4


def choose_engines(
    demand: Demand,
    candidates: Sequence[Candidate],
    profile: EngineProfile,
    now_s: float,
    policy: PlacementPolicy = DEFAULT_POLICY,
    *,
    allow_gangs: bool = True,
    fleet_load: FleetLoad | None = None,
) -> Placement | None:
    """Choose the engines with the least expected loss of value.

    Args:
        demand: Resources and latency goals of the request.
        candidates: Engines that may be chosen.
        profile: Costs of prefill and decode on these engines.
        now_s: Current time on the entry's clock, in seconds.
        policy: Weights of the cost function.
        allow_gangs: Whether several engines may share the prefill of a prompt that
            fits in the KV cache of one.
        fleet_load: Load of all engines, if the candidates are only some of them.

    Returns:
        The best placement, or None if the candidates lack slots or KV cache.
    """
    engines = [snapshot_engine(item, profile, now_s, policy) for item in candidates]
    if fleet_load is None:
        fleet_load = _fleet_load(engines, policy)
    prefill_cost_per_s = _prefill_cost_per_s(fleet_load, profile, policy)
    prefill_s = profile.prefill_s(demand.prompt_tokens)
    best: Placement | None = None
    counts = _engine_counts(demand, prefill_s, profile, policy, allow_gangs=allow_gangs)
    for count in counts:
        if count > len(engines):
            break
        placement = _place_on_count(
            count, prefill_s / count, demand, engines, prefill_cost_per_s, now_s, policy
        )
        if placement is not None and (best is None or placement.loss < best.loss):
            best = placement
    return best


def is_worth_waiting(
    demand: Demand,
    placement: Placement,
    slack_s: float,
    policy: PlacementPolicy = DEFAULT_POLICY,
) -> bool:
    """Decide whether a request should wait for a better placement.

    Args:
        demand: Resources and latency goals of the request.
        placement: The best placement that it can have now.
        slack_s: Seconds that it can wait and still complete before its deadline.
        policy: Weights of the cost function.

    Returns:
        True if waiting may still make the response on time, or spares other requests
        more than it costs this one.
    """
    if slack_s <= policy.min_wait_slack_s:
        return False
    on_time_value = demand.value * policy.late_loss_ratio
    unloaded_ttft_s = policy.network_s + placement.share_prefill_s
    could_be_on_time = unloaded_ttft_s < demand.ttft_budget_s
    if could_be_on_time:
        # Half of the on-time value at stake is enough to wait.
        return (
            placement.own_loss > 0.5 * on_time_value
            or placement.selection_cost > on_time_value
        )
    late_value = demand.value - on_time_value
    urgency = max(0.0, 1.0 - slack_s / policy.urgency_span_s)
    return placement.selection_cost > late_value * urgency


def suits_one_engine(demand: Demand, prefill_s: float) -> bool:
    """Whether one engine prefills well within the latency goals, without helpers.

    Args:
        demand: Resources and latency goals of the request.
        prefill_s: Prefill time of the prompt on one engine, in seconds.
    """
    limit_s = _SINGLE_ENGINE_RATIO * min(demand.pause_goal_s, demand.ttft_budget_s)
    return prefill_s < limit_s


def _engine_counts(
    demand: Demand,
    prefill_s: float,
    profile: EngineProfile,
    policy: PlacementPolicy,
    *,
    allow_gangs: bool,
) -> Iterable[int]:
    """Return the numbers of engines to evaluate, the smallest first."""
    if suits_one_engine(demand, prefill_s):
        return _ENGINE_COUNTS[:1]
    if allow_gangs:
        return _ENGINE_COUNTS
    usable_tokens = profile.kv_capacity_tokens * policy.kv_fill_ratio
    min_count = math.ceil(demand.kv_tokens / usable_tokens)
    return [count for count in _ENGINE_COUNTS if count >= min_count][:1]


def _fleet_load(
    engines: Sequence[EngineSnapshot], policy: PlacementPolicy
) -> FleetLoad:
    engines = [item for item in engines if item.candidate.is_within_rate_limit]
    return FleetLoad(
        sum(item.backlog_s <= policy.max_idle_backlog_s for item in engines),
        sum(item.candidate.load.requests for item in engines),
    )


def _prefill_cost_per_s(
    fleet_load: FleetLoad, profile: EngineProfile, policy: PlacementPolicy
) -> float:
    """Return the cost of one second of prefill on one engine."""
    idle_slots = max(1, fleet_load.idle_engines * profile.slots)
    scarcity = (fleet_load.requests / idle_slots - policy.scarce_from_ratio) / (
        1.0 - policy.scarce_from_ratio
    )
    scarcity = min(1.0, max(0.0, scarcity))
    return policy.base_prefill_cost_per_s + policy.scarcity_cost_per_s * scarcity


def _place_on_count(
    count: int,
    share_s: float,
    demand: Demand,
    engines: Sequence[EngineSnapshot],
    prefill_cost_per_s: float,
    now_s: float,
    policy: PlacementPolicy,
) -> Placement | None:
    scored = [
        score_engine(item, share_s, prefill_cost_per_s, now_s, policy)
        for item in engines
    ]
    if count == 1:
        scored.sort(
            key=lambda item: item.selection_cost + _request_loss(item, demand, policy)
        )
    else:
        scored.sort(key=lambda item: item.selection_cost)
    decode_engine = _find_decode_engine(scored, demand.kv_tokens)
    kv_tokens_per_engine = 0
    if decode_engine is None and count > 1:
        kv_tokens_per_engine = -(-demand.kv_tokens // count)
        decode_engine = _find_decode_engine(scored, kv_tokens_per_engine)
    if decode_engine is None:
        return None
    helpers = [
        item
        for item in scored
        if item is not decode_engine
        and item.engine.can_help
        and item.engine.free_kv_tokens >= kv_tokens_per_engine
    ][: count - 1]
    if len(helpers) < count - 1:
        return None
    return _make_placement(
        decode_engine, helpers, share_s, kv_tokens_per_engine, demand, policy
    )


def _find_decode_engine(
    scored: Iterable[ScoredEngine], kv_tokens: int
) -> ScoredEngine | None:
    for item in scored:
        if item.engine.can_decode and item.engine.free_kv_tokens >= kv_tokens:
            return item
    return None


def _make_placement(
    decode_engine: ScoredEngine,
    helpers: Sequence[ScoredEngine],
    share_s: float,
    kv_tokens_per_engine: int,
    demand: Demand,
    policy: PlacementPolicy,
) -> Placement:
    chosen = [decode_engine, *helpers]
    ttft_s = max(item.ttft_s for item in chosen)
    if helpers:
        ttft_s += policy.gang_handover_s
    probability = late_probability(ttft_s, demand.ttft_budget_s, policy)
    return Placement(
        decode_engine.engine.candidate.server,
        tuple(item.engine.candidate.server for item in helpers),
        share_s,
        ttft_s,
        kv_tokens_per_engine,
        demand.value * policy.late_loss_ratio * probability,
        sum(item.selection_cost for item in chosen),
    )


def _request_loss(item: ScoredEngine, demand: Demand, policy: PlacementPolicy) -> float:
    probability = late_probability(item.ttft_s, demand.ttft_budget_s, policy)
    # If every engine is too late, the delay term selects the earliest.
    delay = policy.delay_loss_ratio_per_s * item.ttft_s
    return demand.value * (policy.late_loss_ratio * probability + delay)
