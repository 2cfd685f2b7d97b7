"""How connections of callers read from their transports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gentianhoist.http1._connection import Connection
from gentianhoist.http1._connection_server import ConnectionServer

__all__ = ["open_connection"]

# Bytes of a read, with a memory limit: what is read can't be refused any more.
_LIMITED_READ_BYTES = 16 * 1024


class _PlainConnection(Connection, asyncio.Protocol):
    """Connection that takes what its transport has read."""


class _LimitedConnection(Connection, asyncio.BufferedProtocol):
    """Connection that limits how much its transport reads at once.

    Args:
        server: The server.
        buffer: Buffer that all connections of the server share: bytes are copied from
            it before another connection reads.
    """

    def __init__(self, server: ConnectionServer, buffer: memoryview) -> None:
        super().__init__(server)
        self._buffer = buffer

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._buffer[:nbytes]))


def open_connection(server: ConnectionServer) -> Callable[[], Connection]:
    """Return what makes the protocol object of each connection of a server."""
    if server.memory is None:
        return lambda: _PlainConnection(server)
    buffer = memoryview(bytearray(_LIMITED_READ_BYTES))
    return lambda: _LimitedConnection(server, buffer)
