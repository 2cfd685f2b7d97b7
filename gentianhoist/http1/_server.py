"""The callers' side: one protocol object a connection, one task a request."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from gentianhoist.http1._responder import CallerRequest, Responder
from gentianhoist.http1.core import RequestLimits, get_header

__all__ = ["HttpServer"]

_log = logging.getLogger(__name__)

_MAX_PIPELINED = 16
_LINGER_S = 1.0
_WRITE_HIGH_BYTES = 256 * 1024
_BACKLOG = 1024
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431


Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


class _Connection(asyncio.Protocol):
    """Reads requests of one connection and answers them one at a time."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = CallerRequest()
        self._body: list[bytes] = []
        self._size = 0
        self._in_headers = False
        self._queue: deque[CallerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._refusal = 0
        self._discarding = False

    @property
    def is_draining(self) -> bool:
        """Whether the server is about to end."""
        return self._server.is_draining

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._task is None and not self._queue and not self._in_headers

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=_WRITE_HIGH_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)
        self._arm(self._server.limits().idle_timeout_s, self._idle_too_long)

    def data_received(self, data: bytes) -> None:
        if self._discarding or self._refusal:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Another protocol is never switched to: the request counts as it stands,
            # and what follows it on the connection does not.
            self._refusal = self._refusal or -1
        except httptools.HttpParserCallbackError:
            self._refusal = self._refusal or _BAD_REQUEST
        except httptools.HttpParserError as error:
            _log.info("unreadable request", extra={"cause": str(error)})
            self._refusal = self._refusal or _BAD_REQUEST
        self._next()

    def eof_received(self) -> bool:
        # A caller that has closed its side reads no answer either.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._disarm()
        self._writable.set()
        self._queue.clear()
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._request = CallerRequest()
        self._body = []
        self._size = 0
        self._in_headers = True
        self._arm(self._server.limits().header_timeout_s, self._headers_too_slow)

    def on_url(self, url: bytes) -> None:
        self._request.target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_headers:
            return  # Trailers carry nothing that is passed on.
        self._request.headers.append((name, value))
        self._add_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self._in_headers = False
        self._size = 0
        self._disarm()
        request = self._request
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        limit = self._server.limits().max_body_bytes
        declared = get_header(request.headers, b"content-length")
        if declared is not None and int(declared) > limit:
            self._refuse(_BODY_TOO_LARGE)
        expects = get_header(request.headers, b"expect")
        if expects and expects.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._server.limits().max_body_bytes:
            self._refuse(_BODY_TOO_LARGE)
        self._body.append(data)

    def on_message_complete(self) -> None:
        self._request.body = b"".join(self._body)
        self._request.received_s = self._loop.time()
        self._body = []
        self._queue.append(self._request)
        if len(self._queue) >= _MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def _add_header_bytes(self, count: int) -> None:
        self._size += count
        if self._size > self._server.limits().max_header_bytes:
            self._refuse(_HEADERS_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        self._refusal = status
        raise ValueError(status)

    # What the responder writes.

    def write(self, data: bytes) -> None:
        """Hand bytes to the transport, unless the connection has ended."""
        if self._transport is not None:
            self._transport.write(data)

    async def wait_writable(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        await self._writable.wait()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close once everything is written."""
        if self._transport is not None:
            self._transport.close()

    def close_after_linger(self) -> None:
        """Close, but let the caller read the answer before unread bytes reset it."""
        self._discarding = True
        if self._transport is None:
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._arm(_LINGER_S, self.close)

    # One request at a time.

    def _next(self) -> None:
        if self._task is not None or self._transport is None or self._discarding:
            return
        if not self._queue:
            if self._refusal > 0:
                self._answer_refusal(self._refusal)
            return
        request = self._queue.popleft()
        if not self._in_headers:
            self._disarm()
        self._transport.resume_reading()
        last = bool(self._refusal) and not self._queue
        responder = Responder(
            self,
            keep_alive=request.keep_alive and not last,
            head_only=request.method == b"HEAD",
        )
        self._task = self._loop.create_task(self._run(request, responder))

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        try:
            await self._server.handler(request, responder)
            if not responder.finished:
                _log.error("request left without an answer")
                responder.abort()
        except asyncio.CancelledError:
            responder.abort()
        except Exception:
            _log.exception("request handler failed")
            responder.abort()
        finally:
            self._task = None
        if self._transport is not None and not self._discarding:
            self._after_answer()

    def _after_answer(self) -> None:
        if self.idle and self.is_draining:
            self.close()
            return
        if self.idle:
            self._arm(self._server.limits().idle_timeout_s, self._idle_too_long)
        self._next()

    def _answer_refusal(self, status: int) -> None:
        self._server.on_refused(status)
        responder = Responder(self, keep_alive=False, head_only=False)
        responder.send_response(status, [], b"")

    def _headers_too_slow(self) -> None:
        self._refusal = self._refusal or _REQUEST_TIMEOUT
        self._next()

    def _idle_too_long(self) -> None:
        if self.idle:
            self.close()

    def _arm(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._loop.call_later(delay_s, callback)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HttpServer:
    """Listens on one address and hands each request to a handler.

    Args:
        handler: Answers a request; cancelled when its caller goes away.
        limits: The limits in force, asked for each request.
        on_refused: Told the status of each request that can't be read.
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
        """Connections with a request in progress."""
        return sum(not connection.idle for connection in self.connections)

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> int:
        """Listen; returns the port.

        Args:
            host: IP number.
            port: TCP port, 0 for any.
            listener: A socket that listens there already.
        """
        loop = asyncio.get_running_loop()
        if listener is not None:
            self._listener = await loop.create_server(
                lambda: _Connection(self), sock=listener, backlog=_BACKLOG
            )
        else:
            self._listener = await loop.create_server(
                lambda: _Connection(self),
                host,
                port,
                backlog=_BACKLOG,
                reuse_address=True,
            )
        return int(self._listener.sockets[0].getsockname()[1])

    def start_draining(self) -> None:
        """Go on serving, but close each connection after its next answer."""
        self.is_draining = True

    def stop_listening(self) -> None:
        """Take no new connection, and close those on which nothing is in progress."""
        self.start_draining()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close() if connection.idle else connection.abort()
