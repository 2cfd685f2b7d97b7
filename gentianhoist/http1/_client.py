"""Client side of an HTTP/1.1 connection to a server.

Every received byte must belong to a response that is pending. A connection that
receives other bytes isn't used for another request, since they could be taken for the
response to it.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, cast

import httptools

from gentianhoist.http1._input import SlicedInput
from gentianhoist.http1.core import Headers, get_header

__all__ = [
    "ClientConnection",
    "ConnectionFailed",
    "DroppedResponse",
    "DropPosition",
    "ResponseFraming",
    "ResponseHead",
]

_MAX_BUFFERED_BYTES = 256 * 1024
# Bytes of heads, chunk framing and trailers since the last byte of a body.
_MAX_OVERHEAD_BYTES = 64 * 1024
# Each part of a message is looked up in all headers.
_MAX_HEADERS = 256
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL_STATUS = 200


class ResponseHead(NamedTuple):
    """Status and headers of a response.

    Attributes:
        status: HTTP status code.
        headers: All headers, in the order received.
    """

    status: int
    headers: Headers

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of the header with this lower-case name, or None."""
        return get_header(self.headers, name)


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


class ResponseFraming(Enum):
    """How the end of a response's body is found."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class DropPosition(Enum):
    """Where on a connection a response was that no request reads."""

    BEFORE = "before the response to the request"
    AFTER = "after the response to the request"


class DroppedResponse(NamedTuple):
    """A response that was received and that no request reads.

    Attributes:
        head: Status and headers.
        position: Where it was, as seen from the request that was sent last.
    """

    head: ResponseHead
    position: DropPosition


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


class ClientConnection(asyncio.Protocol):
    """A connection to a server that carries one request at a time; see `open`."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._input = SlicedInput(self._parse, self._has_room)
        self._events: deque[_ResponseEvent] = deque()
        self._reader_future: asyncio.Future[None] | None = None
        self._failure_message: str | None = None
        # Set once the connection has ended, while received bytes are still parsed.
        self._lost_message: str | None = None
        self._headers: Headers = []
        self._in_response = False
        self._in_headers = False
        self._body_ends_at_close = False
        self._head_only = False
        self._request_sent = False
        self._pending_responses = 0
        self._buffered_bytes = 0
        self._overhead_bytes = 0
        self._reuse_forbidden = False
        self._on_dropped: Callable[[DroppedResponse], None] = _ignore_dropped
        self._sent_requests = 0
        self._framing = ResponseFraming.NO_BODY
        self.keep_alive_s: float | None = None
        self.idle_since_s = 0.0

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
            and not self._pending_responses
            and self._input.is_empty
        )

    @property
    def sent_requests(self) -> int:
        """Number of requests that were sent on the connection."""
        return self._sent_requests

    @property
    def framing(self) -> ResponseFraming:
        """How the end of the body is found, of the response that was read last."""
        return self._framing

    def send(
        self,
        data: bytes,
        *,
        head_only: bool = False,
        on_dropped: Callable[[DroppedResponse], None] = _ignore_dropped,
    ) -> None:
        """Send a complete request.

        Args:
            data: The encoded request.
            head_only: Whether the method is HEAD, whose response has no body.
            on_dropped: Called with each response that is dropped from now on.

        Raises:
            ConnectionFailed: If the connection has already ended.
        """
        if self._transport is None or self._failure_message is not None:
            raise ConnectionFailed(
                self._failure_message or "connection closed", sent=False
            )
        self._pending_responses = 1
        self._request_sent = True
        self._sent_requests += 1
        self._head_only = head_only
        self._on_dropped = on_dropped
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the next response.

        Discards what is left of the response before it.

        Raises:
            ConnectionFailed: If the connection fails before they arrive.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, _HeadEvent):
                return event.head

    async def read_data(self) -> bytes:
        """Wait for the next part of the body; empty when the response is complete.

        Gives others their turn, also if there are bytes already.

        Raises:
            ConnectionFailed: If the connection fails before the response is complete.
        """
        event = await self._next_event()
        match event:
            case _DataEvent(data=data):
                self._buffered_bytes -= len(data)
                self._input.update()
                return bytes(data)
            case _EndEvent():
                return b""
            case _HeadEvent():
                raise ConnectionFailed(
                    "a second response head arrived inside a response body", sent=True
                )

    def skip_response(self) -> None:
        """Mark the current response as that of another request, and expect one more.

        The response to this request is still to come. The connection isn't used for
        another request afterwards.
        """
        self._pending_responses += 1
        self._reuse_forbidden = True

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

    def data_received(self, data: bytes) -> None:
        self._input.receive(data)

    def _has_room(self) -> bool:
        return self._buffered_bytes < _MAX_BUFFERED_BYTES

    def _parse(self, data: memoryview) -> None:
        self._parse_response(data)
        if self._lost_message is not None and self._input.is_empty:
            self._fail(self._lost_message)

    def _parse_response(self, data: memoryview) -> None:
        was_idle = not self._pending_responses
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._forbid_reuse_and_abort_if_idle()
        except httptools.HttpParserError as error:
            self._abort(f"invalid HTTP response: {error}")
        if was_idle:
            self._forbid_reuse_and_abort_if_idle()
        if self._overhead_bytes > _MAX_OVERHEAD_BYTES:
            self._abort("the response has a head or framing beyond the size limit")

    def eof_received(self) -> bool:
        if self._body_ends_at_close and self._in_response:
            self._complete_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._input.detach()
        message = f"connection lost: {exc!r}" if exc else "connection closed"
        if self._input.is_empty:
            self._fail(message)
        else:
            self._lost_message = message

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        if not self._pending_responses:
            # Bytes after a complete response belong to no request.
            self._reuse_forbidden = True
        self._headers = []
        self._in_headers = True
        self._in_response = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_headers:
            return
        if len(self._headers) >= _MAX_HEADERS:
            raise ValueError("too many headers")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._in_headers = False
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        head = ResponseHead(status, self._headers)
        if not self._pending_responses:
            self._on_dropped(DroppedResponse(head, DropPosition.AFTER))
            return
        self._overhead_bytes = 0
        self._apply_keep_alive(head)
        self._enqueue(_HeadEvent(head))
        if self._head_only:
            self._reuse_forbidden = True
            self._complete_response()
            return
        self._framing = _framing(head)
        self._body_ends_at_close = self._framing is ResponseFraming.CLOSE

    def on_body(self, data: bytes) -> None:
        if not self._pending_responses:
            return
        self._overhead_bytes = 0
        self._buffered_bytes += len(data)
        match self._events[-1] if self._events else None:
            case _DataEvent(data=buffered):
                buffered += data
            case _:
                self._enqueue(_DataEvent(bytearray(data)))

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._in_response and self._pending_responses:
            self._complete_response()

    def _apply_keep_alive(self, head: ResponseHead) -> None:
        if not self._parser.should_keep_alive():
            self._reuse_forbidden = True
        for part in (head.get_header(b"keep-alive") or b"").split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def _complete_response(self) -> None:
        self._in_response = False
        self._overhead_bytes = 0
        self._body_ends_at_close = False
        self._pending_responses -= 1
        if self._transport is None or self._transport.get_write_buffer_size():
            # The server responded before it read the whole request. It would take
            # the bytes of the next request for the rest of this request's body.
            self._reuse_forbidden = True
        self._enqueue(_EndEvent())

    def _forbid_reuse_and_abort_if_idle(self) -> None:
        self._reuse_forbidden = True
        if not self._pending_responses and self._transport is not None:
            self._transport.abort()

    def _abort(self, message: str) -> None:
        """Fail and close the connection; a server may send bytes without end."""
        self._reuse_forbidden = True
        self._fail(message)
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, message: str) -> None:
        self._input.close()
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
                raise ConnectionFailed(self._failure_message, sent=self._request_sent)
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


def _framing(head: ResponseHead) -> ResponseFraming:
    if head.status in {_NO_CONTENT, _NOT_MODIFIED}:
        return ResponseFraming.NO_BODY
    if head.get_header(b"transfer-encoding") is not None:
        return ResponseFraming.CHUNKED
    if head.get_header(b"content-length") is not None:
        return ResponseFraming.LENGTH
    return ResponseFraming.CLOSE
