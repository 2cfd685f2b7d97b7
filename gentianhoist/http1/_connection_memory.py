"""What one connection holds of a server's budget of received bytes."""

from __future__ import annotations

import asyncio
from typing import Protocol

from gentianhoist.http1._budget_limits import RECEIVE_BUFFER_BYTES
from gentianhoist.http1._receive_budget import CutReason, Hold, Pool, ReceiveBudget
from gentianhoist.http1._request_reader import RequestReader

__all__ = ["ConnectionMemory", "LimitedMemory", "MemoryOwner", "ResponseCut"]

# Complete requests that wait behind another one of their connection.
_MAX_PENDING_BYTES = 64 * 1024
# Responses of up to this size are not counted: servers' slots bound their number.
_UNCOUNTED_RESPONSE_BYTES = 32 * 1024
_LARGE_RECEIVE_BUFFER_BYTES = 128 * 1024


class ResponseCut(Exception):
    """There is no room for a response that a server sends."""


class MemoryOwner(Protocol):
    """Connection whose bytes are counted."""

    def set_receive_buffer(self, size_bytes: int) -> None:
        """Set how much the kernel receives before the connection reads."""
        ...

    def resume(self) -> None:
        """Continue to read, if there is no other reason to pause."""
        ...

    def cut_request(self, reason: CutReason) -> None:
        """Refuse the request that is being received."""
        ...

    def cut_response(self, reason: CutReason) -> None:
        """Reset the connection, whose caller doesn't read a response."""
        ...


class ConnectionMemory:
    """Memory of a connection without a limit."""

    # Whether a complete response must be read before the next request is handled.
    is_limited = False

    @property
    def pool(self) -> Pool:
        """Pool of the request that is being received."""
        return Pool.SMALL

    @property
    def may_read(self) -> bool:
        """Whether there is room for the next slice."""
        return True

    @property
    def waits_for_large(self) -> bool:
        """Whether a large request waits for room."""
        return False

    def begin_request(self) -> None:
        """Take that the first byte of a request was read."""

    def take_head(self, reader: RequestReader) -> None:
        """Take a head, after which the size of the body may be known."""

    def update(self, reader: RequestReader) -> None:
        """Take that a slice was parsed."""

    def record_pause(self) -> None:
        """Take that the connection doesn't read, so that its caller can't send."""

    def complete_request(self, reader: RequestReader) -> Hold | None:
        """Take that a request is complete; returns what it holds."""
        return None

    def start_request(self, hold: Hold | None) -> None:
        """Take that a complete request is passed to its handler."""

    def end_request(self, hold: Hold | None) -> None:
        """Give back what a request held."""

    async def reserve_response(self, count: int) -> None:
        """Wait until there is room for bytes of a response.

        Raises:
            ResponseCut: If there is none.
        """

    def record_written(self) -> None:
        """Take that the caller hasn't read all of a response that was written."""

    def record_read(self) -> None:
        """Take that the caller has read a part of a response."""

    def end_response(self) -> None:
        """Give back what a response held."""

    def close(self) -> None:
        """Give back all that the connection holds."""


class LimitedMemory(ConnectionMemory):
    """Memory of a connection in a budget.

    Args:
        budget: The budget of the server.
        owner: The connection.
    """

    is_limited = True

    def __init__(self, budget: ReceiveBudget, owner: MemoryOwner) -> None:
        self._budget = budget
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._request: Hold | None = None
        self._pending: dict[Hold, None] = {}
        self._pending_bytes = 0
        self._response: Hold | None = None
        self._response_bytes = 0
        self._is_delivering = False
        self._room: asyncio.Future[None] | None = None
        self._has_large_buffer = False
        budget.open_connection()

    @property
    def pool(self) -> Pool:
        """Pool of the request that is being received."""
        return Pool.SMALL if self._request is None else self._request.pool

    @property
    def may_read(self) -> bool:
        """Whether there is room for the next slice."""
        if self._pending_bytes >= _MAX_PENDING_BYTES:
            return False
        return self._request is None or not self._request.is_waiting

    @property
    def waits_for_large(self) -> bool:
        """Whether a large request waits for room."""
        request = self._request
        if request is None or not request.is_waiting:
            return False
        return request.wanted_pool is Pool.LARGE

    def begin_request(self) -> None:
        """Reserve for the head of a request."""
        self._end_current()
        self._request = self._budget.open_request(
            self._owner.resume, self._cut_request, self._loop.time()
        )

    def take_head(self, reader: RequestReader) -> None:
        """Reserve for a body whose length is known."""
        if self._request is None or reader.declared_bytes is None:
            return
        self.update(reader)
        if self._request is not None:
            self._budget.announce(
                self._request, reader.declared_bytes, self._loop.time()
            )
            self._fit_receive_buffer()

    def update(self, reader: RequestReader) -> None:
        """Take the bytes of the request that is being received."""
        if self._request is None:
            return
        if reader.error_status:
            self._end_current()
            return
        self._budget.update(
            self._request,
            reader.content_bytes,
            reader.max_content_bytes,
            self._loop.time(),
        )
        self._fit_receive_buffer()

    def record_pause(self) -> None:
        """Don't count the pause as time without progress."""
        if self._request is not None:
            self._budget.excuse(self._request, self._loop.time())

    def complete_request(self, reader: RequestReader) -> Hold | None:
        """Keep the bytes of a complete request until its response."""
        hold, self._request = self._request, None
        if hold is None:
            return None
        self._budget.update(
            hold, reader.content_bytes, reader.content_bytes, self._loop.time()
        )
        self._budget.complete(hold)
        self._fit_receive_buffer()
        self._pending[hold] = None
        self._pending_bytes += hold.held_bytes
        return hold

    def start_request(self, hold: Hold | None) -> None:
        """Take that a complete request is passed to its handler."""
        if hold is not None and hold in self._pending:
            del self._pending[hold]
            self._pending_bytes -= hold.held_bytes

    def end_request(self, hold: Hold | None) -> None:
        """Give back what a request held."""
        if hold is not None:
            self._budget.close(hold)

    async def reserve_response(self, count: int) -> None:
        """Wait until there is room for bytes of a response.

        Raises:
            ResponseCut: If there is none.
        """
        self._response_bytes += count
        if self._response_bytes <= _UNCOUNTED_RESPONSE_BYTES:
            return
        now_s = self._loop.time()
        if self._response is None:
            self._response = self._budget.open_response(
                self._on_room, self._cut_response, now_s
            )
            count = self._response_bytes
        self._budget.add_response(self._response, count, now_s)
        if self._response.is_waiting:
            self._room = self._loop.create_future()
            await self._room

    def record_written(self) -> None:
        """Give the caller a limited time for the rest of the response."""
        self._is_delivering = True
        self.record_read()

    def record_read(self) -> None:
        """Take that the caller has read a part of a response."""
        if self._response is not None and self._is_delivering:
            self._budget.deliver(self._response, self._loop.time())

    def end_response(self) -> None:
        """Give back what a response held."""
        hold, self._response = self._response, None
        self._response_bytes = 0
        self._is_delivering = False
        if hold is not None:
            self._budget.close(hold)

    def close(self) -> None:
        """Give back all but the request whose handler still runs."""
        self._end_current()
        for hold in self._pending:
            self._budget.close(hold)
        self._pending.clear()
        self._pending_bytes = 0
        self.end_response()
        self._budget.close_connection()

    def _end_current(self) -> None:
        hold, self._request = self._request, None
        if hold is not None:
            self._budget.close(hold)
            self._fit_receive_buffer()

    def _fit_receive_buffer(self) -> None:
        """Receive more at once of a large request, whose bytes are reserved."""
        is_large = self.pool is Pool.LARGE
        if is_large != self._has_large_buffer:
            self._has_large_buffer = is_large
            self._owner.set_receive_buffer(
                _LARGE_RECEIVE_BUFFER_BYTES if is_large else RECEIVE_BUFFER_BYTES
            )

    def _cut_request(self, reason: CutReason) -> None:
        self._end_current()
        self._owner.cut_request(reason)

    def _cut_response(self, reason: CutReason) -> None:
        self.end_response()
        if self._room is not None and not self._room.done():
            self._room.set_exception(ResponseCut(reason.value))
        else:
            self._owner.cut_response(reason)

    def _on_room(self) -> None:
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
