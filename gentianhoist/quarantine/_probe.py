"""Tells a backend server that crashed from a connection that was lost."""

from __future__ import annotations

from gentianhoist.fleet import BackendServer
from gentianhoist.http1 import ClientConnection, ConnectionFailed

__all__ = ["ConnectionProbe"]

_CONNECT_TIMEOUT_S = 0.4


class ConnectionProbe:
    """Opens a connection to the server and closes it.

    The host of a crashed process refuses connections. A server that is cut off, or
    whose machine is without power, does not respond at all: this entry can't tell
    which, and such a server isn't reported as down.
    """

    async def is_down(self, server: BackendServer) -> bool:
        """Whether the server's host refuses connections to its address."""
        try:
            connection = await ClientConnection.open(
                server.host, server.port, _CONNECT_TIMEOUT_S, _CONNECT_TIMEOUT_S
            )
        except ConnectionFailed as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.close()
        return False
