"""Exchange of commitments with the other entries over one datagram socket."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import msgspec

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import DECODE_ERRORS
from gentianhoist.peers._messages import (
    Batch,
    CommitmentAdded,
    CommitmentEnded,
    EngineLossReported,
    FirstEventReceived,
    Message,
    PromptCompleted,
    QuotaLent,
    QuotaRequested,
    RateLimitUsed,
    SegmentRecorded,
    ServerLeaving,
    SyncRequest,
)
from gentianhoist.peers._publishers import (
    LeavingListener,
    QuarantineListener,
    QuotaListener,
    RateLimitListener,
)
from gentianhoist.placement import Commitment, CommitmentLedger
from gentianhoist.quarantine import EngineLoss, QuarantineRecord
from gentianhoist.quotas import Loan, LoanRequest
from gentianhoist.ratelimits import RateLimitReport

__all__ = ["PeerLink"]

_log = logging.getLogger(__name__)

_BATCH_DELAY_S = 0.001
_MAX_BATCH_MESSAGES = 12
# An entry without other messages sends an empty batch at this interval.
_HEARTBEAT_S = 0.6
# After this time without a datagram an entry counts as stopped or partitioned, and its
# requests at the engines count as ended.
_PEER_TIMEOUT_S = 2.0
# The records of segments are added to a datagram after this time, since the datagram
# that brought a record first may have been lost.
_RECORDS_INTERVAL_S = 1.0


@dataclass
class _Peer:
    """One incarnation of another entry, and the ids of its current commitments."""

    host: str
    incarnation: str
    last_datagram_s: float = 0.0
    commitments: set[str] = field(default_factory=set)


class PeerLink(asyncio.DatagramProtocol):
    """Publishes this entry's commitments to its peers, and records theirs.

    A lost datagram only makes the load estimate inaccurate for as long as its
    commitment would last, since commitments expire by themselves.

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
        self._incarnation = incarnation
        self._host = host
        self._port = port
        self._ledger = ledger
        self._clock = clock
        self._on_change = on_change
        self._own_commitments: dict[str, list[Commitment]] = {}
        self._ids_with_first_event: set[str] = set()
        self._peer_hosts: set[str] = set()
        self._live_peers: dict[str, _Peer] = {}
        self._is_registry_read = False
        self._quarantine: QuarantineListener | None = None
        self._rate_limits: RateLimitListener | None = None
        self._leaving: LeavingListener | None = None
        self._quotas: QuotaListener | None = None
        self._records_sent_s = float("-inf")
        self._next_record = 0
        self._last_sent_s = float("-inf")
        self._outbox: list[Message] = []
        # Messages for some entries only, by their IP addresses.
        self._directed: dict[str, list[Message]] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Batch)

    @property
    def incarnation(self) -> str:
        """Name of this run of the entry's process, new at each start."""
        return self._incarnation

    @property
    def peers(self) -> frozenset[str]:
        """IP addresses of the other entries, live or only registered."""
        return frozenset(self._peer_hosts)

    @property
    def is_registry_read(self) -> bool:
        """Whether the registry of entries has been read at least once."""
        return self._is_registry_read

    @property
    def live_count(self) -> int:
        """Number of other entries that sent a datagram recently."""
        return len(self._live_peers)

    @property
    def live_hosts(self) -> list[str]:
        """IP addresses of the other entries that sent a datagram recently."""
        return list(self._live_peers)

    async def start(self) -> None:
        """Open the datagram socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    async def close(self) -> None:
        """Close the datagram socket; batched messages are dropped."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def set_peers(self, hosts: Iterable[str]) -> None:
        """Set the registered entries, and request the commitments of new ones.

        Live entries are kept even if they are not listed, since the registry may have
        been read before they registered.

        Args:
            hosts: IP addresses of the registered entries.
        """
        self._is_registry_read = True
        hosts = (set(hosts) | self._live_peers.keys()) - {self._host}
        new_hosts = hosts - self._peer_hosts
        self._peer_hosts = hosts
        if new_hosts and self._transport is not None:
            sync_request = self._encode([SyncRequest(self._host)])
            for host in new_hosts:
                self._transport.sendto(sync_request, (host, self._port))

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Publish that a request is being sent to an engine.

        Args:
            commitment: What the request takes up on the engine.
            now_s: Current time on this entry's clock, in seconds.
        """
        self._own_commitments.setdefault(commitment.id, []).append(commitment)
        self._enqueue(CommitmentAdded.of(commitment, now_s))

    def publish_first_event(self, id_: str) -> None:
        """Publish that the first event of a stream has arrived.

        Args:
            id_: Request id; unknown ids are ignored.
        """
        if id_ in self._own_commitments:
            self._ids_with_first_event.add(id_)
            self._enqueue(FirstEventReceived(id_))

    def publish_ended(self, id_: str) -> None:
        """Publish that a request has ended on all its engines.

        Args:
            id_: Request id; unknown ids are ignored.
        """
        if self._own_commitments.pop(id_, None) is not None:
            self._ids_with_first_event.discard(id_)
            self._enqueue(CommitmentEnded(id_))

    def set_rate_limits(self, listener: RateLimitListener) -> None:
        """Set the receiver of reports about rate limits."""
        self._rate_limits = listener

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
            self._enqueue(message)
            return
        for host in hosts:
            self._directed.setdefault(host, []).append(message)
        self._schedule_flush()

    def set_quotas(self, listener: QuotaListener) -> None:
        """Set the receiver of messages about shared quotas."""
        self._quotas = listener

    def publish_quota(self, message: LoanRequest | Loan, host: str) -> None:
        """Send a message about a shared quota to one entry.

        Args:
            message: The message.
            host: IP address of the entry.
        """
        match message:
            case LoanRequest():
                wire: Message = QuotaRequested(message)
            case Loan():
                wire = QuotaLent(message)
        self._directed.setdefault(host, []).append(wire)
        self._schedule_flush()

    def set_leaving(self, listener: LeavingListener) -> None:
        """Set the receiver of servers that are about to stop."""
        self._leaving = listener

    def publish_leaving(self, server: tuple[str, str, int]) -> None:
        """Publish that a server, given by its incarnation, is about to stop."""
        self._enqueue(ServerLeaving(server))

    def set_quarantine(self, listener: QuarantineListener) -> None:
        """Set the receiver of losses, completed prompts and records."""
        self._quarantine = listener

    def publish_loss(self, loss: EngineLoss) -> None:
        """Publish the loss of an engine."""
        age_s = self._clock.monotonic_s() - loss.lost_s
        prompts = sorted(loss.prompts)
        self._enqueue(EngineLossReported(loss.engine, round(age_s * 1000), prompts))

    def publish_completed(self, segments: Iterable[str], sent_s: float) -> None:
        """Publish that a prompt with these segments, sent then, was completed."""
        age_s = self._clock.monotonic_s() - sent_s
        self._enqueue(PromptCompleted(list(segments), round(age_s * 1000)))

    def publish_record(self, record: QuarantineRecord) -> None:
        """Publish a new record of a segment."""
        self._enqueue(SegmentRecorded(record))

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            batch = self._decoder.decode(data)
        except DECODE_ERRORS as error:
            _log.warning(
                "datagram of entry could not be decoded", extra={"cause": str(error)}
            )
            return
        now_s = self._clock.monotonic_s()
        peer = self._get_or_add_peer(addr[0], batch.incarnation)
        peer.last_datagram_s = now_s
        for message in batch.messages:
            self._apply(message, peer, now_s)
        if batch.messages:
            self._on_change()

    def error_received(self, exc: Exception) -> None:
        _log.debug("datagram not delivered", extra={"cause": repr(exc)})

    def tick(self, now_s: float) -> None:
        """Send a heartbeat if due, and drop the commitments of peers that timed out.

        Args:
            now_s: Current time on this entry's clock, in seconds.
        """
        if now_s - self._last_sent_s >= _HEARTBEAT_S and self._transport is not None:
            self._send_to_all([])
            self._last_sent_s = now_s
        for host, peer in list(self._live_peers.items()):
            if now_s - peer.last_datagram_s > _PEER_TIMEOUT_S:
                self._remove_peer(host)
                _log.info("entry is silent", extra={"host": host})

    def _get_or_add_peer(self, host: str, incarnation: str) -> _Peer:
        """Return the peer at an address.

        If the entry there was restarted, the commitments of its previous
        incarnation end.
        """
        peer = self._live_peers.get(host)
        if peer is not None and peer.incarnation != incarnation:
            self._remove_peer(host)
            peer = None
        if peer is None:
            peer = self._live_peers[host] = _Peer(host, incarnation)
            self._peer_hosts.add(host)
        return peer

    def _remove_peer(self, host: str) -> None:
        for id_ in self._live_peers.pop(host).commitments:
            self._ledger.remove(id_)
        self._on_change()

    def _apply(
        self,
        message: Message,
        peer: _Peer,
        now_s: float,
    ) -> None:
        match message:
            case CommitmentAdded():
                peer.commitments.add(message.id)
                self._ledger.add(message.commitment(now_s), now_s)
            case FirstEventReceived(id=id_):
                self._ledger.record_first_event(id_, now_s)
            case CommitmentEnded(id=id_):
                peer.commitments.discard(id_)
                self._ledger.remove(id_)
            case RateLimitUsed():
                if self._rate_limits is not None:
                    self._rate_limits.receive(peer.incarnation, message.report(now_s))
            case ServerLeaving(server=server):
                if self._leaving is not None:
                    self._leaving.hear_leaving(server)
            case QuotaRequested(request=request):
                if self._quotas is not None:
                    self._quotas.receive_request(peer.host, request)
            case QuotaLent(loan=loan):
                if self._quotas is not None:
                    self._quotas.receive_loan(peer.host, loan)
            case SyncRequest(host=host):
                self._send_state(host, now_s)
            case EngineLossReported() | PromptCompleted() | SegmentRecorded():
                self._apply_to_quarantine(message, now_s)

    def _apply_to_quarantine(
        self,
        message: EngineLossReported | PromptCompleted | SegmentRecorded,
        now_s: float,
    ) -> None:
        if self._quarantine is None:
            return
        match message:
            case EngineLossReported(engine=engine, age_ms=age_ms, prompts=prompts):
                loss = EngineLoss(engine, now_s - age_ms / 1000, frozenset(prompts))
                self._quarantine.receive_loss(loss)
            case PromptCompleted(segments=segments, sent_age_ms=age_ms):
                self._quarantine.receive_completed(segments, now_s - age_ms / 1000)
            case SegmentRecorded(record=record):
                self._quarantine.receive_record(record)

    def _enqueue(
        self,
        message: Message,
    ) -> None:
        if not self._peer_hosts:
            return
        self._outbox.append(message)
        if len(self._outbox) >= _MAX_BATCH_MESSAGES:
            self._flush()
        else:
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(_BATCH_DELAY_S, self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        messages, self._outbox = self._outbox, []
        directed, self._directed = self._directed, {}
        if messages and self._transport is not None:
            self._last_sent_s = self._clock.monotonic_s()
            self._send_to_all(messages)
        for host, host_messages in directed.items():
            self._send_to(host, host_messages)

    def _send_to_all(
        self,
        messages: list[Message],
    ) -> None:
        assert self._transport is not None
        data = self._encode([*messages, *self._records_due()])
        for host in self._peer_hosts:
            self._transport.sendto(data, (host, self._port))

    def _records_due(self) -> list[SegmentRecorded]:
        """Some of the records, in turn, if they were not sent for a while."""
        now_s = self._clock.monotonic_s()
        if (
            self._quarantine is None
            or now_s - self._records_sent_s < _RECORDS_INTERVAL_S
        ):
            return []
        self._records_sent_s = now_s
        records = self._quarantine.records
        start = self._next_record if self._next_record < len(records) else 0
        end = self._next_record = start + _MAX_BATCH_MESSAGES
        return [SegmentRecorded(record) for record in records[start:end]]

    def _send_state(self, host: str, now_s: float) -> None:
        """Send to an entry that has just started what it has to know."""
        messages: list[Message] = []
        for commitments in self._own_commitments.values():
            messages += [
                CommitmentAdded.of(commitment, now_s) for commitment in commitments
            ]
        messages += [
            FirstEventReceived(id_) for id_ in sorted(self._ids_with_first_event)
        ]
        if self._quarantine is not None:
            messages += [SegmentRecorded(item) for item in self._quarantine.records]
        if self._rate_limits is not None:
            reports = self._rate_limits.reports_for(host)
            messages += [RateLimitUsed.of(report, now_s) for report in reports]
        if self._leaving is not None:
            messages += [ServerLeaving(server) for server in self._leaving.leaving]
        self._send_to(host, messages)

    def _send_to(self, host: str, messages: list[Message]) -> None:
        """Send messages to one entry, in datagrams of a bounded size."""
        for start in range(0, len(messages), _MAX_BATCH_MESSAGES):
            data = self._encode(messages[start : start + _MAX_BATCH_MESSAGES])
            if self._transport is not None:
                self._transport.sendto(data, (host, self._port))

    def _encode(
        self,
        messages: list[Message],
    ) -> bytes:
        return self._encoder.encode(Batch(self._incarnation, messages))
