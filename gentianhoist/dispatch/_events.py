"""Splits the body of an event stream into server-sent events."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["EventReader", "StreamEvent"]

_MAX_EVENT_BYTES = 1024 * 1024
_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_MAX_TERMINATOR_BYTES = max(map(len, _TERMINATORS))


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
        self._buffer = bytearray()
        # Bytes from the start of the buffer in which no event ends.
        self._searched_bytes = 0

    @property
    def incomplete(self) -> bytes:
        """Bytes of the event that isn't complete yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Args:
            data: Next bytes of the body.

        Raises:
            ValueError: If an incomplete event exceeds the size limit, which lies beyond
                any event that a server sends.
        """
        self._buffer += data
        events = []
        while (end := self._event_end()) >= 0:
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched_bytes = 0
            events.append(StreamEvent(event, _event_id(event)))
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit without an end")
        self._searched_bytes = max(0, len(self._buffer) - _MAX_TERMINATOR_BYTES + 1)
        return events

    def _event_end(self) -> int:
        ends = [
            position + len(terminator)
            for terminator in _TERMINATORS
            if (position := self._buffer.find(terminator, self._searched_bytes)) >= 0
        ]
        return min(ends, default=-1)


def _event_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip()
    return None
