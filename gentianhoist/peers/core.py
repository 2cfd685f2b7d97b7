"""The link to the other entries: one datagram socket."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from gentianhoist.clocks import Clock
from gentianhoist.peers._messages import (
    Batch,
    CommitmentAdded,
    CommitmentEnded,
    StreamStarted,
    SyncRequest,
)
from gentianhoist.placement import Commitment, CommitmentLedger

__all__ = ["CommitmentPublisher", "NullCommitmentPublisher", "PeerLink"]

_log = logging.getLogger(__name__)

_GATHER_S = 0.001
_MAX_ITEMS = 12
# An entry that has nothing to tell says so this often.
_KEEP_ALIVE_S = 0.6
# After this silence an entry has ended or is cut off, and its connections with it.
_SILENT_S = 2.0


class CommitmentPublisher(Protocol):
    """Who is told of an entry's commitments."""

    @property
    def entry(self) -> str:
        """The entry's name, unique among all starts of all entries."""
        ...

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Work is being sent."""
        ...

    def publish_first_event(self, id_: str) -> None:
        """A stream has begun."""
        ...

    def publish_ended(self, id_: str) -> None:
        """Work has ended."""
        ...


class NullCommitmentPublisher:
    """For an entry without others.

    Args:
        entry: The entry's name.
    """

    def __init__(self, entry: str) -> None:
        self.entry = entry

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Tell nobody."""

    def publish_first_event(self, id_: str) -> None:
        """Tell nobody."""

    def publish_ended(self, id_: str) -> None:
        """Tell nobody."""


@dataclass
class _Peer:
    """One start of another entry, and the ids of its commitments."""

    entry: str
    heard_s: float = 0.0
    commitments: set[str] = field(default_factory=set)


class PeerLink(asyncio.DatagramProtocol):
    """Tells the other entries what this one commits, and takes in what they tell.

    A lost datagram costs accuracy for as long as its commitment would last, nothing
    more: commitments expire by themselves.

    Args:
        entry: This entry's name.
        host: Its IP number.
        port: The port that all entries use.
        ledger: Takes the others' commitments.
        clock: The entry's clock.
        changed: Called when the others' commitments have changed.
    """

    def __init__(
        self,
        entry: str,
        host: str,
        port: int,
        ledger: CommitmentLedger,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        self._entry = entry
        self._host = host
        self._port = port
        self._ledger = ledger
        self._clock = clock
        self._changed = changed
        self._own: dict[str, list[Commitment]] = {}
        self._writing: set[str] = set()
        self._peers: set[str] = set()
        self._heard: dict[str, _Peer] = {}
        self._said_s = float("-inf")
        self._outbox: list[
            CommitmentAdded | StreamStarted | CommitmentEnded | SyncRequest
        ] = []
        self._flush: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Batch)

    @property
    def entry(self) -> str:
        """This entry's name."""
        return self._entry

    @property
    def peers(self) -> frozenset[str]:
        """IP numbers of the other entries."""
        return frozenset(self._peers)

    @property
    def live_count(self) -> int:
        """Other entries heard of lately."""
        return len(self._heard)

    @property
    def live_hosts(self) -> list[str]:
        """IP numbers of the entries heard of lately."""
        return list(self._heard)

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._flush is not None:
            self._flush.cancel()
        if self._transport is not None:
            self._transport.close()

    def set_peers(self, hosts: Iterable[str]) -> None:
        """Set the entries of the registry; says hello to new ones.

        Entries that were heard of stay, since what was read may be older than them.
        """
        hosts = (set(hosts) | self._heard.keys()) - {self._host}
        new = hosts - self._peers
        self._peers = hosts
        if new and self._transport is not None:
            hello = self._encode([SyncRequest(self._host)])
            for host in new:
                self._transport.sendto(hello, (host, self._port))

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Tell of work that is being sent."""
        self._own.setdefault(commitment.id, []).append(commitment)
        self._tell(CommitmentAdded.of(commitment, now_s))

    def publish_first_event(self, id_: str) -> None:
        """Tell that a stream has begun."""
        if id_ in self._own:
            self._writing.add(id_)
            self._tell(StreamStarted(id_))

    def publish_ended(self, id_: str) -> None:
        """Tell that work has ended."""
        if self._own.pop(id_, None) is not None:
            self._writing.discard(id_)
            self._tell(CommitmentEnded(id_))

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            batch = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            _log.warning("unreadable datagram", extra={"cause": str(error)})
            return
        now_s = self._clock.elapsed_s()
        peer = self._peer(addr[0], batch.entry)
        peer.heard_s = now_s
        for item in batch.items:
            self._take(item, peer, now_s)
        if batch.items:
            self._changed()

    def error_received(self, exc: Exception) -> None:
        _log.debug("datagram not delivered", extra={"cause": repr(exc)})

    def tick(self, now_s: float) -> None:
        """Say that this entry is alive, and forget the work of those that aren't."""
        if now_s - self._said_s >= _KEEP_ALIVE_S and self._transport is not None:
            self._send_to_all([])
            self._said_s = now_s
        for host, peer in list(self._heard.items()):
            if now_s - peer.heard_s > _SILENT_S:
                self._forget(host)
                _log.info("entry is silent", extra={"host": host})

    def _peer(self, host: str, entry: str) -> _Peer:
        """The entry at an address; another start there ends the work of the last."""
        peer = self._heard.get(host)
        if peer is not None and peer.entry != entry:
            self._forget(host)
            peer = None
        if peer is None:
            peer = self._heard[host] = _Peer(entry)
            self._peers.add(host)
        return peer

    def _forget(self, host: str) -> None:
        for id_ in self._heard.pop(host).commitments:
            self._ledger.end(id_)
        self._changed()

    def _take(
        self,
        item: CommitmentAdded | StreamStarted | CommitmentEnded | SyncRequest,
        peer: _Peer,
        now_s: float,
    ) -> None:
        match item:
            case CommitmentAdded():
                peer.commitments.add(item.id)
                self._ledger.add(item.commitment(now_s), now_s)
            case StreamStarted(id=id_):
                self._ledger.first_event(id_, now_s)
            case CommitmentEnded(id=id_):
                peer.commitments.discard(id_)
                self._ledger.end(id_)
            case SyncRequest(host=host):
                self._tell_all(host, now_s)

    def _tell(
        self, item: CommitmentAdded | StreamStarted | CommitmentEnded | SyncRequest
    ) -> None:
        if not self._peers:
            return
        self._outbox.append(item)
        if len(self._outbox) >= _MAX_ITEMS:
            self._send()
        elif self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(_GATHER_S, self._send)

    def _send(self) -> None:
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        items, self._outbox = self._outbox, []
        if items and self._transport is not None:
            self._said_s = self._clock.elapsed_s()
            self._send_to_all(items)

    def _send_to_all(
        self,
        items: list[CommitmentAdded | StreamStarted | CommitmentEnded | SyncRequest],
    ) -> None:
        assert self._transport is not None
        data = self._encode(items)
        for host in self._peers:
            self._transport.sendto(data, (host, self._port))

    def _tell_all(self, host: str, now_s: float) -> None:
        """Answer an entry that has just started with all that this one holds."""
        items: list[
            CommitmentAdded | StreamStarted | CommitmentEnded | SyncRequest
        ] = []
        for commitments in self._own.values():
            items += [CommitmentAdded.of(item, now_s) for item in commitments]
        items += [StreamStarted(id_) for id_ in sorted(self._writing)]
        for start in range(0, len(items), _MAX_ITEMS):
            data = self._encode(items[start : start + _MAX_ITEMS])
            if self._transport is not None:
                self._transport.sendto(data, (host, self._port))

    def _encode(
        self,
        items: list[CommitmentAdded | StreamStarted | CommitmentEnded | SyncRequest],
    ) -> bytes:
        return self._encoder.encode(Batch(self._entry, items))
