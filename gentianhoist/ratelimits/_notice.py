"""What one response of a backend server says about its rate limit."""

from __future__ import annotations

from dataclasses import dataclass

from gentianhoist.http1 import parse_decimal

__all__ = [
    "LimitNamed",
    "LimitNotice",
    "LimitUnreadable",
    "NoLimitNamed",
    "parse_rate_limit",
]


# Characters of an unreadable value that are kept for the log.
_MAX_TEXT = 64


@dataclass(frozen=True)
class LimitNamed:
    """The response names a limit.

    Attributes:
        requests_per_s: Requests per second that the server takes from all entries
            together.
    """

    requests_per_s: float


@dataclass(frozen=True)
class NoLimitNamed:
    """The response names no limit."""


@dataclass(frozen=True)
class LimitUnreadable:
    """The response names something that isn't a limit.

    Attributes:
        text: The beginning of what it names.
    """

    text: str


LimitNotice = LimitNamed | NoLimitNamed | LimitUnreadable


def parse_rate_limit(text: str | None) -> LimitNotice:
    """Parse the limit in a response.

    Args:
        text: A decimal number of requests per second, or None if there is none.

    Example:
        >>> parse_rate_limit("1.3")
        LimitNamed(requests_per_s=1.3)
        >>> parse_rate_limit("-1")
        LimitUnreadable(text='-1')
    """
    if text is None:
        return NoLimitNamed()
    requests_per_s = parse_decimal(text)
    if requests_per_s is None:
        return LimitUnreadable(text[:_MAX_TEXT])
    return LimitNamed(requests_per_s)
