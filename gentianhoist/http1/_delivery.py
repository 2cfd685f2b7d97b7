"""Watches whether a peer reads what is written to its connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from gentianhoist.http1._timer import Timer

__all__ = ["Delivery", "DeliveryOwner"]

_CHECK_INTERVAL_S = 0.5
# A peer that reads less than this in the time has stalled.
_STALL_S = 2.0
_MIN_PROGRESS_BYTES = 1024


class DeliveryOwner(Protocol):
    """Connection whose bytes are delivered."""

    def on_delivery_progress(self) -> None:
        """Take that the peer has read a part."""
        ...

    def on_delivery_stall(self) -> None:
        """Take that the peer has stalled, or reads on."""
        ...

    def on_delivery_timeout(self) -> None:
        """End the connection, whose peer has read nothing for too long."""
        ...


class Delivery:
    """Writes to a connection, and finds out when its peer doesn't read.

    A transport that is closed waits until its bytes are sent, for ever if the peer
    doesn't read them.

    Args:
        owner: The connection.
        timeout_s: Returns the seconds without progress until the owner has to end.
    """

    def __init__(self, owner: DeliveryOwner, timeout_s: Callable[[], float]) -> None:
        self._owner = owner
        self._timeout_s = timeout_s
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.WriteTransport | None = None
        self._timer = Timer()
        self._written_bytes = 0
        # Bytes that are sent in all at the next progress, and time of the last one.
        self._next_progress_bytes = 0
        self._progress_s = 0.0
        self._is_stalled = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes that haven't been passed to the network."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_stalled(self) -> bool:
        """Whether the peer has read next to nothing for a while, and bytes wait."""
        return self._is_stalled

    def start(self, transport: asyncio.WriteTransport) -> None:
        """Begin to write to a transport."""
        self._transport = transport

    def close(self) -> None:
        """Write no more."""
        self._transport = None
        self._timer.cancel()

    def write(self, data: bytes) -> None:
        """Write bytes to the transport; does nothing if the connection has ended."""
        if self._transport is None:
            return
        self._transport.write(data)
        self._written_bytes += len(data)
        if not self._timer.is_running and self.unsent_bytes:
            self._record_progress()
            self._timer.start(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        unsent_bytes = self.unsent_bytes
        if not unsent_bytes:
            self._set_stalled(False)
            return
        if self._written_bytes - unsent_bytes >= self._next_progress_bytes:
            self._record_progress()
            self._owner.on_delivery_progress()
        unread_s = self._loop.time() - self._progress_s
        if unread_s >= self._timeout_s():
            self._owner.on_delivery_timeout()
            return
        self._timer.start(_CHECK_INTERVAL_S, self._check)
        self._set_stalled(unread_s >= _STALL_S)

    def _record_progress(self) -> None:
        self._progress_s = self._loop.time()
        sent_bytes = self._written_bytes - self.unsent_bytes
        self._next_progress_bytes = min(
            sent_bytes + _MIN_PROGRESS_BYTES, self._written_bytes
        )

    def _set_stalled(self, is_stalled: bool) -> None:
        if is_stalled is not self._is_stalled:
            self._is_stalled = is_stalled
            self._owner.on_delivery_stall()
