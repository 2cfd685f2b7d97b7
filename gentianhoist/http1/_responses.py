"""Types of the responses that a client connection reads or drops."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from gentianhoist.http1.core import Headers, get_header

__all__ = [
    "Attribute",
    "Attribution",
    "DropPosition",
    "DroppedResponse",
    "InvalidResponse",
    "ResponseFraming",
    "ResponseHead",
    "ResponseSink",
    "attribute_in_order",
    "response_framing",
]

_NO_CONTENT = 204
_NOT_MODIFIED = 304


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


class Attribution(Enum):
    """What a response head says about the request that it responds to."""

    OWN = "it names the request"
    UNNAMED = "it names no request"
    OTHER = "it names another request"


# Tells whether a response head is one to a certain request. A connection keeps it for
# longer than the request lasts.
Attribute = Callable[[ResponseHead], Attribution]


def attribute_in_order(head: ResponseHead) -> Attribution:
    """Attribute a response by its place only, for servers that name no request."""
    return Attribution.UNNAMED


class ResponseFraming(Enum):
    """How the end of a response's body is found."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def response_framing(head: ResponseHead) -> ResponseFraming:
    """Return how the end of the body is found of a response to any method but HEAD."""
    if head.status in {_NO_CONTENT, _NOT_MODIFIED}:
        return ResponseFraming.NO_BODY
    if head.get_header(b"transfer-encoding") is not None:
        return ResponseFraming.CHUNKED
    if head.get_header(b"content-length") is not None:
        return ResponseFraming.LENGTH
    return ResponseFraming.CLOSE


class DropPosition(Enum):
    """Where on a connection a response was that no request reads."""

    BEFORE = "before the response to the request"
    INSIDE = "inside the body of the response to the request"
    AFTER = "after the response to the request"


class DroppedResponse(NamedTuple):
    """A response that was received and that no request reads.

    Attributes:
        head: Status and headers.
        position: Where it was, as seen from the request that was sent last.
        attribution: What it says about that request.
    """

    head: ResponseHead
    position: DropPosition
    attribution: Attribution


class InvalidResponse(Exception):
    """The bytes are no valid response, or not one that can be delimited."""


class ResponseSink(Protocol):
    """Receives the response to the request, part by part."""

    def on_head(self, head: ResponseHead, *, keep_alive: bool) -> None:
        """Take the head; `keep_alive` tells whether the connection stays open."""
        ...

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""
        ...

    def on_end(self) -> None:
        """Take the end of the response."""
        ...

    def on_dropped(self, dropped: DroppedResponse) -> None:
        """Take note of a response that is not the one to the request."""
        ...

    def on_stray_bytes(self) -> None:
        """Take note of bytes that came while no request waits."""
        ...
