"""A process's own copy of the configuration, which only goes forward."""

from __future__ import annotations

from collections import deque

import msgspec

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
from gentianhoist.fleet import ForwardReplica
from gentianhoist.wire import ConfigurationUpdate

_RECORDS_KEPT = 64


class ConfigurationReplica(ForwardReplica[Configuration]):
    """The configuration that a process goes by, and the newest changes to it."""

    def __init__(self) -> None:
        super().__init__()
        self._records: deque[ChangeRecord] = deque(maxlen=_RECORDS_KEPT)

    def replace(self, configuration: Configuration) -> bool:
        """Take a whole configuration if it is newer; whether it was."""
        taken = self.take_newer(configuration)
        if taken:
            self._records.clear()
        return taken

    def apply(self, record: ChangeRecord) -> bool:
        """Apply a change if it is the next one; whether it was."""
        if self._current is None or record.version != self.version + 1:
            return False
        self._current = apply_record(self._current, record)
        self._records.append(record)
        return True

    def update_for(self, version: int) -> ConfigurationUpdate | None:
        """What a process at a version lacks, or nothing if it isn't behind."""
        if self._current is None or version >= self.version:
            return None
        records = [record for record in self._records if record.version > version]
        if version and len(records) == self.version - version:
            return ConfigurationUpdate(b"", tuple(map(encode_record, records)))
        return ConfigurationUpdate(encode_configuration(self._current))

    def apply_update(self, update: ConfigurationUpdate) -> bool:
        """Take what another process sent; whether anything was new."""
        try:
            return self._apply_update(update)
        except (msgspec.MsgspecError, ExceptionGroup):
            return False

    def _apply_update(self, update: ConfigurationUpdate) -> bool:
        changed = False
        if update.snapshot:
            changed = self.replace(decode_configuration(update.snapshot))
        for data in update.changes:
            changed = self.apply(decode_record(data)) or changed
        return changed
