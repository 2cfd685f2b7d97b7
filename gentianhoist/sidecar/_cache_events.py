"""The engine's cache events, late and with gaps, as entries are told them."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.backends import EngineClient, EngineConnectionError
from gentianhoist.clocks import Clock
from gentianhoist.routing import PrefixCacheIndex, PrefixHash

_PERIOD_S = 0.25
_MARKS_KEPT = 1024


class CacheUpdate(NamedTuple):
    """What an entry with a cursor lacks.

    Attributes:
        cursor: Its new cursor.
        added: Names of prefixes newly cached.
    """

    cursor: int
    added: tuple[int, ...]


class CacheEventFollower:
    """Follows the engine's cache events.

    Args:
        client: Client of the engine.
        clock: This machine's clocks.
    """

    def __init__(self, client: EngineClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._map = PrefixCacheIndex()
        self._marks: list[int] = []
        self._end = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def cached_tokens(self, prefix_hashes: tuple[PrefixHash, ...]) -> int:
        """Tokens of a prompt that the engine probably has cached."""
        return self._map.cached_tokens(prefix_hashes, self._clock.elapsed_s())

    def update_after(self, cursor: int) -> CacheUpdate:
        """What an entry with a cursor lacks."""
        first = self._end - len(self._marks)
        gap = not first <= cursor <= self._end
        skip = 0 if gap else cursor - first
        return CacheUpdate(self._end, tuple(self._marks[skip:]))

    def reset(self) -> None:
        """The engine has a new boot: its cache is empty, its cursors begin anew."""
        self._map.clear()
        self._end += 1 + len(self._marks)
        self._marks = []
        self._client.reset_cache_cursor()

    async def _run(self) -> None:
        while True:
            try:
                added, removed = await self._client.fetch_cache_events()
            except EngineConnectionError:
                added, removed = [], []
            self._map.add(added, self._clock.elapsed_s())
            self._map.remove(removed)
            self._end += len(added)
            self._marks = [*self._marks, *added][-_MARKS_KEPT:]
            await asyncio.sleep(_PERIOD_S)
