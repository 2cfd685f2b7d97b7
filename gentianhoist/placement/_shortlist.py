"""Shortlist of the engines that are weighed for one prompt.

Weighing an engine costs far more than looking at its load. So the cost of a choice
hardly grows with the fleet if only those engines are weighed that may win: the least
loaded ones, and the first idle ones in the order that all entries share.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from heapq import nsmallest
from typing import NamedTuple

from gentianhoist.fleet import BackendServer
from gentianhoist.placement._ledger import CommitmentLedger

__all__ = [
    "GANG",
    "ONE_ENGINE",
    "UNAVAILABLE",
    "FleetLoad",
    "ShortlistPolicy",
    "Shortlist",
    "make_shortlist",
]

# Extra requests of an engine that takes none now.
UNAVAILABLE = 1e6
# Prefill backlog up to which an engine counts as idle for the load of the fleet.
_IDLE_BACKLOG_S = 0.15


class FleetLoad(NamedTuple):
    """Load of all engines together, those included that aren't on the shortlist.

    Attributes:
        idle_engines: Engines with hardly any prefill backlog.
        requests: Requests on all engines.
    """

    idle_engines: int
    requests: int


class ShortlistPolicy(NamedTuple):
    """Which engines are worth weighing.

    Attributes:
        size: Maximum number of engines on the list.
        backlog_per_request_s: Prefill backlog, in seconds, that weighs as much as one
            more request on an engine; infinite if it does not count.
    """

    size: int
    backlog_per_request_s: float


# For a prompt that one engine prefills, well within its latency goals.
ONE_ENGINE = ShortlistPolicy(64, 0.1)
# For a prompt that up to 17 engines share, and that can wait for others.
GANG = ShortlistPolicy(64, float("inf"))


class Shortlist(NamedTuple):
    """The engines that are weighed for one prompt.

    Attributes:
        servers: The engines.
        fleet_load: Load of all engines that could have been on the list.
    """

    servers: list[BackendServer]
    fleet_load: FleetLoad


def make_shortlist(
    servers: Sequence[BackendServer],
    ledger: CommitmentLedger,
    now_s: float,
    *,
    rank_idle: Callable[[BackendServer], float],
    extra_requests: Callable[[BackendServer], float] | None = None,
    policy: ShortlistPolicy = GANG,
) -> Shortlist:
    """Select the engines that are worth weighing.

    Args:
        servers: Engines that may be chosen.
        ledger: Commitments on them.
        now_s: Current time on the entry's clock, in seconds.
        rank_idle: Rank of an engine among idle ones, lower is preferred.
        extra_requests: Requests that an engine weighs more than its load says, or
            `UNAVAILABLE`; None if there is no such engine.
        policy: Which engines are worth weighing.
    """
    size = policy.size
    loads = ledger.loads
    idle: list[BackendServer] = []
    ranked: list[tuple[float, int]] = []
    requests = idle_engines = unrestricted = 0
    for position, server in enumerate(servers):
        load = loads.get(server.id)
        rank = 0.0
        if extra_requests is not None:
            rank = extra_requests(server)
        if load is not None:
            backlog_s = load.backlog_s(now_s)
            requests += load.requests
            idle_engines += rank < UNAVAILABLE and backlog_s <= _IDLE_BACKLOG_S
            rank += load.commitments + backlog_s / policy.backlog_per_request_s
        if rank:
            ranked.append((rank, position))
            unrestricted += rank < UNAVAILABLE
        else:
            idle.append(server)
    fleet_load = FleetLoad(idle_engines + len(idle), requests)
    if len(servers) <= size:
        return Shortlist(list(servers), fleet_load)
    # Idle engines are at most half of the list while others have work.
    max_idle = max(size // 2, size - unrestricted)
    if len(idle) > max_idle:
        idle = nsmallest(max_idle, idle, key=rank_idle)
    chosen = nsmallest(size - len(idle), ranked)
    return Shortlist(
        [*idle, *(servers[position] for _, position in chosen)], fleet_load
    )
