"""Messages of HTTP/1.1 as both sides use them."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

__all__ = [
    "HOP_BY_HOP",
    "Headers",
    "RequestLimits",
    "encode_head",
    "encode_request",
    "get_header",
]

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset({
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
})


class RequestLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        max_header_bytes: Request line and headers together.
        max_body_bytes: The body.
        header_timeout_s: From the first byte to the end of the headers.
        idle_timeout_s: Between two requests on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """The first value of a header.

    Args:
        headers: Headers, in any case.
        name: Its name in lower case.

    Returns:
        The value without surrounding blanks, or nothing.

    Example:
        >>> get_header([(b"Host", b"a.example ")], b"host")
        b'a.example'
    """
    for key, value in headers:
        if key.lower() == name:
            return value.strip()
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """The headers that don't concern one connection only."""
    listed = set()
    for key, value in headers:
        if key.lower() == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP and key.lower() not in listed
    ]


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Encode a whole request with its length.

    Args:
        method: The method.
        target: Path and query, byte for byte.
        headers: All headers but the length.
        body: The body.

    Returns:
        The bytes to send.
    """
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % item for item in headers]
    if body or method not in {b"GET", b"HEAD", b"DELETE", b"OPTIONS"}:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode status line and headers of an answer."""
    try:
        phrase = HTTPStatus(status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    lines = [b"HTTP/1.1 %d %b" % (status, phrase)]
    lines += [b"%b: %b" % item for item in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
