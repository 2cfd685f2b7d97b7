"""The table service as the rest of the package sees it.

A row has a version, 0 while it is absent. A transaction puts and deletes rows only if
every checked row still has the expected version. It is all or nothing.
"""

from __future__ import annotations

import uuid
from collections.abc import Sequence
from typing import NamedTuple, Protocol

__all__ = [
    "Check",
    "ConditionFailed",
    "ListedInstance",
    "Put",
    "Row",
    "StoreInDoubt",
    "StoreUnavailable",
    "TableClient",
    "Transaction",
    "new_transaction_id",
]


class Row(NamedTuple):
    """One row.

    Attributes:
        key: Its key.
        version: Its version, 0 if it is absent.
        writer: Id of the transaction that wrote it.
        value: Its value.
    """

    key: str
    version: int
    writer: str
    value: bytes


class Check(NamedTuple):
    """A condition: the row has this version, 0 for absent."""

    key: str
    version: int


class Put(NamedTuple):
    """A write of one row."""

    key: str
    value: bytes


class Transaction(NamedTuple):
    """An all-or-nothing change.

    Attributes:
        id: Unique id, which every row that it writes keeps as its writer.
        checks: Conditions.
        puts: Rows written. Each must also be checked, so that a transaction sent
            twice takes effect once.
        deletes: Keys of rows deleted.
    """

    id: str
    checks: tuple[Check, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class ListedInstance(NamedTuple):
    """One line of the platform's instance list, which lags.

    Attributes:
        name: Name of the instance.
        role: Role of its process.
        availability_zone: Its availability zone.
        host: IP number of its gRPC port.
        port: Its gRPC port.
        group: A sidecar's group.
        is_leaving: Whether the platform takes it away.
    """

    name: str
    role: str
    availability_zone: str
    host: str
    port: int
    group: str
    is_leaving: bool


class StoreUnavailable(Exception):
    """The store did not answer, and nothing can have been written."""


class StoreInDoubt(Exception):
    """The answer to a write is lost: it may have taken effect, now or later."""


class ConditionFailed(Exception):
    """A condition did not hold, so nothing was written.

    Args:
        rows: The checked rows that have another version, as they are now.
    """

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__(", ".join(row.key for row in rows))
        self.rows = rows


class TableClient(Protocol):
    """The transactional table service."""

    async def transact(self, transaction: Transaction) -> None:
        """Carry out a transaction.

        Raises:
            ConditionFailed: If a condition did not hold.
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If the answer is lost.
        """
        ...

    async def read(self, keys: Sequence[str]) -> list[Row]:
        """Read rows; an absent one has version 0.

        Raises:
            StoreUnavailable: If there is no answer.
        """
        ...

    async def scan(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        """Read rows whose key starts with a prefix, in order of keys.

        Args:
            prefix: The prefix.
            limit: How many at the most.
            after: Only keys after this one.

        Raises:
            StoreUnavailable: If there is no answer.
        """
        ...


def new_transaction_id() -> str:
    """A fresh unique id."""
    return uuid.uuid4().hex
