"""Engines kept for long work, whose number follows the load."""

from __future__ import annotations

import math
from collections.abc import Iterable

from gentianhoist.routing._estimate import BackendView
from gentianhoist.routing._subset import rendezvous_weight

_MAX_PART = 0.5
_SHRINK_PER_S = 0.1


class LongPromptPool:
    """The set of engines that long work goes to.

    All entries order the engines alike, so their lanes are nested though their sizes
    differ for a moment. The lane grows at once and shrinks slowly.

    Args:
        seed: Distinguishes the lanes of different models.
    """

    def __init__(self, seed: str) -> None:
        self._seed = seed
        self._size = 1.0
        self._updated_s: float | None = None

    def select_members(
        self, views: Iterable[BackendView], now_s: float
    ) -> frozenset[str]:
        """The lane among the backend servers known now.

        Args:
            views: The backend servers.
            now_s: The time on the entry's clock.

        Returns:
            Names of those kept for long work; empty if there are too few to spare one.
        """
        known = list(views)
        most = int(len(known) * _MAX_PART)
        if most < 1:
            return frozenset()
        wanted = max(1, sum(view.load.long_streams for view in known))
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        self._size = max(
            float(min(wanted, most)), min(self._size, most) - _SHRINK_PER_S * elapsed_s
        )
        ranked = sorted(
            known,
            key=lambda view: rendezvous_weight(self._seed, view.name),
            reverse=True,
        )
        return frozenset(view.name for view in ranked[: math.ceil(self._size)])
