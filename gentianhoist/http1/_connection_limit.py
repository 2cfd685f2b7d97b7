"""Limit of callers' connections, and which one is closed if there are too many."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto
from typing import Protocol

__all__ = ["ConnectionLimit", "ConnectionState", "EvictableConnection"]

# A caller that has connected, or got a response, has this long to send a request
# before others come first.
_MIN_IDLE_S = 1.0


class ConnectionState(Enum):
    """What a connection does at present.

    One is UNREAD if its caller has stopped to read a response, whatever else it does.
    """

    CLOSING = auto()
    IDLE = auto()
    RECEIVING = auto()
    WAITING_FOR_ROOM = auto()
    UNREAD = auto()
    BUSY = auto()


class EvictableConnection(Protocol):
    """Connection that can be closed to make room for another one."""

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response hasn't been passed to the network."""
        ...

    def evict(self) -> None:
        """Close the connection; a request that is being received is refused."""
        ...

    def refuse(self) -> None:
        """Close the connection, and refuse the request that its caller sends."""
        ...


class ConnectionLimit:
    """Keeps the number of connections within a limit.

    Closes those first that lose least, and never one whose request is being handled, or
    whose response is being read. Connections are kept by state, in the order in which
    they came into it.

    Args:
        max_connections: Number of connections that may be open.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._states: dict[EvictableConnection, ConnectionState] = {}
        # With the time since when a connection is in a state.
        self._members: dict[ConnectionState, dict[EvictableConnection, float]] = {
            state: {} for state in ConnectionState
        }

    @property
    def is_half_full(self) -> bool:
        """Whether half of the connections or more are open."""
        return 2 * len(self._states) >= self._max_connections

    def set_state(
        self, connection: EvictableConnection, state: ConnectionState, now_s: float
    ) -> None:
        """Take the state of a connection that is already counted.

        Args:
            connection: The connection; one that isn't counted is ignored.
            state: Its state.
            now_s: Present time.
        """
        known_state = self._states.get(connection)
        if known_state is not None and known_state is not state:
            self._put(connection, state, now_s)

    def add(self, connection: EvictableConnection, now_s: float) -> None:
        """Count a new connection, and close another one, or it, if there are too many.

        Args:
            connection: The connection.
            now_s: Present time.
        """
        while len(self._states) >= self._max_connections:
            evicted = next(self._candidates(now_s), None)
            if evicted is None:
                connection.refuse()
                return
            self.remove(evicted)
            evicted.evict()
        self._put(connection, ConnectionState.IDLE, now_s)

    def remove(self, connection: EvictableConnection) -> None:
        """Forget a connection; does nothing if it isn't counted."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._members[state][connection]

    def _put(
        self, connection: EvictableConnection, state: ConnectionState, now_s: float
    ) -> None:
        self.remove(connection)
        self._states[connection] = state
        self._members[state][connection] = now_s

    def _candidates(self, now_s: float) -> Iterator[EvictableConnection]:
        """Connections that may be closed, those that lose least first.

        Of those that wait for room the last one is the least likely to find some. Of
        the others the one is closed that has had the most time.
        """
        yield from self._delivered(ConnectionState.CLOSING)
        since_s = self._members[ConnectionState.IDLE]
        for connection in self._delivered(ConnectionState.IDLE):
            if now_s - since_s[connection] < _MIN_IDLE_S:
                break
            yield connection
        yield from reversed([*self._delivered(ConnectionState.WAITING_FOR_ROOM)])
        yield from self._members[ConnectionState.UNREAD]
        yield from self._delivered(ConnectionState.RECEIVING)
        yield from self._delivered(ConnectionState.IDLE)

    def _delivered(self, state: ConnectionState) -> Iterator[EvictableConnection]:
        """Connections in a state whose callers may lose no response."""
        for connection in self._members[state]:
            if not connection.has_unsent_bytes:
                yield connection
