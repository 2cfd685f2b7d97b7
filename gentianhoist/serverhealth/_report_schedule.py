"""Decides when an entry reports its evidence about servers to the others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gentianhoist.serverhealth._evidence import (
    VALIDITY_S,
    Evidence,
    Incarnation,
    ResultPhase,
    Verdict,
)

__all__ = ["DueReport", "ReportSchedule"]

# Reports of all entries together, which is also what each of them receives. A fifth of
# 54 engines that turn slow at once are known to all within about a second.
_FLEET_REPORTS_PER_S = 100.0
# Reports that an entry may send at once after it sent none for a while.
_BURST_REPORTS = 8.0
_MIN_INTERVAL_S = 1.0
# Evidence of the same kind is sent again after this time, before the last report of it
# expires for the others.
_RENEWAL_S = VALIDITY_S / 2
# Reports for an entry that has just started.
_MAX_SNAPSHOT = 16


class DueReport(NamedTuple):
    """Evidence that is to be sent now.

    Attributes:
        incarnation: The server.
        evidence: What was observed.
        is_repeat: Whether it is sent again only because datagrams may be lost.
    """

    incarnation: Incarnation
    evidence: Evidence
    is_repeat: bool


@dataclass
class _Subject:
    """What was reported about one server.

    Attributes:
        evidence: The newest evidence.
        reported: Verdict that the other entries know, None if either result is news.
        reported_s: Time of the last report.
        repeat_s: Time of its repetition, None if it was repeated.
    """

    evidence: Evidence
    reported: Verdict | None = Verdict.HEALTHY
    reported_s: float = float("-inf")
    repeat_s: float | None = None


class ReportSchedule:
    """Chooses the evidence that the other entries need, within a bound.

    A server is reported when this entry's verdict on it changes, and again while it
    remains bad and new evidence comes in; at most once a second. Each report is
    repeated once. What the bound doesn't allow waits, and is sent with newer evidence.
    """

    def __init__(self) -> None:
        self._subjects: dict[Incarnation, _Subject] = {}
        # Servers to report, in the order in which their reports became due.
        self._due: dict[Incarnation, None] = {}
        self._allowance = _BURST_REPORTS
        self._updated_s = float("-inf")

    @property
    def has_due(self) -> bool:
        """Whether a report waits to be sent."""
        return bool(self._due)

    def observe(
        self,
        incarnation: Incarnation,
        evidence: Evidence,
        now_s: float,
        phase: ResultPhase,
    ) -> None:
        """Take this entry's newest evidence about a server.

        Args:
            incarnation: The server.
            evidence: The evidence.
            now_s: Current time.
            phase: When the evidence arrived. After an ejection bad evidence is news,
                and while the others wait for a success each result is.
        """
        subject = self._subjects.get(incarnation)
        is_bad = evidence.verdict is not Verdict.HEALTHY
        if subject is None:
            if not is_bad and phase is not ResultPhase.PROBE:
                return
            subject = self._subjects[incarnation] = _Subject(evidence)
        subject.evidence = evidence
        if phase is ResultPhase.PROBE:
            subject.reported = None
        is_news = (
            evidence.verdict is not subject.reported
            or (is_bad and phase is not ResultPhase.ORDINARY)
            or (is_bad and now_s - subject.reported_s >= _RENEWAL_S)
        )
        if is_news:
            self._due[incarnation] = None

    def take_due(self, now_s: float, entries: int) -> list[DueReport]:
        """Return the reports to send now; they count as sent.

        Args:
            now_s: Current time.
            entries: Number of known entries, this one included.
        """
        self._refill(now_s, entries)
        self._forget(now_s)
        reports = []
        for incarnation in list(self._due):
            if self._allowance < 1.0:
                break
            if now_s - self._subjects[incarnation].reported_s >= _MIN_INTERVAL_S:
                reports.append(self._take(incarnation, now_s))
        for incarnation, subject in self._subjects.items():
            if self._allowance < 1.0:
                break
            if subject.repeat_s is not None and now_s >= subject.repeat_s:
                reports.append(self._take_repeat(incarnation, subject, now_s))
        return reports

    def snapshot(self, now_s: float) -> list[DueReport]:
        """Reports for an entry that has just started, the newest ones."""
        bad = [
            DueReport(incarnation, subject.evidence, False)
            for incarnation, subject in self._subjects.items()
            if subject.evidence.verdict is not Verdict.HEALTHY
            and subject.evidence.is_valid(now_s)
        ]
        bad.sort(key=lambda item: item.evidence.observed_s, reverse=True)
        return bad[:_MAX_SNAPSHOT]

    def _take(self, incarnation: Incarnation, now_s: float) -> DueReport:
        del self._due[incarnation]
        subject = self._subjects[incarnation]
        subject.reported = subject.evidence.verdict
        subject.reported_s = now_s
        subject.repeat_s = now_s + _MIN_INTERVAL_S
        self._allowance -= 1.0
        return DueReport(incarnation, subject.evidence, False)

    def _take_repeat(
        self, incarnation: Incarnation, subject: _Subject, now_s: float
    ) -> DueReport:
        self._due.pop(incarnation, None)
        subject.reported = subject.evidence.verdict
        subject.repeat_s = None
        subject.reported_s = now_s
        self._allowance -= 1.0
        return DueReport(incarnation, subject.evidence, True)

    def _refill(self, now_s: float, entries: int) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        added = elapsed_s * _FLEET_REPORTS_PER_S / max(1, entries)
        self._allowance = min(_BURST_REPORTS, self._allowance + added)

    def _forget(self, now_s: float) -> None:
        """Remove evidence that is no longer valid, and what the others know of it."""
        for incarnation, subject in list(self._subjects.items()):
            if not subject.evidence.is_valid(now_s):
                del self._subjects[incarnation]
                self._due.pop(incarnation, None)
