"""The choice of engines for one prompt, by expected value.

A prompt costs what it takes from others: each engine that reads a part of it makes the
streams that it writes pause for that long. Reading with more engines makes the pauses
shorter and more numerous. The choice weighs, for each number of engines, the value lost
by the request itself against the value that the streams there are expected to lose.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.placement._ledger import EngineLoad

__all__ = [
    "Candidate",
    "Demand",
    "Placement",
    "PlacementPolicy",
    "choose_engines",
]

_MAX_HELPERS = 16


class PlacementPolicy(NamedTuple):
    """Weights of the choice.

    Attributes:
        late_loss_ratio: Part of a request's value that is lost when it is late.
        safe_ratio: Part of a limit up to which an expected time is safe.
        certain_ratio: Part of a limit from which on an expected time is late.
        network_s: Round trip and scheduling that every answer pays.
        spread_value: Value of leaving an engine without streams free for reading.
        backlog_value_per_s: Value of a second of reading that the next request finds.
        stream_value: Value of the room that one more stream takes on an engine.
        kv_fill_ratio: Part of the KV memory that is planned with.
        handover_s: Time from the last part read to the first event, with helpers.
    """

    late_loss_ratio: float = 0.75
    safe_ratio: float = 0.65
    certain_ratio: float = 1.05
    network_s: float = 0.01
    spread_value: float = 0.03
    backlog_value_per_s: float = 0.5
    stream_value: float = 0.01
    kv_fill_ratio: float = 0.97
    handover_s: float = 0.01


DEFAULT_POLICY = PlacementPolicy()


class Demand(NamedTuple):
    """What a prompt asks for.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        answer_tokens: Tokens of the answer, expected.
        goal_left_s: Seconds in which the first event is still prompt.
        pause_goal_s: Longest pause that is prompt.
        value: What the whole answer is worth; only ratios matter.
    """

    prompt_tokens: int
    answer_tokens: int
    goal_left_s: float
    pause_goal_s: float
    value: float

    @property
    def kv_tokens(self) -> int:
        """KV memory that it needs."""
        return self.prompt_tokens + self.answer_tokens


class Candidate(NamedTuple):
    """An engine that may be chosen.

    Attributes:
        server: The engine.
        load: Its commitments.
        slowness: Its time for a piece of work, as a ratio of what is usual.
        penalty: Value that choosing it is expected to lose, by its recent failures.
        order: Place in an order that all entries share; streams gather on low ones.
        startable: Whether it may be given a request now, by its cold start.
    """

    server: BackendServer
    load: EngineLoad
    slowness: float = 1.0
    penalty: float = 0.0
    order: float = 0.0
    startable: bool = True


class Placement(NamedTuple):
    """Engines that read one prompt.

    Attributes:
        first: The engine that answers.
        helpers: Engines that read a part of the prompt.
        part_read_s: Seconds of reading on each.
        first_event_s: Expected time to the first event.
        helper_kv_tokens: KV memory that each helper has to reserve, 0 for none.
        loss: Value that is expected to be lost.
    """

    first: BackendServer
    helpers: tuple[BackendServer, ...]
    part_read_s: float
    first_event_s: float
    helper_kv_tokens: int
    loss: float


class _Rated(NamedTuple):
    candidate: Candidate
    cost: float
    ready_s: float


def choose_engines(
    demand: Demand,
    candidates: Sequence[Candidate],
    profile: EngineProfile,
    now_s: float,
    policy: PlacementPolicy = DEFAULT_POLICY,
) -> Placement | None:
    """Choose the engines whose use loses the least value.

    Args:
        demand: The prompt.
        candidates: Engines that may be chosen.
        profile: Costs of their work.
        now_s: The time on the entry's clock.
        policy: Weights.

    Returns:
        The best placement, or nothing if no engine has a slot and memory for it.
    """
    read_s = profile.read_s(demand.prompt_tokens)
    best: Placement | None = None
    for count in _engine_counts(demand, read_s, len(candidates)):
        placement = _place_on(
            count, read_s / count, demand, candidates, profile, now_s, policy
        )
        if placement is not None and (best is None or placement.loss < best.loss):
            best = placement
    return best


def _engine_counts(demand: Demand, read_s: float, available: int) -> Iterable[int]:
    most = min(available, _MAX_HELPERS + 1)
    # A prompt that any engine reads within a stream's pause gains nothing by helpers.
    if read_s < 0.4 * demand.pause_goal_s and read_s < 0.1 * demand.goal_left_s:
        most = min(most, 1)
    return range(1, most + 1)


def _place_on(
    count: int,
    part_s: float,
    demand: Demand,
    candidates: Sequence[Candidate],
    profile: EngineProfile,
    now_s: float,
    policy: PlacementPolicy,
) -> Placement | None:
    capacity = int(profile.kv_capacity_tokens * policy.kv_fill_ratio)
    rated = sorted(
        (_rate(item, part_s, profile, now_s, policy) for item in candidates),
        key=lambda item: item.cost,
    )
    if count == 1:
        rated = [_with_lateness(item, part_s, demand, policy) for item in rated]
        rated.sort(key=lambda item: item.cost)
    first = next(
        (
            item
            for item in rated
            if _can_answer(item.candidate, profile)
            and _memory_left(item.candidate, capacity) >= demand.kv_tokens
        ),
        None,
    )
    shared = False
    if first is None and count > 1:
        first = next(
            (item for item in rated if _can_answer(item.candidate, profile)), None
        )
        shared = True
    if first is None:
        return None
    kv_each = -(-demand.kv_tokens // count) if shared else 0
    helpers = [
        item
        for item in rated
        if item is not first
        and item.candidate.load.helped < profile.slots
        and _memory_left(item.candidate, capacity) >= kv_each
    ][: count - 1]
    if len(helpers) < count - 1 or (
        shared and _memory_left(first.candidate, capacity) < kv_each
    ):
        return None
    return _placement(first, helpers, part_s, kv_each, demand, profile, policy)


def _placement(
    first: _Rated,
    helpers: Sequence[_Rated],
    part_s: float,
    kv_each: int,
    demand: Demand,
    profile: EngineProfile,
    policy: PlacementPolicy,
) -> Placement:
    chosen = [first, *helpers]
    ready_s = max(item.ready_s for item in chosen)
    if helpers:
        ready_s += policy.handover_s
    loss = sum(item.cost for item in chosen)
    if helpers:
        late = _risk(ready_s, demand.goal_left_s, policy)
        loss += demand.value * policy.late_loss_ratio * late
    return Placement(
        first.candidate.server,
        tuple(item.candidate.server for item in helpers),
        part_s,
        ready_s,
        kv_each,
        loss,
    )


def _with_lateness(
    item: _Rated, part_s: float, demand: Demand, policy: PlacementPolicy
) -> _Rated:
    late = _risk(item.ready_s, demand.goal_left_s, policy)
    cost = item.cost + demand.value * policy.late_loss_ratio * late
    return item._replace(cost=cost)


def _rate(
    candidate: Candidate,
    part_s: float,
    profile: EngineProfile,
    now_s: float,
    policy: PlacementPolicy,
) -> _Rated:
    """Value that reading a part takes from others, and when the part is read."""
    load = candidate.load
    slow = candidate.slowness
    backlog_s = load.backlog_s(now_s) * slow
    read_s = part_s * slow
    writers = load.writers
    pass_s = load.pass_s(profile) * slow if writers else 0.0
    cost = candidate.penalty
    for writer in writers:
        before = _risk(pass_s + backlog_s, writer.pause_goal_s, policy)
        after = _risk(pass_s + backlog_s + read_s, writer.pause_goal_s, policy)
        cost += writer.value * policy.late_loss_ratio * (after - before)
    cost += policy.backlog_value_per_s * (backlog_s + 0.5 * read_s)
    cost += policy.stream_value * len(writers)
    cost += policy.spread_value * candidate.order
    # Work that comes during a pass waits for its end, and for its own pass.
    ready_s = policy.network_s + backlog_s + read_s + 1.5 * pass_s
    return _Rated(candidate, cost, ready_s)


def _can_answer(candidate: Candidate, profile: EngineProfile) -> bool:
    return candidate.startable and candidate.load.requests < profile.slots


def _memory_left(candidate: Candidate, capacity: int) -> int:
    return capacity - candidate.load.kv_tokens


def _risk(expected_s: float, limit_s: float, policy: PlacementPolicy) -> float:
    """Chance that something expected to take this long exceeds a limit."""
    if limit_s <= 0.0:
        return 1.0
    span = policy.certain_ratio - policy.safe_ratio
    ratio = (expected_s / limit_s - policy.safe_ratio) / span
    return min(1.0, max(0.0, ratio))
