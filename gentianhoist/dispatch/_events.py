"""Splits the body of an event stream into server-sent events."""

from __future__ import annotations

import re
from typing import NamedTuple

__all__ = ["EventReader", "StreamEvent"]

# Size of an event, with the blank lines and comments before it, that a reader accepts.
_MAX_EVENT_BYTES = 256 * 1024
_BLANK_LINE = re.compile(rb"\n\r?\n")
_MAX_BLANK_LINE_BYTES = 3
_LINE_ENDS = b"\r\n"
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id(?::([^\r\n]*))?(?=[\r\n])")


class StreamEvent(NamedTuple):
    """One server-sent event.

    Attributes:
        data: Bytes of the event including the blank line that ends it, and those before
            it that belong to no event.
        id: Value of the last id field, None without one.
    """

    data: bytes
    id: bytes | None

    @property
    def is_comment(self) -> bool:
        """Whether it has comments only, which callers ignore."""
        return self.id is None and _FIELD.search(self.data) is None


class EventReader:
    """Buffers bytes and returns complete events.

    The time to read a stream grows with its bytes, however these are arranged.

    Example:
        >>> reader = EventReader()
        >>> reader.feed(b"id: 1\\ndata: a\\n")
        []
        >>> reader.feed(b"\\nid: 2")
        [StreamEvent(data=b'id: 1\\ndata: a\\n\\n', id=b'1')]
        >>> reader.incomplete
        b'id: 2'
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Start of the next event's first line, after blank lines.
        self._first_line = 0
        # Bytes from the start of the buffer in which no event ends.
        self._searched_bytes = 0

    @property
    def incomplete(self) -> bytes:
        """Bytes of the event that isn't complete yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Blank lines end an event but are none themselves.

        Args:
            data: Next bytes of the body.

        Raises:
            ValueError: If an incomplete event exceeds the size limit, which lies beyond
                any event that a server sends.
        """
        self._buffer += data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(self._buffer, self._searched_bytes):
            end = match.end()
            first_line = max(start, self._first_line)
            self._first_line = end
            self._searched_bytes = end
            if self._buffer[first_line:end].strip(_LINE_ENDS):
                event = bytes(self._buffer[start:end])
                events.append(StreamEvent(event, _event_id(event)))
                start = end
        self._drop(start)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit without an end")
        return events

    def _drop(self, end: int) -> None:
        """Drop the bytes of events that were returned."""
        del self._buffer[:end]
        unsearched_from = len(self._buffer) - _MAX_BLANK_LINE_BYTES + 1
        self._searched_bytes = max(0, self._searched_bytes - end, unsearched_from)
        self._first_line = max(0, self._first_line - end)


def _event_id(event: bytes) -> bytes | None:
    ids = _ID_FIELD.findall(event)
    return ids[-1].strip() if ids else None
