"""Interfaces between the exchange with other entries and the rest of an entry."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import Any, Protocol

from gentianhoist.placement import Commitment
from gentianhoist.quarantine import EngineLoss, QuarantineRecord
from gentianhoist.quotas import Loan, LoanRequest
from gentianhoist.ratelimits import RateLimitReport

__all__ = [
    "CommitmentPublisher",
    "LeavingListener",
    "NullCommitmentPublisher",
    "QuarantineListener",
    "QuotaListener",
    "RateLimitListener",
]


class CommitmentPublisher(Protocol):
    """Publishes the commitments of this entry to other entries."""

    @property
    def incarnation(self) -> str:
        """Name of this run of the entry's process, new at each start."""
        ...

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Publish that a request is being sent to an engine.

        Args:
            commitment: What the request takes up on the engine.
            now_s: Current time on this entry's clock, in seconds.
        """
        ...

    def publish_first_event(self, id_: str) -> None:
        """Publish that the first event of a stream has arrived."""
        ...

    def publish_ended(self, id_: str) -> None:
        """Publish that a request has ended on all its engines."""
        ...

    def publish_rate_limit(
        self, report: RateLimitReport, hosts: Collection[str]
    ) -> None:
        """Publish the use of a server with a rate limit to some entries."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send a message of a registered type to all known entries."""
        ...

    def send(self, message: Any, hosts: Collection[str]) -> None:
        """Send a message of a registered type to some entries."""
        ...

    def publish_leaving(self, server: tuple[str, str, int]) -> None:
        """Publish that a server, given by its incarnation, is about to stop."""
        ...

    @property
    def live_hosts(self) -> Sequence[str]:
        """IP addresses of the other entries that were heard from recently."""
        ...

    def publish_quota(self, message: LoanRequest | Loan, host: str) -> None:
        """Send a message about a shared quota to one entry, given by its address."""
        ...


class RateLimitListener(Protocol):
    """Receives what other entries publish about the rate limits of servers."""

    def receive(self, entry: str, report: RateLimitReport) -> None:
        """Take the report of an entry, given by its incarnation."""
        ...

    def reports_for(self, host: str) -> list[RateLimitReport]:
        """Reports for an entry that has just started, given by its IP address."""
        ...


class LeavingListener(Protocol):
    """Receives what other entries publish about servers that are about to stop."""

    def hear_leaving(self, incarnation: tuple[str, str, int]) -> None:
        """Take that a server, given by its incarnation, is about to stop."""
        ...

    @property
    def leaving(self) -> list[tuple[str, str, int]]:
        """Those that are known, for an entry that has just started."""
        ...


class QuarantineListener(Protocol):
    """Receives what other entries publish about segments that crash engines."""

    @property
    def records(self) -> list[QuarantineRecord]:
        """Records that are repeated to the other entries."""
        ...

    def receive_loss(self, loss: EngineLoss) -> None:
        """Take the loss of an engine."""
        ...

    def receive_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Take a prompt that was completed."""
        ...

    def receive_record(self, record: QuarantineRecord) -> None:
        """Take a record of a segment."""
        ...


class QuotaListener(Protocol):
    """Receives requests for parts of shared quotas, and the answers."""

    def receive_request(self, host: str, request: LoanRequest) -> None:
        """Take the request of an entry, given by its IP address."""
        ...

    def receive_loan(self, host: str, loan: Loan) -> None:
        """Take a loan of an entry, given by its IP address."""
        ...


class NullCommitmentPublisher:
    """Publishes nothing, for an entry without peers.

    Args:
        incarnation: Name of this run of the entry's process.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Do nothing."""

    def publish_first_event(self, id_: str) -> None:
        """Do nothing."""

    def publish_ended(self, id_: str) -> None:
        """Do nothing."""

    def publish_rate_limit(
        self, report: RateLimitReport, hosts: Collection[str]
    ) -> None:
        """Do nothing."""

    def broadcast(self, message: Any) -> None:
        """Do nothing."""

    def send(self, message: Any, hosts: Collection[str]) -> None:
        """Do nothing."""

    def publish_leaving(self, server: tuple[str, str, int]) -> None:
        """Do nothing."""

    @property
    def live_hosts(self) -> Sequence[str]:
        """Return nothing."""
        return ()

    def publish_quota(self, message: LoanRequest | Loan, host: str) -> None:
        """Do nothing."""
