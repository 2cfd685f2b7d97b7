"""A process's replica of the configuration; its version never decreases."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from gentianhoist.configuration._changes import (
    ChangeRecord,
    apply_record,
    decode_record,
    encode_record,
)
from gentianhoist.configuration.core import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from gentianhoist.exceptions import DECODE_ERRORS
from gentianhoist.fleet import MonotonicReplica
from gentianhoist.wire import ConfigurationUpdate

_MAX_RECORDS = 64


class ConfigurationReplica(MonotonicReplica[Configuration]):
    """The configuration that a process applies, and the latest changes to it."""

    def __init__(self) -> None:
        super().__init__()
        self._records: deque[ChangeRecord] = deque(maxlen=_MAX_RECORDS)

    def replace(self, configuration: Configuration) -> bool:
        """Replace the configuration if the given one is newer.

        Args:
            configuration: A whole configuration.

        Returns:
            Whether it was newer.
        """
        replaced = self.update_if_newer(configuration)
        if replaced:
            self._records.clear()
        return replaced

    def apply(self, record: ChangeRecord) -> bool:
        """Apply a change if it creates the version after the present one.

        Args:
            record: An accepted change.

        Returns:
            Whether it was applied.

        Raises:
            ExceptionGroup: If the change is invalid.
        """
        if self._current is None or record.version != self.version + 1:
            return False
        if record.follows != self._current.change_id:
            return False
        self._current = apply_record(self._current, record)
        self._records.append(record)
        return True

    @property
    def records(self) -> list[ChangeRecord]:
        """The latest changes, oldest first; those before a snapshot are missing."""
        return list(self._records)

    def remember(self, records: Iterable[ChangeRecord]) -> None:
        """Add the changes that led to the present configuration, if none is known.

        Args:
            records: The latest changes in the log, oldest first.
        """
        if not self._records:
            self._records.extend(
                record for record in records if record.version <= self.version
            )

    def replace_with_log(self, configuration: Configuration) -> bool:
        """Replace the configuration by that of the log, unless it is older.

        Unlike `replace`, another configuration with the same version is taken: after a
        restore of the store, the log decides.

        Args:
            configuration: The latest configuration in the log.

        Returns:
            Whether it was taken.
        """
        current = self._current
        if current is not None and configuration.version == current.version:
            if configuration.change_id == current.change_id:
                return False
            self._current = configuration
            self._records.clear()
            return True
        return self.replace(configuration)

    def update_for(self, version: int) -> ConfigurationUpdate | None:
        """Return what a process needs to reach this replica's version.

        Args:
            version: Configuration version of that process, 0 if it has none.

        Returns:
            The missing changes if all of them are retained, otherwise a snapshot;
            `None` if the process is not behind.
        """
        if self._current is None or version >= self.version:
            return None
        records = [record for record in self._records if record.version > version]
        if version and len(records) == self.version - version:
            return ConfigurationUpdate(b"", tuple(map(encode_record, records)))
        return ConfigurationUpdate(encode_configuration(self._current))

    def apply_update(self, update: ConfigurationUpdate) -> bool:
        """Apply an update from another process, up to its first invalid part.

        Args:
            update: A snapshot, changes, or both.

        Returns:
            Whether the configuration has changed; False for an update with an invalid
            part, even if the parts before it were applied.
        """
        try:
            return self._apply_or_raise(update)
        except (*DECODE_ERRORS, ExceptionGroup):
            return False

    def _apply_or_raise(self, update: ConfigurationUpdate) -> bool:
        changed = False
        if update.snapshot:
            changed = self.replace(decode_configuration(update.snapshot))
        for data in update.changes:
            changed = self.apply(decode_record(data)) or changed
        return changed
