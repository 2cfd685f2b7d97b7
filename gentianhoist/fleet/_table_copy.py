"""Tables as entries last read them, which they pass on to each other."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

__all__ = ["FeedPage", "FeedRow", "NoPeerEntries", "PeerEntries", "TableCopy"]


class FeedRow(NamedTuple):
    """A row, or the news that it is gone.

    Attributes:
        key: Its key.
        value: Its bytes, or nothing if it is gone.
        version: The version at which it was written.
    """

    key: str
    value: bytes | None
    version: int


class FeedPage(NamedTuple):
    """Rows as of a version.

    Attributes:
        rows: The rows.
        version: The version from which changes follow.
    """

    rows: list[FeedRow]
    version: int


class TableCopy:
    """The rows of one table as of a version of the store; it never goes back."""

    def __init__(self) -> None:
        self._rows: dict[str, FeedRow] = {}
        self._version = 0

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def version(self) -> int:
        """The version that the rows are of; 0 before the first read."""
        return self._version

    def page(self) -> FeedPage:
        """All rows."""
        return FeedPage(list(self._rows.values()), self._version)

    def replace(self, page: FeedPage) -> None:
        """Take a whole table, unless it is older."""
        if page.version < self._version:
            return
        self._rows = {row.key: row for row in page.rows if row.value is not None}
        self._version = page.version

    def apply_changes(self, rows: Iterable[FeedRow], version: int) -> None:
        """Take changes."""
        for row in rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self._version = max(self._version, version)


class PeerEntries(Protocol):
    """Other entries, asked for a table that the store doesn't give this one."""

    async def fetch_newer(self, table: str, than: int) -> FeedPage | None:
        """Ask one of them for a table.

        Args:
            table: The table's name.
            than: The version that this entry has.

        Returns:
            The whole table, or nothing if that one has no newer version or none was
            reached.
        """
        ...


class NoPeerEntries:
    """For an entry without peers."""

    async def fetch_newer(self, table: str, than: int) -> FeedPage | None:
        """Ask nobody."""
        return None
