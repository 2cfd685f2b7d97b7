"""Choosing a backend server that has a sidecar, by the rules of placement."""

from __future__ import annotations

import random
from collections.abc import Sequence

from gentianhoist.capacity import WorkClass
from gentianhoist.fleet import EngineProfile
from gentianhoist.placement import (
    Candidate,
    Demand,
    ExpectedValue,
    PlacementPolicy,
    PlacementRule,
    place,
)
from gentianhoist.routing._estimate import BackendView, Prompt, read_s, reported_load

__all__ = ["FIRST_TOKEN", "choose_backend"]

# Weighs nothing but the time to first token: sidecars keep prompts from harming others.
FIRST_TOKEN = ExpectedValue(
    PlacementPolicy(
        network_s=0.0,
        stream_value=0.0,
        idle_prefill_value_per_s=0.0,
        scarce_prefill_value_per_s=0.0,
        delay_loss_ratio_per_s=1.0,
    ),
    gangs=False,
)

_CHOICES = 8
# Entries that see the same loads must not all choose the same backend server, and
# learnt speeds differ by chance: estimates that differ by less than this are alike.
_ALIKE_RATIO = 0.25
_LONG_OUTSIDE_LANE_S = 20.0
_MEDIUM_OUTSIDE_LANE_S = 0.5
_SHORT_INSIDE_LANE_S = 0.3
# Sidecars have the say on places and memory, so the choice sets no bounds.
_UNBOUNDED = 1 << 62
# The unit of value is a second of waiting, so that lanes can be priced in seconds.
_VALUE = 1.0


def choose_backend(
    rule: PlacementRule,
    views: Sequence[BackendView],
    prompt: Prompt,
    lane: frozenset[str],
    now_s: float,
    rng: random.Random,
) -> BackendView | None:
    """Choose the backend server of a prompt.

    Args:
        rule: How to choose.
        views: The backend servers that may be asked.
        prompt: The prompt.
        lane: Names of those kept for long work.
        now_s: The time on the entry's clock.
        rng: Source of random choices.

    Returns:
        The backend server, or nothing if there is none.
    """
    if not views:
        return None
    sample = _sample(views, prompt, lane, rng)
    rate = max(view.load.prefill_tokens_per_s for view in sample)
    candidates = _candidates(sample, prompt, rate, lane, now_s, rng)
    demand = Demand(
        max(1, prompt.prompt_tokens),
        prompt.answer_tokens,
        ttft_budget_s=float("inf"),
        pause_goal_s=float("inf"),
        value=_VALUE,
    )
    chosen = place(rule, demand, candidates, _profile(rate), now_s, rng)
    if chosen is None:
        return None
    return next(view for view in sample if view.server is chosen.first)


def _profile(tokens_per_s: float) -> EngineProfile:
    """Costs of an engine that reads as fast as the fastest one."""
    return EngineProfile(
        slots=_UNBOUNDED,
        kv_capacity_tokens=_UNBOUNDED,
        prefill_tokens_per_s=tokens_per_s,
        attention_pair_s=0.0,
        decode_step_s=0.0,
        decode_step_per_stream_s=0.0,
        decode_step_per_context_token_s=0.0,
        steps_per_event=1,
        chunk_tokens=1,
    )


def _candidates(
    sample: Sequence[BackendView],
    prompt: Prompt,
    tokens_per_s: float,
    lane: frozenset[str],
    now_s: float,
    rng: random.Random,
) -> list[Candidate]:
    """The sample as candidates; among those alike, the least recently used first."""
    loads = [reported_load(view, prompt, now_s) for view in sample]
    reads_s = [read_s(view, prompt, now_s) for view in sample]
    figures = list(zip(sample, loads, reads_s, strict=True))
    least_s = min(load.wait_s + own_s for _, load, own_s in figures)
    alone_s = max(1, prompt.prompt_tokens) / tokens_per_s
    by_use = sorted(sample, key=lambda view: (view.last_sent_s, rng.random()))
    step_s = _ALIKE_RATIO * least_s / max(1, len(by_use) - 1)
    places = {view.name: place for place, view in enumerate(by_use)}
    return [
        Candidate(
            view.server,
            load,
            preference_cost=step_s * places[view.name]
            + _lane_cost_s(view, prompt, lane),
            uncached_ratio=own_s / alone_s,
        )
        for view, load, own_s in figures
    ]


def _sample(
    views: Sequence[BackendView],
    prompt: Prompt,
    lane: frozenset[str],
    rng: random.Random,
) -> list[BackendView]:
    if len(views) <= _CHOICES:
        return list(views)
    sample = rng.sample(views, _CHOICES)
    wanted = [view for view in views if _worth_a_look(view, prompt, lane)]
    return list({view.name: view for view in [*sample, *wanted]}.values())


def _worth_a_look(view: BackendView, prompt: Prompt, lane: frozenset[str]) -> bool:
    if prompt.work_class is WorkClass.LONG and view.name in lane:
        return True
    return bool(prompt.marks) and view.cache.cached_tokens(prompt.marks, 0.0) > 0


def _lane_cost_s(view: BackendView, prompt: Prompt, lane: frozenset[str]) -> float:
    inside = view.name in lane
    match prompt.work_class:
        case WorkClass.LONG:
            return 0.0 if inside or not lane else _LONG_OUTSIDE_LANE_S
        case WorkClass.MEDIUM:
            return 0.0 if inside or not lane else _MEDIUM_OUTSIDE_LANE_S
        case WorkClass.SHORT:
            return _SHORT_INSIDE_LANE_S if inside else 0.0
