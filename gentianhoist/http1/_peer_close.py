"""Whether a server that ended a connection did so after it had read the request.

A response without a length ends with its connection. A server that closes before it has
read the whole request resets the connection as soon as more of the request arrives, and
its response may be a part only. The end of its data comes first, and alone it looks
like that of a complete response.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

__all__ = ["ConnectionState", "PeerClose", "PeerCloseCheck", "decide_peer_close"]

# A reset follows within a round trip of further bytes. A server that has ended only its
# own side may take longer than this to read the request, and its response must not be
# held back for that.
_MAX_WAIT_S = 0.5
_POLL_INTERVAL_S = 0.005
# TCP_INFO begins with the state of the connection, one byte, which is this after a
# reset or a timeout.
_TCP_CLOSE = 7
_TCP_STATE_BYTES = 1
_COUNT = struct.Struct("i")


class ConnectionState(NamedTuple):
    """State of a connection whose peer has ended its side.

    Attributes:
        is_reset: Whether the connection was reset, or timed out.
        unacknowledged_bytes: Bytes of the request that were not sent, or that the
            server's system has not acknowledged.
    """

    is_reset: bool
    unacknowledged_bytes: int


class PeerClose(Enum):
    """What the end of a server's data says about a response without a length."""

    COMPLETE = auto()
    BROKEN = auto()
    UNDECIDED = auto()


def decide_peer_close(
    state: ConnectionState, first: ConnectionState, waited_s: float
) -> PeerClose:
    """Decide what the end of a server's data means.

    Args:
        state: Present state of the connection.
        first: Its state when the end arrived.
        waited_s: Seconds since the end arrived.

    Example:
        >>> sent = ConnectionState(False, 0)
        >>> decide_peer_close(sent, sent, 0.0)
        <PeerClose.COMPLETE: 1>
        >>> sending = ConnectionState(False, 9)
        >>> decide_peer_close(sending, sending, 0.0)
        <PeerClose.UNDECIDED: 3>
    """
    if state.is_reset:
        return PeerClose.BROKEN
    if not state.unacknowledged_bytes:
        return PeerClose.COMPLETE
    if waited_s < _MAX_WAIT_S:
        return PeerClose.UNDECIDED
    is_taking = state.unacknowledged_bytes < first.unacknowledged_bytes
    return PeerClose.COMPLETE if is_taking else PeerClose.BROKEN


class PeerCloseCheck:
    """Observes a connection from the end of the server's data until it is decided.

    Args:
        on_decided: Called once with the decision.
    """

    def __init__(self, on_decided: Callable[[PeerClose], None]) -> None:
        self._on_decided = on_decided
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._first: ConnectionState | None = None
        self._began_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether it is undecided, so that the connection has to stay open."""
        return self._timer is not None

    def begin(self, transport: asyncio.Transport) -> None:
        """Begin at the end of the server's data; further calls have no effect."""
        if self._transport is not None:
            return
        self._transport = transport
        self._began_s = self._loop.time()
        self._check()

    def cancel(self) -> None:
        """Stop without a decision."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        assert self._transport is not None
        state = _connection_state(self._transport)
        if self._first is None:
            self._first = state
        waited_s = self._loop.time() - self._began_s
        decision = decide_peer_close(state, self._first, waited_s)
        if decision is PeerClose.UNDECIDED:
            self._timer = self._loop.call_later(_POLL_INTERVAL_S, self._check)
        else:
            self._on_decided(decision)


def _connection_state(transport: asyncio.Transport) -> ConnectionState:
    buffered_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or not hasattr(socket, "TCP_INFO"):
        return ConnectionState(False, buffered_bytes)
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_STATE_BYTES)
        # On Linux this counts the bytes without an acknowledgement.
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError:
        # The socket is closed, so nothing shows any more that it was not reset.
        return ConnectionState(True, buffered_bytes)
    is_reset = info[0] == _TCP_CLOSE
    return ConnectionState(is_reset, buffered_bytes + _COUNT.unpack(count)[0])
