"""Limit of the connections that several pools have open together."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from gentianhoist.http1._client import PoolExhausted

__all__ = ["OpenConnections", "PoolWithIdle"]


class PoolWithIdle(Protocol):
    """Pool that may have connections that no request uses."""

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest, if there is one."""
        ...


class OpenConnections:
    """Counts the connections of some pools, each of which needs a descriptor.

    Args:
        max_count: Number that may be open, None for no limit.
        pools: Returns the pools.
    """

    def __init__(
        self, max_count: int | None, pools: Callable[[], Iterable[PoolWithIdle]]
    ) -> None:
        self._max_count = max_count
        self._pools = pools
        self._count = 0

    def open_one(self) -> None:
        """Count a connection that is about to be opened.

        Raises:
            PoolExhausted: If there are too many, and none is idle.
        """
        if self._max_count is not None and self._count >= self._max_count:
            if not any(pool.close_oldest_idle() for pool in self._pools()):
                raise PoolExhausted
        self._count += 1

    def close_one(self) -> None:
        """Count a connection that was closed, or couldn't be opened."""
        self._count -= 1
