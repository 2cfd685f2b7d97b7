"""Splits the body of an event stream into server-sent events."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EventReader", "StreamEvent"]

_MAX_EVENT_BYTES = 1024 * 1024


class StreamEvent(NamedTuple):
    """One server-sent event.

    Attributes:
        data: Bytes of the event including the blank line that ends it.
        id: Value of the id field, None without one.
    """

    data: bytes
    id: bytes | None


class EventReader:
    """Buffers bytes and returns complete events.

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
        self._buffer = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes of the event that isn't complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Args:
            data: Next bytes of the body.

        Raises:
            ValueError: If an incomplete event exceeds the size limit, which lies beyond
                any event that a server sends.
        """
        buffer = self._buffer + data
        events = []
        while True:
            end = _event_end(buffer)
            if end < 0:
                break
            events.append(StreamEvent(buffer[:end], _event_id(buffer[:end])))
            buffer = buffer[end:]
        if len(buffer) > _MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit without an end")
        self._buffer = buffer
        return events


def _event_end(buffer: bytes) -> int:
    ends = [
        position + len(terminator)
        for terminator in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(terminator)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip()
    return None
