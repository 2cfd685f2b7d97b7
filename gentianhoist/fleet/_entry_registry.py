"""Which entries there are, by rows that each of them renews."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from gentianhoist.fleet._background_task import BackgroundTask
from gentianhoist.store import StoreUnavailable
from gentianhoist.telemetry import DecisionLog

__all__ = ["EntryRegistry", "EntryRows"]

_RENEW_S = 20.0
_RETRY_S = 1.0


class EntryRows(Protocol):
    """The rows of the entries in the platform's store."""

    async def renew(self, host: str) -> None:
        """Write this entry's row.

        Raises:
            StoreUnavailable: If the store doesn't answer.
        """
        ...

    async def hosts(self) -> list[str]:
        """IP numbers of the entries whose rows are fresh.

        Raises:
            StoreUnavailable: If the store doesn't answer.
        """
        ...


class EntryRegistry(BackgroundTask):
    """A task that renews this entry's row and reads the peers'.

    Args:
        rows: The rows.
        host: This entry's IP number.
        take: Takes the IP numbers of all entries.
        log: Told of failures.
    """

    def __init__(
        self,
        rows: EntryRows,
        host: str,
        take: Callable[[Iterable[str]], None],
        log: DecisionLog,
    ) -> None:
        self._rows = rows
        self._host = host
        self._take = take
        self._log = log

    async def _run(self) -> None:
        first = True
        while True:
            pause_s = _RENEW_S
            try:
                # The peers first: they tell what engines are busy with. And again
                # after the write: of two that start together one sees the other.
                self._take(await self._rows.hosts())
                await self._rows.renew(self._host)
                if first:
                    self._take(await self._rows.hosts())
                first = False
            except StoreUnavailable as error:
                self._log.record("registry_unavailable", reason=str(error))
                pause_s = _RETRY_S
            await asyncio.sleep(pause_s * (0.75 + random.random() / 2))
