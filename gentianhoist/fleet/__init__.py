"""What an entry believes of the fleet: backend servers, routes, organisations."""

from gentianhoist.fleet._copies import FeedPage, FeedRow, OtherEntries, TableCopy
from gentianhoist.fleet._directory import Directory, ServerListing
from gentianhoist.fleet._follower import (
    ChangeFeed,
    FollowPolicy,
    HistoryLost,
    TableFollower,
)
from gentianhoist.fleet._registry import EntryRegistry, EntryRows
from gentianhoist.fleet._replica import MonotonicReplica
from gentianhoist.fleet._routes import (
    Idempotency,
    Organisation,
    Route,
    RoutingConfiguration,
    RoutingReplica,
    WeightedGroup,
)
from gentianhoist.fleet.core import (
    BackendServer,
    EngineProfile,
    ServerGroup,
    ServerState,
)

__all__ = [
    "BackendServer",
    "ChangeFeed",
    "Directory",
    "EngineProfile",
    "EntryRegistry",
    "EntryRows",
    "FeedPage",
    "FeedRow",
    "FollowPolicy",
    "MonotonicReplica",
    "HistoryLost",
    "Organisation",
    "OtherEntries",
    "Idempotency",
    "Route",
    "RoutingConfiguration",
    "RoutingReplica",
    "ServerGroup",
    "ServerListing",
    "ServerState",
    "TableCopy",
    "TableFollower",
    "WeightedGroup",
]
