"""Local copies of store tables, which entries also serve to each other."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from gentianhoist.fleet._row_memory import (
    FeedRow,
    KeptRow,
    RestorePolicy,
    RowMemory,
)
from gentianhoist.store import StoreVersion

__all__ = [
    "NO_VERSION",
    "FeedPage",
    "FeedRow",
    "NoPeerEntries",
    "PeerEntries",
    "TableCopy",
    "TableState",
]

NO_VERSION = StoreVersion(0, 0)


class FeedPage(NamedTuple):
    """Rows as of one version of the store.

    Attributes:
        rows: The rows, of a whole table or of its changes.
        version: Version from which later changes can be requested.
    """

    rows: list[FeedRow]
    version: StoreVersion


class TableState(NamedTuple):
    """What an entry knows of a table, as entries send it to each other.

    Attributes:
        page: Rows of the store.
        kept: What goes before these rows, since the store was restored.
        deleted: Last rows of keys that were deleted.
    """

    page: FeedPage
    kept: list[KeptRow] = []
    deleted: list[FeedRow] = []


class TableCopy:
    """Copy of one table as of a version of the store; the version never decreases.

    A new history of the store counts as newer than every version of those before. What
    it lacks, or has older than the entry has seen it, is kept as the policy says.
    Every `now_s` is the current time on the entry's clock, in seconds.

    Args:
        policy: What goes before a restored store; by default nothing.
    """

    def __init__(self, policy: RestorePolicy | None = None) -> None:
        self._rows: dict[str, FeedRow] = {}
        self._version = NO_VERSION
        self._memory = None if policy is None else RowMemory(policy)

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def version(self) -> StoreVersion:
        """Version of the store that the rows reflect; `NO_VERSION` at first."""
        return self._version

    @property
    def kept(self) -> list[KeptRow]:
        """What goes before the rows of the restored store."""
        return [] if self._memory is None else self._memory.kept

    def rows(self) -> list[FeedRow]:
        """Return all rows, with what is kept."""
        if self._memory is None:
            return list(self._rows.values())
        return list(self._memory.overlay(self._rows).values())

    def state(self, now_s: float) -> TableState:
        """Return all that is known, for another entry."""
        page = FeedPage(list(self._rows.values()), self._version)
        if self._memory is None:
            return TableState(page)
        return TableState(page, self._memory.export(now_s), self._memory.deleted)

    def replace(self, page: FeedPage, now_s: float) -> None:
        """Replace all rows by those of a snapshot, unless it is older."""
        if page.version < self._version:
            return
        rows = {row.key: row for row in page.rows if row.value is not None}
        if self._memory is not None:
            if page.version.history > self._version.history:
                known = self._memory.overlay(self._rows)
                self._memory.begin_history(known, rows, now_s)
            else:
                self._observe_snapshot(self._memory, rows)
        self._rows = rows
        self._version = page.version

    def apply_changes(
        self, rows: Iterable[FeedRow], version: StoreVersion
    ) -> list[FeedRow]:
        """Apply changed rows and tombstones up to a version of the same history.

        Returns:
            Those that count: all but what is known to be outdated.
        """
        applied = [row for row in rows if self._apply_change(row)]
        self._version = max(self._version, version)
        return applied

    def expire(self, now_s: float) -> list[KeptRow]:
        """Believe the store where its time has come; returns what was dropped."""
        return [] if self._memory is None else self._memory.expire(now_s)

    def adopt(self, state: TableState, now_s: float) -> list[KeptRow]:
        """Take over what another entry knows against the restored store.

        Returns:
            What is kept from now on.
        """
        if self._memory is None or state.page.version.history > self._version.history:
            return []
        if state.page.version.history == self._version.history:
            return self._memory.adopt(state.kept, self._rows, now_s)
        known = {row.key: row for row in state.page.rows}
        known |= {kept.row.key: kept.row for kept in state.kept if not kept.is_deleted}
        deleted = {row.key: row for row in state.deleted}
        return self._memory.learn(known, deleted, self._rows, now_s)

    def _observe_snapshot(self, memory: RowMemory, rows: dict[str, FeedRow]) -> None:
        for kept in memory.kept:
            memory.observe(kept.row.key, rows.get(kept.row.key))
        for key in self._rows.keys() - rows.keys():
            memory.remember_deletion(self._rows[key])
        for key in rows.keys() - self._rows.keys():
            memory.forget_deletion(key)

    def _apply_change(self, row: FeedRow) -> bool:
        previous = self._rows.pop(row.key, None)
        if row.value is not None:
            self._rows[row.key] = row
        if self._memory is None:
            return True
        last_row = self._memory.latest(row.key, previous)
        is_applied = self._memory.observe(row.key, self._rows.get(row.key))
        if row.value is not None:
            self._memory.forget_deletion(row.key)
        elif last_row is not None:
            self._memory.remember_deletion(last_row)
        return is_applied


class PeerEntries(Protocol):
    """Other entries, as a source of what this entry can't read from the store.

    The store may be unavailable to this entry alone, or restored from a copy that lacks
    what other entries have seen.
    """

    async def fetch_newer(self, table: str, than: StoreVersion) -> TableState | None:
        """Request a newer snapshot of a table from one peer.

        Args:
            table: Name of the table.
            than: Version that this entry has.

        Returns:
            The whole table, or None if the peer has no newer version or no peer could
            be reached.
        """
        ...

    async def fetch_known(self, table: str, version: StoreVersion) -> list[TableState]:
        """Request what some peers know against the restored store.

        Args:
            table: Name of the table.
            version: Version that this entry has.

        Returns:
            What those know that were reached. A peer that reads the same history of the
            store leaves out the rows of the store.
        """
        ...


class NoPeerEntries:
    """Null implementation for an entry without peers."""

    async def fetch_newer(self, table: str, than: StoreVersion) -> TableState | None:
        """Return None."""
        return None

    async def fetch_known(self, table: str, version: StoreVersion) -> list[TableState]:
        """Return nothing."""
        return []
