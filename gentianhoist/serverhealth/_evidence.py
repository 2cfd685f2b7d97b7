"""What one entry observed of a server, in the form in which entries exchange it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

__all__ = [
    "HALF_LIFE_S",
    "SLOW_RATIO",
    "VALIDITY_S",
    "Evidence",
    "Incarnation",
    "ResultPhase",
    "Verdict",
]

# Id, address and start time of a server (Unix milliseconds).
Incarnation = tuple[str, str, int]

# Evidence loses half of its weight in this time, and all of it after the validity.
HALF_LIFE_S = 5.0
VALIDITY_S = 6.0
# Weighted failures from which an entry counts a server as failing: one failed request
# counts for one half-life.
_FAILING_REQUESTS = 0.5
# Ratio from which a server counts as slow for other entries. Slow servers of the
# deployments take 4 to 8 times as long, and the ratio of a short prompt scatters.
SLOW_RATIO = 2.0
# A single measurement has to be further off: it may have met other work, and a short
# prompt's time is mostly the way to the engine.
_SINGLE_SLOW_RATIO = 3.0
_SINGLE_REQUESTS = 1.5


class Verdict(Enum):
    """Assessment of a server by one entry."""

    HEALTHY = "healthy"
    SLOW = "slow"
    FAILING = "failing"


class ResultPhase(Enum):
    """When the result of a request arrived."""

    ORDINARY = "ordinary"
    # The first one after an ejection by this entry's evidence alone, or after another
    # entry has reported a success.
    AFTER_EJECTION = "after an ejection"
    # The first one after an ejection, while the other entries wait for a success.
    PROBE = "probe"


class Evidence(NamedTuple):
    """Observations of one server by one entry.

    Attributes:
        requests: Weighted number of requests that have a result.
        failures: Weighted number of those that the server failed.
        ratio: Ratio of measured to expected time to first token, 0 if not measured.
        observed_s: Time of the last observation on this entry's clock, in seconds.
    """

    requests: float
    failures: float
    ratio: float
    observed_s: float

    @property
    def verdict(self) -> Verdict:
        """Assessment by this evidence alone."""
        if self.failures >= _FAILING_REQUESTS:
            return Verdict.FAILING
        is_single = self.requests < _SINGLE_REQUESTS
        slow_ratio = _SINGLE_SLOW_RATIO if is_single else SLOW_RATIO
        return Verdict.SLOW if self.ratio >= slow_ratio else Verdict.HEALTHY

    def is_valid(self, now_s: float) -> bool:
        """Whether it still counts."""
        return now_s - self.observed_s < VALIDITY_S

    def decayed(self, now_s: float) -> Evidence:
        """The evidence with the weight that it has now; the ratio decays towards 1."""
        weight = 0.5 ** (max(0.0, now_s - self.observed_s) / HALF_LIFE_S)
        ratio = 1.0 + (self.ratio - 1.0) * weight if self.ratio else 0.0
        return self._replace(
            requests=self.requests * weight,
            failures=self.failures * weight,
            ratio=ratio,
        )
