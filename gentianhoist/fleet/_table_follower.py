"""Follows one table of the platform's store: a feed of changes, and a plain read."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from gentianhoist.clocks import Clock
from gentianhoist.fleet._background_task import BackgroundTask
from gentianhoist.fleet._table_copy import (
    FeedPage,
    FeedRow,
    NoPeerEntries,
    PeerEntries,
    TableCopy,
)
from gentianhoist.store import StoreUnavailable
from gentianhoist.telemetry import DecisionLog

__all__ = [
    "ChangeFeed",
    "FollowPolicy",
    "HistoryLost",
    "TableFollower",
]


_log = logging.getLogger(__name__)


class HistoryLost(Exception):
    """The store no longer has the changes asked for."""


class ChangeFeed(Protocol):
    """One table of the store."""

    async def read(self, timeout_s: float) -> FeedPage:
        """Read the whole table.

        Raises:
            StoreUnavailable: If it doesn't answer in time.
        """
        ...

    async def changes(self, since: int, wait_s: float, timeout_s: float) -> FeedPage:
        """Wait for changes after a version.

        Raises:
            StoreUnavailable: If it doesn't answer in time.
            HistoryLost: If it no longer has them.
        """
        ...


class FollowPolicy(NamedTuple):
    """How closely a table is followed.

    Attributes:
        long_poll_s: How long the store may hold a question until something changes.
        poll_pause_s: Time between two questions.
        answer_timeout_s: Time that an answer may take beyond the wait.
        snapshot_interval_s: Time between two plain reads, as the second way, at the least.
        snapshot_rows_per_s: Rows a second that these reads take on average at the most.
        backoff_s: Time after a failure, spread by half.
    """

    long_poll_s: float = 1.5
    poll_pause_s: float = 0.0
    answer_timeout_s: float = 0.5
    snapshot_interval_s: float = 12.0
    snapshot_rows_per_s: float = 25.0
    backoff_s: float = 0.3


class TableFollower(BackgroundTask):
    """A task that keeps a view of one table.

    Args:
        name: The table's name, for the log.
        feed: The table.
        policy: How closely it is followed.
        replace: Takes a whole table.
        change: Takes changes.
        clock: The entry's clock.
        log: Told of the store's loss and return.
        regained: Called when the store answers again, before what it says is taken.
        peers: Asked for newer rows while the store gives none.
    """

    def __init__(
        self,
        name: str,
        feed: ChangeFeed,
        policy: FollowPolicy,
        replace: Callable[[list[FeedRow]], None],
        change: Callable[[list[FeedRow]], None],
        clock: Clock,
        log: DecisionLog,
        regained: Callable[[], None] = lambda: None,
        peers: PeerEntries | None = None,
    ) -> None:
        self._name = name
        self._feed = feed
        self._policy = policy
        self._replace = replace
        self._change = change
        self._clock = clock
        self._log = log
        self._on_regained = regained
        self._peers = peers or NoPeerEntries()
        self._copy = TableCopy()
        self._by_others = False
        self._version: int | None = None
        self._read_s = float("-inf")
        self._lost_s: float | None = None
        self._failures = 0
        self._rng = random.Random()

    @property
    def name(self) -> str:
        """The table's name."""
        return self._name

    @property
    def copy(self) -> TableCopy:
        """The table as last read, for entries that the store turns away."""
        return self._copy

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
                self._failures = 0
                pause_s = self._policy.poll_pause_s
            except HistoryLost:
                self._version = None
                self._log.record("history_lost", table=self._name)
                pause_s = 0.0
            except StoreUnavailable as error:
                self._lost(str(error))
                self._version = None
                pause_s = self._pause_after_failure_s()
                if pause_s:
                    await self._try_peers()
            except Exception as error:
                # Whatever took the view down, a table that nobody follows is worse.
                _log.exception("view not taken", extra={"table": self._name})
                self._lost(repr(error))
                self._version = None
                pause_s = self._pause_after_failure_s()
            if pause_s:
                await asyncio.sleep(pause_s)

    async def _step(self) -> None:
        policy = self._policy
        now_s = self._clock.elapsed_s()
        if self._version is None or now_s - self._read_s > self._snapshot_interval_s:
            page = await self._feed.read(policy.answer_timeout_s)
            self._regained()
            self._copy.replace(page)
            self._replace(page.rows)
            self._read_s = now_s
        else:
            page = await self._feed.changes(
                self._version,
                policy.long_poll_s,
                policy.long_poll_s + policy.answer_timeout_s,
            )
            self._regained()
            self._copy.apply_changes(page.rows, page.version)
            self._change(page.rows)
        self._version = page.version

    @property
    def _snapshot_interval_s(self) -> float:
        """Time between two plain reads, longer for a table that is large."""
        policy = self._policy
        return max(
            policy.snapshot_interval_s, len(self._copy) / policy.snapshot_rows_per_s
        )

    async def _try_peers(self) -> None:
        try:
            await self._ask_peers()
        except Exception:
            # The store is asked again in any case.
            _log.exception("rows not taken", extra={"table": self._name})

    async def _ask_peers(self) -> None:
        """Take what another entry has read since; the store may refuse only some."""
        page = await self._peers.fetch_newer(self._name, self._copy.version)
        if page is None or page.version <= self._copy.version:
            return
        if not self._by_others:
            # The outage may have been one of the whole store until just now.
            self._by_others = True
            self._on_regained()
        self._log.record(
            "taken_from_entry",
            table=self._name,
            version=page.version,
            before=self._copy.version,
        )
        self._replace(page.rows)
        self._copy.replace(page)

    def _pause_after_failure_s(self) -> float:
        """Nothing after the first: the answer may be all that was lost."""
        self._failures += 1
        if self._failures == 1:
            return 0.0
        return self._policy.backoff_s * (0.5 + self._rng.random())

    def _lost(self, reason: str) -> None:
        if self._lost_s is None:
            self._lost_s = self._clock.elapsed_s()
            self._log.record("store_lost", table=self._name, reason=reason)

    def _regained(self) -> None:
        if self._lost_s is not None:
            self._on_regained()
            after_s = self._clock.elapsed_s() - self._lost_s
            self._lost_s = None
            self._by_others = False
            self._log.record(
                "store_regained", table=self._name, after_s=round(after_s, 3)
            )
