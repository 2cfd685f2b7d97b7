"""Body of a request while it is received."""

from __future__ import annotations

__all__ = ["BodyBuffer"]

# Smaller parts, such as chunks of one byte, are collected before they are kept: an
# object for each would need a multiple of their bytes.
_PART_BYTES = 64 * 1024


class BodyBuffer:
    """Keeps the parts of a body, and joins them once.

    A single buffer that grows would be copied again and again, and leave gaps in the
    heap between those of other connections.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()

    def append(self, data: bytes) -> None:
        """Add the next bytes."""
        if not self._tail and len(data) >= _PART_BYTES:
            self._parts.append(data)
            return
        self._tail += data
        if len(self._tail) >= _PART_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail = bytearray()

    def take(self) -> bytes:
        """Return the whole body, and forget it."""
        parts, self._parts = self._parts, []
        tail, self._tail = self._tail, bytearray()
        if not parts:
            return bytes(tail)
        parts.append(bytes(tail))
        return b"".join(parts)
