"""Turns of the entries at a slot that all of them see as free."""

from __future__ import annotations

import math
import random

__all__ = ["SlotTurn"]

# Longest time that an entry waits before it takes a free slot of a server that starts:
# some times of the propagation of a message.
_MAX_WAIT_S = 0.06
# A turn that wasn't used for so long is drawn anew. Otherwise all entries would have
# one when a burst meets a server that was free for a while.
_TURN_TTL_S = 0.25


class SlotTurn:
    """When this entry may place a request on one server.

    All entries see at the same time that a slot is free. Each of them waits for a
    random time first, in which it may hear that another one has taken the slot.
    """

    def __init__(self) -> None:
        # None while no slot is free.
        self._turn_s: float | None = None
        self._seen_requests = 0

    def see_requests(self, requests: int) -> None:
        """End the turn if a request was placed, by this entry or by another one."""
        if requests > self._seen_requests:
            self._turn_s = None
        self._seen_requests = requests

    def end(self) -> None:
        """End the turn, as no slot is free."""
        self._turn_s = None

    def has_come(self, entries: int, rng: random.Random, now_s: float) -> bool:
        """Whether this entry may take a slot that is free.

        Args:
            entries: Number of known entries.
            rng: Source of randomness.
            now_s: Current time on the entry's clock, in seconds.
        """
        turn_s = self._turn_s
        if turn_s is None or not -_MAX_WAIT_S <= now_s - turn_s < _TURN_TTL_S:
            turn_s = self._turn_s = now_s + _draw_wait_s(entries, rng)
        return now_s >= turn_s


def _draw_wait_s(entries: int, rng: random.Random) -> float:
    """Draw a time with a truncated exponential distribution.

    So the expected number of entries that act before they hear of the first one hardly
    grows with their number. Of all entries, one on average doesn't wait.
    """
    if entries < 2:
        return 0.0
    drawn = 1.0 + math.log(1.0 - rng.random()) / math.log(entries)
    return _MAX_WAIT_S * max(0.0, drawn)
