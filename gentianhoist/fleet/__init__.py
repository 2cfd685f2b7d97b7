"""An entry's local replica of the fleet: backend servers, routes and organisations.

An entry is a process that accepts requests and forwards them to backend servers.
"""

from gentianhoist.fleet._directory import Directory, ServerListing
from gentianhoist.fleet._entry_registry import EntryRegistry, EntryRows
from gentianhoist.fleet._monotonic_replica import MonotonicReplica
from gentianhoist.fleet._routes import (
    Idempotency,
    Organisation,
    Route,
    RoutingConfiguration,
    RoutingReplica,
    WeightedGroup,
)
from gentianhoist.fleet._row_memory import FeedRow, KeptRow, RestorePolicy
from gentianhoist.fleet._table_copy import (
    NO_VERSION,
    FeedPage,
    PeerEntries,
    TableCopy,
    TableState,
)
from gentianhoist.fleet._table_follower import (
    ChangeFeed,
    FollowPolicy,
    HistoryLost,
    TableFollower,
)
from gentianhoist.fleet.core import (
    BackendServer,
    EngineProfile,
    ServerGroup,
    ServerState,
)

__all__ = [
    "NO_VERSION",
    "BackendServer",
    "ChangeFeed",
    "Directory",
    "EngineProfile",
    "EntryRegistry",
    "EntryRows",
    "FeedPage",
    "FeedRow",
    "FollowPolicy",
    "KeptRow",
    "MonotonicReplica",
    "HistoryLost",
    "Organisation",
    "PeerEntries",
    "Idempotency",
    "RestorePolicy",
    "Route",
    "RoutingConfiguration",
    "RoutingReplica",
    "ServerGroup",
    "ServerListing",
    "ServerState",
    "TableCopy",
    "TableFollower",
    "TableState",
    "WeightedGroup",
]
