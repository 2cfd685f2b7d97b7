"""Recent changes of a table, from which other entries are brought up to date."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

from gentianhoist.fleet._row_memory import FeedRow
from gentianhoist.store import StoreVersion

__all__ = ["ChangeLog"]

_MAX_CHANGES = 2_048


class ChangeLog:
    """The latest changes of one table within one history of the store.

    Example:
        >>> log = ChangeLog()
        >>> log.restart(StoreVersion(1, 5))
        >>> log.append([FeedRow("a", b"x", StoreVersion(1, 7))], StoreVersion(1, 7))
        >>> [row.key for row in log.since(StoreVersion(1, 5))]
        ['a']
        >>> log.since(StoreVersion(1, 4)) is None
        True
    """

    def __init__(self) -> None:
        self._changes: deque[tuple[StoreVersion, FeedRow]] = deque()
        self._complete_since: StoreVersion | None = None

    @property
    def is_started(self) -> bool:
        """Whether it has begun at some version."""
        return self._complete_since is not None

    def restart(self, version: StoreVersion) -> None:
        """Begin anew at a version of the store."""
        self._changes.clear()
        self._complete_since = version

    def append(self, rows: Iterable[FeedRow], version: StoreVersion) -> None:
        """Add changed rows and tombstones that lead to a version."""
        for row in rows:
            self._changes.append((version, row))
        while len(self._changes) > _MAX_CHANGES:
            self._complete_since = self._changes.popleft()[0]

    def append_membership(
        self,
        before: Mapping[str, FeedRow],
        after: Mapping[str, FeedRow],
        version: StoreVersion,
    ) -> None:
        """Add the rows that a snapshot shows to be new or gone.

        Heartbeats rewrite rows without a change in the feed, so a difference in content
        is no change that others lack.
        """
        added = [after[key] for key in after.keys() - before.keys()]
        removed = [FeedRow(key, None, version) for key in before.keys() - after.keys()]
        self.append([*added, *removed], version)

    def since(self, version: StoreVersion) -> list[FeedRow] | None:
        """Return the changes after a version, or None if they aren't all known."""
        if self._complete_since is None or version < self._complete_since:
            return None
        return [row for at, row in self._changes if at > version]
