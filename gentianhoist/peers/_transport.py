"""Datagram socket on which an entry sends messages to the others in batches."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Any

from gentianhoist.clocks import Clock
from gentianhoist.exceptions import DECODE_ERRORS
from gentianhoist.peers._messages import SyncRequest
from gentianhoist.peers._registry import MessageKind, MessageRegistry, Sender

__all__ = ["PeerTransport"]

_log = logging.getLogger(__name__)

_BATCH_DELAY_S = 0.001
_MAX_BATCH_MESSAGES = 12
# An entry without other messages sends an empty batch at this interval.
_HEARTBEAT_S = 0.6
# After this time without a datagram an entry counts as stopped or partitioned.
_PEER_TIMEOUT_S = 2.0
# Repeated messages are added to a datagram after this time.
_REPEAT_INTERVAL_S = 1.0


@dataclass
class _Peer:
    """One incarnation of another entry."""

    sender: Sender
    last_datagram_s: float = 0.0


class PeerTransport(asyncio.DatagramProtocol):
    """Sends messages to the other entries, and passes theirs to their handlers.

    Args:
        incarnation: Name of this run of the entry's process, new at each start.
        host: IP address of this entry.
        port: Datagram port, the same on all entries.
        clock: Clock of this entry.
        on_change: Called when messages have arrived, or an entry was lost.
    """

    def __init__(
        self,
        incarnation: str,
        host: str,
        port: int,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._incarnation = incarnation
        self._host = host
        self._port = port
        self._clock = clock
        self._on_change = on_change
        self._registry = MessageRegistry(clock)
        self._registry.register(MessageKind(SyncRequest, self._answer_sync))
        self._loss_listeners: list[Callable[[Sender], None]] = []
        self._peer_hosts: set[str] = set()
        self._live_peers: dict[str, _Peer] = {}
        self._is_registry_read = False
        self._repeated_s = float("-inf")
        self._next_repeat = 0
        self._last_sent_s = float("-inf")
        self._outbox: list[Any] = []
        # Messages for some entries only, by their IP addresses.
        self._directed: dict[str, list[Any]] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None

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

    def register(self, *kinds: MessageKind) -> None:
        """Add kinds of messages; call it before `start`."""
        self._registry.register(*kinds)

    def add_loss_listener(self, listener: Callable[[Sender], None]) -> None:
        """Call a function when an incarnation of another entry is lost."""
        self._loss_listeners.append(listener)

    def set_peers(self, hosts: Iterable[str]) -> None:
        """Set the registered entries, and request the state of new ones.

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

    def broadcast(self, message: Any) -> None:
        """Send a message to all known entries, with others that are sent soon.

        Args:
            message: Message of a registered type.
        """
        if not self._peer_hosts:
            return
        self._outbox.append(message)
        if len(self._outbox) >= _MAX_BATCH_MESSAGES:
            self._flush()
        else:
            self._schedule_flush()

    def send(self, message: Any, hosts: Collection[str]) -> None:
        """Send a message to some entries.

        Args:
            message: Message of a registered type.
            hosts: IP addresses of the entries.
        """
        for host in hosts:
            self._directed.setdefault(host, []).append(message)
        self._schedule_flush()

    def tick(self, now_s: float) -> None:
        """Send a heartbeat if due, and give up the entries that are silent.

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

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            batch = self._registry.decode(data)
        except DECODE_ERRORS as error:
            _log.warning(
                "datagram of entry could not be decoded", extra={"cause": str(error)}
            )
            return
        now_s = self._clock.monotonic_s()
        peer = self._get_or_add_peer(Sender(addr[0], batch.incarnation))
        peer.last_datagram_s = now_s
        for message in batch.messages:
            self._registry.deliver(message, peer.sender, now_s)
        if batch.messages:
            self._on_change()

    def error_received(self, exc: Exception) -> None:
        _log.debug("datagram not delivered", extra={"cause": repr(exc)})

    def _get_or_add_peer(self, sender: Sender) -> _Peer:
        """Return the peer at an address; a new incarnation replaces the old one."""
        peer = self._live_peers.get(sender.host)
        if peer is not None and peer.sender != sender:
            self._remove_peer(sender.host)
            peer = None
        if peer is None:
            peer = self._live_peers[sender.host] = _Peer(sender)
            self._peer_hosts.add(sender.host)
        return peer

    def _remove_peer(self, host: str) -> None:
        sender = self._live_peers.pop(host).sender
        for listener in self._loss_listeners:
            listener(sender)
        self._on_change()

    def _answer_sync(self, message: SyncRequest, sender: Sender, now_s: float) -> None:
        """Send to an entry that has just started what it has to know."""
        self._send_to(message.host, self._registry.snapshot(message.host))

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

    def _send_to_all(self, messages: list[Any]) -> None:
        assert self._transport is not None
        data = self._encode([*messages, *self._due_repeats()])
        for host in self._peer_hosts:
            self._transport.sendto(data, (host, self._port))

    def _due_repeats(self) -> list[Any]:
        """Some of the repeated messages, in turn, if none was sent for a while."""
        now_s = self._clock.monotonic_s()
        if now_s - self._repeated_s < _REPEAT_INTERVAL_S:
            return []
        self._repeated_s = now_s
        repeats = self._registry.repeats()
        start = self._next_repeat if self._next_repeat < len(repeats) else 0
        end = self._next_repeat = start + _MAX_BATCH_MESSAGES
        return repeats[start:end]

    def _send_to(self, host: str, messages: list[Any]) -> None:
        """Send messages to one entry, in datagrams of a bounded size."""
        for start in range(0, len(messages), _MAX_BATCH_MESSAGES):
            data = self._encode(messages[start : start + _MAX_BATCH_MESSAGES])
            if self._transport is not None:
                self._transport.sendto(data, (host, self._port))

    def _encode(self, messages: list[Any]) -> bytes:
        return self._registry.encode(self._incarnation, messages)
