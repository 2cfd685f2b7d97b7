"""Rate limits that backend servers name, kept by all entries together."""

from gentianhoist.ratelimits._exchange import RateLimitExchange, RateLimitPublisher
from gentianhoist.ratelimits._limited_server import LimitChange
from gentianhoist.ratelimits._notice import (
    LimitNamed,
    LimitNotice,
    LimitUnreadable,
    NoLimitNamed,
    parse_rate_limit,
)
from gentianhoist.ratelimits._permit import SendPermit
from gentianhoist.ratelimits._reports import Incarnation, RateLimitReport
from gentianhoist.ratelimits._turns import TurnQueue, expected_wait_s
from gentianhoist.ratelimits.core import RateLimits

__all__ = [
    "Incarnation",
    "LimitChange",
    "LimitNamed",
    "LimitNotice",
    "LimitUnreadable",
    "NoLimitNamed",
    "RateLimitExchange",
    "RateLimitPublisher",
    "RateLimitReport",
    "RateLimits",
    "SendPermit",
    "TurnQueue",
    "expected_wait_s",
    "parse_rate_limit",
]
