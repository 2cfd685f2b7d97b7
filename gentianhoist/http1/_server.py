"""HTTP/1.1 server: one protocol object per connection, one task per request."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from gentianhoist.http1._expectation import ContinueExpectation
from gentianhoist.http1._input import SlicedInput
from gentianhoist.http1._responder import CallerRequest, Responder
from gentianhoist.http1.core import RequestLimits, get_header

__all__ = ["HttpServer"]

_log = logging.getLogger(__name__)

# Reading pauses while this many requests of a connection wait for a response.
_MAX_PIPELINED = 16
# Bytes of chunk framing and trailers since the last byte of a body, and of a head
# beyond its own limit.
_MAX_FRAMING_BYTES = 16 * 1024
_LINGER_S = 1.0
_MAX_WRITE_BUFFER_BYTES = 256 * 1024
_LISTEN_BACKLOG = 1024
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_CONNECT = b"CONNECT"


# Writes the response to a request.
Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


class _Connection(asyncio.Protocol):
    """Reads the requests of one connection and handles them one at a time, in order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = CallerRequest()
        self._input = SlicedInput(self._parse, self._has_room)
        self._body = bytearray()
        # Bytes of the target and of complete headers, then of the body.
        self._section_bytes = 0
        # All bytes received since the last message began or went on.
        self._overhead_bytes = 0
        self._in_headers = False
        self._pending_requests: deque[CallerRequest] = deque()
        self._handler_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        # HTTP status for a request that can't be read, sent after the responses to the
        # requests before it. 0: none. -1: parsing has stopped, with no error to send.
        self._error_status = 0
        self._discards_input = False
        # From the head that offers an upgrade until the parser of its body has begun.
        self._in_declined_upgrade = False
        self._expectation = ContinueExpectation(self._is_next_to_respond, self.write)

    @property
    def is_draining(self) -> bool:
        """Whether the server is draining, and no request waits for its response.

        The next response is then the last one of the connection.
        """
        return (
            self._server.is_draining
            and not self._pending_requests
            and self._input.is_empty
        )

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response hasn't been passed to the network."""
        return self._transport is not None and bool(
            self._transport.get_write_buffer_size()
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is known, and no received bytes may hold one.

        Also true while the body of the only request is being received.
        """
        return not self._has_request and self._input.is_empty

    @property
    def _has_request(self) -> bool:
        """Whether headers are being read, or a request is pending or in progress."""
        return (
            self._handler_task is not None
            or bool(self._pending_requests)
            or self._in_headers
        )

    # Callbacks of the asyncio transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)
        self._input.start(transport)
        transport.set_write_buffer_limits(high=_MAX_WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)
        self._start_timer(self._server.limits().idle_timeout_s, self._on_idle_timeout)

    def data_received(self, data: bytes) -> None:
        if self._is_reading:
            self._input.receive(data)

    @property
    def _is_reading(self) -> bool:
        """Whether received bytes may still hold a request."""
        return not (self._discards_input or self._error_status)

    def _has_room(self) -> bool:
        return not self._is_reading or len(self._pending_requests) < _MAX_PIPELINED

    def _parse(self, data: memoryview) -> None:
        if not self._is_reading:
            return
        self._overhead_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserCallbackError:
            self._error_status = self._error_status or _BAD_REQUEST
        except httptools.HttpParserError as error:
            _log.info("request could not be parsed", extra={"cause": str(error)})
            self._error_status = self._error_status or _BAD_REQUEST
        self._check_overhead()
        self._start_next_request()

    def _feed(self, data: memoryview | bytes) -> None:
        """Feed the parser, which stops after a head that offers an upgrade.

        The server never switches protocols, so it goes on as if nothing were offered.
        """
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as stop:
                if not self._in_declined_upgrade:
                    # A tunnel was asked for: the bytes after it are no request.
                    self._error_status = self._error_status or -1
                    return
                (parsed_bytes,) = stop.args
                self._parser = httptools.HttpRequestParser(self)
                data = self._request.encode_framing() + bytes(data[parsed_bytes:])
            else:
                return

    def eof_received(self) -> bool:
        # A caller that has closed its sending side is assumed not to read the response.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._input.close()
        self._cancel_timer()
        self._writable.set()
        self._pending_requests.clear()
        self._transport = None
        if self._handler_task is not None:
            self._handler_task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        if self._in_declined_upgrade:
            return
        self._request = CallerRequest()
        self._body = bytearray()
        self._section_bytes = 0
        self._overhead_bytes = 0
        self._in_headers = True
        self._start_timer(
            self._server.limits().header_timeout_s, self._on_header_timeout
        )

    def on_url(self, url: bytes) -> None:
        if self._in_declined_upgrade:
            return
        self._request.target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_headers:
            return  # Trailers are dropped, since nothing in them is forwarded.
        self._request.headers.append((name, value))
        self._add_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        if self._in_declined_upgrade:
            self._in_declined_upgrade = False
            return
        self._in_headers = False
        self._section_bytes = 0
        self._cancel_timer()
        request = self._request
        request.method = self._parser.get_method()
        offers_upgrade = bool(self._parser.should_upgrade())
        self._in_declined_upgrade = offers_upgrade and request.method != _CONNECT
        request.keep_alive = self._parser.should_keep_alive() and not offers_upgrade
        max_bytes = self._server.limits().max_body_bytes
        declared_length = get_header(request.headers, b"content-length")
        if declared_length is not None and int(declared_length) > max_bytes:
            self._reject(_BODY_TOO_LARGE)
        request.http_version = self._parser.get_http_version()
        self._expectation.begin(request)

    def on_body(self, data: bytes) -> None:
        self._expectation.end()
        self._section_bytes += len(data)
        self._overhead_bytes = 0
        if self._section_bytes > self._server.limits().max_body_bytes:
            self._reject(_BODY_TOO_LARGE)
        self._body += data

    def on_message_complete(self) -> None:
        if self._in_declined_upgrade:
            return
        self._expectation.end()
        self._request.body = bytes(self._body)
        self._request.received_s = self._loop.time()
        self._body = bytearray()
        self._overhead_bytes = 0
        self._pending_requests.append(self._request)

    def _add_header_bytes(self, count: int) -> None:
        self._section_bytes += count
        if self._section_bytes > self._server.limits().max_header_bytes:
            self._reject(_HEADERS_TOO_LARGE)

    def _check_overhead(self) -> None:
        """Reject a head, a chunk's framing or trailers that have no end."""
        max_bytes = self._server.limits().max_header_bytes + _MAX_FRAMING_BYTES
        if self._overhead_bytes > max_bytes and not self._error_status:
            self._error_status = _HEADERS_TOO_LARGE

    def _reject(self, status: int) -> None:
        self._error_status = status
        raise ValueError(status)

    # Methods of CallerConnection, for the responder.

    def write(self, data: bytes) -> None:
        """Write bytes to the transport; does nothing if the connection has ended."""
        if self._transport is not None:
            self._transport.write(data)

    async def wait_writable(self) -> None:
        """Wait while the write buffer is too full to take more data."""
        await self._writable.wait()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all buffered bytes are written."""
        if self._transport is not None:
            self._transport.close()

    def close_after_linger(self) -> None:
        """Close after a delay in which the caller can read the response.

        An immediate close with unread input resets the connection, and the caller may
        lose the response.
        """
        self._discards_input = True
        if self._transport is None:
            return
        self._input.update()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._start_timer(_LINGER_S, self.close)

    # Handling of one request at a time.

    def _is_next_to_respond(self) -> bool:
        """Whether the request that is being received has no other before it."""
        return (
            self._is_reading
            and self._handler_task is None
            and not self._pending_requests
        )

    def _start_next_request(self) -> None:
        if (
            self._handler_task is not None
            or self._transport is None
            or self._discards_input
        ):
            return
        if not self._pending_requests:
            if self._error_status > 0:
                self._send_error(self._error_status)
            return
        request = self._pending_requests.popleft()
        if not self._in_headers:
            self._cancel_timer()
        self._input.update()
        is_last = bool(self._error_status) and not self._pending_requests
        responder = Responder(
            self,
            keep_alive=request.keep_alive and not is_last,
            head_only=request.method == b"HEAD",
            takes_chunks=not request.predates_http_1_1,
        )
        self._handler_task = self._loop.create_task(
            self._run_handler(request, responder)
        )

    async def _run_handler(self, request: CallerRequest, responder: Responder) -> None:
        try:
            await self._server.handler(request, responder)
            if not responder.finished:
                _log.error("request handler returned without a complete response")
                responder.abort()
        except asyncio.CancelledError:
            responder.abort()
        except Exception:
            _log.exception("request handler failed")
            responder.abort()
        finally:
            self._handler_task = None
        if self._transport is not None and not self._discards_input:
            self._on_response_sent()

    def _on_response_sent(self) -> None:
        if self.is_idle and self.is_draining:
            self.close()
            return
        if not self._has_request:
            self._start_timer(
                self._server.limits().idle_timeout_s, self._on_idle_timeout
            )
        self._start_next_request()
        self._expectation.send_if_due()

    def _send_error(self, status: int) -> None:
        self._server.on_refused(status)
        responder = Responder(self, keep_alive=False, head_only=False)
        responder.send_response(status, [], b"")

    def _on_header_timeout(self) -> None:
        self._error_status = self._error_status or _REQUEST_TIMEOUT
        self._start_next_request()

    def _on_idle_timeout(self) -> None:
        if self.is_idle:
            self.close()

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HttpServer:
    """HTTP/1.1 server that listens on one address.

    Args:
        handler: Writes the response to a request; cancelled if the caller disconnects.
        limits: Returns the current limits; called whenever a limit is checked.
        on_refused: Called with the HTTP status when a request can't be read.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits] = RequestLimits,
        on_refused: Callable[[int], None] = lambda status: None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused
        self.connections: set[_Connection] = set()
        self.is_draining = False
        self._listener: asyncio.Server | None = None

    @property
    def busy_connections(self) -> int:
        """Number of connections that are not idle.

        A connection that is only receiving the body of a request counts as idle.
        """
        return sum(not connection.is_idle for connection in self.connections)

    @property
    def undelivered_connections(self) -> int:
        """Number of connections on which a part of a response isn't sent yet."""
        return sum(connection.has_unsent_bytes for connection in self.connections)

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> int:
        """Start to accept connections.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; 0 for any free port.
            listener: Socket that already listens; used in place of host and port.

        Returns:
            The TCP port that the server listens on.

        Raises:
            OSError: If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        if listener is not None:
            self._listener = await loop.create_server(
                lambda: _Connection(self), sock=listener, backlog=_LISTEN_BACKLOG
            )
        else:
            self._listener = await loop.create_server(
                lambda: _Connection(self),
                host,
                port,
                backlog=_LISTEN_BACKLOG,
                reuse_address=True,
            )
        return int(self._listener.sockets[0].getsockname()[1])

    def start_draining(self) -> None:
        """Continue to serve, but close each connection after its next response."""
        self.is_draining = True

    def stop_listening(self) -> None:
        """Start draining, accept no more connections and close the idle ones."""
        self.start_draining()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    async def close(self) -> None:
        """Stop listening, close idle connections and reset the others."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close() if connection.is_idle else connection.abort()
