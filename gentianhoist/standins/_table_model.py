"""The table service's rules, without a socket."""

from __future__ import annotations

from collections.abc import Sequence

from gentianhoist.store import (
    ConditionFailed,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    Transaction,
)


class TableModel:
    """Rows with versions, and transactions on them."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        # Versions go on after a delete, so that an old check can't hold again.
        self._newest_version = 0

    def get_row(self, key: str) -> Row:
        """One row, with version 0 if it is absent."""
        return self._rows.get(key, Row(key, 0, "", b""))

    def list_rows(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        """Rows under a prefix and after a key, in order of keys."""
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return [self._rows[key] for key in keys[:limit]]

    def transact(self, transaction: Transaction) -> None:
        """Carry out a transaction.

        Raises:
            ConditionFailed: If a check did not hold; nothing is written then.
        """
        failed = tuple(
            self.get_row(check.key)
            for check in transaction.checks
            if self.get_row(check.key).version != check.version
        )
        if failed:
            raise ConditionFailed(failed)
        for put in transaction.puts:
            self._newest_version += 1
            self._rows[put.key] = Row(
                put.key, self._newest_version, transaction.id, put.value
            )
        for key in transaction.deletes:
            self._rows.pop(key, None)


class MemoryTable:
    """A table client on a model in this process, with faults.

    Attributes:
        down: Whether every call fails before it has an effect.
        lose_answers: How many of the next writes take effect without an answer.
        drop_writes: How many of the next writes get lost without an answer.
    """

    def __init__(self, model: TableModel | None = None) -> None:
        self.model = model or TableModel()
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.writes = 0

    async def transact(self, transaction: Transaction) -> None:
        """Carry out a transaction; see `TableClient.transact`."""
        if self.down:
            raise StoreUnavailable("down")
        self.writes += 1
        if self.drop_writes > 0:
            self.drop_writes -= 1
            raise StoreInDoubt(transaction.id)
        self.model.transact(transaction)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreInDoubt(transaction.id)

    async def read(self, keys: Sequence[str]) -> list[Row]:
        """Read rows; see `TableClient.read`."""
        if self.down:
            raise StoreUnavailable("down")
        return [self.model.get_row(key) for key in keys]

    async def scan(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        """Read rows by prefix; see `TableClient.scan`."""
        if self.down:
            raise StoreUnavailable("down")
        return self.model.list_rows(prefix, limit, after)
