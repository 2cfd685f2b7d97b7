"""Interface of the platform's transactional table service, and its data types.

The table maps string keys to versioned rows. The version of an absent row is 0. A
transaction is atomic: it puts and deletes its rows only if every row that it checks
still has the expected version, and otherwise changes nothing.
"""

from __future__ import annotations

import uuid
from collections.abc import Sequence
from typing import NamedTuple, Protocol

__all__ = [
    "NO_HISTORY",
    "Check",
    "ConditionFailed",
    "ListedInstance",
    "Put",
    "Row",
    "StoreInDoubt",
    "StoreUnavailable",
    "StoreVersion",
    "TableClient",
    "Transaction",
    "join_version",
    "new_transaction_id",
    "split_version",
]

# History of a store that has not responded yet.
NO_HISTORY = 0
_VERSION_BITS = 48


class StoreVersion(NamedTuple):
    """A version of the store within one of its histories; a later one is greater.

    A store that is restored from an older copy begins a new history, in which it gives
    out again the numbers of what was lost. Only both together identify a state.

    Attributes:
        history: Number of the history; rises with each restore.
        number: Version within that history; 0 for the version of an absent row.
    """

    history: int
    number: int


class Row(NamedTuple):
    """A row of the table, as read.

    Attributes:
        key: Key of the row.
        version: Version of the row, unique over all histories of the store; 0 if the
            row is absent.
        writer: Id of the transaction that last wrote the row.
        value: Value of the row.
    """

    key: str
    version: int
    writer: str
    value: bytes


class Check(NamedTuple):
    """A transaction's precondition on the version of one row.

    Attributes:
        key: Key of the row.
        version: Expected version; 0 if the row must be absent.
    """

    key: str
    version: int


class Put(NamedTuple):
    """A transaction's write of one row.

    Attributes:
        key: Key of the row.
        value: New value of the row.
    """

    key: str
    value: bytes


class Transaction(NamedTuple):
    """An atomic change of rows, made only if all its checks pass.

    Attributes:
        id: Unique id, stored as `Row.writer` in each row that the transaction writes.
        checks: Preconditions.
        puts: Rows to write. Each must also be checked, so that a transaction sent
            twice takes effect only once.
        deletes: Keys of the rows to delete.
    """

    id: str
    checks: tuple[Check, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class ListedInstance(NamedTuple):
    """One item of the platform's instance list, which lags behind the instances.

    Encoded as an array, so the order of the fields is part of the wire format.

    Attributes:
        name: Name of the instance.
        role: Role of its process, "entry" or "sidecar".
        availability_zone: Availability zone of the instance.
        host: IP address of its gRPC server.
        port: TCP port of its gRPC server.
        group: Backend server group of a sidecar.
        is_leaving: Whether the platform is removing the instance.
    """

    name: str
    role: str
    availability_zone: str
    host: str
    port: int
    group: str
    is_leaving: bool


class StoreUnavailable(Exception):
    """A transaction was not sent, or another request to the store failed.

    The transaction wrote nothing, but the other request may have taken effect.
    """


class StoreInDoubt(Exception):
    """The outcome of a transaction is unknown; it may take effect, now or later."""


class ConditionFailed(Exception):
    """A check of a transaction failed, so the transaction wrote nothing.

    Args:
        rows: Current rows of the checks that failed.
    """

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__(", ".join(row.key for row in rows))
        self.rows = rows


class TableClient(Protocol):
    """Client of the transactional table service."""

    @property
    def history(self) -> int:
        """Latest history that a response has named, `NO_HISTORY` before the first.

        A check of a version that was read in another history fails.
        """
        ...

    async def transact(self, transaction: Transaction) -> None:
        """Execute a transaction.

        Args:
            transaction: The transaction to execute.

        Raises:
            ConditionFailed: If a check failed; nothing was written.
            StoreUnavailable: If the request was not sent; nothing was written.
            StoreInDoubt: If there is no valid response; the transaction may take
                effect, now or later.
        """
        ...

    async def read(self, keys: Sequence[str]) -> list[Row]:
        """Read rows by key.

        Args:
            keys: Keys of the rows.

        Returns:
            The rows; an absent row has version 0.

        Raises:
            StoreUnavailable: If there is no valid response.
        """
        ...

    async def scan(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        """Read the rows whose keys start with a prefix, in order of keys.

        Args:
            prefix: Prefix of the keys.
            limit: Largest number of rows to return.
            after: Key after which to start, which is itself left out.

        Returns:
            The rows found.

        Raises:
            StoreUnavailable: If there is no valid response.
        """
        ...


def join_version(version: StoreVersion) -> int:
    """Return the version of a row that is unique over all histories.

    Args:
        version: History of the store, and version of the row within it.

    Example:
        >>> split_version(join_version(StoreVersion(2, 7)))
        StoreVersion(history=2, number=7)
    """
    if not version.number:
        return 0
    return (version.history << _VERSION_BITS) + version.number


def split_version(version: int) -> StoreVersion:
    """Return the history and the number of a row's version."""
    return StoreVersion(version >> _VERSION_BITS, version % (1 << _VERSION_BITS))


def new_transaction_id() -> str:
    """Return a new unique transaction id, 32 hexadecimal digits."""
    return uuid.uuid4().hex
