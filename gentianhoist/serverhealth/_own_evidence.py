"""Health of one backend server by the results of this entry's own requests."""

from __future__ import annotations

from dataclasses import dataclass

from gentianhoist.serverhealth._evidence import HALF_LIFE_S, Evidence

__all__ = ["MIN_REPORTED_WEIGHT", "OwnEvidence"]

_FAILURE_HALF_LIFE_S = 4.0
_FAILURE_PENALTY = 1.5
_EJECT_AFTER_FAILURES = 2
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 6.0
_SLOWNESS_SMOOTHING = 0.2
_MIN_RATIO = 0.5
_MAX_RATIO = 8.0
# Weight of a new ratio in the reported one. An entry measures few ratios of a server
# within the validity of a report; the median over entries limits outliers.
_RATIO_SMOOTHING = 0.5
# Weight from which a failure is evidence for other entries. A refusal weighs less: a
# server that is full, limited or cold refuses requests of many entries at once.
MIN_REPORTED_WEIGHT = 1.0
# Weighted failures, and slowness, from which a server is chosen only while others are
# busy.
_SUSPECT_FAILURES = 0.25
_SUSPECT_SLOWNESS = 1.5


@dataclass
class OwnEvidence:
    """Recent results of this entry's requests to one backend server.

    The server is ejected (gets no requests) for a while after consecutive failures. The
    ejection time doubles, up to a maximum, with each ejection since the last success.

    All times are on the entry's clock, in seconds.

    Attributes:
        failures: Weighted number of failures, with exponential decay.
        consecutive_failures: Number of failures since the last success.
        slowness: Moving average of the ratio of measured to expected processing time,
            which decays towards 1.
        updated_s: Time of the last decay.
        ejected_until_s: End of the ejection.
        consecutive_ejections: Number of ejections since the last success.
        evidence: What is reported to other entries, None before the first result.
    """

    failures: float = 0.0
    consecutive_failures: int = 0
    slowness: float = 1.0
    updated_s: float = 0.0
    ejected_until_s: float = float("-inf")
    consecutive_ejections: int = 0
    evidence: Evidence | None = None

    def record_success(self, now_s: float, ratio: float | None = None) -> None:
        """Record a successful request.

        Args:
            now_s: Current time.
            ratio: Ratio of measured to expected processing time, or None if unknown.
        """
        self._decay(now_s)
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        clamped_ratio = 0.0
        if ratio is not None:
            # The bounds limit the effect of a single outlier.
            clamped_ratio = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
            self.slowness += _SLOWNESS_SMOOTHING * (clamped_ratio - self.slowness)
        self._add_evidence(now_s, ratio=clamped_ratio)

    def record_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Record a failure that the server itself caused.

        Args:
            now_s: Current time.
            weight: Weight of the failure; 1 for one lost request. A larger weight
                ejects the server at once.
        """
        self._decay(now_s)
        self.failures += weight
        self.consecutive_failures += 1
        if self.consecutive_failures >= _EJECT_AFTER_FAILURES or weight > 1.0:
            ejection_s = min(
                _MAX_EJECTION_S, _MIN_EJECTION_S * 2**self.consecutive_ejections
            )
            self.ejected_until_s = now_s + ejection_s
            self.consecutive_ejections += 1
        if weight >= MIN_REPORTED_WEIGHT:
            self._add_evidence(now_s, failures=1.0)

    def restart_evidence(self) -> None:
        """Begin the reported evidence anew, after an ejection has ended."""
        self.evidence = None

    def penalty(self, now_s: float) -> float:
        """Return the value that a request to the server is expected to lose."""
        self._decay(now_s)
        return _FAILURE_PENALTY * self.failures

    def current_slowness(self, now_s: float) -> float:
        """Return the slowness now, 1 at least."""
        if self.slowness <= 1.0:
            return 1.0
        self._decay(now_s)
        return self.slowness

    def is_ejected(self, now_s: float) -> bool:
        """Whether the server gets no requests at the moment."""
        return now_s < self.ejected_until_s

    def is_suspect(self, now_s: float) -> bool:
        """Whether it failed recently or has turned slow."""
        if not self.failures and self.slowness < _SUSPECT_SLOWNESS:
            return False
        self._decay(now_s)
        return self.failures >= _SUSPECT_FAILURES or self.slowness >= _SUSPECT_SLOWNESS

    def _add_evidence(
        self, now_s: float, *, failures: float = 0.0, ratio: float = 0.0
    ) -> None:
        before = Evidence(0.0, 0.0, 0.0, now_s)
        if self.evidence is not None and self.evidence.is_valid(now_s):
            before = self.evidence.decayed(now_s)
        if ratio and before.ratio:
            ratio = before.ratio + _RATIO_SMOOTHING * (ratio - before.ratio)
        self.evidence = Evidence(
            before.requests + 1.0,
            before.failures + failures,
            ratio or before.ratio,
            now_s,
        )

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        if not elapsed_s:
            return
        self.updated_s = now_s
        self.failures *= 0.5 ** (elapsed_s / _FAILURE_HALF_LIFE_S)
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * decay
