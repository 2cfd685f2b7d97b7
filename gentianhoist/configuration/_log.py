"""The configuration's log in the table service.

Rows: ``configuration/head`` and ``configuration/snapshot`` are replaced by each
change, ``configuration/change/VERSION`` and ``configuration/id/CHANGE`` are written
once. All four are written in one transaction, conditional on the head.
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
    TableClient,
    Transaction,
    new_transaction_id,
    transact_settled,
)

_HEAD = "configuration/head"
_SNAPSHOT = "configuration/snapshot"
_HISTORY_VERSIONS = 1000


class Head(NamedTuple):
    """The newest accepted version.

    Attributes:
        version: The version.
        change_id: Change that made it.
        operator: Who asked for that.
    """

    version: int
    change_id: str
    operator: str


def _change_key(version: int) -> str:
    return f"configuration/change/{version:012d}"


def _id_key(change_id: str) -> str:
    return f"configuration/id/{change_id}"


def _head(row: Row) -> Head:
    return msgspec.msgpack.decode(row.value, type=Head)


class ConfigurationLog:
    """Reads and extends the log.

    Args:
        table: The table service.
    """

    def __init__(self, table: TableClient) -> None:
        self._table = table

    async def head_version(self) -> int:
        """The newest accepted version, 0 before the first.

        Raises:
            StoreUnavailable: If there is no answer.
        """
        (row,) = await self._table.read([_HEAD])
        return _head(row).version if row.version else 0

    async def load(self) -> Configuration | None:
        """The newest configuration, or nothing before the first.

        Raises:
            StoreUnavailable: If there is no answer.
        """
        (row,) = await self._table.read([_SNAPSHOT])
        return decode_configuration(row.value) if row.version else None

    async def changes(self, after: int, until: int) -> list[ChangeRecord]:
        """The records of the versions after one and until another.

        Raises:
            StoreUnavailable: If there is no answer.
        """
        keys = [_change_key(version) for version in range(after + 1, until + 1)]
        rows = await self._table.read(keys)
        return [decode_record(row.value) for row in rows if row.version]

    async def create(self, configuration: Configuration) -> None:
        """Write the first configuration, unless there is one.

        Raises:
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If that is not known.
        """
        record = ChangeRecord(configuration.version, "first", "settings", 0.0, ())
        try:
            await self._write(record, configuration, Row(_HEAD, 0, "", b""), 0, ())
        except ConditionFailed:
            return

    async def accept(
        self, record: ChangeRecord, expected_version: int
    ) -> tuple[ChangeRecord, Configuration]:
        """Accept a change if the log is still at the version that its operator saw.

        Args:
            record: The change; its version is filled in here.
            expected_version: Version that the operator saw, 0 for the newest.

        Returns:
            The accepted record and the configuration that it makes. A change that was
            accepted before gets its first record.

        Raises:
            HoistError: If it conflicts with another, which is named.
            ExceptionGroup: If it is rejected.
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If that is not known.
        """
        head_row, snapshot_row, id_row = await self._table.read([
            _HEAD,
            _SNAPSHOT,
            _id_key(record.change_id),
        ])
        if id_row.version:
            return await self._accepted_before(id_row)
        head = _head(head_row)
        if expected_version not in (0, head.version):
            raise _conflict(head, expected_version)
        record = msgspec.structs.replace(record, version=head.version + 1)
        configuration = apply_record(decode_configuration(snapshot_row.value), record)
        old = await self._outdated_keys(record.version)
        try:
            await self._write(
                record, configuration, head_row, snapshot_row.version, old
            )
        except ConditionFailed as error:
            raise await self._explain(error, head.version) from error
        return record, configuration

    async def _write(
        self,
        record: ChangeRecord,
        configuration: Configuration,
        head_row: Row,
        snapshot_version: int,
        outdated: tuple[str, ...],
    ) -> None:
        head = Head(record.version, record.change_id, record.operator)
        await transact_settled(
            self._table,
            Transaction(
                new_transaction_id(),
                checks=(
                    # The rows written once come first: they tell whose they are even
                    # after later changes have replaced the head.
                    Check(_change_key(record.version), 0),
                    Check(_id_key(record.change_id), 0),
                    Check(_HEAD, head_row.version),
                    Check(_SNAPSHOT, snapshot_version),
                ),
                puts=(
                    Put(_change_key(record.version), encode_record(record)),
                    Put(_id_key(record.change_id), str(record.version).encode()),
                    Put(_HEAD, msgspec.msgpack.encode(head)),
                    Put(_SNAPSHOT, encode_configuration(configuration)),
                ),
                deletes=outdated,
            ),
        )

    async def _accepted_before(self, id_row: Row) -> tuple[ChangeRecord, Configuration]:
        change_row, snapshot_row = await self._table.read([
            _change_key(int(id_row.value)),
            _SNAPSHOT,
        ])
        return (
            decode_record(change_row.value),
            decode_configuration(snapshot_row.value),
        )

    async def _outdated_keys(self, version: int) -> tuple[str, ...]:
        outdated = version - _HISTORY_VERSIONS
        if outdated < 1:
            return ()
        (row,) = await self._table.read([_change_key(outdated)])
        if not row.version:
            return ()
        return (row.key, _id_key(decode_record(row.value).change_id))

    async def _explain(self, error: ConditionFailed, seen: int) -> HoistError:
        for row in error.rows:
            if row.key == _HEAD:
                return _conflict(_head(row), seen)
        (row,) = await self._table.read([_HEAD])
        return _conflict(_head(row), seen)


def _conflict(head: Head, expected_version: int) -> HoistError:
    return HoistError(
        ErrorKind.CONFIGURATION_CONFLICT,
        f"version {expected_version} is outdated: {head.operator} made version"
        f" {head.version} with change {head.change_id}",
        field="expected_version",
    )
