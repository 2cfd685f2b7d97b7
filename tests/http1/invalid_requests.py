"""Requests that are malformed, ambiguously framed or over the size limits."""

from gentianhoist.http1 import RequestLimits

LIMITS = RequestLimits(
    max_header_bytes=4_096,
    max_body_bytes=10_000,
    header_timeout_s=0.15,
    idle_timeout_s=0.4,
)
VALID_GET = b"GET /a/b?q=%20x HTTP/1.1\r\nHost: a\r\n\r\n"

# Name, request bytes, and the status of the response that precedes the close.
INVALID_REQUESTS = [
    ("obs-fold", b"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", 400),
    ("bare LF", b"GET / HTTP/1.1\nHost: a\n\n", 400),
    (
        "two lengths",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        400,
    ),
    (
        "length and chunks",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    ("space before colon", b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
    (
        "unknown coding",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
        400,
    ),
    (
        "signed length",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
        400,
    ),
    ("space in target", b"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ("NUL in a value", b"GET / HTTP/1.1\r\nHost: a\r\nX: a\0b\r\n\r\n", 400),
    ("no HTTP at all", b"\x16\x03\x01\x02\x00\x01\x00", 400),
    ("huge header", b"GET / HTTP/1.1\r\nX: " + b"a" * 5_000 + b"\r\n\r\n", 431),
    ("huge target", b"GET /" + b"a" * 5_000 + b" HTTP/1.1\r\n\r\n", 431),
    ("many headers", b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 1_000 + b"\r\n", 431),
    (
        "declared too long",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10001\r\n\r\n",
        413,
    ),
    (
        "chunks too long",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2711\r\n" + b"x" * 10_001 + b"\r\n0\r\n\r\n",
        413,
    ),
    ("headers that never end", b"GET / HTTP/1.1\r\nHost: a\r\n", 408),
]
