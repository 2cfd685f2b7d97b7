"""The servers' side: a connection that accounts for every byte it is sent."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import NamedTuple, cast

import httptools

from gentianhoist.http1.core import Headers, get_header

__all__ = ["ClientConnection", "ConnectionFailed", "ResponseHead"]

_READ_HIGH_BYTES = 256 * 1024
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL_STATUS = 200


class ResponseHead(NamedTuple):
    """Status and headers of an answer.

    Attributes:
        status: HTTP status code.
        headers: All headers.
    """

    status: int
    headers: Headers

    def get_header(self, name: bytes) -> bytes | None:
        """The first value of a header, by its name in lower case."""
        return get_header(self.headers, name)


class ConnectionFailed(Exception):
    """The connection ended, or spoke no HTTP, before the answer was complete.

    Args:
        message: What happened.
        sent: Whether any byte of the request may have reached the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class PoolExhausted(ConnectionFailed):
    """No more connections may be opened to the server."""

    def __init__(self) -> None:
        super().__init__("too many connections are open", sent=False)


class _Head(NamedTuple):
    head: ResponseHead


class _Data(NamedTuple):
    data: bytes


class _End(NamedTuple):
    pass


_Item = _Head | _Data | _End


class ClientConnection(asyncio.Protocol):
    """A connection to a server; made by `open`."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._items: deque[_Item] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None
        self._headers: Headers = []
        self._in_message = False
        self._in_headers = False
        self._until_close = False
        self._head_only = False
        self._sent = False
        self._expecting = 0
        self._buffered = 0
        self._poisoned = False
        self.keep_alive_s: float | None = None
        self.idle_since_s = 0.0

    @classmethod
    async def open(
        cls, host: str, port: int, timeout_s: float, unacknowledged_timeout_s: float
    ) -> ClientConnection:
        """Open a connection.

        Args:
            host: IP number.
            port: TCP port.
            timeout_s: Seconds until the attempt is given up.
            unacknowledged_timeout_s: Seconds that sent bytes may go without an
                acknowledgement.

        Raises:
            ConnectionFailed: If it isn't open in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(cls, host, port)
        except (OSError, TimeoutError) as error:
            raise ConnectionFailed(f"can't connect: {error!r}", sent=False) from error
        connection._guard_against_silence(unacknowledged_timeout_s)
        return connection

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            self._transport is not None
            and not self._poisoned
            and self._failure is None
            and not self._expecting
        )

    def send(self, data: bytes, *, head_only: bool = False) -> None:
        """Send a whole request.

        Raises:
            ConnectionFailed: If the connection has ended already.
        """
        if self._transport is None or self._failure is not None:
            raise ConnectionFailed(self._failure or "closed", sent=False)
        self._expecting = 1
        self._sent = True
        self._head_only = head_only
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for status and headers of the next answer.

        Raises:
            ConnectionFailed: If none comes.
        """
        while True:
            item = await self._take()
            if isinstance(item, _Head):
                return item.head

    async def read_data(self) -> bytes:
        """Wait for the next part of the body; empty when the answer is complete.

        Raises:
            ConnectionFailed: If the answer breaks off.
        """
        item = await self._take()
        match item:
            case _Data(data=data):
                self._buffered -= len(data)
                if self._buffered < _READ_HIGH_BYTES and self._transport is not None:
                    self._transport.resume_reading()
                return data
            case _End():
                return b""
            case _Head():
                raise ConnectionFailed("an answer inside an answer", sent=True)

    def skip_response(self) -> None:
        """The answer being read belongs to another request: ours is still to come.

        Such a connection isn't used again.
        """
        self._expecting += 1
        self._poisoned = True

    def close(self) -> None:
        """Close at once; a server drops the request then."""
        if self._transport is not None:
            self._transport.abort()
        self._fail("closed by us")

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        if not self._expecting:
            self._poison()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._poison()
        except httptools.HttpParserError as error:
            self._poison()
            self._fail(f"not HTTP: {error}")

    def eof_received(self) -> bool:
        if self._until_close and self._in_message:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._fail(f"connection lost: {exc!r}" if exc else "connection closed")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if not self._expecting:
            # Bytes after a complete answer belong to no request.
            self._poisoned = True
        self._headers = []
        self._in_headers = True
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_headers:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._in_headers = False
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or not self._expecting:
            return
        head = ResponseHead(status, self._headers)
        self._note_keep_alive(head)
        self._put(_Head(head))
        if self._head_only:
            self._poisoned = True
            self._complete()
            return
        self._until_close = not (
            status in {_NO_CONTENT, _NOT_MODIFIED}
            or head.get_header(b"content-length") is not None
            or head.get_header(b"transfer-encoding") is not None
        )

    def on_body(self, data: bytes) -> None:
        if not self._expecting:
            return
        self._put(_Data(bytes(data)))
        self._buffered += len(data)
        if self._buffered >= _READ_HIGH_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._in_message and self._expecting:
            self._complete()

    def _note_keep_alive(self, head: ResponseHead) -> None:
        if not self._parser.should_keep_alive():
            self._poisoned = True
        for part in (head.get_header(b"keep-alive") or b"").split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.keep_alive_s = float(number)

    def _complete(self) -> None:
        self._in_message = False
        self._until_close = False
        self._expecting -= 1
        if self._transport is None or self._transport.get_write_buffer_size():
            # The server still waits for the rest of a body, so the next request's
            # bytes would be taken for it.
            self._poisoned = True
        self._put(_End())

    def _poison(self) -> None:
        self._poisoned = True
        if not self._expecting and self._transport is not None:
            self._transport.abort()

    def _fail(self, message: str) -> None:
        if self._failure is None:
            self._failure = message
        self._wake()

    def _put(self, item: _Item) -> None:
        self._items.append(item)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _take(self) -> _Item:
        while not self._items:
            if self._failure is not None:
                raise ConnectionFailed(self._failure, sent=self._sent)
            self._waiter = self._loop.create_future()
            await self._waiter
        return self._items.popleft()

    def _guard_against_silence(self, unacknowledged_timeout_s: float) -> None:
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is None or not hasattr(socket, "TCP_USER_TIMEOUT"):
            return
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(unacknowledged_timeout_s * 1000),
        )
