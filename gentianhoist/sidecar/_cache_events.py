"""Prefix cache events of the engine, polled and forwarded to entries.

Only the latest events are kept, so an entry that falls behind misses some.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gentianhoist.backends import EngineClient, EngineConnectionError
from gentianhoist.clocks import Clock
from gentianhoist.routing import PrefixCacheIndex, PrefixHash

_POLL_PERIOD_S = 0.25
_MAX_ADDED = 1024


class CacheUpdate(NamedTuple):
    """Prefixes cached since an entry's cursor.

    Attributes:
        cursor: The entry's new cursor.
        added: Hashes of the prefixes that the engine has cached since.
    """

    cursor: int
    added: tuple[int, ...]


class CacheEventFollower:
    """Polls the engine's prefix cache events and keeps the latest for the entries.

    Args:
        client: Client of the engine.
        clock: Clocks of this machine.
    """

    def __init__(self, client: EngineClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._index = PrefixCacheIndex()
        self._added: list[int] = []
        self._cursor = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling in the background."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    def cached_tokens(self, prefix_hashes: tuple[PrefixHash, ...]) -> int:
        """Estimate how much of a prompt the engine has cached.

        Args:
            prefix_hashes: Hashes of the prompt's prefixes, shortest first.

        Returns:
            Length of the longest prefix that is probably cached, in tokens.
        """
        return self._index.cached_tokens(prefix_hashes, self._clock.monotonic_s())

    def update_after(self, cursor: int) -> CacheUpdate:
        """Prefixes that were cached after an entry's cursor.

        Args:
            cursor: Cursor of the last update that the entry received, 0 at first.

        Returns:
            The update. It has all retained hashes if the cursor is unknown here,
            because the entry missed some of them or the cursors were reset.
        """
        first_cursor = self._cursor - len(self._added)
        has_gap = not first_cursor <= cursor <= self._cursor
        skip = 0 if has_gap else cursor - first_cursor
        return CacheUpdate(self._cursor, tuple(self._added[skip:]))

    def reset(self) -> None:
        """Forget the cache contents after a restart of the engine.

        The engine's cursors count from 0 again. The cursors given to entries skip
        ahead, so that each entry's cursor is recognised as outdated.
        """
        self._index.clear()
        self._cursor += 1 + len(self._added)
        self._added = []
        self._client.reset_cache_cursor()

    async def _run(self) -> None:
        while True:
            try:
                added, removed = await self._client.fetch_cache_events()
            except EngineConnectionError:
                added, removed = [], []
            self._index.add(added, self._clock.monotonic_s())
            self._index.remove(removed)
            self._cursor += len(added)
            self._added = [*self._added, *added][-_MAX_ADDED:]
            await asyncio.sleep(_POLL_PERIOD_S)
