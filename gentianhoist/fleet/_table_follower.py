"""Replicates one table of the platform's store to an entry.

The table is followed by long polls for changes. Periodic snapshots of the whole table
repair what the polls missed.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from gentianhoist.clocks import Clock
from gentianhoist.fleet._background_task import BackgroundTask
from gentianhoist.fleet._row_memory import KeptRow, RestorePolicy
from gentianhoist.fleet._table_copy import (
    FeedPage,
    FeedRow,
    NoPeerEntries,
    PeerEntries,
    TableCopy,
)
from gentianhoist.store import (
    StoreCallCause,
    StoreUnavailable,
    StoreVersion,
    store_calls_caused_by,
)
from gentianhoist.telemetry import DecisionLog

__all__ = [
    "ChangeFeed",
    "FollowPolicy",
    "HistoryLost",
    "TableFollower",
]


_log = logging.getLogger(__name__)

# After the start, and after a restore of the store, peers are asked this often what
# they know against the store, until one answers that reads the same history.
_MAX_QUESTIONS = 20
_QUESTION_INTERVAL_S = 0.25
_MAX_LOGGED_KEYS = 10


class HistoryLost(Exception):
    """The store doesn't have the requested changes; a snapshot is needed."""


class ChangeFeed(Protocol):
    """Access to one table of the store."""

    async def read(self, timeout_s: float) -> FeedPage:
        """Read a snapshot of the whole table.

        Args:
            timeout_s: Deadline for the response, in seconds.

        Raises:
            StoreUnavailable: If it doesn't answer in time.
        """
        ...

    async def changes(
        self, since: StoreVersion, wait_s: float, timeout_s: float
    ) -> FeedPage:
        """Long-poll for changes after a version.

        Args:
            since: Version after which changes are requested.
            wait_s: Seconds that the store may hold the request until something changes.
            timeout_s: Deadline for the response, in seconds.

        Raises:
            StoreUnavailable: If the store doesn't answer in time.
            HistoryLost: If the store doesn't have these changes, any more or at all.
        """
        ...


class FollowPolicy(NamedTuple):
    """Timing of the replication of a table.

    Attributes:
        long_poll_s: Seconds that the store may hold a poll until something changes.
        poll_pause_s: Seconds between two polls.
        answer_timeout_s: Response timeout of a snapshot, in seconds; for a poll it is
            added to `long_poll_s`.
        snapshot_interval_s: Minimum seconds between two snapshots that repair what the
            polls missed.
        snapshot_rows_per_s: Maximum average rate of rows read by snapshots.
        backoff_s: Seconds to wait after repeated failures, with 50 % jitter.
    """

    long_poll_s: float = 1.5
    poll_pause_s: float = 0.0
    answer_timeout_s: float = 0.5
    snapshot_interval_s: float = 12.0
    snapshot_rows_per_s: float = 25.0
    backoff_s: float = 0.3


class TableFollower(BackgroundTask):
    """Background task that keeps a local view of one table up to date.

    Args:
        name: Name of the table, also for the log.
        feed: Access to the table.
        policy: Timing of polls, snapshots and retries.
        apply_snapshot: Called with the rows of each snapshot.
        apply_changes: Called with each batch of changed rows.
        clock: The entry's clock.
        log: Records when the store is lost and regained.
        on_store_recovered: Called when rows are available again after an outage of the
            store, from the store or from a peer, before they are applied.
        peers: Source of newer rows while the store is unavailable, and of what a
            restored store lacks.
        restore_policy: What goes before a restored store; by default nothing.
    """

    def __init__(
        self,
        name: str,
        feed: ChangeFeed,
        policy: FollowPolicy,
        apply_snapshot: Callable[[list[FeedRow]], None],
        apply_changes: Callable[[list[FeedRow]], None],
        clock: Clock,
        log: DecisionLog,
        on_store_recovered: Callable[[], None] = lambda: None,
        peers: PeerEntries | None = None,
        restore_policy: RestorePolicy | None = None,
    ) -> None:
        self._name = name
        self._feed = feed
        self._policy = policy
        self._apply_snapshot = apply_snapshot
        self._apply_changes = apply_changes
        self._clock = clock
        self._log = log
        self._on_store_recovered = on_store_recovered
        self._peers = peers or NoPeerEntries()
        self._copy = TableCopy(restore_policy)
        self._has_restore_policy = restore_policy is not None
        self._questions: asyncio.Task[None] | None = None
        self._reading_from_peers = False
        self._poll_since_version: StoreVersion | None = None
        self._last_snapshot_s = float("-inf")
        self._store_lost_s: float | None = None
        self._failures = 0
        self._rng = random.Random()

    @property
    def name(self) -> str:
        """Name of the table."""
        return self._name

    @property
    def copy(self) -> TableCopy:
        """Table as last read, also served to entries that can't reach the store."""
        return self._copy

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        if self._questions is not None:
            self._questions.cancel()
            await asyncio.gather(self._questions, return_exceptions=True)
        await super().close()

    async def _run(self) -> None:
        while True:
            try:
                self._expire_kept_rows()
                await self._poll_once()
                self._failures = 0
                pause_s = self._policy.poll_pause_s
            except HistoryLost:
                self._poll_since_version = None
                self._log.record("history_lost", table=self._name)
                pause_s = 0.0
            except StoreUnavailable as error:
                self._record_store_lost(str(error))
                self._poll_since_version = None
                pause_s = self._next_backoff_s()
                if pause_s:
                    await self._fetch_from_peers()
            except Exception as error:
                # Any error is caught, because a table that is no longer followed is
                # worse than one failed update.
                _log.exception("table update failed", extra={"table": self._name})
                self._record_store_lost(repr(error))
                self._poll_since_version = None
                pause_s = self._next_backoff_s()
            if pause_s:
                await asyncio.sleep(pause_s)

    async def _poll_once(self) -> None:
        now_s = self._clock.monotonic_s()
        since = self._poll_since_version
        if since is None or now_s - self._last_snapshot_s > self._snapshot_interval_s:
            with store_calls_caused_by(self._snapshot_cause):
                page = await self._feed.read(self._policy.answer_timeout_s)
            self._check_history(page)
            self._record_store_regained(page.version)
            self._take_snapshot(page)
            self._last_snapshot_s = now_s
        else:
            page = await self._poll_changes(since)
            self._record_store_regained(page.version)
            self._apply_changes(self._copy.apply_changes(page.rows, page.version))
        self._poll_since_version = page.version

    @property
    def _snapshot_cause(self) -> StoreCallCause:
        if self._failures:
            return StoreCallCause.SNAPSHOT_RETRY
        return StoreCallCause.SNAPSHOT

    def _take_snapshot(self, page: FeedPage) -> None:
        before = self._copy.version
        self._copy.replace(page, self._clock.monotonic_s())
        if self._copy.version.history > before.history and self._has_restore_policy:
            self._record_kept("rows_kept", self._copy.kept)
            self._ask_peers()
        self._apply_snapshot(self._copy.rows())

    def _expire_kept_rows(self) -> None:
        expired = self._copy.expire(self._clock.monotonic_s())
        if expired:
            self._record_kept("rows_no_longer_kept", expired)
            self._apply_snapshot(self._copy.rows())

    def _ask_peers(self) -> None:
        """Ask the peers, beside the polls, what they know against the store."""
        if self._questions is not None:
            self._questions.cancel()
        self._questions = asyncio.get_running_loop().create_task(self._learn())

    async def _learn(self) -> None:
        for _ in range(_MAX_QUESTIONS):
            try:
                if await self._learn_from_peers():
                    return
            except Exception:
                # Peers are only a fallback, as in `_fetch_from_peers`.
                _log.exception("asking peers failed", extra={"table": self._name})
            await asyncio.sleep(_QUESTION_INTERVAL_S)

    async def _learn_from_peers(self) -> bool:
        """Take what peers know; returns whether one of them reads this history."""
        history = self._copy.version.history
        states = await self._peers.fetch_known(self._name, self._copy.version)
        now_s = self._clock.monotonic_s()
        adopted = [kept for item in states for kept in self._copy.adopt(item, now_s)]
        if adopted:
            self._record_kept("rows_kept", adopted, source="entry")
            self._apply_snapshot(self._copy.rows())
        return any(item.page.version.history >= history for item in states)

    def _record_kept(
        self, decision: str, kept_rows: list[KeptRow], source: str = "own"
    ) -> None:
        if not kept_rows:
            return
        self._log.record(
            decision,
            table=self._name,
            version=self._copy.version,
            count=len(kept_rows),
            keys=[kept.row.key for kept in kept_rows[:_MAX_LOGGED_KEYS]],
            deleted=sum(kept.is_deleted for kept in kept_rows),
            source=source,
        )

    async def _poll_changes(self, since: StoreVersion) -> FeedPage:
        wait_s = self._policy.long_poll_s
        with store_calls_caused_by(StoreCallCause.LONG_POLL):
            page = await self._feed.changes(
                since, wait_s, wait_s + self._policy.answer_timeout_s
            )
        self._check_history(page)
        if page.version.history != since.history:
            # What has a number up to the one asked for is missing from the page.
            raise HistoryLost
        return page

    def _check_history(self, page: FeedPage) -> None:
        """Raise `StoreUnavailable` for a page of a history that has ended."""
        history = self._copy.version.history
        if page.version.history < history:
            raise StoreUnavailable(
                f"the store responded from history {page.version.history},"
                f" which has ended with the begin of {history}"
            )
        if page.version.history > history > 0:
            self._on_store_recovered()
            self._log.record(
                "store_restored",
                table=self._name,
                version=page.version,
                before=self._copy.version,
            )

    @property
    def _snapshot_interval_s(self) -> float:
        """Seconds between two snapshots, which grow with the size of the table."""
        policy = self._policy
        return max(
            policy.snapshot_interval_s, len(self._copy) / policy.snapshot_rows_per_s
        )

    async def _fetch_from_peers(self) -> None:
        try:
            await self._apply_newer_from_peers()
        except Exception:
            # Peers are only a fallback; the store is polled again in any case.
            _log.exception(
                "applying table rows from a peer failed", extra={"table": self._name}
            )

    async def _apply_newer_from_peers(self) -> None:
        """Apply a newer snapshot of a peer, which may still reach the store."""
        state = await self._peers.fetch_newer(self._name, self._copy.version)
        if state is None or state.page.version <= self._copy.version:
            return
        if not self._reading_from_peers:
            # The whole store may have been down until just now, so that leases have
            # expired; this counts as the end of an outage.
            self._reading_from_peers = True
            self._on_store_recovered()
        self._log.record(
            "taken_from_entry",
            table=self._name,
            version=state.page.version,
            before=self._copy.version,
        )
        now_s = self._clock.monotonic_s()
        self._copy.replace(state.page, now_s)
        self._copy.adopt(state, now_s)
        self._apply_snapshot(self._copy.rows())

    def _next_backoff_s(self) -> float:
        """Return the backoff; 0 at first, as only one response may have been lost."""
        self._failures += 1
        if self._failures == 1:
            return 0.0
        return self._policy.backoff_s * (0.5 + self._rng.random())

    def _record_store_lost(self, reason: str) -> None:
        if self._store_lost_s is None:
            self._store_lost_s = self._clock.monotonic_s()
            self._log.record(
                "store_lost",
                table=self._name,
                reason=reason,
                version=self._copy.version,
            )

    def _record_store_regained(self, version: StoreVersion) -> None:
        if self._store_lost_s is not None:
            self._on_store_recovered()
            after_s = self._clock.monotonic_s() - self._store_lost_s
            self._store_lost_s = None
            self._reading_from_peers = False
            self._log.record(
                "store_regained",
                table=self._name,
                after_s=round(after_s, 3),
                version=version,
                before=self._copy.version,
            )
