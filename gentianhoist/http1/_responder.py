"""A caller's request, and the writer of its one answer."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from gentianhoist.http1.core import Headers, encode_head

__all__ = ["CallerConnection", "CallerRequest", "Responder"]


@dataclass
class CallerRequest:
    """A whole request as a caller sent it.

    Attributes:
        method: The method.
        target: Path and query, byte for byte.
        headers: All headers.
        body: The body without its framing.
        keep_alive: Whether the caller may use the connection again.
        received_s: When its last byte was read, on the loop's clock.
    """

    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    received_s: float = 0.0


class CallerConnection(Protocol):
    """What a responder needs of the connection that it answers on."""

    @property
    def is_draining(self) -> bool:
        """Whether the server is about to end."""
        ...

    def write(self, data: bytes) -> None:
        """Hand bytes to the transport, unless the connection has ended."""
        ...

    async def wait_writable(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        ...

    def abort(self) -> None:
        """Reset the connection."""
        ...

    def close(self) -> None:
        """Close once everything is written."""
        ...

    def close_after_linger(self) -> None:
        """Close, but let the caller read the answer before unread bytes reset it."""
        ...


class Responder:
    """Writes the one answer to a request.

    Args:
        connection: The caller's connection.
        keep_alive: Whether the connection may stay open afterwards.
        head_only: Whether the request was HEAD, whose answer has no body.
    """

    def __init__(
        self, connection: CallerConnection, *, keep_alive: bool, head_only: bool
    ) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self._head_only = head_only
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether any byte of the answer was written."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the answer is complete or broken off."""
        return self._finished

    def send_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a whole answer."""
        lines = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._write_head(status, lines)
        if not self._head_only:
            self._connection.write(body)
        self._finish()

    def start_chunked(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of an answer whose length isn't known."""
        self._write_head(status, [*headers, (b"Transfer-Encoding", b"chunked")])

    async def send_chunk(self, data: bytes) -> None:
        """Write a part of the body, as soon as the caller takes it."""
        if not data or self._head_only:
            return
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._connection.wait_writable()

    def end_chunked(self) -> None:
        """Mark the answer as complete."""
        if not self._head_only:
            self._connection.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Break off so that the answer can't look complete."""
        self._finished = True
        self._connection.abort()

    def close_without_response(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self._connection.close()

    def _write_head(self, status: int, headers: Headers) -> None:
        self._keep_alive = self._keep_alive and not self._connection.is_draining
        if not self._keep_alive:
            headers = [*headers, (b"Connection", b"close")]
        self._started = True
        self._connection.write(encode_head(status, headers))

    def _finish(self) -> None:
        self._finished = True
        if not self._keep_alive:
            self._connection.close_after_linger()
