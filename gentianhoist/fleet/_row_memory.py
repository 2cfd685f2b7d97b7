"""What an entry knows of rows that a restored store lacks, or has older.

A store that comes back from an older copy has lost the latest writes, until those who
made them write them again. Until then, an entry goes by what it has seen.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from gentianhoist.store import StoreVersion

__all__ = ["FeedRow", "KeptRow", "RestorePolicy", "RowMemory"]

# Deleted rows that are remembered, the latest ones.
_MAX_DELETED = 1024
# Kept rows that are taken from another entry at most.
_MAX_ADOPTED = 4096


class FeedRow(NamedTuple):
    """A row of a table, or the tombstone of a deleted row.

    Attributes:
        key: Key of the row.
        value: Encoded row, or None for a tombstone.
        version: Version of the store at which it was written or deleted.
    """

    key: str
    value: bytes | None
    version: StoreVersion

    def is_same_write(self, other: FeedRow) -> bool:
        """Whether two rows of a key stem from one write, as far as can be told."""
        is_same_number = self.version.number == other.version.number
        return is_same_number and self.value == other.value


class RestorePolicy(NamedTuple):
    """How long an entry goes by its own knowledge against a restored store.

    Attributes:
        is_older: Whether the first row is known by its content to have been written
            before the second one of the same key.
        missing_s: Seconds after which a row that the store lacks counts as deleted.
        deleted_s: Seconds after which a row counts as written again that was deleted
            before the restore, and that the store still has.
    """

    is_older: Callable[[FeedRow, FeedRow], bool]
    missing_s: float
    deleted_s: float


class KeptRow(NamedTuple):
    """What is known of a row against the restored store.

    Attributes:
        row: Last known row with a value.
        is_deleted: Whether it was deleted after that.
        restored: Outdated row that the store has, None if it has none.
        expires_s: Time from which the store is believed; relative to the time of
            sending in messages between entries.
    """

    row: FeedRow
    is_deleted: bool
    restored: FeedRow | None
    expires_s: float


class RowMemory:
    """Aggregate of the kept rows of one table, and of those deleted last.

    Every `now_s` is the current time on the entry's clock, in seconds.

    Args:
        policy: What goes before the restored store, and for how long.
    """

    def __init__(self, policy: RestorePolicy) -> None:
        self._policy = policy
        self._kept: dict[str, KeptRow] = {}
        self._deleted: dict[str, FeedRow] = {}

    @property
    def kept(self) -> list[KeptRow]:
        """All kept rows."""
        return list(self._kept.values())

    @property
    def deleted(self) -> list[FeedRow]:
        """The last rows of keys that were deleted, the latest deletion at the end."""
        return list(self._deleted.values())

    def overlay(self, rows: Mapping[str, FeedRow]) -> dict[str, FeedRow]:
        """Return the store's rows, corrected by what is kept.

        Args:
            rows: Rows of the store by key.
        """
        result = dict(rows)
        for key, kept in self._kept.items():
            if kept.is_deleted:
                result.pop(key, None)
            else:
                result[key] = kept.row
        return result

    def latest(self, key: str, row: FeedRow | None) -> FeedRow | None:
        """Return the row that counts for a key, None if it counts as deleted.

        Args:
            key: The key.
            row: Row of the store, None if it has none.
        """
        kept = self._kept.get(key)
        if kept is None:
            return row
        return None if kept.is_deleted else kept.row

    def begin_history(
        self, known: Mapping[str, FeedRow], rows: Mapping[str, FeedRow], now_s: float
    ) -> None:
        """Compare the first rows of a new history with what is known.

        Args:
            known: Rows known before, by key, with what was kept then.
            rows: Rows of the restored store, by key.
        """
        self._kept = self._outdated(known, self._deleted, rows, now_s)
        for key in known.keys() - rows.keys():
            expires_s = now_s + self._policy.missing_s
            self._kept[key] = KeptRow(known[key], False, None, expires_s)

    def observe(self, key: str, row: FeedRow | None) -> bool:
        """Take a row of the present history, None if the store has none.

        Returns:
            Whether the row goes before what is kept, so that it is to be applied.
        """
        kept = self._kept.get(key)
        if kept is None:
            return True
        still_kept = self._still_kept(kept, row)
        if still_kept is None:
            del self._kept[key]
            return True
        self._kept[key] = still_kept
        return False

    def forget_deletion(self, key: str) -> None:
        """Record that a key has a row again."""
        if key not in self._kept:
            self._deleted.pop(key, None)

    def remember_deletion(self, last_row: FeedRow) -> None:
        """Record that a key was deleted.

        Args:
            last_row: Its row before the deletion.
        """
        self._deleted.pop(last_row.key, None)
        self._deleted[last_row.key] = last_row
        if len(self._deleted) > _MAX_DELETED:
            del self._deleted[next(iter(self._deleted))]

    def expire(self, now_s: float) -> list[KeptRow]:
        """Drop what is kept no longer; returns it."""
        expired = [kept for kept in self._kept.values() if kept.expires_s <= now_s]
        for kept in expired:
            del self._kept[kept.row.key]
        return expired

    def export(self, now_s: float) -> list[KeptRow]:
        """Return the kept rows for another entry."""
        return [
            kept._replace(expires_s=kept.expires_s - now_s)
            for kept in self._kept.values()
        ]

    def adopt(
        self, kept_rows: Iterable[KeptRow], rows: Mapping[str, FeedRow], now_s: float
    ) -> list[KeptRow]:
        """Take over what another entry keeps in the present history.

        Args:
            kept_rows: As exported by that entry.
            rows: Rows of the store by key.

        Returns:
            What was taken over: all but what this entry knows better.
        """
        adopted = [
            kept._replace(expires_s=kept.expires_s + now_s)
            for kept in list(kept_rows)[:_MAX_ADOPTED]
            if kept.row.key not in self._kept
            and _is_same_or_absent(kept.restored, rows.get(kept.row.key))
        ]
        self._kept.update({kept.row.key: kept for kept in adopted})
        return adopted

    def learn(
        self,
        known: Mapping[str, FeedRow],
        deleted: Mapping[str, FeedRow],
        rows: Mapping[str, FeedRow],
        now_s: float,
    ) -> list[KeptRow]:
        """Take over what another entry knows of a history that has ended.

        Rows that the store lacks are left out: that entry may not have heard that they
        were deleted.

        Args:
            known: Rows of that entry, by key.
            deleted: Rows that it has seen deleted, by key.
            rows: Rows of the store by key.

        Returns:
            What was taken over.
        """
        found = self._outdated(known, deleted, rows, now_s)
        new = {key: kept for key, kept in found.items() if key not in self._kept}
        self._kept.update(new)
        return list(new.values())

    def _outdated(
        self,
        known: Mapping[str, FeedRow],
        deleted: Mapping[str, FeedRow],
        rows: Mapping[str, FeedRow],
        now_s: float,
    ) -> dict[str, KeptRow]:
        """Return what goes before rows of the store that are known to be outdated."""
        outdated = {}
        for key, restored in rows.items():
            row = known.get(key)
            if row is None:
                last_row = deleted.get(key)
                if last_row is not None and self._is_outdated(restored, last_row):
                    expires_s = now_s + self._policy.deleted_s
                    outdated[key] = KeptRow(last_row, True, restored, expires_s)
            elif self._policy.is_older(restored, row):
                outdated[key] = KeptRow(row, False, restored, float("inf"))
        return outdated

    def _is_outdated(self, restored: FeedRow, last_row: FeedRow) -> bool:
        return restored.is_same_write(last_row) or self._policy.is_older(
            restored, last_row
        )

    def _still_kept(self, kept: KeptRow, row: FeedRow | None) -> KeptRow | None:
        if _is_same_or_absent(kept.restored, row):
            return kept
        if row is not None and self._policy.is_older(row, kept.row):
            # An older write was made again; the latest one is to follow.
            return kept._replace(restored=row, expires_s=float("inf"))
        return None


def _is_same_or_absent(restored: FeedRow | None, row: FeedRow | None) -> bool:
    if restored is None or row is None:
        return restored is row
    return row.is_same_write(restored)
