"""Size of what the kernel receives on a socket before it is read."""

from __future__ import annotations

import logging
import socket

__all__ = ["set_receive_buffer"]

_log = logging.getLogger(__name__)


def set_receive_buffer(sock: socket.socket | None, size_bytes: int) -> None:
    """Set the receive buffer of a socket; connections get that of their listener.

    The kernel doubles the size, for its own objects.

    Args:
        sock: The socket, None if the transport has none.
        size_bytes: Size of the buffer.
    """
    if sock is None:
        return
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
    except OSError as error:
        _log.warning("receive buffer not set", extra={"cause": str(error)})
