"""In-memory table of versioned rows with transactions, without network access.

`TableModel` holds the rows, and `MemoryTable` gives it the interface of a table client.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gentianhoist.store import (
    NO_HISTORY,
    ConditionFailed,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    StoreVersion,
    Transaction,
    join_version,
    split_version,
)


class TableBackup(NamedTuple):
    """Copy of a table, from which it may be restored.

    Attributes:
        rows: Rows by key.
        last_version: Number that was given out last.
    """

    rows: dict[str, Row]
    last_version: int


class TableModel:
    """In-memory rows with versions, changed by conditional transactions."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._history = 1
        # Not reset after a delete: a check of a version that was read earlier must not
        # match a later row under the same key.
        self._last_version = 0

    @property
    def history(self) -> int:
        """Number of the present history; each restore increments it."""
        return self._history

    def backup(self) -> TableBackup:
        """Copy the rows as they are now."""
        return TableBackup(dict(self._rows), self._last_version)

    def restore(self, backup: TableBackup) -> None:
        """Come back with the rows of a copy; versions are given out again."""
        self._history += 1
        self._last_version = backup.last_version
        self._rows = {
            key: row._replace(version=self._join(split_version(row.version).number))
            for key, row in backup.rows.items()
        }

    def _join(self, number: int) -> int:
        return join_version(StoreVersion(self._history, number))

    def get_row(self, key: str) -> Row:
        """Get one row; an absent row has version 0."""
        return self._rows.get(key, Row(key, 0, "", b""))

    def list_rows(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        """List the rows whose keys have a prefix, in order of their keys.

        Args:
            prefix: Prefix of the keys.
            limit: Maximum number of rows.
            after: Only keys after this one.
        """
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return [self._rows[key] for key in keys[:limit]]

    def transact(self, transaction: Transaction) -> None:
        """Check the row versions and apply all writes, or none.

        Raises:
            ConditionFailed: If a row has another version than its check; nothing is
                written then.
        """
        failed = tuple(
            self.get_row(check.key)
            for check in transaction.checks
            if self.get_row(check.key).version != check.version
        )
        if failed:
            raise ConditionFailed(failed)
        for put in transaction.puts:
            self._last_version += 1
            version = self._join(self._last_version)
            self._rows[put.key] = Row(put.key, version, transaction.id, put.value)
        for key in transaction.deletes:
            self._rows.pop(key, None)


class MemoryTable:
    """Table client on an in-memory table, with faults to inject.

    Args:
        model: The table; clients that share one see each other's writes.

    Attributes:
        model: The table.
        down: Whether every call fails before it has an effect.
        lose_answers: Number of next writes that take effect but whose response is lost.
        drop_writes: Number of next writes that have no effect and get no response.
        writes: Number of transactions sent while the table was not down.
    """

    def __init__(self, model: TableModel | None = None) -> None:
        self.model = model or TableModel()
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.writes = 0
        self._history = NO_HISTORY

    @property
    def history(self) -> int:
        """Latest history that a response has named; see `TableClient.history`."""
        return self._history

    async def transact(self, transaction: Transaction) -> None:
        """Execute a transaction; see `TableClient.transact`."""
        if self.down:
            raise StoreUnavailable("injected fault: the table is down")
        self.writes += 1
        if self.drop_writes > 0:
            self.drop_writes -= 1
            raise StoreInDoubt(transaction.id)
        try:
            self.model.transact(transaction)
        except ConditionFailed:
            self._history = self.model.history
            raise
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreInDoubt(transaction.id)
        self._history = self.model.history

    async def read(self, keys: Sequence[str]) -> list[Row]:
        """Read rows; see `TableClient.read`."""
        if self.down:
            raise StoreUnavailable("injected fault: the table is down")
        self._history = self.model.history
        return [self.model.get_row(key) for key in keys]

    async def scan(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        """Read rows by prefix; see `TableClient.scan`."""
        if self.down:
            raise StoreUnavailable("injected fault: the table is down")
        self._history = self.model.history
        return self.model.list_rows(prefix, limit, after)
