"""What a caller's connection needs of its server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

from gentianhoist.http1._connection_limit import ConnectionLimit
from gentianhoist.http1._input_turns import InputTurns
from gentianhoist.http1._memory_monitor import CutRecord, MemoryMonitor
from gentianhoist.http1._responder import CallerRequest, Responder
from gentianhoist.http1.core import RequestLimits

if TYPE_CHECKING:
    from gentianhoist.http1._connection import Connection

__all__ = ["ConnectionServer", "Handler"]

# Writes the response to a request.
Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


class ConnectionServer(Protocol):
    """Server of a connection.

    Attributes:
        handler: Writes the response to a request.
        limits: Returns the current limits.
        on_refused: Called with the HTTP status when a request can't be read, and with
            what the parser says of it.
        on_cut: Called with each request that is given up while it is received.
        connections: All connections.
        is_draining: Whether each connection ends with its next response.
        turns: Shares the event loop's time between the connections.
        memory: Budget of received bytes, None without a limit.
        connection_limit: Limit of the connections, None without one.
    """

    handler: Handler
    limits: Callable[[], RequestLimits]
    on_refused: Callable[[int, str], None]
    on_cut: Callable[[CutRecord], None]
    connections: set[Connection]
    is_draining: bool
    turns: InputTurns
    memory: MemoryMonitor | None
    connection_limit: ConnectionLimit | None
