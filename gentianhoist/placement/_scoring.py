"""Scores one engine for one share of a prefill: its cost, and the time it takes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gentianhoist.fleet import EngineProfile
from gentianhoist.placement._ledger import AffectedRequest
from gentianhoist.placement._model import Candidate, PlacementPolicy

__all__ = [
    "EngineSnapshot",
    "ScoredEngine",
    "late_probability",
    "score_engine",
    "snapshot_engine",
]


class EngineSnapshot(NamedTuple):
    """A candidate with its load at the time of the choice."""

    candidate: Candidate
    backlog_s: float
    event_interval_s: float
    decoding: Sequence[AffectedRequest]
    prefilling: Sequence[AffectedRequest]
    free_kv_tokens: int
    can_decode: bool
    can_help: bool


class ScoredEngine(NamedTuple):
    """An engine with the expected effects of one prefill share on it."""

    engine: EngineSnapshot
    selection_cost: float
    ttft_s: float


def snapshot_engine(
    candidate: Candidate,
    profile: EngineProfile,
    now_s: float,
    policy: PlacementPolicy,
) -> EngineSnapshot:
    load = candidate.load
    usable_kv_tokens = int(profile.kv_capacity_tokens * policy.kv_fill_ratio)
    event_interval_s = (
        load.event_interval_s(profile) * candidate.slowness if load.decoding else 0.0
    )
    return EngineSnapshot(
        candidate,
        load.backlog_s(now_s) * candidate.slowness,
        event_interval_s,
        load.decoding,
        load.prefilling,
        usable_kv_tokens - load.kv_tokens,
        candidate.is_claimable
        and candidate.is_within_cold_limit
        and candidate.is_within_rate_limit
        and load.requests < profile.slots,
        candidate.is_within_rate_limit and load.helper_prefills < profile.slots,
    )


def score_engine(
    engine: EngineSnapshot,
    share_s: float,
    prefill_cost_per_s: float,
    now_s: float,
    policy: PlacementPolicy,
) -> ScoredEngine:
    """Return the selection cost of an engine and its expected time to first event."""
    candidate = engine.candidate
    prefill_s = share_s * candidate.slowness * candidate.uncached_ratio
    without_share_s = engine.event_interval_s + engine.backlog_s
    with_share_s = without_share_s + prefill_s
    delayed_value = 0.0
    for pause_goal_s, value in engine.decoding:
        if with_share_s > policy.on_time_ratio * pause_goal_s:
            delayed_value += value * (
                late_probability(with_share_s, pause_goal_s, policy)
                - late_probability(without_share_s, pause_goal_s, policy)
            )
    for ttft_deadline_s, value in engine.prefilling:
        left_s = ttft_deadline_s - now_s
        if with_share_s > policy.on_time_ratio * left_s:
            delayed_value += value * (
                late_probability(with_share_s, left_s, policy)
                - late_probability(without_share_s, left_s, policy)
            )
    selection_cost = (
        candidate.failure_penalty
        + policy.late_loss_ratio * delayed_value
        + prefill_cost_per_s * (0.5 * engine.backlog_s + prefill_s)
        + policy.cost_per_decoding_stream * len(engine.decoding)
        + candidate.preference_cost
    )
    # New work waits for the current interval to end, half of one on average, and then
    # needs a whole interval of its own.
    ttft_s = (
        policy.network_s + engine.backlog_s + prefill_s + 1.5 * engine.event_interval_s
    )
    return ScoredEngine(engine, selection_cost, ttft_s)


def late_probability(
    expected_s: float, limit_s: float, policy: PlacementPolicy
) -> float:
    """Return the probability that an expected time exceeds a limit, from 0 to 1."""
    if limit_s <= 0.0:
        return 1.0
    span = policy.late_ratio - policy.on_time_ratio
    ratio = (expected_s / limit_s - policy.on_time_ratio) / span
    if ratio <= 0.0:
        return 0.0
    return ratio if ratio < 1.0 else 1.0
