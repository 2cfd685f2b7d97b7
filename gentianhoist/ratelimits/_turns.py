"""Requests that wait until the rate limits of their servers allow another one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Sequence
from contextlib import asynccontextmanager

from gentianhoist.fleet import BackendServer
from gentianhoist.ratelimits.core import RateLimits

__all__ = ["TurnQueue", "expected_wait_s"]

# Upper bound where hardly anything is expected, for example of an entry that shares
# none of the limits.
_MAX_WAIT_S = 60.0


class TurnQueue:
    """Queue of the requests of one server group, first come, first served.

    All kinds of requests wait in one queue, so that none is preferred to another.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait, the first one included."""
        return self._waiting

    @asynccontextmanager
    async def turn(self) -> AsyncGenerator[None]:
        """Wait until no other request of the queue is ahead of this one."""
        self._waiting += 1
        try:
            async with self._lock:
                yield
        finally:
            self._waiting -= 1


def expected_wait_s(
    limits: RateLimits, servers: Sequence[BackendServer], ahead: int, now_s: float
) -> float:
    """Time until the rate limits of some servers should allow one more request.

    Args:
        limits: The rate limits.
        servers: Servers that may be chosen.
        ahead: Number of requests that wait for them already.
        now_s: Current time on the entry's clock.

    Returns:
        Seconds, with a bound.
    """
    if not servers:
        return _MAX_WAIT_S
    if any(limits.limit_per_s(server) is None for server in servers):
        return 0.0
    first_s = min(limits.next_send_s(server, now_s) for server in servers) - now_s
    rate_per_s = sum(limits.expected_rate_per_s(server, now_s) for server in servers)
    queue_s = ahead / rate_per_s if rate_per_s else (_MAX_WAIT_S if ahead else 0.0)
    return min(_MAX_WAIT_S, first_s + queue_s)
