"""Parser of the requests of one connection, without its transport and timers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from gentianhoist.http1._body_buffer import BodyBuffer
from gentianhoist.http1._responder import CallerRequest
from gentianhoist.http1.core import RequestLimits, get_header

__all__ = ["RequestReader", "RequestSink"]

# Bytes of chunk framing and trailers since the last byte of a body, and of a head
# beyond its own limit.
_MAX_FRAMING_BYTES = 16 * 1024
# Chunks that are smaller on average than this many bytes, and so many of them, are
# refused while there isn't the time to parse all that is received.
_MIN_MEAN_PART_BYTES = 32
_MIN_JUDGED_PARTS = 1024
# Objects of a header, beside the bytes of its name and value.
_HEADER_OBJECTS_BYTES = 192
_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_CONNECT = b"CONNECT"


class RequestSink(Protocol):
    """Takes what a reader has parsed."""

    def on_request_begin(self) -> None:
        """Take that the first byte of a request was read."""
        ...

    def on_head_end(self) -> None:
        """Take that a head has ended, which may still be rejected."""
        ...

    def on_head(self, request: CallerRequest) -> None:
        """Take a request whose body isn't received yet."""
        ...

    def on_body_begin(self) -> None:
        """Take that the caller sends the body, or has sent all of it."""
        ...

    def on_request(self, request: CallerRequest) -> None:
        """Take a complete request."""
        ...


class RequestReader:
    """Parses requests one after the other, within the limits of their size.

    Args:
        sink: Takes what was parsed.
        limits: Returns the current limits.

    Attributes:
        error_status: HTTP status for a request that can't be read, sent after the
            responses to the requests before it. 0: none. -1: parsing has stopped, with
            no error to send.
        error_cause: What the parser says of it, empty if the error isn't the parser's.
        in_headers: Whether the head of a request has begun and not ended.
        in_request: Whether a request has begun and isn't complete.
    """

    def __init__(self, sink: RequestSink, limits: Callable[[], RequestLimits]) -> None:
        self._sink = sink
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._request = CallerRequest()
        self._body = BodyBuffer()
        # Bytes of a complete head.
        self._head_bytes = 0
        # Bytes of the target and of complete headers, then of the body.
        self._section_bytes = 0
        self._header_objects_bytes = 0
        # All bytes received since the last message began or went on.
        self._overhead_bytes = 0
        # From the head that offers an upgrade until the parser of its body has begun.
        self._in_declined_upgrade = False
        self._declared_bytes: int | None = None
        # Parts of the body that the parser has found, at least one for each chunk.
        self._body_parts = 0
        self.error_status = 0
        self.error_cause = ""
        self.in_headers = False
        self.in_request = False

    @property
    def content_bytes(self) -> int:
        """Memory of the target, headers and body of the present request so far."""
        return self._head_bytes + self._section_bytes + self._header_objects_bytes

    @property
    def max_content_bytes(self) -> int:
        """What `content_bytes` may come to."""
        limits = self._limits()
        if self.in_headers:
            head_bytes = limits.max_header_bytes
        else:
            head_bytes = self._head_bytes
        body_bytes = self._declared_bytes
        if body_bytes is None:
            body_bytes = limits.max_body_bytes
        return self._header_objects_bytes + head_bytes + body_bytes

    @property
    def declared_bytes(self) -> int | None:
        """Length of the body that the head gives, None without one."""
        return self._declared_bytes

    @property
    def has_tiny_chunks(self) -> bool:
        """Whether the body comes in many chunks of a few bytes."""
        return (
            self._body_parts >= _MIN_JUDGED_PARTS
            and self._section_bytes < _MIN_MEAN_PART_BYTES * self._body_parts
        )

    def fail(self, status: int) -> None:
        """Stop with an error, unless there is one already."""
        self.error_status = self.error_status or status

    def discard(self) -> None:
        """Drop the body that is being received."""
        self._body = BodyBuffer()

    def feed(self, data: memoryview) -> None:
        """Parse the next bytes; errors are in `error_status`."""
        self._overhead_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserCallbackError:
            self.fail(_BAD_REQUEST)
        except httptools.HttpParserError as error:
            self.error_cause = str(error)
            self.fail(_BAD_REQUEST)
        self._check_overhead()

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
                    self.fail(-1)
                    return
                (parsed_bytes,) = stop.args
                self._parser = httptools.HttpRequestParser(self)
                data = self._request.encode_framing() + bytes(data[parsed_bytes:])
            else:
                return

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        if self._in_declined_upgrade:
            return
        self._request = CallerRequest()
        self._body = BodyBuffer()
        self._head_bytes = 0
        self._section_bytes = 0
        self._header_objects_bytes = 0
        self._overhead_bytes = 0
        self._body_parts = 0
        self._declared_bytes = None
        self.in_headers = True
        self.in_request = True
        self._sink.on_request_begin()

    def on_url(self, url: bytes) -> None:
        if self._in_declined_upgrade:
            return
        self._request.target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_headers:
            return  # Trailers are dropped, since nothing in them is forwarded.
        self._request.headers.append((name, value))
        self._header_objects_bytes += _HEADER_OBJECTS_BYTES
        self._add_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        if self._in_declined_upgrade:
            self._in_declined_upgrade = False
            return
        self.in_headers = False
        self._head_bytes, self._section_bytes = self._section_bytes, 0
        self._sink.on_head_end()
        request = self._request
        request.method = self._parser.get_method()
        offers_upgrade = bool(self._parser.should_upgrade())
        self._in_declined_upgrade = offers_upgrade and request.method != _CONNECT
        request.keep_alive = self._parser.should_keep_alive() and not offers_upgrade
        declared_length = get_header(request.headers, b"content-length")
        if declared_length is not None:
            self._declared_bytes = int(declared_length)
            if self._declared_bytes > self._limits().max_body_bytes:
                self._reject(_BODY_TOO_LARGE)
        request.http_version = self._parser.get_http_version()
        self._sink.on_head(request)

    def on_body(self, data: bytes) -> None:
        self._sink.on_body_begin()
        self._section_bytes += len(data)
        self._body_parts += 1
        self._overhead_bytes = 0
        if self._section_bytes > self._limits().max_body_bytes:
            self._reject(_BODY_TOO_LARGE)
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self._in_declined_upgrade:
            return
        self._sink.on_body_begin()
        # An idle connection must not keep the body of the request before.
        request, self._request = self._request, CallerRequest()
        request.body = self._body.take()
        self.in_request = False
        self._overhead_bytes = 0
        self._sink.on_request(request)

    def _add_header_bytes(self, count: int) -> None:
        self._section_bytes += count
        if self._section_bytes > self._limits().max_header_bytes:
            self._reject(_HEADERS_TOO_LARGE)

    def _check_overhead(self) -> None:
        """Reject a head, a chunk's framing or trailers that have no end."""
        max_bytes = self._limits().max_header_bytes + _MAX_FRAMING_BYTES
        if self._overhead_bytes > max_bytes:
            self.fail(_HEADERS_TOO_LARGE)

    def _reject(self, status: int) -> None:
        self.error_status = status
        raise ValueError(status)
