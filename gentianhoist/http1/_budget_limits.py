"""How the memory and the descriptors of a process are divided between its callers."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

__all__ = [
    "CONNECTION_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "BudgetLimits",
    "Pool",
    "SocketLimits",
]

_MIB = 1024 * 1024
# An idle entry has 45 MiB. The rest is for its tables, for the copy that joins the
# parts of one body or response, and for memory that the allocator keeps.
_PROCESS_BYTES = 64 * _MIB
# Receive buffer of a connection in the kernel, as it is asked for and as it gets.
RECEIVE_BUFFER_BYTES = 16 * 1024
_MAX_UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
# Bytes that a connection has read and not parsed, and its objects.
_READ_BYTES = 16 * 1024
_OBJECTS_BYTES = 8 * 1024
CONNECTION_BYTES = _OBJECTS_BYTES + _READ_BYTES + _MAX_UNREAD_BYTES
# Parts of the budget, in sixteenths; the rest is for large requests.
_CONNECTIONS_PART = 4
_LISTEN_QUEUE_PART = 2
_SMALL_PART = 2
_RESPONSE_PART = 4
_PARTS = 16
_MAX_LISTEN_BACKLOG = 1024
_MIN_LISTEN_BACKLOG = 128
# Sockets that an entry needs to listen, and for the store and other entries.
_OWN_SOCKETS = 64
_MIN_CONNECTIONS = 16


class Pool(Enum):
    """Parts of the budget, of which none can use up another one."""

    CONNECTION = "connection"
    SMALL = "small"
    LARGE = "large"
    RESPONSE = "response"


class SocketLimits(NamedTuple):
    """Connections that a process may have open.

    Each request of a caller may need one to a backend server.

    Attributes:
        callers: Connections of callers.
        servers: Connections to backend servers.
    """

    callers: int
    servers: int

    @classmethod
    def for_process(cls, max_sockets: int) -> SocketLimits:
        """Divide what a process has beside its own needs.

        Args:
            max_sockets: Sockets that the process may open.
        """
        half = max(_MIN_CONNECTIONS, (max_sockets - _OWN_SOCKETS) // 2)
        return cls(half, half)


class BudgetLimits(NamedTuple):
    """Limits of a budget.

    Attributes:
        small_bytes: Bytes for heads and for bodies of up to `small_body_bytes`.
        large_bytes: Bytes for larger requests.
        response_bytes: Bytes for responses that callers haven't read.
        max_connections: Connections of callers that may be open.
        listen_backlog: Connections that may wait to be accepted.
        small_body_bytes: Largest hold in the pool for small ones.
        stall_s: Seconds without progress until a hold is cut while others wait.
        growth_wait_s: Seconds that a hold waits before newer ones that wait are cut.
        max_wait_s: Seconds that a hold waits for room until it is cut itself.
    """

    small_bytes: int
    large_bytes: int
    response_bytes: int
    max_connections: int = 1024
    listen_backlog: int = _MAX_LISTEN_BACKLOG
    small_body_bytes: int = 64 * 1024
    stall_s: float = 1.0
    growth_wait_s: float = 0.5
    max_wait_s: float = 2.0

    @classmethod
    def for_process(cls, memory_bytes: int) -> BudgetLimits:
        """Divide what a process has beside its own needs.

        Args:
            memory_bytes: Memory that the process may use.
        """
        budget_bytes = max(0, memory_bytes - _PROCESS_BYTES)
        connections_bytes = budget_bytes * _CONNECTIONS_PART // _PARTS
        listen_bytes = budget_bytes * _LISTEN_QUEUE_PART // _PARTS
        small_bytes = budget_bytes * _SMALL_PART // _PARTS
        response_bytes = budget_bytes * _RESPONSE_PART // _PARTS
        other_bytes = connections_bytes + listen_bytes + small_bytes + response_bytes
        backlog = max(_MIN_LISTEN_BACKLOG, listen_bytes // _MAX_UNREAD_BYTES)
        return cls(
            small_bytes,
            budget_bytes - other_bytes,
            response_bytes,
            max(_MIN_CONNECTIONS, connections_bytes // CONNECTION_BYTES),
            min(_MAX_LISTEN_BACKLOG, backlog),
        )
