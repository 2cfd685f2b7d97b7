"""Search for the head of a response inside the body of another one."""

from __future__ import annotations

import re
from typing import NamedTuple

import httptools

from gentianhoist.http1._responses import ResponseHead

__all__ = ["FoundHead", "HeadSearch", "NoHead", "PartialHead", "search_head"]

# One with more isn't looked for.
_MAX_HEAD_BYTES = 16 * 1024
_MAX_HEADERS = 100
# A line holds no begin of a head: the body would end there, in what looks like one.
_STATUS = rb"HTTP/1\.[01] [1-5][0-9]{2}"
_TEXT = rb"(?:(?!%b)[^\r\n])*" % _STATUS
_STATUS_LINE = re.compile(rb"%b(?: %b)?\r\n" % (_STATUS, _TEXT))
_HEADER_LINE = re.compile(rb"[!#$%%&'*+.^_`|~0-9A-Za-z-]+:%b\r\n" % _TEXT)
_BEGIN_IN_LINE = re.compile(_STATUS)
_BEGIN = b"HTTP/1."
# Of a status code, which begins at this offset of the head.
_INFORMATIONAL_CLASS = b"1"
_CLASS_OFFSET = len(b"HTTP/1.1 ")
# Informational responses right before another one that belong to it.
_MAX_INFORMATIONAL = 3
# Completes the begin of a status line, to see whether it may be one.
_SAMPLE_STATUS = b"HTTP/1.1 200 "
_CHECKED_BYTES = len(_SAMPLE_STATUS)


class FoundHead(NamedTuple):
    """A complete head.

    Attributes:
        start: Its offset, or that of the informational responses right before it.
        end: Offset of the first byte after it.
        head: Status and headers.
    """

    start: int
    end: int
    head: ResponseHead


class PartialHead(NamedTuple):
    """The bytes from `start` to the end may be the begin of a head."""

    start: int


class NoHead(NamedTuple):
    """There is no head, and none begins at the end."""


HeadSearch = FoundHead | PartialHead | NoHead


def search_head(data: bytes, partial_bytes: int = 0) -> HeadSearch:
    """Find the first response head, or the begin of one at the end of the bytes.

    Args:
        data: Bytes of a body, framing included.
        partial_bytes: How many of the first bytes were found to be the begin of a head.

    Example:
        >>> search_head(b"about HTTP/1.1 and HTTP/1.1 200 OK")
        PartialHead(start=19)
        >>> search_head(b"HTTP/1.1 200 OK, it said")
        PartialHead(start=0)
        >>> search_head(b"HTTP/1.1 200 OK\\n")
        NoHead()
        >>> search_head(b"ab HTTP/1.1 200 OK\\r\\nA: b\\r\\n\\r\\n").start
        3
    """
    if (
        partial_bytes >= _CHECKED_BYTES
        and len(data) <= _MAX_HEAD_BYTES
        and data.find(b"\n", partial_bytes) < 0
    ):
        # The last line goes on.
        return PartialHead(0)
    start = 0
    while (start := data.find(_BEGIN, start)) >= 0:
        found = _match_heads(data, start)
        if not isinstance(found, NoHead):
            return found
        start += len(_BEGIN)
    return _partial_begin(data)


def _match_heads(data: bytes, start: int) -> HeadSearch:
    """Match a head, with the informational ones right before it, at an offset."""
    head_start = start
    for _ in range(_MAX_INFORMATIONAL + 1):
        end = _head_end(data, head_start)
        if end is None:
            return PartialHead(start)
        if not end:
            return NoHead()
        if not data.startswith(_INFORMATIONAL_CLASS, head_start + _CLASS_OFFSET):
            head = _parse_head(data[head_start:end])
            return NoHead() if head is None else FoundHead(start, end, head)
        head_start = end
    return NoHead()


def _head_end(data: bytes, start: int) -> int | None:
    """Return the end of a head; None if it is incomplete, 0 if it is no head."""
    line = _STATUS_LINE.match(data, start)
    if line is None:
        return _if_incomplete(data, start, start)
    for _ in range(_MAX_HEADERS):
        end = line.end()
        if data.startswith(b"\r\n", end):
            return end + 2
        line = _HEADER_LINE.match(data, end)
        if line is None:
            return _if_incomplete(data, start, end)
    return 0


def _if_incomplete(data: bytes, start: int, line_start: int) -> int | None:
    """Return None if the last line may go on, and 0 otherwise."""
    if len(data) - start > _MAX_HEAD_BYTES:
        return 0
    if line_start == start and not _may_be_status(data[start : start + _CHECKED_BYTES]):
        return 0
    if _BEGIN_IN_LINE.search(data, max(line_start, start + 1)):
        return 0
    carriage_return = data.find(b"\r", line_start)
    if data.find(b"\n", line_start) >= 0 or 0 <= carriage_return < len(data) - 1:
        return 0
    return None


def _may_be_status(text: bytes) -> bool:
    """Whether a status line may begin with this text, up to the byte after its code."""
    completed = text + _SAMPLE_STATUS[len(text) :] + b"\r\n"
    return _STATUS_LINE.match(completed) is not None


def _partial_begin(data: bytes) -> PartialHead | NoHead:
    """Look for the first bytes of a status line at the end."""
    for length in range(min(len(_BEGIN) - 1, len(data)), 0, -1):
        if data.endswith(_BEGIN[:length]):
            return PartialHead(len(data) - length)
    return NoHead()


class _HeadParser:
    """Receives the headers of one head from the parser."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))


def _parse_head(data: bytes) -> ResponseHead | None:
    receiver = _HeadParser()
    parser = httptools.HttpResponseParser(receiver)
    try:
        parser.feed_data(data)
    except httptools.HttpParserError:
        return None
    return ResponseHead(parser.get_status_code(), receiver.headers)
