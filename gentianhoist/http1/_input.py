"""Received bytes of a connection, parsed in slices so that others get their turn."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from gentianhoist.http1._input_turns import InputTurns

__all__ = ["SlicedInput"]

# A parser calls back for each header, chunk and message, of which a slice may hold
# thousands. Slices shrink until each takes little time.
_MAX_SLICE_BYTES = 8 * 1024
_MIN_SLICE_BYTES = 512
_FIRST_SLICE_BYTES = 2 * 1024
_MAX_SLICE_S = 0.000_25


def _unlimited() -> int:
    return _MAX_SLICE_BYTES


class SlicedInput:
    """Passes received bytes to a parser, for a bounded time in each turn of the loop.

    The transport doesn't read while bytes wait here, or while the consumer of what was
    parsed has no room for more.

    Args:
        parse: Parses the next slice.
        has_room: Whether the consumer takes more.
        turns: Turns of all inputs of a server; by default the input has its own.
        max_slice_bytes: Returns a limit of the next slice.

    Attributes:
        due_s: See `TurnTaker`.
    """

    def __init__(
        self,
        parse: Callable[[memoryview], None],
        has_room: Callable[[], bool],
        turns: InputTurns | None = None,
        max_slice_bytes: Callable[[], int] = _unlimited,
    ) -> None:
        self._parse = parse
        self._has_room = has_room
        self._turns = turns or InputTurns()
        self._max_slice_bytes = max_slice_bytes
        self._transport: asyncio.ReadTransport | None = None
        self._waiting: deque[memoryview] = deque()
        self._slice_bytes = _FIRST_SLICE_BYTES
        self._is_paused = False
        self.due_s = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether all received bytes have been parsed."""
        return not self._waiting

    @property
    def is_paused(self) -> bool:
        """Whether the transport doesn't read."""
        return self._is_paused

    def start(self, transport: asyncio.ReadTransport) -> None:
        """Begin to control the reading of a transport."""
        self._transport = transport

    def close(self) -> None:
        """Drop the bytes that wait, and leave the transport alone from now on."""
        self._waiting.clear()
        self._transport = None
        self._turns.remove(self)

    def detach(self) -> None:
        """Go on with the bytes that wait, although the transport has ended."""
        self._transport = None

    def receive(self, data: bytes) -> None:
        """Take bytes from the transport, and parse them at once if possible."""
        is_first = self.is_empty
        self._waiting.append(memoryview(data))
        if is_first and self._has_room():
            self._turns.take_immediate(self)
        else:
            self.update()

    def update(self) -> None:
        """Continue or pause, as the consumer has room or not; call it on a change."""
        if self._update_paused():
            self._turns.add(self)
        else:
            self._turns.remove(self)

    def take_turn(self, max_s: float) -> bool:
        """Parse for a time; returns whether another turn is needed."""
        began_s = now_s = self._turns.clock()
        while self._waiting and self._has_room():
            self._parse_slice()
            slice_began_s, now_s = now_s, self._turns.clock()
            self._adapt_slices(now_s - slice_began_s)
            if now_s - began_s >= max_s:
                break
        return self._update_paused()

    def _parse_slice(self) -> None:
        data = self._waiting.popleft()
        max_bytes = min(self._slice_bytes, self._max_slice_bytes())
        if len(data) > max_bytes:
            self._waiting.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._parse(data)

    def _adapt_slices(self, used_s: float) -> None:
        if used_s > _MAX_SLICE_S:
            self._slice_bytes = max(_MIN_SLICE_BYTES, self._slice_bytes // 2)
        else:
            self._slice_bytes = min(_MAX_SLICE_BYTES, 2 * self._slice_bytes)

    def _update_paused(self) -> bool:
        """Pause the transport as needed; returns whether bytes may be parsed."""
        has_room = self._has_room()
        self._set_paused(bool(self._waiting) or not has_room)
        return has_room and bool(self._waiting)

    def _set_paused(self, is_paused: bool) -> None:
        if self._transport is None or is_paused == self._is_paused:
            return
        if self._transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
