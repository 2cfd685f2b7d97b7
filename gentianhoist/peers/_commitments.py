"""Exchange of the commitments that entries make on engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianhoist.clocks import Clock
from gentianhoist.peers._messages import (
    CommitmentAdded,
    CommitmentEnded,
    FirstEventReceived,
)
from gentianhoist.peers._registry import MessageKind, Sender
from gentianhoist.placement import Commitment, CommitmentLedger

__all__ = ["CommitmentExchange"]


class CommitmentExchange:
    """Publishes this entry's commitments, and records those of the others.

    A lost datagram only makes the load estimate inaccurate for as long as its
    commitment would last, since commitments expire by themselves.

    Args:
        ledger: Records the commitments of the other entries.
        broadcast: Sends a message to the other entries.
        clock: Clock of this entry.
    """

    def __init__(
        self,
        ledger: CommitmentLedger,
        broadcast: Callable[[Any], None],
        clock: Clock,
    ) -> None:
        self._ledger = ledger
        self._broadcast = broadcast
        self._clock = clock
        self._own: dict[str, list[Commitment]] = {}
        self._ids_with_first_event: set[str] = set()
        self._ids_of_peers: dict[Sender, set[str]] = {}

    @property
    def kinds(self) -> tuple[MessageKind, ...]:
        """Kinds of the messages that carry commitments."""
        return (
            MessageKind(CommitmentAdded, self._receive_added, self._added_messages),
            MessageKind(
                FirstEventReceived, self._receive_first_event, self._event_messages
            ),
            MessageKind(CommitmentEnded, self._receive_ended),
        )

    def publish_added(self, commitment: Commitment, now_s: float) -> None:
        """Publish that a request is being sent to an engine.

        Args:
            commitment: What the request takes up on the engine.
            now_s: Current time on this entry's clock, in seconds.
        """
        self._own.setdefault(commitment.id, []).append(commitment)
        self._broadcast(CommitmentAdded.of(commitment, now_s))

    def publish_first_event(self, id_: str) -> None:
        """Publish that the first event of a stream has arrived.

        Args:
            id_: Request id; unknown ids are ignored.
        """
        if id_ in self._own:
            self._ids_with_first_event.add(id_)
            self._broadcast(FirstEventReceived(id_))

    def publish_ended(self, id_: str) -> None:
        """Publish that a request has ended on all its engines.

        Args:
            id_: Request id; unknown ids are ignored.
        """
        if self._own.pop(id_, None) is not None:
            self._ids_with_first_event.discard(id_)
            self._broadcast(CommitmentEnded(id_))

    def forget(self, sender: Sender) -> None:
        """End the commitments of an entry that was lost."""
        for id_ in self._ids_of_peers.pop(sender, ()):
            self._ledger.remove(id_)

    def _receive_added(
        self, message: CommitmentAdded, sender: Sender, now_s: float
    ) -> None:
        self._ids_of_peers.setdefault(sender, set()).add(message.id)
        self._ledger.add(message.commitment(now_s), now_s)

    def _receive_first_event(
        self, message: FirstEventReceived, sender: Sender, now_s: float
    ) -> None:
        self._ledger.record_first_event(message.id, now_s)

    def _receive_ended(
        self, message: CommitmentEnded, sender: Sender, now_s: float
    ) -> None:
        self._ids_of_peers.get(sender, set()).discard(message.id)
        self._ledger.remove(message.id, now_s)

    def _added_messages(self, host: str) -> list[CommitmentAdded]:
        now_s = self._clock.monotonic_s()
        return [
            CommitmentAdded.of(commitment, now_s)
            for commitments in self._own.values()
            for commitment in commitments
        ]

    def _event_messages(self, host: str) -> list[FirstEventReceived]:
        return [FirstEventReceived(id_) for id_ in sorted(self._ids_with_first_event)]
