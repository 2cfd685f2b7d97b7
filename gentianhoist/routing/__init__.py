"""Routing: which backend server an entry asks first, and which after it."""

from gentianhoist.routing._cache_map import CacheMap
from gentianhoist.routing._estimate import BackendView, Demand, expected_first_token_s
from gentianhoist.routing._lanes import LongLane
from gentianhoist.routing._prefix import (
    PrefixMark,
    count_tokens,
    prefix_marks,
)
from gentianhoist.routing._retry_budget import RetryBudget
from gentianhoist.routing._subset import choose_subset, rendezvous_weight
from gentianhoist.routing.core import (
    ExpectedFirstToken,
    LeastOutstanding,
    RoundRobin,
    RoutingPolicy,
    rank_backends,
)

__all__ = [
    "BackendView",
    "CacheMap",
    "Demand",
    "ExpectedFirstToken",
    "LeastOutstanding",
    "LongLane",
    "PrefixMark",
    "RetryBudget",
    "RoundRobin",
    "RoutingPolicy",
    "choose_subset",
    "count_tokens",
    "expected_first_token_s",
    "prefix_marks",
    "rank_backends",
    "rendezvous_weight",
]
