"""Check that no configuration newer than a process's own can be in force.

A change comes into force a fixed lead time after its acceptance. A process whose
configuration was confirmed as the newest within less than the lead time therefore
cannot miss a change. The configuration is confirmed by a read of the log's head in the
store, or by heartbeat replies of all known entries, since every change is accepted by
an entry.
"""

from __future__ import annotations

from typing import NamedTuple


class PeerVersionReport(NamedTuple):
    """Configuration version reported by another entry.

    Attributes:
        requested_s: Time of the request on this process's clock, in seconds; the
            report shows a state of the entry no older than this.
        version: Configuration version of the entry.
        has_unreported_change: Whether the entry may know of a change that it has not
            reported.
    """

    requested_s: float
    version: int
    has_unreported_change: bool


class Confirmation:
    """Tracks whether this process's configuration is confirmed as the newest.

    Args:
        validity_s: Seconds that a confirmation is valid.
    """

    def __init__(self, validity_s: float) -> None:
        self._validity_s = validity_s
        self._store_read_s: float | None = None
        self._peers: dict[str, PeerVersionReport] = {}

    def record_store_read(self, requested_s: float) -> None:
        """Record a read of the log's head that showed no newer version.

        Args:
            requested_s: Time at which the read was sent, on this process's clock.
        """
        self._store_read_s = requested_s

    def record_peer_report(self, peer: str, report: PeerVersionReport) -> None:
        """Record a report of another entry.

        Args:
            peer: Instance name of the entry.
            report: The report.
        """
        self._peers[peer] = report

    def remove_peer(self, peer: str) -> None:
        """Remove an entry that no longer has to report.

        An entry is removed when it has left permanently, according to its own heartbeat
        or to the platform's list.

        Args:
            peer: Instance name of the entry.
        """
        self._peers.pop(peer, None)

    def add_peer(self, peer: str) -> None:
        """Add an entry that must report before the configuration is confirmed.

        Args:
            peer: Instance name of the entry; a known entry keeps its report.
        """
        self._peers.setdefault(peer, PeerVersionReport(float("-inf"), 0, True))

    def is_confirmed(self, now_s: float, version: int) -> bool:
        """Whether no newer configuration can be in force.

        Args:
            now_s: Current time on this process's clock, in seconds.
            version: Configuration version of this process.
        """
        valid_since_s = now_s - self._validity_s
        if self._store_read_s is not None and self._store_read_s >= valid_since_s:
            return True
        return self.is_confirmed_by_peers(now_s, version)

    @property
    def has_peers(self) -> bool:
        """Whether there are other entries that have to report."""
        return bool(self._peers)

    def is_confirmed_by_peers(self, now_s: float, version: int) -> bool:
        """Whether all other entries report that they know of no newer configuration.

        Args:
            now_s: Current time on this process's clock, in seconds.
            version: Configuration version of this process.
        """
        valid_since_s = now_s - self._validity_s
        return bool(self._peers) and all(
            report.requested_s >= valid_since_s
            and report.version <= version
            and not report.has_unreported_change
            for report in self._peers.values()
        )
