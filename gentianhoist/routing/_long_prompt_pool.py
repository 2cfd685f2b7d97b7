"""Pool of engines that long and medium prompts prefer, sized by the load."""

from __future__ import annotations

import math
from collections.abc import Iterable

from gentianhoist.hashing import rendezvous_weight
from gentianhoist.routing._estimate import BackendView

_MAX_POOL_RATIO = 0.5
_SHRINK_ENGINES_PER_S = 0.1


class LongPromptPool:
    """Selects the engines that long and medium prompts prefer and short ones avoid.

    All entries rank the engines in the same order. If two entries know the same backend
    servers, one's pool therefore contains the other's, also while their sizes differ.
    The pool grows at once and shrinks slowly.

    Args:
        seed: Seed of the ranking, such as the name of the model, so that models have
            different pools.
    """

    def __init__(self, seed: str) -> None:
        self._seed = seed
        self._size = 1.0
        self._updated_s: float | None = None

    def select_members(
        self, views: Iterable[BackendView], now_s: float
    ) -> frozenset[str]:
        """Adjust the size of the pool to the load and select its members.

        Args:
            views: The backend servers known now.
            now_s: Monotonic time on the entry's clock.

        Returns:
            Names of the members; empty if there are too few backend servers for a pool.
        """
        known = list(views)
        max_size = int(len(known) * _MAX_POOL_RATIO)
        if max_size < 1:
            return frozenset()
        target_size = max(1, sum(view.load.long_streams for view in known))
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        self._size = max(
            float(min(target_size, max_size)),
            min(self._size, max_size) - _SHRINK_ENGINES_PER_S * elapsed_s,
        )
        ranked = sorted(
            known,
            key=lambda view: rendezvous_weight(self._seed, view.name),
            reverse=True,
        )
        return frozenset(view.name for view in ranked[: math.ceil(self._size)])
