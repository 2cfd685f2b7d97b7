"""Client side of an HTTP/1.1 connection to a server.

Every received byte must belong to the response to the request that waits. A connection
that receives other bytes isn't used for another request.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

from gentianhoist.http1._input import SlicedInput
from gentianhoist.http1._peer_close import PeerClose, PeerCloseCheck
from gentianhoist.http1._receive_buffer import set_receive_buffer
from gentianhoist.http1._response_reader import ResponseReader
from gentianhoist.http1._responses import (
    Attribute,
    DroppedResponse,
    InvalidResponse,
    ResponseFraming,
    ResponseHead,
    attribute_in_order,
)
from gentianhoist.http1._timer import Timer
from gentianhoist.http1.core import EncodedRequest

__all__ = ["ClientConnection", "ConnectionFailed", "PoolExhausted"]

# What a connection holds of a response that isn't read, beside what the kernel holds.
_MAX_BUFFERED_BYTES = 16 * 1024
_READ_BYTES = 16 * 1024
# The kernel doubles the size.
_RECEIVE_BUFFER_BYTES = 32 * 1024
# A body that ends in this many bytes of what may be the head of another response is
# complete only if no more of that head follows for a while.
_MIN_DOUBTFUL_BYTES = len(b"HTTP/1.")
_MAX_END_WAIT_S = 0.05
# Larger bodies are written on their own, since a copy would need as much memory again.
_MAX_COPIED_BYTES = 64 * 1024


class ConnectionFailed(Exception):
    """No connection could be opened, or it failed before the response was complete.

    A connection also fails if the server sends invalid HTTP on it.

    Args:
        message: Cause of the failure.
        sent: Whether any byte of the request may have reached the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class PoolExhausted(ConnectionFailed):
    """The pool has as many open connections to the server as it may have."""

    def __init__(self) -> None:
        super().__init__(
            "connection pool is at its limit of open connections", sent=False
        )


def _parts_to_write(data: bytes | EncodedRequest) -> tuple[bytes, ...]:
    match data:
        case EncodedRequest(head=head, body=body) if len(body) > _MAX_COPIED_BYTES:
            return head, body
        case EncodedRequest(head=head, body=body):
            return (head + body,)
        case _:
            return (data,)


def _ignore_dropped(dropped: DroppedResponse) -> None:
    return None


class _HeadEvent(NamedTuple):
    head: ResponseHead


class _DataEvent(NamedTuple):
    """Bytes of a body; more are appended until they are read."""

    data: bytearray


class _EndEvent(NamedTuple):
    pass


_ResponseEvent = _HeadEvent | _DataEvent | _EndEvent


# All connections share it: bytes are copied from it before another connection reads.
_read_buffer = memoryview(bytearray(_READ_BYTES))


class ClientConnection(asyncio.BufferedProtocol):
    """A connection to a server that carries one request at a time; see `open`."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader(self)
        self._input = SlicedInput(self._parse, self._has_room)
        self._events: deque[_ResponseEvent] = deque()
        self._reader_future: asyncio.Future[None] | None = None
        self._failure_message: str | None = None
        # Set once the connection has ended, while received bytes are still parsed.
        self._lost_message: str | None = None
        # Whether the server has ended its data, unless it reset the connection.
        self._received_end = False
        self._peer_close = PeerCloseCheck(self._end_peer_data)
        self._end_timer = Timer()
        self._buffered_bytes = 0
        self._sent_requests = 0
        self._reuse_forbidden = False
        self._on_dropped: Callable[[DroppedResponse], None] = _ignore_dropped
        self.keep_alive_s: float | None = None
        self.idle_since_s = 0.0
        # Whether the responses on it name the requests that they belong to.
        self.is_named = False

    @classmethod
    async def open(
        cls, host: str, port: int, timeout_s: float, unacknowledged_timeout_s: float
    ) -> ClientConnection:
        """Open a connection.

        Args:
            host: IP address of the server.
            port: TCP port of the server.
            timeout_s: Timeout for opening the connection, in seconds.
            unacknowledged_timeout_s: Seconds that sent bytes may remain without a TCP
                acknowledgement before the connection fails.

        Raises:
            ConnectionFailed: If the connection isn't established in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(cls, host, port)
        except (OSError, TimeoutError) as error:
            raise ConnectionFailed(
                f"failed to connect: {error!r}", sent=False
            ) from error
        connection._set_user_timeout(unacknowledged_timeout_s)
        return connection

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._transport is not None
            and not self._reuse_forbidden
            and self._failure_message is None
            and self._reader.is_idle
            and self._input.is_empty
        )

    @property
    def sent_requests(self) -> int:
        """Number of requests that were sent on the connection."""
        return self._sent_requests

    @property
    def reads_first_response(self) -> bool:
        """Whether no response came before the one to the request that was sent last."""
        return self._sent_requests == 1 and not self._reader.skipped_responses

    @property
    def framing(self) -> ResponseFraming:
        """How the end of the body is found, of the response that was read last."""
        return self._reader.framing

    def send(
        self,
        data: bytes | EncodedRequest,
        *,
        head_only: bool = False,
        attribute: Attribute = attribute_in_order,
        on_dropped: Callable[[DroppedResponse], None] = _ignore_dropped,
    ) -> None:
        """Send a complete request.

        Args:
            data: The encoded request.
            head_only: Whether the method is HEAD, whose response has no body.
            attribute: Tells whether a response head is one to the request.
            on_dropped: Called with each response that is dropped from now on, also
                after the response to the request.

        Raises:
            ConnectionFailed: If the connection has already ended.
        """
        if self._transport is None or self._failure_message is not None:
            raise ConnectionFailed(
                self._failure_message or "connection closed", sent=False
            )
        self._sent_requests += 1
        self._on_dropped = on_dropped
        self._events.clear()
        self._buffered_bytes = 0
        self._end_timer.cancel()
        self._reader.expect(attribute, head_only=head_only)
        for part in _parts_to_write(data):
            self._transport.write(part)

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the response to the request.

        Raises:
            ConnectionFailed: If the connection fails before they arrive.
        """
        match await self._next_event():
            case _HeadEvent(head=head):
                return head
            case _:
                raise RuntimeError("the head of the response was read before")

    async def read_data(self) -> bytes:
        """Wait for the next part of the body; empty when the response is complete.

        Gives others their turn, also if there are bytes already.

        Raises:
            ConnectionFailed: If the connection fails before the response is complete.
        """
        match await self._next_event():
            case _DataEvent(data=data):
                self._buffered_bytes -= len(data)
                self._input.update()
                return bytes(data)
            case _EndEvent():
                return b""
            case _HeadEvent():
                raise RuntimeError("the head of the response was not read")

    def close(self) -> None:
        """Close the connection at once; the server may still run the request."""
        if self._transport is not None:
            self._transport.abort()
        self._fail("connection closed by the client")

    # Callbacks of the asyncio transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)
        self._input.start(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_receive_buffer(sock, _RECEIVE_BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._input.receive(bytes(_read_buffer[:nbytes]))

    def _has_room(self) -> bool:
        return self._buffered_bytes < _MAX_BUFFERED_BYTES

    def _parse(self, data: memoryview) -> None:
        try:
            self._reader.feed(bytes(data))
        except InvalidResponse as error:
            self._abort(str(error))
        self._end_input()
        self._decide_end()

    def _decide_end(self) -> None:
        """See to it that a response whose last bytes are undecided ends soon."""
        undecided_bytes = self._reader.undecided_bytes
        if not undecided_bytes or not self._input.is_empty:
            return
        if undecided_bytes < _MIN_DOUBTFUL_BYTES:
            self._reader.confirm_end()
        elif not self._end_timer.is_running:
            self._end_timer.start(_MAX_END_WAIT_S, self._reader.confirm_end)

    def eof_received(self) -> bool:
        self._reuse_forbidden = True
        if self._transport is not None:
            self._peer_close.begin(self._transport)
        return self._peer_close.is_waiting

    def _end_peer_data(self, decision: PeerClose) -> None:
        """Take the end of the server's data once it is known what it means."""
        if decision is PeerClose.BROKEN:
            self._lost_message = "connection ended before the request was read"
        else:
            self._received_end = True
        self._end_input()
        if self._transport is not None:
            self._transport.abort()

    def _end_input(self) -> None:
        """End the response or fail, if all bytes of a connection that ended are parsed.

        Bytes may still wait when the end arrives.
        """
        if not self._input.is_empty or self._failure_message is not None:
            return
        if self._received_end:
            self._feed_end()
        if self._lost_message is not None:
            self._reader.confirm_end()
            self._fail(self._lost_message)

    def _feed_end(self) -> None:
        try:
            self._reader.feed_end()
        except InvalidResponse as error:
            self._abort(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._input.detach()
        self._peer_close.cancel()
        if self._lost_message is None:
            self._lost_message = (
                f"connection lost: {exc!r}" if exc else "connection closed"
            )
        self._end_input()

    # Methods of ResponseSink, for the reader of responses.

    def on_head(self, head: ResponseHead, *, keep_alive: bool) -> None:
        """Take the head of the response to the request."""
        if not keep_alive:
            self._reuse_forbidden = True
        for part in (head.get_header(b"keep-alive") or b"").split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)
        self._enqueue(_HeadEvent(head))

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self._buffered_bytes += len(data)
        match self._events[-1] if self._events else None:
            case _DataEvent(data=buffered):
                buffered += data
            case _:
                self._enqueue(_DataEvent(bytearray(data)))

    def on_end(self) -> None:
        """Take the end of the response."""
        if self._transport is None or self._transport.get_write_buffer_size():
            # The server responded before it read the whole request. It would take
            # the bytes of the next request for the rest of this request's body.
            self._reuse_forbidden = True
        self._enqueue(_EndEvent())

    def on_dropped(self, dropped: DroppedResponse) -> None:
        """Report a response that is not the one to the request."""
        self._reuse_forbidden = True
        self._on_dropped(dropped)

    def on_stray_bytes(self) -> None:
        """Close the connection; what was parsed before can still be read."""
        self._reuse_forbidden = True
        if self._transport is not None:
            self._transport.abort()

    def _abort(self, message: str) -> None:
        """Fail and close the connection; a server may send bytes without end."""
        self._reuse_forbidden = True
        self._fail(message)
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, message: str) -> None:
        self._input.close()
        self._end_timer.cancel()
        self._peer_close.cancel()
        if self._failure_message is None:
            self._failure_message = message
        self._wake_reader()

    def _enqueue(self, event: _ResponseEvent) -> None:
        self._events.append(event)
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._reader_future is not None and not self._reader_future.done():
            self._reader_future.set_result(None)

    async def _next_event(self) -> _ResponseEvent:
        if self._events:
            await asyncio.sleep(0)
        while not self._events:
            if self._failure_message is not None:
                raise ConnectionFailed(
                    self._failure_message, sent=bool(self._sent_requests)
                )
            self._reader_future = self._loop.create_future()
            await self._reader_future
        return self._events.popleft()

    def _set_user_timeout(self, unacknowledged_timeout_s: float) -> None:
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is None or not hasattr(socket, "TCP_USER_TIMEOUT"):
            return
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(unacknowledged_timeout_s * 1000),
        )
