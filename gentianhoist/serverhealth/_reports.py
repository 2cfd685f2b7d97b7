"""Evidence of other entries about one server, the newest of each entry."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.serverhealth._evidence import Evidence, Verdict

__all__ = ["Report", "ReportedEvidence"]

# Entries whose evidence is kept for one server; a median over more gains little.
_MAX_ENTRIES = 16


class Report(NamedTuple):
    """Evidence that another entry reported.

    Attributes:
        host: IP address of the entry.
        run: Name of the run of its process.
        number: Number of the report, which grows with each report of that run.
        evidence: The evidence, its time on this entry's clock.
    """

    host: str
    run: str
    number: int
    evidence: Evidence


class ReportedEvidence:
    """The newest valid report of each of some entries.

    Reports are kept by the address of their entry, so an entry that restarts often
    counts once.
    """

    def __init__(self) -> None:
        self._by_host: dict[str, Report] = {}

    def __len__(self) -> int:
        """Number of reports, of which some may no longer be valid."""
        return len(self._by_host)

    def receive(self, report: Report, now_s: float) -> bool:
        """Take a report, unless it is outdated, a duplicate or older than a known one.

        Returns:
            Whether it was taken.
        """
        if not report.evidence.is_valid(now_s):
            return False
        known = self._by_host.get(report.host)
        if (
            known is not None
            and known.run == report.run
            and known.number >= report.number
        ):
            return False
        self._by_host[report.host] = report
        if len(self._by_host) > _MAX_ENTRIES:
            self._remove_oldest()
        return True

    def valid(self, now_s: float) -> list[Evidence]:
        """Return the valid evidence, and remove the rest."""
        for host, report in list(self._by_host.items()):
            if not report.evidence.is_valid(now_s):
                del self._by_host[host]
        return [report.evidence for report in self._by_host.values()]

    def failing_hosts(self, now_s: float) -> list[str]:
        """IP addresses of the entries that report the server as failing."""
        return [
            host
            for host, report in self._by_host.items()
            if report.evidence.is_valid(now_s)
            and report.evidence.decayed(now_s).verdict is Verdict.FAILING
        ]

    def _remove_oldest(self) -> None:
        oldest = min(
            self._by_host, key=lambda host: self._by_host[host].evidence.observed_s
        )
        del self._by_host[oldest]
