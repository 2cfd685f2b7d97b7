"""Record of what all entries believe about one segment or request."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "QuarantineRecord",
    "QuarantineState",
    "decode_record",
    "encode_record",
]


class QuarantineState(StrEnum):
    """What happens to requests with a key."""

    # In ascending order of precedence between records with the same sequence number.
    RELEASED = "released"
    TRIAL = "trial"
    HELD = "held"


_PRECEDENCE = {state: rank for rank, state in enumerate(QuarantineState)}


class QuarantineRecord(NamedTuple):
    """State of one key. Of two records of a key, the later one replaces.

    Attributes:
        key: Id of a prompt segment, or the key of a request's content.
        state: What happens to requests with it.
        sequence: Number of state changes of this key so far.
        failed_trials: Trials that failed since it was first held.
        until_ms: Wall time in Unix milliseconds: of a held key when a trial is due, of
            a trial when it counts as lost.
    """

    key: str
    state: QuarantineState
    sequence: int
    failed_trials: int
    until_ms: int

    def is_later_than(self, other: QuarantineRecord | None) -> bool:
        """Whether this record replaces another one of the same key.

        Entries that hold a key at the same time, each by its own evidence, create
        records that differ only in `until_ms`; neither replaces the other.

        Example:
            >>> held = QuarantineRecord("a", QuarantineState.HELD, 1, 0, 500)
            >>> held._replace(sequence=2).is_later_than(held)
            True
            >>> held.is_later_than(held)
            False
        """
        return other is None or self._order > other._order

    def is_same_change(self, other: QuarantineRecord) -> bool:
        """Whether two records of a key differ in `until_ms` at most."""
        return self._order == other._order

    @property
    def _order(self) -> tuple[int, int, int]:
        return (self.sequence, _PRECEDENCE[self.state], self.failed_trials)


_decoder = msgspec.json.Decoder(QuarantineRecord)


def encode_record(record: QuarantineRecord) -> bytes:
    """Encode a record as the value of a row in the store."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> QuarantineRecord:
    """Decode the value of a row.

    Raises:
        msgspec.MsgspecError: If the value is invalid.
    """
    return _decoder.decode(value)
