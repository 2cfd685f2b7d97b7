"""Received bytes of a connection, parsed in slices so that others get their turn."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

__all__ = ["SlicedInput"]

# A parser calls back for each header, chunk and message, of which a slice may hold
# thousands. What is left after this time waits for the next turn of the loop.
_SLICE_BYTES = 8 * 1024
_MAX_TURN_S = 0.001


class SlicedInput:
    """Passes received bytes to a parser, for a bounded time in each turn of the loop.

    The transport doesn't read while bytes wait here, or while the consumer of what was
    parsed has no room for more.

    Args:
        parse: Parses the next slice.
        has_room: Whether the consumer takes more.
    """

    def __init__(
        self, parse: Callable[[memoryview], None], has_room: Callable[[], bool]
    ) -> None:
        self._parse = parse
        self._has_room = has_room
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.ReadTransport | None = None
        self._waiting: deque[memoryview] = deque()
        self._next_turn: asyncio.Handle | None = None
        self._is_paused = False

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
        self._cancel_turn()

    def detach(self) -> None:
        """Go on with the bytes that wait, although the transport has ended."""
        self._transport = None

    def receive(self, data: bytes) -> None:
        """Take bytes from the transport, and parse them at once if possible."""
        is_first = self.is_empty
        self._waiting.append(memoryview(data))
        if is_first:
            self._parse_slices()
        self.update()

    def update(self) -> None:
        """Continue or pause, as the consumer has room or not; call it on a change."""
        has_room = self._has_room()
        if not has_room:
            self._cancel_turn()
        elif self._waiting and self._next_turn is None:
            self._next_turn = self._loop.call_soon(self._take_turn)
        self._set_paused(bool(self._waiting) or not has_room)

    def _take_turn(self) -> None:
        self._next_turn = None
        self._parse_slices()
        self.update()

    def _parse_slices(self) -> None:
        end_s = time.perf_counter() + _MAX_TURN_S
        while self._waiting and self._has_room():
            self._parse_slice()
            if time.perf_counter() >= end_s:
                return

    def _parse_slice(self) -> None:
        data = self._waiting.popleft()
        if len(data) > _SLICE_BYTES:
            self._waiting.appendleft(data[_SLICE_BYTES:])
            data = data[:_SLICE_BYTES]
        self._parse(data)

    def _cancel_turn(self) -> None:
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None

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
