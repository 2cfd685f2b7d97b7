"""Choice of a backend server that has a sidecar, by the rules of placement."""

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
from gentianhoist.routing._estimate import (
    BackendView,
    Prompt,
    estimate_load,
    prefill_s,
)

__all__ = ["MIN_TTFT_RULE", "choose_backend"]

# Optimises the time to first token (TTFT) alone: the sidecars keep new prompts from
# delaying other requests.
MIN_TTFT_RULE = ExpectedValue(
    PlacementPolicy(
        network_s=0.0,
        cost_per_decoding_stream=0.0,
        base_prefill_cost_per_s=0.0,
        scarcity_cost_per_s=0.0,
        delay_loss_ratio_per_s=1.0,
    ),
    allow_gangs=False,
)

_SAMPLE_SIZE = 8
# Entries that see the same loads must not all choose the same backend server, and
# measured speeds differ by chance. So the more recently this entry used a backend
# server, the more that one costs, up to this ratio of the lowest estimated TTFT.
_MAX_RECENCY_COST_RATIO = 0.25
_LONG_OUTSIDE_POOL_COST_S = 20.0
_MEDIUM_OUTSIDE_POOL_COST_S = 0.5
_SHORT_INSIDE_POOL_COST_S = 0.3
# Sidecars enforce the limits on streams and KV cache, so the choice sets none.
_UNBOUNDED = 1 << 62
# With `delay_loss_ratio_per_s` of 1.0, a second of delay costs 1.0, so that pool costs
# can be given in seconds.
_REQUEST_VALUE = 1.0


def choose_backend(
    rule: PlacementRule,
    views: Sequence[BackendView],
    prompt: Prompt,
    long_pool: frozenset[str],
    now_s: float,
    rng: random.Random,
) -> BackendView | None:
    """Choose the backend server for a prompt.

    Args:
        rule: Placement rule.
        views: The backend servers to choose from.
        prompt: The prompt.
        long_pool: Names of the backend servers that long and medium prompts prefer and
            short ones avoid.
        now_s: Monotonic time on the entry's clock.
        rng: Random number generator.

    Returns:
        View of the chosen backend server; None if there are no views or the rule
        chooses none.
    """
    if not views:
        return None
    sample = _sample(views, prompt, long_pool, rng)
    fastest_tokens_per_s = max(view.load.prefill_tokens_per_s for view in sample)
    candidates = _candidates(
        sample, prompt, fastest_tokens_per_s, long_pool, now_s, rng
    )
    demand = Demand(
        max(1, prompt.prompt_tokens),
        prompt.max_output_tokens,
        ttft_budget_s=float("inf"),
        pause_goal_s=float("inf"),
        value=_REQUEST_VALUE,
    )
    placement = place(
        rule, demand, candidates, _engine_profile(fastest_tokens_per_s), now_s, rng
    )
    if placement is None:
        return None
    return next(view for view in sample if view.server is placement.decode_engine)


def _engine_profile(tokens_per_s: float) -> EngineProfile:
    """Profile of an engine with a prefill speed and no other costs or limits."""
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
    long_pool: frozenset[str],
    now_s: float,
    rng: random.Random,
) -> list[Candidate]:
    """Convert views to candidates; pool and recent use set the preference cost."""
    loads = [estimate_load(view, prompt, now_s) for view in sample]
    prefills_s = [prefill_s(view, prompt, now_s) for view in sample]
    estimates = list(zip(sample, loads, prefills_s, strict=True))
    min_ttft_s = min(
        load.wait_s + prefill_time_s for _, load, prefill_time_s in estimates
    )
    full_prefill_s = max(1, prompt.prompt_tokens) / tokens_per_s
    by_last_use = sorted(sample, key=lambda view: (view.last_sent_s, rng.random()))
    recency_step_s = _MAX_RECENCY_COST_RATIO * min_ttft_s / max(1, len(by_last_use) - 1)
    ranks = {view.name: rank for rank, view in enumerate(by_last_use)}
    return [
        Candidate(
            view.server,
            load,
            preference_cost=recency_step_s * ranks[view.name]
            + _pool_cost_s(view, prompt, long_pool),
            uncached_ratio=prefill_time_s / full_prefill_s,
        )
        for view, load, prefill_time_s in estimates
    ]


def _sample(
    views: Sequence[BackendView],
    prompt: Prompt,
    long_pool: frozenset[str],
    rng: random.Random,
) -> list[BackendView]:
    if len(views) <= _SAMPLE_SIZE:
        return list(views)
    sample = rng.sample(views, _SAMPLE_SIZE)
    preferred = [view for view in views if _is_preferred(view, prompt, long_pool)]
    return list({view.name: view for view in [*sample, *preferred]}.values())


def _is_preferred(view: BackendView, prompt: Prompt, long_pool: frozenset[str]) -> bool:
    if prompt.work_class is WorkClass.LONG and view.name in long_pool:
        return True
    # At time 0 no hash has expired, so hashes of any age count here.
    return (
        bool(prompt.prefix_hashes)
        and view.cache.cached_tokens(prompt.prefix_hashes, 0.0) > 0
    )


def _pool_cost_s(view: BackendView, prompt: Prompt, long_pool: frozenset[str]) -> float:
    in_pool = view.name in long_pool
    match prompt.work_class:
        case WorkClass.LONG:
            return 0.0 if in_pool or not long_pool else _LONG_OUTSIDE_POOL_COST_S
        case WorkClass.MEDIUM:
            return 0.0 if in_pool or not long_pool else _MEDIUM_OUTSIDE_POOL_COST_S
        case WorkClass.SHORT:
            return _SHORT_INSIDE_POOL_COST_S if in_pool else 0.0
