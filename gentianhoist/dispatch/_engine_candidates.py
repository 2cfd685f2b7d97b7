"""Engines that are weighed for one prompt, with what this entry knows of them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from gentianhoist.dispatch._state import DispatchState
from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.placement import (
    UNAVAILABLE,
    Candidate,
    FleetLoad,
    ShortlistPolicy,
    make_shortlist,
)
from gentianhoist.slotturns import SlotTurns, is_scarce

__all__ = ["EngineCandidates", "all_candidates", "shortlisted_candidates"]

# Value of leaving an engine that names a rate limit to requests that need it more.
_RATE_LIMITED_COST = 0.1
# Requests that an engine weighs more that failed recently or has turned slow, and one
# that names a rate limit.
_SUSPECT_REQUESTS = 3.0
_LIMITED_REQUESTS = 2.0


class EngineCandidates(NamedTuple):
    """Engines to weigh.

    Attributes:
        candidates: The engines.
        fleet_load: Load of all engines, also of those that are not weighed.
        is_complete: Whether all engines are weighed.
    """

    candidates: list[Candidate]
    fleet_load: FleetLoad
    is_complete: bool


def shortlisted_candidates(
    state: DispatchState,
    group: ServerGroup,
    servers: Sequence[BackendServer],
    now_s: float,
    policy: ShortlistPolicy,
) -> EngineCandidates:
    """Select the engines that are worth weighing.

    Args:
        state: State that all requests share.
        group: Server group of the engines.
        servers: Engines that may be chosen.
        now_s: Current time on the entry's clock, in seconds.
        policy: Which engines are worth weighing.
    """
    shortlist = make_shortlist(
        servers,
        state.ledger,
        now_s,
        rank_idle=lambda server: state.engine_rank(server.id),
        extra_requests=_extra_requests(state, group, servers, now_s),
        policy=policy,
    )
    turns = _turns(state, group, len(servers), shortlist.fleet_load)
    return EngineCandidates(
        all_candidates(state, group, shortlist.servers, now_s, turns),
        shortlist.fleet_load,
        len(shortlist.servers) == len(servers),
    )


def all_candidates(
    state: DispatchState,
    group: ServerGroup,
    servers: Sequence[BackendServer],
    now_s: float,
    turns: SlotTurns | None = None,
) -> list[Candidate]:
    """Return each of some engines as a candidate.

    Args:
        state: State that all requests share.
        group: Server group of the engines.
        servers: The engines.
        now_s: Current time on the entry's clock, in seconds.
        turns: Order of the entries' claims, None while slots are plentiful.
    """
    return [_candidate(state, group, server, now_s, turns) for server in servers]


def _turns(
    state: DispatchState, group: ServerGroup, engines: int, fleet_load: FleetLoad
) -> SlotTurns | None:
    """Return the order of the entries' claims, if they may claim the same slots."""
    if group.engine is None:
        return None
    free_slots = engines * group.engine.slots - fleet_load.requests
    return state.slot_turns if is_scarce(free_slots, state.slot_turns.entries) else None


def _candidate(
    state: DispatchState,
    group: ServerGroup,
    server: BackendServer,
    now_s: float,
    turns: SlotTurns | None,
) -> Candidate:
    limits = state.rate_limits
    load = state.ledger.load(server.id)
    is_limited = limits.limit_per_s(server) is not None
    limited_cost = _RATE_LIMITED_COST if is_limited else 0.0
    health = state.server_health.get(server.incarnation)
    return Candidate(
        server,
        load,
        health.slowness(now_s),
        health.penalty(now_s),
        state.preference_cost(server.id) + limited_cost,
        state.is_within_cold_limit(server, group, now_s),
        not is_limited or limits.can_send(server, now_s),
        is_claimable=turns is None or turns.may_claim(load.last_ended, now_s),
    )


def _extra_requests(
    state: DispatchState,
    group: ServerGroup,
    servers: Sequence[BackendServer],
    now_s: float,
) -> Callable[[BackendServer], float] | None:
    """Return how much more engines weigh that fail, are limited or start.

    One that starts and takes a request now weighs no more: it has little other work.
    """
    limits = state.rate_limits
    suspects = state.server_health.suspects(now_s)
    has_limits = len(limits) > 0
    has_slow_starts = len(state.slow_starts) > 0 or any(
        now_s < server.cold_until_s for server in servers
    )
    if not (suspects or has_limits or has_slow_starts):
        return None

    def extra_requests(server: BackendServer) -> float:
        if not state.is_within_cold_limit(server, group, now_s):
            return UNAVAILABLE
        extra = 0.0
        if suspects and server.incarnation in suspects:
            extra += _SUSPECT_REQUESTS
        if has_limits and limits.limit_per_s(server) is not None:
            if not limits.can_send(server, now_s):
                return UNAVAILABLE
            extra += _LIMITED_REQUESTS
        return extra

    return extra_requests
