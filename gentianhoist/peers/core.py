"""Link of an entry to the others: its message kinds, and what it publishes."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

from gentianhoist.clocks import Clock
from gentianhoist.peers._commitments import CommitmentExchange
from gentianhoist.peers._messages import (
    EngineLossReported,
    PromptCompleted,
    QuotaLent,
    QuotaRequested,
    RateLimitUsed,
    SegmentRecorded,
    ServerLeaving,
)
from gentianhoist.peers._publishers import (
    LeavingListener,
    QuarantineListener,
    QuotaListener,
    RateLimitListener,
)
from gentianhoist.peers._registry import MessageKind, Sender
from gentianhoist.peers._transport import PeerTransport
from gentianhoist.placement import Commitment, CommitmentLedger
from gentianhoist.quarantine import EngineLoss, QuarantineRecord
from gentianhoist.quotas import Loan, LoanRequest
from gentianhoist.ratelimits import RateLimitReport

__all__ = ["PeerLink"]


class PeerLink(PeerTransport):
    """Exchanges with the other entries what they have to know of each other.

    A part that needs further messages registers their kinds with `register`, and sends
    them with `broadcast` or `send`.

    Args:
        incarnation: Name of this run of the entry's process, new at each start.
        host: IP address of this entry.
        port: Datagram port, the same on all entries.
        ledger: Records the commitments of the peers.
        clock: Clock of this entry.
        on_change: Called when the commitments of the peers have changed.
    """

    def __init__(
        self,
        incarnation: str,
        host: str,
        port: int,
        ledger: CommitmentLedger,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(incarnation, host, port, clock, on_change)
        self._ledger = ledger
        self._commitments = CommitmentExchange(ledger, self.broadcast, clock)
        self.register(*self._commitments.kinds)
        self.add_loss_listener(self._commitments.forget)

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Publish that a request is being sent to an engine.

        Args:
            commitment: What the request takes up on the engine.
            now_s: Current time on this entry's clock, in seconds.
        """
        self._commitments.publish_added(commitment, now_s)

    def publish_first_event(self, id_: str) -> None:
        """Publish that the first event of a stream has arrived."""
        self._commitments.publish_first_event(id_)

    def publish_ended(self, id_: str) -> None:
        """Publish that a request has ended on all its engines."""
        self._commitments.publish_ended(id_)

    def set_rate_limits(self, listener: RateLimitListener) -> None:
        """Set the receiver of reports about rate limits."""

        def receive(message: RateLimitUsed, sender: Sender, now_s: float) -> None:
            listener.receive(sender.incarnation, message.report(now_s))

        def snapshot(host: str) -> list[RateLimitUsed]:
            now_s = self._clock.monotonic_s()
            return [
                RateLimitUsed.of(report, now_s) for report in listener.reports_for(host)
            ]

        self.register(MessageKind(RateLimitUsed, receive, snapshot))

    def publish_rate_limit(
        self, report: RateLimitReport, hosts: Collection[str]
    ) -> None:
        """Publish the use of a server with a rate limit.

        Args:
            report: The report.
            hosts: IP addresses of the entries that need it.
        """
        message = RateLimitUsed.of(report, self._clock.monotonic_s())
        if self._peer_hosts.issubset(hosts):
            self.broadcast(message)
        else:
            self.send(message, hosts)

    def set_quotas(self, listener: QuotaListener) -> None:
        """Set the receiver of messages about shared quotas."""

        def receive_request(
            message: QuotaRequested, sender: Sender, now_s: float
        ) -> None:
            listener.receive_request(sender.host, message.request)

        def receive_loan(message: QuotaLent, sender: Sender, now_s: float) -> None:
            listener.receive_loan(sender.host, message.loan)

        self.register(
            MessageKind(QuotaRequested, receive_request),
            MessageKind(QuotaLent, receive_loan),
        )

    def publish_quota(self, message: LoanRequest | Loan, host: str) -> None:
        """Send a message about a shared quota to one entry, given by its address."""
        match message:
            case LoanRequest():
                self.send(QuotaRequested(message), (host,))
            case Loan():
                self.send(QuotaLent(message), (host,))

    def set_leaving(self, listener: LeavingListener) -> None:
        """Set the receiver of servers that are about to stop."""

        def receive(message: ServerLeaving, sender: Sender, now_s: float) -> None:
            listener.hear_leaving(message.server)

        def snapshot(host: str) -> list[ServerLeaving]:
            return [ServerLeaving(server) for server in listener.leaving]

        self.register(MessageKind(ServerLeaving, receive, snapshot))

    def publish_leaving(self, server: tuple[str, str, int]) -> None:
        """Publish that a server, given by its incarnation, is about to stop."""
        self.broadcast(ServerLeaving(server))

    def set_quarantine(self, listener: QuarantineListener) -> None:
        """Set the receiver of losses, completed prompts and records."""

        def receive_loss(
            message: EngineLossReported, sender: Sender, now_s: float
        ) -> None:
            lost_s = now_s - message.age_ms / 1000
            listener.receive_loss(
                EngineLoss(message.engine, lost_s, frozenset(message.prompts))
            )

        def receive_completed(
            message: PromptCompleted, sender: Sender, now_s: float
        ) -> None:
            sent_s = now_s - message.sent_age_ms / 1000
            listener.receive_completed(message.segments, sent_s)

        def receive_record(
            message: SegmentRecorded, sender: Sender, now_s: float
        ) -> None:
            listener.receive_record(message.record)

        def record_messages(host: str = "") -> Sequence[SegmentRecorded]:
            return [SegmentRecorded(record) for record in listener.records]

        self.register(
            MessageKind(EngineLossReported, receive_loss),
            MessageKind(PromptCompleted, receive_completed),
            MessageKind(
                SegmentRecorded, receive_record, record_messages, record_messages
            ),
        )

    def publish_loss(self, loss: EngineLoss) -> None:
        """Publish the loss of an engine."""
        age_s = self._clock.monotonic_s() - loss.lost_s
        prompts = sorted(loss.prompts)
        self.broadcast(EngineLossReported(loss.engine, round(age_s * 1000), prompts))

    def publish_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Publish that a prompt with these segments, sent then, was completed."""
        age_s = self._clock.monotonic_s() - sent_s
        self.broadcast(PromptCompleted(list(segments), round(age_s * 1000)))

    def publish_record(self, record: QuarantineRecord) -> None:
        """Publish a new record of a segment."""
        self.broadcast(SegmentRecorded(record))
