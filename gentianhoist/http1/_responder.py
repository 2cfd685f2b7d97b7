"""A caller's request, and the writer of the response to it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from gentianhoist.http1.core import Headers, encode_head

__all__ = ["CallerConnection", "CallerRequest", "Responder"]

# A length in their responses would be that of another response, or invalid.
_BODILESS_STATUSES = frozenset({204, 304})
# As large as a response may be that isn't a stream.
_MAX_HELD_BYTES = 8 * 1024 * 1024
_OLD_VERSIONS = frozenset({"0.9", "1.0"})
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclass
class CallerRequest:
    """A complete request as a caller sent it.

    Attributes:
        method: HTTP method.
        target: Path and query as received, without normalisation.
        headers: All headers.
        body: The body without its framing.
        keep_alive: Whether the request lets the connection stay open.
        received_s: When its last byte was read, in seconds on the event loop's clock.
        http_version: HTTP version, without its name.
    """

    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    received_s: float = 0.0
    http_version: str = "1.1"

    @property
    def predates_http_1_1(self) -> bool:
        """Whether its version has no chunked bodies and no interim responses."""
        return self.http_version in _OLD_VERSIONS

    def encode_framing(self) -> bytes:
        """Encode a head after which a new parser reads the body of the request."""
        headers = [item for item in self.headers if item[0].lower() in _FRAMING_HEADERS]
        lines = [b"POST / HTTP/1.1", *(b"%b: %b" % item for item in headers)]
        return b"\r\n".join(lines) + b"\r\n\r\n"


class CallerConnection(Protocol):
    """Connection to a caller, as `Responder` uses it."""

    @property
    def is_draining(self) -> bool:
        """Whether the server is draining, so that each response is the last one."""
        ...

    def write(self, data: bytes) -> None:
        """Write bytes to the transport; does nothing if the connection has ended."""
        ...

    async def wait_writable(self) -> None:
        """Wait while the write buffer is too full to take more data."""
        ...

    async def reserve_response(self, count: int) -> None:
        """Wait until there is room for bytes of a response that is kept whole.

        Raises:
            ResponseCut: If there is none.
        """
        ...

    def abort(self) -> None:
        """Reset the connection."""
        ...

    def close_after_linger(self) -> None:
        """Close after a delay in which the caller can read the response.

        An immediate close with unread input resets the connection, and the caller may
        lose the response.
        """
        ...


class _HeldStream(NamedTuple):
    status: int
    headers: Headers
    body: bytearray


class Responder:
    """Writes the response to one request.

    Use either `send_response`, or `start_chunked`, `send_chunk` and `end_chunked`, each
    in this order. Any other use raises `RuntimeError` and writes nothing, since the
    caller would take the bytes for the response to its next request.

    Args:
        connection: The caller's connection.
        keep_alive: Whether the connection may stay open after the response.
        head_only: Whether the method is HEAD, whose response has no body.
        takes_chunks: Whether the caller's HTTP version has chunked bodies. Without
            them, a stream is held back and sent with its length: one that ends with its
            connection would look complete when it is broken off.
    """

    def __init__(
        self,
        connection: CallerConnection,
        *,
        keep_alive: bool,
        head_only: bool,
        takes_chunks: bool = True,
    ) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self._head_only = head_only
        self._held: _HeldStream | None = None
        self._takes_chunks = takes_chunks
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether the response was begun, so that no other one may be sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the response is complete or was aborted."""
        return self._finished

    async def reserve(self, count: int) -> None:
        """Wait until there is room for bytes of a response, before more are read.

        Raises:
            ResponseCut: If there is none.
        """
        await self._connection.reserve_response(count)

    def send_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a complete response.

        Args:
            status: HTTP status code.
            headers: All headers except Content-Length.
            body: The body; empty if the status has none. Also empty for HEAD, if the
                length that a GET would have isn't known.
        """
        self._check_not_begun()
        self._write_whole(status, headers, body)

    def _write_whole(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        all_headers = [*headers]
        if status not in _BODILESS_STATUSES and (body or not self._head_only):
            all_headers.append((b"Content-Length", b"%d" % len(body)))
        self._write_head(status, all_headers)
        if status not in _BODILESS_STATUSES and not self._head_only:
            self._connection.write(body)
        self._finish()

    def start_chunked(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Begin a chunked response, whose length isn't known yet.

        Args:
            status: HTTP status code.
            headers: All headers except Transfer-Encoding.
        """
        self._check_not_begun()
        if not self._takes_chunks:
            self._started = True
            self._held = _HeldStream(status, [*headers], bytearray())
            return
        self._write_head(status, [*headers, (b"Transfer-Encoding", b"chunked")])

    async def send_chunk(self, data: bytes) -> None:
        """Write a part of the body, then wait while the write buffer is full.

        Empty data is not written, since an empty chunk would end the response.

        Raises:
            OverflowError: If the caller's HTTP version has no chunked bodies, and the
                response is too large to be held back.
        """
        self._check_in_stream()
        if not data or self._head_only:
            return
        if self._held is not None:
            self._held.body.extend(data)
            if len(self._held.body) > _MAX_HELD_BYTES:
                raise OverflowError("the stream is too large for HTTP/1.0")
            return
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._connection.wait_writable()

    def end_chunked(self) -> None:
        """Write the last chunk, which marks the response as complete."""
        self._check_in_stream()
        if self._held is not None:
            status, headers, body = self._held
            self._write_whole(status, headers, bytes(body))
            return
        if not self._head_only:
            self._connection.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Reset the connection, so that the response can't be taken for complete."""
        self._finished = True
        self._connection.abort()

    def _check_not_begun(self) -> None:
        if self._started or self._finished:
            raise RuntimeError("a response to the request was begun before")

    def _check_in_stream(self) -> None:
        if not self._started or self._finished:
            raise RuntimeError("no chunked response is in progress")

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
