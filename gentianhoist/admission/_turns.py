"""How many of the free slots an entry takes before it hears what others take."""

from __future__ import annotations

import math
import random
from collections.abc import Hashable

__all__ = ["FreeSlotTurns"]

# Time until other entries know of a placement; shorter than the scans of a long queue.
_INTERVAL_S = 0.01


class FreeSlotTurns:
    """Divides free slots between entries that see the same ones at the same time.

    All entries hear at once that a slot is free. If each that has a waiting request
    took it, most of these would wait for each other at the engines. So each entry takes
    in one interval a part in proportion to what waits at it, rounded at random.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._began_s = float("-inf")
        self._left: dict[Hashable, int] = {}

    def take(
        self, kind: Hashable, free: int, own: int, others: int, now_s: float
    ) -> bool:
        """Take one of the free slots of this interval, if any is left.

        Args:
            kind: Kind of the request that needs it; each kind has turns of its own.
            free: Free slots for requests of this kind.
            own: Requests of this kind that wait at this entry.
            others: Requests of this kind that wait at others.
            now_s: Current time on the entry's clock, in seconds.
        """
        if others <= 0:
            return True
        if now_s - self._began_s >= _INTERVAL_S:
            self._began_s = now_s
            self._left.clear()
        left = self._left.get(kind)
        if left is None:
            part = max(0, free) * max(1, own) / (max(1, own) + others)
            left = math.floor(part + self._rng.random())
        self._left[kind] = left - 1
        return left > 0
