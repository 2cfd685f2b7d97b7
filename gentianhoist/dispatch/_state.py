"""What all requests of an entry share."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from gentianhoist.fleet import (
    BackendServer,
    Directory,
    RoutingReplica,
    ServerGroup,
)
from gentianhoist.http1 import ConnectionPool, PoolLimits
from gentianhoist.placement import (
    ColdStartBudget,
    CommitmentLedger,
    EvidenceBook,
    ExpectedValue,
    PlacementQueue,
    PlacementRule,
    QueueOrder,
)
from gentianhoist.routing import RetryBudget, rendezvous_weight

__all__ = ["DispatchPolicy", "DispatchState"]


_ORDER_SEED = "streams"
_GATHER_VALUE = 0.03
_CHANCE_VALUE_PER_ENTRY = 0.003


class DispatchPolicy(NamedTuple):
    """Bounds of an entry's requests.

    Attributes:
        entries: The number of entries that each reckons with at the least; it keeps to
            its part of what all may do together.
        entries_ratio: Entries reckoned with for each one known, as some may just start.
        retry_ratio: Repeats allowed for each request.
        retry_reserve: Repeats that all entries together may save up.
        cold_reserve_ratio: Part of what a cold server bears that is used.
        max_sends: Sends of one request, those that did not run included.
        answer_margin_s: How long before a request's end its last answer is given.
        proven_idle_s: Longest idle time of a connection that is good enough for a
            request that must not run twice.
        hold_s: Lease of a reservation of KV memory.
        silent_ratio: Goals after which a silent server is given up, where the request
            may run elsewhere.
        min_patience_s: Seconds that every server is given before that.
        first_event_ratio: Expected times after which a stream's first event is overdue.
        pause_ratio: Pause goals after which a stream has stopped.
        connect_timeout_s: Seconds until an attempt to connect is given up.
        silence_s: Seconds that sent bytes may go unacknowledged.
        placement_rule: How engines are chosen.
        queue_order: Who goes first of those that wait for engines.
    """

    entries: int = 8
    entries_ratio: float = 1.25
    retry_ratio: float = 0.18
    retry_reserve: float = 80.0
    cold_reserve_ratio: float = 0.9
    max_sends: int = 4
    answer_margin_s: float = 0.03
    proven_idle_s: float = 0.25
    hold_s: float = 3.0
    silent_ratio: float = 2.0
    min_patience_s: float = 0.2
    first_event_ratio: float = 3.0
    pause_ratio: float = 3.0
    connect_timeout_s: float = 0.4
    silence_s: float = 2.0
    placement_rule: PlacementRule = ExpectedValue()
    queue_order: QueueOrder = QueueOrder.BY_VALUE


class DispatchState:
    """Views and budgets that an entry's requests share.

    Args:
        policy: Bounds.
        seed: Seeds the random choices.
    """

    def __init__(self, policy: DispatchPolicy, seed: int | None = None) -> None:
        self.policy = policy
        self.replica = RoutingReplica()
        self.directory = Directory()
        self.ledger = CommitmentLedger()
        self.evidence = EvidenceBook()
        self.rng = random.Random(seed)
        self.cold = ColdStartBudget(phase=self.rng.random())
        self.queue = PlacementQueue(policy.queue_order)
        self.outstanding: dict[str, int] = {}
        self.live_entries = 1
        self._entries = policy.entries
        self._orders: dict[str, float] = {}
        self._pools: dict[tuple[str, str, int], ConnectionPool] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def set_entry_count(self, count: int) -> None:
        """Take the number of entries, this one included, that are known of.

        An entry's parts shrink at once when others appear. They grow back when the
        registry no longer has those.
        """
        ratio = self.policy.entries_ratio
        entries = max(self.policy.entries, math.ceil(ratio * count))
        if entries == self._entries:
            return
        self._entries = entries
        for budget in self._budgets.values():
            budget.resize(self._retry_reserve)

    @property
    def _retry_reserve(self) -> float:
        return self.policy.retry_reserve / self._entries

    def pool(self, server: BackendServer, group: ServerGroup) -> ConnectionPool:
        """Connections to one incarnation of a server."""
        pool = self._pools.get(server.incarnation)
        if pool is None:
            limit = max(2, group.max_connections // self._entries)
            limits = PoolLimits(
                open_connections=limit,
                connect_timeout_s=self.policy.connect_timeout_s,
                silence_s=self.policy.silence_s,
            )
            pool = ConnectionPool(server.host, server.port, limits)
            self._pools[server.incarnation] = pool
        return pool

    def stream_order(self, server_id: str) -> float:
        """Value of leaving an engine alone, other things being equal.

        Streams gather on engines that come first in an order that all entries share,
        so that others stay free for long prompts. Entries that choose within the time
        that news take must not all take the same engine, so chance has the more weight
        the more entries there are.
        """
        order = self._orders.get(server_id)
        if order is None:
            order = rendezvous_weight(_ORDER_SEED, server_id) / 2**64
            self._orders[server_id] = order
        chance = _CHANCE_VALUE_PER_ENTRY * self.live_entries
        return _GATHER_VALUE * order + chance * self.rng.random()

    def budget(self, group: str) -> RetryBudget:
        """The entry's part of the repeats to a group."""
        budget = self._budgets.get(group)
        if budget is None:
            budget = RetryBudget(self.policy.retry_ratio, self._retry_reserve)
            self._budgets[group] = budget
        return budget

    def may_start_cold(
        self, server: BackendServer, group: ServerGroup, now_s: float
    ) -> bool:
        """Whether a server's cold start, if it is in one, bears another request."""
        if not group.cold_requests_per_s or now_s >= server.cold_until_s:
            return True
        rate = group.cold_requests_per_s * self.policy.cold_reserve_ratio
        return self.cold.allows(server.id, rate, self._entries, now_s)

    def note_sent(self, server: BackendServer, now_s: float) -> None:
        """Take note of a request that is being sent."""
        self.outstanding[server.id] = self.outstanding.get(server.id, 0) + 1
        if now_s < server.cold_until_s:
            self.cold.sent(server.id, now_s)

    def note_done(self, server: BackendServer) -> None:
        """Take note that a request sent has ended."""
        self.outstanding[server.id] -= 1

    def prune_removed_servers(self) -> list[BackendServer]:
        """Drop what belongs to incarnations that are gone; returns the present ones."""
        present = list(self.directory.servers.values())
        incarnations = {server.incarnation for server in present}
        for gone in self._pools.keys() - incarnations:
            self._pools.pop(gone).close()
        self.evidence.keep_only(incarnations)
        for gone_id in self._orders.keys() - self.directory.servers.keys():
            del self._orders[gone_id]
        self.cold.keep_only({server.id for server in present})
        return present

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
