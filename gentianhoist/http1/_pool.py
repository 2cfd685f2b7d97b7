"""Pool of persistent connections to one server."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.http1._client import ClientConnection, PoolExhausted
from gentianhoist.http1._open_connections import OpenConnections

__all__ = ["ConnectionPool", "AcquiredConnection", "PoolLimits"]

# Connections are not reused for this long before their keep-alive timeout ends: the
# server could close one while a request is on its way.
_KEEP_ALIVE_MARGIN_S = 0.7


class PoolLimits(NamedTuple):
    """Limits of the connections to one server.

    Attributes:
        max_connections: Maximum number of open connections.
        connect_timeout_s: Timeout for opening a connection, in seconds.
        unacknowledged_timeout_s: Seconds that sent bytes may remain without a TCP
            acknowledgement before the connection fails.
        default_keep_alive_s: Keep-alive timeout of servers that send none in a
            Keep-Alive header, in seconds.
    """

    max_connections: int = 64
    connect_timeout_s: float = 0.4
    unacknowledged_timeout_s: float = 2.0
    default_keep_alive_s: float = 4.0


class AcquiredConnection(NamedTuple):
    """A connection of the pool, in exclusive use for one request.

    Attributes:
        connection: The connection.
        is_new: Whether no request was sent on the connection before.
    """

    connection: ClientConnection
    is_new: bool


class ConnectionPool:
    """Persistent connections to one server.

    Args:
        host: IP address of the server.
        port: TCP port of the server.
        limits: Limits of the connections.
        open_connections: Counts them together with those of other pools.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limits: PoolLimits,
        open_connections: OpenConnections | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._limits = limits
        self._idle: list[ClientConnection] = []
        self._open_count = 0
        self._all_open = open_connections or OpenConnections(None, tuple)

    @property
    def address(self) -> str:
        """IP address and port of the server."""
        return f"{self._host}:{self._port}"

    @property
    def open_connections(self) -> int:
        """Number of connections that are in use or idle."""
        return self._open_count

    async def acquire(
        self, *, max_idle_s: float = float("inf"), is_named: bool = False
    ) -> AcquiredConnection:
        """Acquire an idle connection, or open one.

        Args:
            max_idle_s: Maximum seconds that a reused connection may have been idle.
            is_named: Whether the response will name its request. A connection carries
                only requests of one kind: a late response that names none could be that
                to any request after it.

        Raises:
            PoolExhausted: If no idle connection can be reused and the maximum is open.
            ConnectionFailed: If no idle connection can be reused and opening one fails.
        """
        idle_connection = self._pop_idle(max_idle_s, is_named)
        if idle_connection is not None:
            return AcquiredConnection(idle_connection, is_new=False)
        if self._open_count >= self._limits.max_connections:
            self._close_other_kind(is_named)
        self._all_open.open_one()
        self._open_count += 1
        try:
            connection = await ClientConnection.open(
                self._host,
                self._port,
                self._limits.connect_timeout_s,
                self._limits.unacknowledged_timeout_s,
            )
        except BaseException:
            self._count_closed()
            raise
        connection.is_named = is_named
        return AcquiredConnection(connection, is_new=True)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool; it is closed if it can't be reused."""
        if not connection.usable:
            self._close_connection(connection)
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        while self._idle:
            self._close_connection(self._idle.pop())

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest, if there is one."""
        if not self._idle:
            return False
        self._close_connection(self._idle.pop(0))
        return True

    def close_expired(self) -> None:
        """Close idle connections whose keep-alive timeout is about to end."""
        for connection in list(self._idle):
            if not self._is_reusable(connection, float("inf")):
                self._idle.remove(connection)
                self._close_connection(connection)

    def _pop_idle(self, max_idle_s: float, is_named: bool) -> ClientConnection | None:
        self.close_expired()
        for connection in reversed(self._idle):
            if connection.is_named == is_named and self._is_reusable(
                connection, max_idle_s
            ):
                self._idle.remove(connection)
                return connection
        return None

    def _close_other_kind(self, is_named: bool) -> None:
        """Close an idle connection that carries the other kind of requests.

        Raises:
            PoolExhausted: If there is none.
        """
        for connection in self._idle:
            if connection.is_named != is_named:
                self._idle.remove(connection)
                self._close_connection(connection)
                return
        raise PoolExhausted

    def _is_reusable(self, connection: ClientConnection, max_idle_s: float) -> bool:
        keep_alive_s = connection.keep_alive_s
        timeout_s = (
            self._limits.default_keep_alive_s if keep_alive_s is None else keep_alive_s
        )
        now_s = asyncio.get_running_loop().time()
        idle_s = now_s - connection.idle_since_s
        return connection.usable and idle_s < min(
            timeout_s - _KEEP_ALIVE_MARGIN_S, max_idle_s
        )

    def _close_connection(self, connection: ClientConnection) -> None:
        self._count_closed()
        connection.close()

    def _count_closed(self) -> None:
        self._open_count -= 1
        self._all_open.close_one()
