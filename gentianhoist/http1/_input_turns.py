"""Shares the event loop's time between the inputs of a server's connections."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

__all__ = ["InputTurns", "TurnTaker"]

# All inputs together parse for this long in one turn of the event loop, and a single
# one before the next. A turn may exceed it by one slice.
_MAX_TURN_S = 0.001
_QUANTUM_S = 0.000_25
# Part of the time in which inputs are parsed as their bytes arrive, without waiting.
_IMMEDIATE_RATIO = 0.5
# Part of the time to which a single input is entitled; one that used more comes later.
_INPUT_RATIO = 0.01
# What an input used longer ago doesn't count, so that none waits for ever.
_MAX_DEBT_S = 1.0
# Inputs that all wait for each other for this long come faster than they are parsed.
_OVERLOAD_S = 1.0


class TurnTaker(Protocol):
    """Input that parses bytes when it has its turn.

    Attributes:
        due_s: When its use is within its share, on the clock of `InputTurns`.
    """

    due_s: float

    def take_turn(self, max_s: float) -> bool:
        """Parse for a time; returns whether it needs another turn."""
        ...


class InputTurns:
    """Gives inputs their turns, those that used least of their share first.

    Bytes of a request are parsed before those of requests that need much more time, for
    instance since they come in chunks of one byte.

    Args:
        clock: Returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self.clock = clock
        self._waiting: list[tuple[float, int, TurnTaker]] = []
        # Number of the valid entry of each input that waits.
        self._entries: dict[TurnTaker, int] = {}
        self._numbers = itertools.count()
        self._running: TurnTaker | None = None
        # Since when two inputs or more have always waited; None if they don't.
        self._contended_since_s: float | None = None
        self._next_run: asyncio.Handle | None = None
        # Time for parsing at once that is left, as of a time.
        self._immediate_s = _MAX_TURN_S
        self._immediate_as_of_s = clock()

    @property
    def waiting(self) -> int:
        """Number of inputs that wait for a turn."""
        return len(self._entries)

    @property
    def is_overloaded(self) -> bool:
        """Whether inputs have waited for each other without a break for a while."""
        if self._contended_since_s is None:
            return False
        return self.clock() - self._contended_since_s > _OVERLOAD_S

    def take_immediate(self, taker: TurnTaker) -> None:
        """Let an input parse bytes that have just arrived, if no other one waits."""
        now_s = self.clock()
        elapsed_s = now_s - self._immediate_as_of_s
        self._immediate_as_of_s = now_s
        self._immediate_s += _IMMEDIATE_RATIO * elapsed_s
        self._immediate_s = min(_MAX_TURN_S, self._immediate_s)
        if self._entries or self._immediate_s <= 0.0:
            self.add(taker)
        else:
            self._immediate_s -= self._run_one(taker, now_s)

    def add(self, taker: TurnTaker) -> None:
        """Give an input a turn, unless it waits for one already."""
        if taker in self._entries or taker is self._running:
            return
        number = next(self._numbers)
        self._entries[taker] = number
        due_s = max(self.clock(), taker.due_s)
        heapq.heappush(self._waiting, (due_s, number, taker))
        if self._contended_since_s is None and len(self._entries) > 1:
            self._contended_since_s = self.clock()
        self._schedule()

    def remove(self, taker: TurnTaker) -> None:
        """Give an input no turn."""
        self._entries.pop(taker, None)
        self._check_contended()

    def _schedule(self) -> None:
        if self._next_run is None:
            self._next_run = asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._next_run = None
        now_s = self.clock()
        end_s = now_s + _MAX_TURN_S
        try:
            while self._entries and now_s <= end_s:
                now_s += self._run_one(self._pop(), now_s)
        finally:
            # One that fails must not keep the others from their turns.
            if self._entries:
                self._schedule()

    def _pop(self) -> TurnTaker:
        """Take the next input that waits."""
        while True:
            _, number, taker = heapq.heappop(self._waiting)
            if self._entries.get(taker) == number:
                del self._entries[taker]
                return taker

    def _run_one(self, taker: TurnTaker, now_s: float) -> float:
        """Give an input its turn; returns the seconds that it took."""
        self._running = taker
        try:
            needs_another = taker.take_turn(_QUANTUM_S)
        finally:
            self._running = None
        used_s = self.clock() - now_s
        due_s = max(now_s, taker.due_s) + used_s / _INPUT_RATIO
        taker.due_s = min(now_s + _MAX_DEBT_S, due_s)
        if needs_another:
            self.add(taker)
        self._check_contended()
        return used_s

    def _check_contended(self) -> None:
        if len(self._entries) < 2:
            self._contended_since_s = None
        if not self._entries:
            self._waiting.clear()
