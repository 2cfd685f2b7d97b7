"""Connections to one server, kept for the next request."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.http1._client import ClientConnection, PoolExhausted

__all__ = ["ConnectionPool", "Lease", "PoolLimits"]

_KEEP_ALIVE_MARGIN_S = 0.7


class PoolLimits(NamedTuple):
    """Bounds of the connections to one server.

    Attributes:
        max_connections: Most connections open at once.
        connect_timeout_s: Seconds until an attempt to connect is given up.
        unacknowledged_timeout_s: Seconds that sent bytes may go without an
            acknowledgement.
        default_keep_alive_s: Seconds a connection is kept idle where the server names
            no time.
    """

    max_connections: int = 64
    connect_timeout_s: float = 0.4
    unacknowledged_timeout_s: float = 2.0
    default_keep_alive_s: float = 4.0


class Lease(NamedTuple):
    """A connection that one request has to itself.

    Attributes:
        connection: The connection.
        fresh: Whether no request was sent on it before.
    """

    connection: ClientConnection
    fresh: bool


class ConnectionPool:
    """Connections to one incarnation of one server.

    Args:
        host: IP number.
        port: TCP port.
        limits: Bounds.
    """

    def __init__(self, host: str, port: int, limits: PoolLimits) -> None:
        self._host = host
        self._port = port
        self._limits = limits
        self._idle: list[ClientConnection] = []
        self._open = 0

    @property
    def open_connections(self) -> int:
        """Connections leased or idle."""
        return self._open

    async def acquire(self, *, max_idle_s: float = float("inf")) -> Lease:
        """Lease a connection.

        Args:
            max_idle_s: Longest time that a kept connection may have been idle.

        Raises:
            ConnectionFailed: If there is none and none can be opened.
        """
        kept = self._take_idle(max_idle_s)
        if kept is not None:
            return Lease(kept, fresh=False)
        if self._open >= self._limits.max_connections:
            raise PoolExhausted
        self._open += 1
        try:
            connection = await ClientConnection.open(
                self._host,
                self._port,
                self._limits.connect_timeout_s,
                self._limits.unacknowledged_timeout_s,
            )
        except BaseException:
            self._open -= 1
            raise
        return Lease(connection, fresh=True)

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request, or close it if it can't be used."""
        if not connection.usable:
            self._drop(connection)
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._drop(self._idle.pop())

    def close_expired(self) -> None:
        """Close connections that the server is about to close."""
        for connection in list(self._idle):
            if not self._may_use(connection, float("inf")):
                self._idle.remove(connection)
                self._drop(connection)

    def _take_idle(self, max_idle_s: float) -> ClientConnection | None:
        self.close_expired()
        for connection in reversed(self._idle):
            if self._may_use(connection, max_idle_s):
                self._idle.remove(connection)
                return connection
        return None

    def _may_use(self, connection: ClientConnection, max_idle_s: float) -> bool:
        kept_s = connection.keep_alive_s
        limit_s = self._limits.default_keep_alive_s if kept_s is None else kept_s
        now_s = asyncio.get_running_loop().time()
        idle_s = now_s - connection.idle_since_s
        return connection.usable and idle_s < min(
            limit_s - _KEEP_ALIVE_MARGIN_S, max_idle_s
        )

    def _drop(self, connection: ClientConnection) -> None:
        self._open -= 1
        connection.close()
