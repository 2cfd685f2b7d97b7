"""The choice of engines for one prompt, by expected value.

A prompt costs what it takes from others: each engine that reads a part of it makes the
streams that it writes pause for that long, and is lost to short prompts meanwhile.
Reading with more engines makes the pauses shorter and more numerous. The choice weighs,
for each number of engines, the value lost by the request itself against the value that
others are expected to lose. QueuedRequest is a choice too: see `is_worth_waiting`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.placement._commitment_ledger import AffectedRequest

__all__ = [
    "Candidate",
    "Demand",
    "Load",
    "Placement",
    "PlacementPolicy",
    "choose_engines",
    "is_worth_waiting",
]

_ENGINE_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
# Part of a limit up to which the reading of a whole prompt is nothing to share.
_QUICK_RATIO = 0.4


class PlacementPolicy(NamedTuple):
    """Weights of the choice.

    Attributes:
        late_loss_ratio: Part of a request's value that is lost when it is late.
        on_time_ratio: Part of a limit up to which an expected time is safe.
        late_ratio: Part of a limit from which on an expected time is late.
        network_s: Round trip and scheduling that every answer pays.
        stream_value: Value of the room that one more stream takes on an engine.
        kv_fill_ratio: Part of the KV memory that is planned with.
        gang_handover_s: Time from the last part read to the first event, with helpers.
        idle_prefill_value_per_s: Value of a second of an engine's reading while many are free.
        scarce_prefill_value_per_s: More for it while none is free.
        scarce_from_ratio: Part of the places on engines free of reading that is taken
            when engines begin to be scarce.
        free_backlog_s: Reading up to which an engine counts as free of it.
        urgency_span_s: Slack below which a late request doesn't wait for quiet any more.
        min_wait_slack_s: Slack below which no request waits by choice.
        delay_loss_ratio_per_s: Part of a request's value that a second of waiting for
            its first event is worth, among engines that are otherwise alike.
    """

    late_loss_ratio: float = 0.75
    on_time_ratio: float = 0.65
    late_ratio: float = 1.05
    network_s: float = 0.01
    stream_value: float = 0.01
    kv_fill_ratio: float = 0.97
    gang_handover_s: float = 0.01
    idle_prefill_value_per_s: float = 0.3
    scarce_prefill_value_per_s: float = 5.0
    scarce_from_ratio: float = 0.45
    free_backlog_s: float = 0.15
    urgency_span_s: float = 4.0
    min_wait_slack_s: float = 0.5
    delay_loss_ratio_per_s: float = 0.1


DEFAULT_POLICY = PlacementPolicy()


class Demand(NamedTuple):
    """What a prompt asks for.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        answer_tokens: Tokens of the answer, expected.
        ttft_budget_s: Seconds in which the first event is still prompt.
        pause_goal_s: Longest pause that is prompt.
        value: What the whole answer is worth; only ratios matter.
    """

    prompt_tokens: int
    answer_tokens: int
    ttft_budget_s: float
    pause_goal_s: float
    value: float

    @property
    def kv_tokens(self) -> int:
        """KV memory that it needs."""
        return self.prompt_tokens + self.answer_tokens


class Load(Protocol):
    """What is known of the work on one engine."""

    @property
    def requests(self) -> int:
        """Requests that take a slot."""

    @property
    def helper_prefills(self) -> int:
        """Prompts that it reads a part of for another engine."""

    @property
    def kv_tokens(self) -> int:
        """KV memory taken or about to be."""

    @property
    def decoding(self) -> Sequence[AffectedRequest]:
        """Streams that more reading would make pause."""

    @property
    def prefilling(self) -> Sequence[AffectedRequest]:
        """Prompts that more reading would delay."""

    def backlog_s(self, now_s: float) -> float:
        """Seconds until new work begins to be read."""

    def event_interval_s(self, profile: EngineProfile) -> float:
        """Seconds between two events of its streams while nothing is read."""


class Candidate(NamedTuple):
    """An engine that may be chosen.

    Attributes:
        server: The engine.
        load: The work on it.
        slowness: Its time for a piece of work, as a ratio of what is usual.
        failure_penalty: Value that choosing it is expected to lose, by its recent failures.
        preference_cost: Value of leaving it alone: its place in an order that all entries share,
            on whose low ones streams gather, and chance, which parts entries that
            choose in the same moment.
        startable: Whether it may be given a request now, by its cold start.
        uncached_ratio: Part of this prompt that it has to read: less than 1 where its cache
            holds the beginning.
    """

    server: BackendServer
    load: Load
    slowness: float = 1.0
    failure_penalty: float = 0.0
    preference_cost: float = 0.0
    startable: bool = True
    uncached_ratio: float = 1.0


class Placement(NamedTuple):
    """Engines that read one prompt.

    Attributes:
        first: The engine that answers.
        helpers: Engines that read a part of the prompt.
        part_read_s: Seconds of reading on each.
        first_event_s: Expected time to the first event.
        helper_kv_tokens: KV memory that each helper has to reserve, 0 for none.
        own_loss: Value that the request itself is expected to lose.
        damage: Value that others are expected to lose.
    """

    first: BackendServer
    helpers: tuple[BackendServer, ...]
    part_read_s: float
    first_event_s: float
    helper_kv_tokens: int
    own_loss: float
    damage: float

    @property
    def loss(self) -> float:
        """All value that is expected to be lost."""
        return self.own_loss + self.damage


class _Engine(NamedTuple):
    """A candidate with the figures of this moment."""

    candidate: Candidate
    backlog_s: float
    event_interval_s: float
    decoding: Sequence[AffectedRequest]
    prefilling: Sequence[AffectedRequest]
    memory_left: int
    can_answer: bool
    can_help: bool


class _Rated(NamedTuple):
    engine: _Engine
    damage: float
    ready_s: float


def choose_engines(
    demand: Demand,
    candidates: Sequence[Candidate],
    profile: EngineProfile,
    now_s: float,
    policy: PlacementPolicy = DEFAULT_POLICY,
    *,
    gangs: bool = True,
) -> Placement | None:
    """Choose the engines whose use loses the least value.

    Args:
        demand: The prompt.
        candidates: Engines that may be chosen.
        profile: Costs of their work.
        now_s: The time on the entry's clock.
        policy: Weights.
        gangs: Whether several engines may read a prompt that one has the memory for.

    Returns:
        The best placement, or nothing if no engine has a slot and memory for it.
    """
    engines = [_figures(item, profile, now_s, policy) for item in candidates]
    price = _reading_value_per_s(engines, profile, policy)
    prefill_s = profile.prefill_s(demand.prompt_tokens)
    best: Placement | None = None
    counts = _engine_counts(demand, prefill_s, profile, policy, gangs=gangs)
    for count in counts:
        if count > len(engines):
            break
        placement = _place_on(
            count, prefill_s / count, demand, engines, price, now_s, policy
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
    """Whether a request should wait for better engines than those it can have now.

    Args:
        demand: The prompt.
        placement: The best that it can have now.
        slack_s: Seconds that it can wait and still end in its time.
        policy: Weights.

    Returns:
        True while waiting may make a prompt answer of a late one, or spares others more
        than it costs the request.
    """
    if slack_s <= policy.min_wait_slack_s:
        return False
    prompt_value = demand.value * policy.late_loss_ratio
    alone_s = policy.network_s + placement.part_read_s
    could_be_prompt = alone_s < demand.ttft_budget_s
    if could_be_prompt:
        return (
            placement.own_loss > 0.5 * prompt_value or placement.damage > prompt_value
        )
    late_value = demand.value - prompt_value
    urgency = max(0.0, 1.0 - slack_s / policy.urgency_span_s)
    return placement.damage > late_value * urgency


def _engine_counts(
    demand: Demand,
    prefill_s: float,
    profile: EngineProfile,
    policy: PlacementPolicy,
    *,
    gangs: bool,
) -> Iterable[int]:
    """Numbers of engines that are worth a look, the smallest first."""
    # A prompt that any engine reads within a stream's pause gains nothing by helpers.
    limit_s = _QUICK_RATIO * min(demand.pause_goal_s, demand.ttft_budget_s)
    if prefill_s < limit_s:
        return _ENGINE_COUNTS[:1]
    if gangs:
        return _ENGINE_COUNTS
    usable_tokens = profile.kv_capacity_tokens * policy.kv_fill_ratio
    needed = math.ceil(demand.kv_tokens / usable_tokens)
    return [count for count in _ENGINE_COUNTS if count >= needed][:1]


def _figures(
    candidate: Candidate,
    profile: EngineProfile,
    now_s: float,
    policy: PlacementPolicy,
) -> _Engine:
    load = candidate.load
    capacity = int(profile.kv_capacity_tokens * policy.kv_fill_ratio)
    event_interval_s = (
        load.event_interval_s(profile) * candidate.slowness if load.decoding else 0.0
    )
    return _Engine(
        candidate,
        load.backlog_s(now_s) * candidate.slowness,
        event_interval_s,
        load.decoding,
        load.prefilling,
        capacity - load.kv_tokens,
        candidate.startable and load.requests < profile.slots,
        load.helper_prefills < profile.slots,
    )


def _reading_value_per_s(
    engines: Sequence[_Engine], profile: EngineProfile, policy: PlacementPolicy
) -> float:
    """What others are expected to lose by a second of reading on one engine."""
    free = sum(item.backlog_s <= policy.free_backlog_s for item in engines)
    streams = sum(item.candidate.load.requests for item in engines)
    places = max(1, free * profile.slots)
    scarce = (streams / places - policy.scarce_from_ratio) / (
        1.0 - policy.scarce_from_ratio
    )
    scarce = min(1.0, max(0.0, scarce))
    return policy.idle_prefill_value_per_s + policy.scarce_prefill_value_per_s * scarce


def _place_on(
    count: int,
    part_s: float,
    demand: Demand,
    engines: Sequence[_Engine],
    price_per_s: float,
    now_s: float,
    policy: PlacementPolicy,
) -> Placement | None:
    rated = [_rate(item, part_s, price_per_s, now_s, policy) for item in engines]
    if count == 1:
        rated.sort(key=lambda item: item.damage + _own_loss(item, demand, policy))
    else:
        rated.sort(key=lambda item: item.damage)
    first = _first(rated, demand.kv_tokens)
    kv_each = 0
    if first is None and count > 1:
        kv_each = -(-demand.kv_tokens // count)
        first = _first(rated, kv_each)
    if first is None:
        return None
    helpers = [
        item
        for item in rated
        if item is not first
        and item.engine.can_help
        and item.engine.memory_left >= kv_each
    ][: count - 1]
    if len(helpers) < count - 1:
        return None
    return _placement(first, helpers, part_s, kv_each, demand, policy)


def _first(rated: Iterable[_Rated], kv_tokens: int) -> _Rated | None:
    for item in rated:
        if item.engine.can_answer and item.engine.memory_left >= kv_tokens:
            return item
    return None


def _placement(
    first: _Rated,
    helpers: Sequence[_Rated],
    part_s: float,
    kv_each: int,
    demand: Demand,
    policy: PlacementPolicy,
) -> Placement:
    chosen = [first, *helpers]
    ready_s = max(item.ready_s for item in chosen)
    if helpers:
        ready_s += policy.gang_handover_s
    late = _risk(ready_s, demand.ttft_budget_s, policy)
    return Placement(
        first.engine.candidate.server,
        tuple(item.engine.candidate.server for item in helpers),
        part_s,
        ready_s,
        kv_each,
        demand.value * policy.late_loss_ratio * late,
        sum(item.damage for item in chosen),
    )


def _own_loss(item: _Rated, demand: Demand, policy: PlacementPolicy) -> float:
    late = _risk(item.ready_s, demand.ttft_budget_s, policy)
    # Among engines that are all too late, the earliest is the best.
    delay = policy.delay_loss_ratio_per_s * item.ready_s
    return demand.value * (policy.late_loss_ratio * late + delay)


def _rate(
    engine: _Engine,
    part_s: float,
    price_per_s: float,
    now_s: float,
    policy: PlacementPolicy,
) -> _Rated:
    """Value that reading a part takes from others, and when the part is read."""
    candidate = engine.candidate
    prefill_s = part_s * candidate.slowness * candidate.uncached_ratio
    before_s = engine.event_interval_s + engine.backlog_s
    after_s = before_s + prefill_s
    delayed = 0.0
    for limit_s, value in engine.decoding:
        if after_s > policy.on_time_ratio * limit_s:
            delayed += value * (
                _risk(after_s, limit_s, policy) - _risk(before_s, limit_s, policy)
            )
    for until_s, value in engine.prefilling:
        left_s = until_s - now_s
        if after_s > policy.on_time_ratio * left_s:
            delayed += value * (
                _risk(after_s, left_s, policy) - _risk(before_s, left_s, policy)
            )
    damage = (
        candidate.failure_penalty
        + policy.late_loss_ratio * delayed
        + price_per_s * (0.5 * engine.backlog_s + prefill_s)
        + policy.stream_value * len(engine.decoding)
        + candidate.preference_cost
    )
    # Work that comes during a pass waits for its end, and for its own pass.
    ready_s = (
        policy.network_s + engine.backlog_s + prefill_s + 1.5 * engine.event_interval_s
    )
    return _Rated(engine, damage, ready_s)


def _risk(expected_s: float, limit_s: float, policy: PlacementPolicy) -> float:
    """Chance that something expected to take this long exceeds a limit."""
    if limit_s <= 0.0:
        return 1.0
    span = policy.late_ratio - policy.on_time_ratio
    ratio = (expected_s / limit_s - policy.on_time_ratio) / span
    if ratio <= 0.0:
        return 0.0
    return ratio if ratio < 1.0 else 1.0
