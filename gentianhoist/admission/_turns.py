"""How many of the free slots an entry takes before it hears what others take."""

from __future__ import annotations

import math
import random
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["EndedRequests", "FreeSlotTurns"]

# Time until other entries know of a placement; shorter than the scans of a long queue.
_INTERVAL_S = 0.01


class EndedRequests(NamedTuple):
    """Numbers of requests that have ended since the start of this entry.

    Attributes:
        here: Those of this entry.
        elsewhere: Those of other entries.
    """

    here: int = 0
    elsewhere: int = 0


class FreeSlotTurns:
    """Divides free slots between entries that see the same ones at the same time.

    All entries hear at once that a slot is free. If each that has a waiting request
    took it, most of these would wait for each other at the engines. The entry whose
    request has ended knows first, so it may use that slot at once. What it leaves is
    divided after an interval: each entry takes a part in proportion to what waits at
    it, rounded at random.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._began_s = float("-inf")
        self._began = EndedRequests()
        self._before = EndedRequests()
        self._used_here = 0
        self._left: dict[Hashable, int] = {}

    def take(
        self,
        kind: Hashable,
        free: int,
        own: int,
        others: int,
        ended: EndedRequests,
        now_s: float,
    ) -> bool:
        """Take one of the free slots, if this entry has a turn.

        Args:
            kind: Kind of the request that needs it; each kind has turns of its own.
            free: Free slots for requests of this kind.
            own: Requests that wait for them at this entry.
            others: Requests that wait for them at other entries.
            ended: Requests that have ended.
            now_s: Current time on the entry's clock, in seconds.
        """
        if others <= 0:
            return True
        if now_s - self._began_s >= _INTERVAL_S:
            self._begin(ended, now_s)
        if self._used_here < ended.here - self._before.here:
            self._used_here += 1
            return True
        left = self._left.get(kind)
        if left is None:
            left = self._part(
                free - (ended.elsewhere - self._before.elsewhere), own, others
            )
        self._left[kind] = left - 1
        return left > 0

    def _begin(self, ended: EndedRequests, now_s: float) -> None:
        """Begin an interval; slots count as left over from the one before the last."""
        self._used_here = max(
            0, self._used_here - (self._began.here - self._before.here)
        )
        self._before, self._began = self._began, ended
        self._began_s = now_s
        self._left.clear()

    def _part(self, free: int, own: int, others: int) -> int:
        own = max(1, own)
        part = max(0, free) * own / (own + others)
        return math.floor(part + self._rng.random())
