"""Health of one server: this entry's evidence combined with that of others."""

from __future__ import annotations

from gentianhoist.serverhealth._assessment import (
    NOT_SLOW,
    SharedSlowness,
    assess_slowness,
    is_failing,
)
from gentianhoist.serverhealth._ejection import SharedEjection
from gentianhoist.serverhealth._evidence import (
    Evidence,
    ResultPhase,
    Verdict,
)
from gentianhoist.serverhealth._own_evidence import MIN_REPORTED_WEIGHT, OwnEvidence
from gentianhoist.serverhealth._reports import Report, ReportedEvidence

__all__ = ["ServerHealth"]


class ServerHealth:
    """Health of one incarnation of a server.

    The evidence is combined when some arrives, so that reading it for each choice of an
    engine costs little. This entry's own evidence counts by itself; that of others only
    together with another entry's. All times are on the entry's clock, in seconds.

    Attributes:
        own: Results of this entry's own requests.
        ejection: Ejections by the evidence of several entries.
    """

    def __init__(self) -> None:
        self.own = OwnEvidence()
        self.ejection = SharedEjection()
        self._reports = ReportedEvidence()
        self._slowness: SharedSlowness = NOT_SLOW
        self._restart_s: float | None = None

    @property
    def failures(self) -> float:
        """Weighted number of this entry's own failures."""
        return self.own.failures

    @property
    def has_reports(self) -> bool:
        """Whether any evidence of other entries is kept."""
        return len(self._reports) > 0

    @property
    def ejection_ended_s(self) -> float | None:
        """End of the last ejection, in the future during it; None if there was none."""
        ended_s = max(self.own.ejected_until_s, self.ejection.until_s)
        return None if ended_s == float("-inf") else ended_s

    def slowness(self, now_s: float) -> float:
        """Ratio of its processing time to the expected one, 1 at least."""
        own_slowness = self.own.current_slowness(now_s)
        if now_s >= self._slowness.until_s:
            return own_slowness
        return max(own_slowness, self._slowness.at(now_s))

    def shared_slowness(self, now_s: float) -> float:
        """The same by the evidence of several entries only."""
        return self._slowness.at(now_s)

    def penalty(self, now_s: float) -> float:
        """Value that a request to the server is expected to lose."""
        return self.own.penalty(now_s)

    def is_excluded(self, now_s: float) -> bool:
        """Whether this entry sends nothing to the server while there are others."""
        return self.own.is_ejected(now_s) or self.ejection.is_excluded(now_s)

    def record_success(self, now_s: float, ratio: float | None) -> ResultPhase:
        """Record a successful request of this entry; as in `OwnEvidence`."""
        phase = self._restart_after_ejection(now_s)
        self.own.record_success(now_s, ratio)
        if now_s >= self.ejection.until_s:
            self.ejection.release()
        return phase

    def record_failure(self, now_s: float, weight: float) -> ResultPhase | None:
        """Record a failed request of this entry; as in `OwnEvidence`.

        Returns:
            When the failure arrived, None if it is no evidence for other entries.
        """
        phase = None
        if weight >= MIN_REPORTED_WEIGHT:
            phase = self._restart_after_ejection(now_s)
        self.own.record_failure(now_s, weight)
        if self.own.is_ejected(now_s):
            self._restart_s = self.ejection_ended_s
        return phase

    def receive(self, report: Report, now_s: float) -> bool:
        """Take the evidence of another entry; returns whether it is news."""
        return self._reports.receive(report, now_s)

    def combine(self, now_s: float) -> bool:
        """Combine the evidence; returns whether the server is to be ejected."""
        reports = self._reports.valid(now_s)
        if not reports:
            self._slowness = NOT_SLOW
            return False
        own = self.own.evidence
        is_own_valid = own is not None and own.is_valid(now_s)
        evidence = [*reports, own] if own and is_own_valid else reports
        self._slowness = assess_slowness(evidence, now_s)
        self._release_after_success(reports)
        if now_s < self.ejection.until_s:
            return False
        since = [item for item in evidence if item.observed_s >= self.ejection.until_s]
        return is_failing(since, now_s, self.ejection.min_failures(now_s))

    def failing_hosts(self, now_s: float) -> list[str]:
        """IP addresses of the other entries that report it as failing."""
        return self._reports.failing_hosts(now_s)

    def eject(self, now_s: float, *, is_prober: bool) -> None:
        """Eject the server by the evidence of several entries."""
        self.ejection.begin(now_s, is_prober=is_prober)
        self._restart_s = self.ejection_ended_s

    def _release_after_success(self, reports: list[Evidence]) -> None:
        """End the probing if any entry reports a success since the ejection began.

        The ejection ends at slightly different times at the entries, so a success of an
        entry that probes may precede its end here.
        """
        if self.ejection.is_released:
            return
        if any(
            item.verdict is not Verdict.FAILING
            and item.observed_s > self.ejection.started_s
            for item in reports
        ):
            self.ejection.release()

    def _restart_after_ejection(self, now_s: float) -> ResultPhase:
        """Begin the evidence anew at the first result after an ejection."""
        if self._restart_s is None or now_s < self._restart_s:
            return ResultPhase.ORDINARY
        self._restart_s = None
        self.own.restart_evidence()
        if self.ejection.is_released:
            return ResultPhase.AFTER_EJECTION
        return ResultPhase.PROBE
