"""Stand-in of the platform's choice of an entry for each new connection."""

from __future__ import annotations

import asyncio

from standins.client import is_ready
from standins.entry import Entry
from standins.record import Record

__all__ = ["Balancer"]

_INTERVAL_S = 1.0
_MAX_MISSES = 2


class Balancer:
    """Asks each second who is ready; after two misses an entry gets no connections.

    Args:
        entries: The entries.
        record: Receives who leaves the rotation, and who returns.
    """

    def __init__(self, entries: list[Entry], record: Record) -> None:
        self._entries = entries
        self._record = record
        self._misses = {entry.host: 0 for entry in entries}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to ask."""
        self._task = asyncio.ensure_future(self._run())

    def close(self) -> None:
        """Stop asking."""
        if self._task is not None:
            self._task.cancel()

    def choose(self, number: int) -> tuple[str, int]:
        """Address of the entry for a new connection of a client."""
        chosen = [e for e in self._entries if self._misses[e.host] < _MAX_MISSES]
        chosen = chosen or self._entries
        return chosen[number % len(chosen)].address

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            asked_s = loop.time()
            await asyncio.gather(*(self._ask(entry) for entry in self._entries))
            await asyncio.sleep(max(0.0, asked_s + _INTERVAL_S - loop.time()))

    async def _ask(self, entry: Entry) -> None:
        before = self._misses[entry.host]
        misses = 0 if await is_ready(entry.readiness) else before + 1
        self._misses[entry.host] = misses
        if misses:
            self._record.write(f"{entry.host} is not ready, {misses} in a row")
        elif before:
            self._record.write(f"{entry.host} is ready again")
