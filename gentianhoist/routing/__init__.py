"""Routing of prompts to backend servers that have a sidecar.

An entry keeps a local view of each backend server (reported load, own requests in
flight, cached prefixes) and chooses one by the rules of `gentianhoist.placement`.
"""

from gentianhoist.routing._estimate import BackendView, Prompt
from gentianhoist.routing._long_prompt_pool import LongPromptPool
from gentianhoist.routing._prefix import (
    PrefixHash,
    estimate_tokens,
    prefix_hashes,
)
from gentianhoist.routing._prefix_cache_index import PrefixCacheIndex
from gentianhoist.routing._retry_budget import RetryBudget
from gentianhoist.routing._subset import choose_subset
from gentianhoist.routing.core import MIN_TTFT_RULE, choose_backend

__all__ = [
    "MIN_TTFT_RULE",
    "BackendView",
    "PrefixCacheIndex",
    "LongPromptPool",
    "PrefixHash",
    "Prompt",
    "RetryBudget",
    "choose_backend",
    "choose_subset",
    "estimate_tokens",
    "prefix_hashes",
]
