"""Whether a process may trust that no newer configuration is in force.

A change takes force a lead after its acceptance. A process that has had a
confirmation within less than the lead therefore can't miss it. A confirmation is a
reading of the store's head, or word from every live entry, since all changes pass
through an entry.
"""

from __future__ import annotations

from typing import NamedTuple


class PeerVersionReport(NamedTuple):
    """What another entry said of itself.

    Attributes:
        asked_s: When it was asked, on this process's clock; what it said held then
            or later.
        version: Its configuration version.
        accepting: Whether it may know of a change that it hasn't told.
    """

    asked_s: float
    version: int
    accepting: bool


class Confirmation:
    """Keeps the evidence that the configuration is the newest.

    Args:
        lasts_s: Seconds that a confirmation lasts.
    """

    def __init__(self, lasts_s: float) -> None:
        self._lasts_s = lasts_s
        self._store_read_s: float | None = None
        self._peers: dict[str, PeerVersionReport] = {}

    def record_store_read(self, asked_s: float) -> None:
        """Take note of a reading of the head that showed nothing newer.

        Args:
            asked_s: When the reading was sent.
        """
        self._store_read_s = asked_s

    def record_peer_report(self, peer: str, evidence: PeerVersionReport) -> None:
        """Take note of another entry's word."""
        self._peers[peer] = evidence

    def remove_peer(self, peer: str) -> None:
        """An entry has left for good, by its own word or the platform's list."""
        self._peers.pop(peer, None)

    def add_peer(self, peer: str) -> None:
        """An entry exists, though it has said nothing yet."""
        self._peers.setdefault(peer, PeerVersionReport(float("-inf"), 0, True))

    def is_confirmed(self, now_s: float, version: int) -> bool:
        """Whether no newer configuration can be in force.

        Args:
            now_s: The time on this process's clock.
            version: The version that this process has.
        """
        oldest_s = now_s - self._lasts_s
        if self._store_read_s is not None and self._store_read_s >= oldest_s:
            return True
        return bool(self._peers) and all(
            evidence.asked_s >= oldest_s
            and evidence.version <= version
            and not evidence.accepting
            for evidence in self._peers.values()
        )
