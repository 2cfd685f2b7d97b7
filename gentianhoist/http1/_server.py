"""HTTP/1.1 server: one protocol object per connection, one task per request."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from gentianhoist.http1._budget_limits import RECEIVE_BUFFER_BYTES, BudgetLimits
from gentianhoist.http1._connection import Connection
from gentianhoist.http1._connection_limit import ConnectionLimit
from gentianhoist.http1._connection_protocols import open_connection
from gentianhoist.http1._connection_server import Handler
from gentianhoist.http1._input_turns import InputTurns
from gentianhoist.http1._memory_monitor import CutRecord, MemoryMonitor
from gentianhoist.http1._receive_buffer import set_receive_buffer
from gentianhoist.http1.core import RequestLimits

__all__ = ["HttpServer"]

_log = logging.getLogger(__name__)

_LISTEN_BACKLOG = 1024


def _log_refused(status: int, cause: str) -> None:
    _log.info("request refused", extra={"status": status, "cause": cause})


class HttpServer:
    """HTTP/1.1 server that listens on one address.

    Args:
        handler: Writes the response to a request; cancelled if the caller disconnects.
        limits: Returns the current limits; called whenever a limit is checked.
        on_refused: Called with the HTTP status when a request can't be read, and with
            what the parser says of it; by default a line is logged.
        budget_limits: Limits of the bytes held for callers; None for no limit.
        on_cut: Called with each request or response that is given up, for that limit or
            since there isn't the time to parse it.
        max_connections: Connections that may be open, beside the limit of the memory;
            None for no limit.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits] = RequestLimits,
        on_refused: Callable[[int, str], None] = _log_refused,
        budget_limits: BudgetLimits | None = None,
        on_cut: Callable[[CutRecord], None] = lambda record: None,
        max_connections: int | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused
        self.on_cut = on_cut
        self.connections: set[Connection] = set()
        self.is_draining = False
        self.turns = InputTurns()
        self.memory: MemoryMonitor | None = None
        self.connection_limit: ConnectionLimit | None = None
        self._listen_backlog = _LISTEN_BACKLOG
        if budget_limits is not None:
            self._listen_backlog = budget_limits.listen_backlog
            max_connections = min(
                budget_limits.max_connections,
                max_connections or budget_limits.max_connections,
            )
            self.memory = MemoryMonitor(
                budget_limits,
                lambda: self.connections,
                lambda: self.limits().idle_timeout_s,
                on_cut,
            )
        if max_connections is not None:
            self.connection_limit = ConnectionLimit(max_connections)
        self._listener: asyncio.Server | None = None

    @property
    def busy_connections(self) -> int:
        """Number of connections that are not idle.

        A connection that is only receiving the body of a request counts as idle.
        """
        return sum(not connection.is_idle for connection in self.connections)

    @property
    def undelivered_connections(self) -> int:
        """Number of connections on which a part of a response isn't sent yet."""
        return sum(connection.has_unsent_bytes for connection in self.connections)

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> int:
        """Start to accept connections.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; 0 for any free port.
            listener: Socket that already listens; used in place of host and port.

        Returns:
            The TCP port that the server listens on.

        Raises:
            OSError: If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        if self.memory is not None:
            self.memory.start()
        if listener is not None:
            self._listener = await loop.create_server(
                open_connection(self), sock=listener, backlog=self._listen_backlog
            )
        else:
            self._listener = await loop.create_server(
                open_connection(self),
                host,
                port,
                backlog=self._listen_backlog,
                reuse_address=True,
            )
        if self.memory is not None:
            for sock in self._listener.sockets:
                set_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        return int(self._listener.sockets[0].getsockname()[1])

    def start_draining(self) -> None:
        """Continue to serve, but close each connection after its next response."""
        self.is_draining = True

    def stop_listening(self) -> None:
        """Start draining, accept no more connections and close the idle ones."""
        self.start_draining()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def close(self) -> None:
        """Stop listening, close idle connections and reset the others."""
        if self.memory is not None:
            self.memory.close()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close() if connection.is_idle else connection.abort()
