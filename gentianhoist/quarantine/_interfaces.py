"""What the quarantine needs from the other entries, the store and the servers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from gentianhoist.fleet import BackendServer
from gentianhoist.quarantine._evidence import EngineLoss
from gentianhoist.quarantine._records import QuarantineRecord
from gentianhoist.store import StoreVersion

__all__ = [
    "DecisionRecorder",
    "NullQuarantinePublisher",
    "QuarantineMetrics",
    "QuarantinePublisher",
    "QuarantineRows",
    "ServerProbe",
]


class QuarantinePublisher(Protocol):
    """Publishes evidence and records to the other entries."""

    def publish_loss(self, loss: EngineLoss) -> None:
        """Publish the loss of an engine."""
        ...

    def publish_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Publish that a prompt with these segments, sent then, was completed."""
        ...

    def publish_record(self, record: QuarantineRecord) -> None:
        """Publish a new record."""
        ...


class DecisionRecorder(Protocol):
    """Receives one record for each decision."""

    def record(self, decision: str, request_id: str = "", **details: object) -> None:
        """Record a decision, with what decided it."""
        ...


class QuarantineMetrics(Protocol):
    """Counters and gauges of the quarantine."""

    def record_lost_engine(self, is_down: bool) -> None:
        """Count a probe of a server, by whether the server was down."""
        ...

    def set_held(self, *, segments: int, requests: int) -> None:
        """Set the numbers of segments and contents that are held or tried."""
        ...


class NullQuarantinePublisher:
    """Publishes nothing, for an entry without peers."""

    def publish_loss(self, loss: EngineLoss) -> None:
        """Do nothing."""

    def publish_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Do nothing."""

    def publish_record(self, record: QuarantineRecord) -> None:
        """Do nothing."""


class QuarantineRows(Protocol):
    """Rows of the store that hold the records, by segment."""

    async def write(self, key: str, value: bytes, version: StoreVersion) -> None:
        """Write a row if its version is still the given one, number 0 for no row.

        Raises:
            ConditionFailed: If the version is another one, or of a history that has
                ended.
            StoreUnavailable: If nothing was written.
            StoreInDoubt: If it may have been written.
        """
        ...

    async def remove(self, key: str, version: StoreVersion) -> None:
        """Remove a row if its version is still the given one; errors as in `write`."""
        ...


class ServerProbe(Protocol):
    """Finds out whether a backend server still runs."""

    async def is_down(self, server: BackendServer) -> bool:
        """Whether nothing listens at the server's address any more."""
        ...
