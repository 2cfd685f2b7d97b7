"""HTTP/1.1 headers, limits and encoders that client and server share."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

__all__ = [
    "NO_BODY_LIMITS",
    "UNFORWARDED_HEADERS",
    "EncodedRequest",
    "Headers",
    "RequestLimits",
    "encode_head",
    "encode_request",
    "encode_request_parts",
    "get_header",
]

# Names and values, in order; a name may occur more than once.
Headers = list[tuple[bytes, bytes]]

# Lower-case names of headers that a proxy must not forward: hop-by-hop headers, and
# Content-Length and Expect, which apply to the message as the proxy received it.
UNFORWARDED_HEADERS = frozenset({
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
    """Limits of the size of a request, and timeouts of a caller's connection.

    Attributes:
        max_header_bytes: Maximum size of the request target and headers together.
        max_body_bytes: Maximum size of the body without its framing.
        header_timeout_s: Maximum seconds from the first byte to the end of the headers.
        idle_timeout_s: Maximum seconds without a request on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


# For servers whose requests say everything in their target.
NO_BODY_LIMITS = RequestLimits(max_header_bytes=4096, max_body_bytes=0)


class EncodedRequest(NamedTuple):
    """An encoded request, whose body isn't copied to follow the head.

    Attributes:
        head: Request line and headers, with the blank line.
        body: The body.
    """

    head: bytes
    body: bytes


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header.

    Args:
        headers: Headers, with names in any case.
        name: Name of the header, in lower case.

    Returns:
        The value without surrounding whitespace, or None if the header is missing.

    Example:
        >>> get_header([(b"Host", b"a.example ")], b"host")
        b'a.example'
    """
    for key, value in headers:
        if key.lower() == name:
            return value.strip()
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that a proxy forwards.

    Leaves out `UNFORWARDED_HEADERS`, and those that a Connection header names.

    Args:
        headers: All headers of a message.
    """
    connection_options = set()
    for key, value in headers:
        if key.lower() == b"connection":
            connection_options.update(
                part.strip().lower() for part in value.split(b",")
            )
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in UNFORWARDED_HEADERS
        and key.lower() not in connection_options
    ]


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Encode a complete request.

    Adds Content-Length, except to requests without a body whose method needs none.

    Args:
        method: HTTP method.
        target: Path and query, sent unchanged.
        headers: All headers except Content-Length.
        body: The body.

    Returns:
        The bytes to send.
    """
    return b"".join(encode_request_parts(method, target, headers, body))


def encode_request_parts(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> EncodedRequest:
    """Encode a complete request as `encode_request`, without a copy of its body."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % item for item in headers]
    if body or method not in {b"GET", b"HEAD", b"DELETE", b"OPTIONS"}:
        lines.append(b"Content-Length: %d" % len(body))
    return EncodedRequest(b"\r\n".join(lines) + b"\r\n\r\n", body)


def encode_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the status line and headers of a response.

    Args:
        status: HTTP status code.
        headers: All headers.
    """
    try:
        reason_phrase = HTTPStatus(status).phrase.encode()
    except ValueError:
        reason_phrase = b"Unknown"
    lines = [b"HTTP/1.1 %d %b" % (status, reason_phrase)]
    lines += [b"%b: %b" % item for item in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
