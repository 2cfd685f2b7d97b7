"""State and policy that all requests of an entry share."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from gentianhoist.admission import FleetAdmission
from gentianhoist.backoff import ServerPauses
from gentianhoist.dispatch._fleet_slots import FleetSlots
from gentianhoist.fleet import (
    BackendServer,
    Directory,
    RoutingReplica,
    ServerGroup,
)
from gentianhoist.hashing import rendezvous_weight
from gentianhoist.http1 import ConnectionPool, OpenConnections, PoolLimits
from gentianhoist.placement import (
    CommitmentLedger,
    ExpectedValue,
    PlacementQueue,
    PlacementRule,
    QueueOrder,
)
from gentianhoist.quotas import SharedQuota
from gentianhoist.ratelimits import RateLimits, TurnQueue
from gentianhoist.serverhealth import ServerHealthRegistry
from gentianhoist.slotturns import SlotTurns
from gentianhoist.slowstart import ListedServer, SlowStarts

__all__ = ["DispatchPolicy", "DispatchState"]


_ORDER_SEED = "streams"
_ORDER_COST = 0.03
# Random part of an engine's rank in the order that all entries share, for each other
# entry whose choices are heard of. At the maximum the order hardly matters.
_SPREAD_PER_ENTRY = 0.1
_MAX_SPREAD = 3.0
# Part of the known entries that have to be heard from, so that the loads are known.
_MIN_HEARD_RATIO = 0.75


class DispatchPolicy(NamedTuple):
    """Limits and timeouts of an entry's requests.

    Attributes:
        min_entries: Smallest number of entries that shared limits are divided by. Each
            entry keeps to its share without coordination.
        entry_headroom_ratio: Factor on the number of known entries before limits are
            divided by it, because further entries may just be starting.
        retry_ratio: Retries that each request adds to the retry budget.
        retry_budget_capacity: Capacity of the retry budget of one server group, in
            retries; the entries divide it between them.
        cold_rate_ratio: Fraction of a cold server's request rate limit that is used.
        max_sends: Maximum sends of one request, including sends that a server reported
            as not executed.
        response_margin_s: Seconds before the end of the caller's timeout by which the
            response is sent at the latest.
        max_non_idempotent_idle_s: Maximum seconds that a reused connection may have
            been idle when it carries a request that must not run twice.
        kv_lease_s: Lease of a KV cache reservation, in seconds.
        response_timeout_ratio: Response timeout as a multiple of the route's latency
            goal, applied where another server may run the request.
        min_response_timeout_s: Lower bound of that timeout, in seconds.
        first_event_timeout_ratio: Timeout for a stream's first event as a multiple of
            its expected time.
        stall_timeout_ratio: Timeout for the next event of a stream as a multiple of the
            route's pause goal.
        connect_timeout_s: Timeout for opening a connection, in seconds.
        unacknowledged_timeout_s: Seconds that sent bytes may remain unacknowledged.
        placement_rule: Rule that chooses engines for a prompt.
        queue_order: Order in which queued prompts are placed.
    """

    min_entries: int = 8
    entry_headroom_ratio: float = 1.25
    retry_ratio: float = 0.18
    retry_budget_capacity: float = 80.0
    cold_rate_ratio: float = 0.9
    max_sends: int = 4
    response_margin_s: float = 0.03
    max_non_idempotent_idle_s: float = 0.25
    kv_lease_s: float = 3.0
    response_timeout_ratio: float = 2.0
    min_response_timeout_s: float = 0.2
    first_event_timeout_ratio: float = 3.0
    stall_timeout_ratio: float = 3.0
    connect_timeout_s: float = 0.4
    unacknowledged_timeout_s: float = 2.0
    placement_rule: PlacementRule = ExpectedValue()
    queue_order: QueueOrder = QueueOrder.BY_VALUE


class DispatchState:
    """Routing state, connection pools and budgets shared by an entry's requests.

    Args:
        policy: Limits and timeouts.
        seed: Seed of the random choices, None for an arbitrary one.
        host: IP address of the entry.
        max_connections: Connections to servers that may be open, None for no limit.

    Attributes:
        routing: Routing configuration that the entry uses.
        directory: Backend servers, and availability zones out of service.
        ledger: Commitments of all entries on every engine.
        server_health: Health of the backend servers, from the results of requests.
        rng: Source of randomness.
        slow_starts: Limits the requests to servers that started or recovered.
        rate_limits: Rate limits that servers name.
        pauses: Pauses that servers name in refusals.
        slot_turns: Order in which entries claim slots of full engines.
        admission: Decides by the use of the whole fleet which prompts are placed.
        queue: Prompts that wait for engines.
        outstanding: Number of sent requests that have not ended, by server id.
    """

    def __init__(
        self,
        policy: DispatchPolicy,
        seed: int | None = None,
        host: str = "",
        max_connections: int | None = None,
    ) -> None:
        self.policy = policy
        self.routing = RoutingReplica()
        self.directory = Directory()
        self.ledger = CommitmentLedger()
        self.server_health = ServerHealthRegistry()
        self.rng = random.Random(seed)
        self.slow_starts = SlowStarts(
            host, policy.cold_rate_ratio, policy.min_entries, self.rng
        )
        self.rate_limits = RateLimits(host, self.rng)
        self.pauses = ServerPauses(self.rng)
        self.slot_turns = SlotTurns(host)
        self.admission = FleetAdmission(FleetSlots(self), self.rng)
        self.ledger.set_listener(self.admission)
        self.queue = PlacementQueue(policy.queue_order, self.admission)
        self.outstanding: dict[str, int] = {}
        # Until this entry hears the others, it knows nothing of their choices.
        self._spread = _MAX_SPREAD
        self._assumed_entries = policy.min_entries
        self._engine_order: dict[str, float] = {}
        self._pools: dict[tuple[str, str, int], ConnectionPool] = {}
        self._open_connections = OpenConnections(max_connections, self._pools.values)
        self._retry_quotas: dict[str, SharedQuota] = {}
        self._turns: dict[str, TurnQueue] = {}

    def set_entry_count(self, count: int) -> None:
        """Set the number of known entries and resize the retry budgets.

        The retry budgets and the rate limits of cold starts shrink at once when other
        entries appear, and grow back when the registry no longer lists these entries.
        The connection limit of an existing pool doesn't change. The number that limits
        are divided by is larger than the known one, see `DispatchPolicy`.

        Args:
            count: Number of known entries, including this one.
        """
        ratio = self.policy.entry_headroom_ratio
        entries = max(self.policy.min_entries, math.ceil(ratio * count))
        if entries == self._assumed_entries:
            return
        self._assumed_entries = entries
        for quota in self._retry_quotas.values():
            quota.resize(self._retry_quota_capacity)

    @property
    def assumed_entries(self) -> int:
        """Number of entries that limits are divided by."""
        return self._assumed_entries

    @property
    def _retry_quota_capacity(self) -> float:
        return self.policy.retry_budget_capacity / self._assumed_entries

    def pool(self, server: BackendServer, group: ServerGroup) -> ConnectionPool:
        """The connection pool of one incarnation of a server."""
        pool = self._pools.get(server.incarnation)
        if pool is None:
            limit = max(2, group.max_connections // self._assumed_entries)
            limits = PoolLimits(
                max_connections=limit,
                connect_timeout_s=self.policy.connect_timeout_s,
                unacknowledged_timeout_s=self.policy.unacknowledged_timeout_s,
            )
            pool = ConnectionPool(
                server.host, server.port, limits, self._open_connections
            )
            self._pools[server.incarnation] = pool
        return pool

    def preference_cost(self, server_id: str) -> float:
        """Cost added to an engine in the choice; lower is preferred."""
        return _ORDER_COST * self.engine_rank(server_id)

    def engine_rank(self, server_id: str) -> float:
        """Rank of an engine for one choice; lower is preferred.

        All entries share one order of engines, so that streams concentrate on the first
        ones and others stay free for long prompts. Entries that choose before they
        receive each other's commitments must not all choose the same engine, so a part
        of the rank is random: see `set_heard_entries`.
        """
        return self.engine_order(server_id) + self._spread * self.rng.random()

    def set_heard_entries(self, heard: int, known: int) -> None:
        """Set how many of the known entries this one hears, itself included.

        The more entries there are, the more choose at the same moment. An entry that
        doesn't hear the others, as after a start of all at once, chooses at random.

        Args:
            heard: Entries whose messages arrive now.
            known: Entries that are registered or heard, 0 if that isn't known yet.
        """
        self.admission.set_heard_entries(heard, known)
        if not known or heard < _MIN_HEARD_RATIO * known:
            self._spread = _MAX_SPREAD
        else:
            self._spread = min(_MAX_SPREAD, _SPREAD_PER_ENTRY * heard)

    def engine_order(self, server_id: str) -> float:
        """Place of an engine in the order that all entries share, from 0 to 1."""
        order = self._engine_order.get(server_id)
        if order is None:
            order = rendezvous_weight(_ORDER_SEED, server_id) / 2**64
            self._engine_order[server_id] = order
        return order

    def retry_quota(self, group: str) -> SharedQuota:
        """This entry's part of the retries to a server group."""
        quota = self._retry_quotas.get(group)
        if quota is None:
            quota = SharedQuota(self.policy.retry_ratio, self._retry_quota_capacity)
            self._retry_quotas[group] = quota
        return quota

    def turns(self, group: str) -> TurnQueue:
        """Requests without streaming that wait for the rate limits of a server group.

        The prompts for engines wait in `queue`.
        """
        return self._turns.setdefault(group, TurnQueue())

    def is_within_cold_limit(
        self, server: BackendServer, group: ServerGroup, now_s: float
    ) -> bool:
        """Whether an engine's slow start permits one more prompt on it.

        Engines that have not started or recovered recently have no such limit.
        """
        requests = self.ledger.load(server.id).requests
        return self.slow_starts.may_start(server, group, requests, now_s)

    def find_listed(self, server_id: str, now_s: float) -> ListedServer | None:
        """Return a usable server with its group, None if either is unknown."""
        server = self.directory.find_usable(server_id, now_s)
        configuration = self.routing.current
        if server is None or configuration is None:
            return None
        group = configuration.groups.get(server.group)
        return None if group is None else ListedServer(server, group)

    def record_sent(self, server: BackendServer, now_s: float) -> None:
        """Record a request that is being sent to a server."""
        self.outstanding[server.id] = self.outstanding.get(server.id, 0) + 1
        self.pauses.record_sent(server, now_s)
        self.slow_starts.record_sent(server, now_s)

    def record_finished(self, server: BackendServer) -> None:
        """Record the end of a request that was sent to a server."""
        self.outstanding[server.id] -= 1

    def prune_removed_servers(self) -> list[BackendServer]:
        """Drop the state of removed server incarnations; returns present servers."""
        present = list(self.directory.servers.values())
        incarnations = {server.incarnation for server in present}
        for removed in self._pools.keys() - incarnations:
            self._pools.pop(removed).close()
        self.server_health.keep_only(incarnations)
        self.rate_limits.keep_only(incarnations)
        self.pauses.keep_only(incarnations)
        for removed_id in self._engine_order.keys() - self.directory.servers.keys():
            del self._engine_order[removed_id]
        self.slow_starts.keep_only(incarnations)
        return present

    def close(self) -> None:
        """Close the connection pools."""
        for pool in self._pools.values():
            pool.close()
