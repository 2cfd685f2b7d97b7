"""Log of configuration changes in the table service.

Each change replaces the rows ``configuration/head`` and ``configuration/snapshot``, and
creates the rows ``configuration/change/VERSION`` and ``configuration/id/CHANGE``, which
are never modified. All four are written in one transaction, conditional on the head.
"""

from __future__ import annotations

from typing import NamedTuple

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
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.store import (
    Check,
    ConditionFailed,
    Put,
    Row,
    StoreUnavailable,
    TableClient,
    Transaction,
    new_transaction_id,
    transact_with_retry,
)

_HEAD_KEY = "configuration/head"
_SNAPSHOT_KEY = "configuration/snapshot"
_HISTORY_VERSIONS = 1000
_FIRST_HISTORY = 1
_FIRST_CHANGE_ID = "first"


class Head(NamedTuple):
    """The latest accepted version.

    Attributes:
        version: The version.
        change_id: Id of the change that created it.
        operator: Operator who requested that change.
        history: History of the store in which it became the latest. In a later one,
            the log may lack later changes.
    """

    version: int
    change_id: str
    operator: str
    history: int = _FIRST_HISTORY

    @property
    def configuration_change_id(self) -> str:
        """Id of the change, as in the configuration that it created."""
        return "" if self.change_id == _FIRST_CHANGE_ID else self.change_id


def _change_key(version: int) -> str:
    return f"configuration/change/{version:012d}"


def _id_key(change_id: str) -> str:
    return f"configuration/id/{change_id}"


def _decode_head(row: Row) -> Head:
    return msgspec.msgpack.decode(row.value, type=Head)


class ConfigurationLog:
    """Reads the log and appends to it.

    Args:
        table: Client of the table service.
    """

    def __init__(self, table: TableClient) -> None:
        self._table = table

    async def head_version(self) -> int:
        """Return the latest accepted version, or 0 before the first.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        (row,) = await self._table.read([_HEAD_KEY])
        return _decode_head(row).version if row.version else 0

    @property
    def history(self) -> int:
        """Latest history of the store that a response has named."""
        return self._table.history

    async def head(self) -> Head | None:
        """Return the latest accepted version, or None before the first.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        (row,) = await self._table.read([_HEAD_KEY])
        return _decode_head(row) if row.version else None

    def is_restored(self, head: Head) -> bool:
        """Whether the store was restored since, so that later changes may be lost.

        Args:
            head: The head, as just read.
        """
        return head.history < self._table.history

    async def confirm(self, head: Head) -> None:
        """Record that the log has all changes, after a restore of the store.

        Args:
            head: The head that was checked; nothing is written if it has changed.

        Raises:
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If it is unknown whether it was written.
        """
        (row,) = await self._table.read([_HEAD_KEY])
        if not row.version or _decode_head(row) != head:
            return
        confirmed = head._replace(history=self._table.history)
        transaction = Transaction(
            new_transaction_id(),
            (Check(_HEAD_KEY, row.version),),
            (Put(_HEAD_KEY, msgspec.msgpack.encode(confirmed)),),
        )
        try:
            await transact_with_retry(self._table, transaction)
        except ConditionFailed:
            return

    async def load(self) -> Configuration | None:
        """Return the latest configuration, or `None` before the first.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        (row,) = await self._table.read([_SNAPSHOT_KEY])
        return decode_configuration(row.value) if row.version else None

    async def changes(self, after: int, until: int) -> list[ChangeRecord]:
        """Return the change records of a range of versions.

        Args:
            after: Version before the range.
            until: Last version of the range.

        Returns:
            The records in the order of versions; deleted ones are missing.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        keys = [_change_key(version) for version in range(after + 1, until + 1)]
        rows = await self._table.read(keys)
        return [decode_record(row.value) for row in rows if row.version]

    async def create(self, configuration: Configuration) -> None:
        """Write the first configuration, unless one exists.

        Args:
            configuration: The first configuration.

        Raises:
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If it is unknown whether it was written.
        """
        change_id = configuration.change_id or _FIRST_CHANGE_ID
        record = ChangeRecord(configuration.version, change_id, "settings", 0.0, ())
        head = Row(_HEAD_KEY, 0, "", b"")
        history = self._table.history or _FIRST_HISTORY
        try:
            await self._write(record, configuration, head, 0, (), history)
        except ConditionFailed:
            return

    async def accept(
        self,
        record: ChangeRecord,
        expected_version: int,
        *,
        is_lost: bool = False,
    ) -> tuple[ChangeRecord, Configuration]:
        """Append a change if the log is still at the version that its operator saw.

        Args:
            record: The change; its version is assigned here.
            expected_version: Version that the operator saw, 0 for the latest.
            is_lost: Whether the change was accepted before, and a restored store may
                have lost it.

        Returns:
            The accepted record and the latest configuration. For a change id that was
            accepted before, the record is the one accepted then.

        Raises:
            HoistError: If another change was accepted first; the message names it.
            ExceptionGroup: If the change is rejected.
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If it is unknown whether the change was written.
        """
        head_row, snapshot_row, id_row = await self._table.read([
            _HEAD_KEY,
            _SNAPSHOT_KEY,
            _id_key(record.change_id),
        ])
        if id_row.version:
            return await self._load_accepted(id_row)
        head = _decode_head(head_row)
        if not is_lost and self.is_restored(head):
            raise StoreUnavailable(
                "the store was restored from a copy; changes that it has lost are to be"
                " written again first"
            )
        if expected_version not in (0, head.version):
            raise _conflict_with_head(head, expected_version)
        record = msgspec.structs.replace(
            record, version=head.version + 1, follows=head.configuration_change_id
        )
        configuration = apply_record(decode_configuration(snapshot_row.value), record)
        expired = await self._expired_keys(record.version)
        try:
            await self._write(
                record,
                configuration,
                head_row,
                snapshot_row.version,
                expired,
                head.history,
            )
        except ConditionFailed as error:
            raise await self._conflict_error(error, head.version) from error
        return record, configuration

    async def _write(
        self,
        record: ChangeRecord,
        configuration: Configuration,
        head_row: Row,
        snapshot_version: int,
        expired: tuple[str, ...],
        history: int,
    ) -> None:
        head = Head(record.version, record.change_id, record.operator, history)
        await transact_with_retry(
            self._table,
            Transaction(
                new_transaction_id(),
                checks=(
                    # The first two rows are never modified. If the response is lost,
                    # the retry finds this transaction's id in them as their writer,
                    # even after later changes have replaced the head.
                    Check(_change_key(record.version), 0),
                    Check(_id_key(record.change_id), 0),
                    Check(_HEAD_KEY, head_row.version),
                    Check(_SNAPSHOT_KEY, snapshot_version),
                ),
                puts=(
                    Put(_change_key(record.version), encode_record(record)),
                    Put(_id_key(record.change_id), str(record.version).encode()),
                    Put(_HEAD_KEY, msgspec.msgpack.encode(head)),
                    Put(_SNAPSHOT_KEY, encode_configuration(configuration)),
                ),
                deletes=expired,
            ),
        )

    async def _load_accepted(self, id_row: Row) -> tuple[ChangeRecord, Configuration]:
        change_row, snapshot_row = await self._table.read([
            _change_key(int(id_row.value)),
            _SNAPSHOT_KEY,
        ])
        return (
            decode_record(change_row.value),
            decode_configuration(snapshot_row.value),
        )

    async def _expired_keys(self, version: int) -> tuple[str, ...]:
        expired_version = version - _HISTORY_VERSIONS
        if expired_version < 1:
            return ()
        (row,) = await self._table.read([_change_key(expired_version)])
        if not row.version:
            return ()
        return (row.key, _id_key(decode_record(row.value).change_id))

    async def _conflict_error(
        self, error: ConditionFailed, expected_version: int
    ) -> HoistError:
        for row in error.rows:
            if row.key == _HEAD_KEY:
                return _conflict_with_head(_decode_head(row), expected_version)
        (row,) = await self._table.read([_HEAD_KEY])
        return _conflict_with_head(_decode_head(row), expected_version)


def _conflict_with_head(head: Head, expected_version: int) -> HoistError:
    return HoistError(
        ErrorKind.CONFIGURATION_CONFLICT,
        f"version {expected_version} is outdated: {head.operator} made version"
        f" {head.version} with change {head.change_id}",
        field="expected_version",
    )
