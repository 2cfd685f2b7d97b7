"""Discovery of the other entries, by rows in the store that each entry renews."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from gentianhoist.fleet._background_task import BackgroundTask
from gentianhoist.store import (
    StoreCallCause,
    StoreUnavailable,
    store_calls_caused_by,
)
from gentianhoist.telemetry import DecisionLog

__all__ = ["EntryRegistry", "EntryRows"]

_RENEW_INTERVAL_S = 20.0
_RETRY_INTERVAL_S = 1.0
# After a restore of the store, the entries write their rows again within this time.
_RESTORE_SPREAD_S = 1.0


class EntryRows(Protocol):
    """Rows of the entries in the platform's store."""

    async def renew(self, host: str) -> None:
        """Write or renew this entry's row.

        Args:
            host: IP address of this entry.

        Raises:
            StoreUnavailable: If the store doesn't answer.
        """
        ...

    async def wait_for_restore(self) -> None:
        """Wait until the store may have lost the row that was renewed last."""
        ...

    async def hosts(self) -> list[str]:
        """Return the IP addresses of the entries whose rows have not expired.

        Raises:
            StoreUnavailable: If the store doesn't answer.
        """
        ...


class EntryRegistry(BackgroundTask):
    """Background task that renews this entry's row and reads those of its peers.

    Args:
        rows: Rows of the entries in the store.
        host: IP address of this entry.
        on_hosts: Called with the IP addresses of all entries after each read; requests
            the commitments of new peers.
        log: Records failures of the store.
    """

    def __init__(
        self,
        rows: EntryRows,
        host: str,
        on_hosts: Callable[[Iterable[str]], None],
        log: DecisionLog,
    ) -> None:
        self._rows = rows
        self._host = host
        self._on_hosts = on_hosts
        self._log = log

    async def _run(self) -> None:
        is_first_round = True
        cause = StoreCallCause.REGISTRY
        while True:
            try:
                with store_calls_caused_by(cause):
                    await self._run_round(is_first=is_first_round)
                is_first_round = False
                cause = StoreCallCause.REGISTRY
            except StoreUnavailable as error:
                self._log.record("registry_unavailable", reason=str(error))
                cause = StoreCallCause.REGISTRY_RETRY
                await asyncio.sleep(_with_jitter(_RETRY_INTERVAL_S))
            else:
                await self._wait_for_next_renewal()

    async def _run_round(self, *, is_first: bool) -> None:
        # Read first: on_hosts requests the commitments of new peers, and a slow or
        # failed write must not delay that.
        # Read again after the first write, so that of two entries that start together
        # at least one discovers the other.
        self._on_hosts(await self._rows.hosts())
        await self._rows.renew(self._host)
        if is_first:
            self._on_hosts(await self._rows.hosts())

    async def _wait_for_next_renewal(self) -> None:
        try:
            async with asyncio.timeout(_with_jitter(_RENEW_INTERVAL_S)):
                await self._rows.wait_for_restore()
        except TimeoutError:
            return
        self._log.record("registry_restored")
        await asyncio.sleep(_RESTORE_SPREAD_S * random.random())


def _with_jitter(interval_s: float) -> float:
    return interval_s * (0.75 + random.random() / 2)
