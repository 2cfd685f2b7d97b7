"""Assessment of a server by the evidence of several entries.

Each entry counts once, whatever it claims, so that no entry by itself decides for the
others.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from statistics import median_low

from gentianhoist.serverhealth._evidence import (
    SLOW_RATIO,
    VALIDITY_S,
    Evidence,
    Verdict,
)

__all__ = ["SharedSlowness", "NOT_SLOW", "assess_slowness", "is_failing"]

# Entries whose evidence agrees before it counts for those that saw nothing themselves.
_QUORUM = 2
# Failures of one entry that count at most. With one failure of a second entry they stay
# below the sum that a first ejection needs.
_MAX_FAILURES_OF_ENTRY = 1.4
# A server that sheds or loses fewer requests than this fraction stays in use.
_MIN_FAILURE_RATIO = 0.2


class SharedSlowness:
    """How slow several entries measured a server, from one moment on.

    Args:
        ratio: Ratio of measured to expected time to first token, 1 at least.
        assessed_s: Time to which the ratio refers.
        until_s: End of its validity.
    """

    __slots__ = ("assessed_s", "ratio", "until_s")

    def __init__(self, ratio: float, assessed_s: float, until_s: float) -> None:
        self.ratio = ratio
        self.assessed_s = assessed_s
        self.until_s = until_s

    def at(self, now_s: float) -> float:
        """The ratio now, which decays towards 1; 1 after its validity."""
        if now_s >= self.until_s:
            return 1.0
        return Evidence(1.0, 0.0, self.ratio, self.assessed_s).decayed(now_s).ratio


NOT_SLOW = SharedSlowness(1.0, float("-inf"), float("-inf"))


def assess_slowness(evidence: Iterable[Evidence], now_s: float) -> SharedSlowness:
    """Return the median slowness over the entries that measured a server.

    Entries report servers that are slow and seldom those that aren't, so a median
    below the ratio of a slow server counts as none. Of an even number of ratios the
    lower middle one counts, so of two the one that is less slow.

    Args:
        evidence: Valid evidence, one item for each entry.
        now_s: Current time.
    """
    measured = [item for item in evidence if item.ratio]
    if len(measured) < _QUORUM:
        return NOT_SLOW
    ratio = median_low(item.decayed(now_s).ratio for item in measured)
    if ratio < SLOW_RATIO:
        return NOT_SLOW
    newest = sorted((item.observed_s for item in measured), reverse=True)
    return SharedSlowness(ratio, now_s, newest[_QUORUM - 1] + VALIDITY_S)


def is_failing(evidence: Sequence[Evidence], now_s: float, min_failures: float) -> bool:
    """Whether a server fails requests of several entries.

    Args:
        evidence: Valid evidence, one item for each entry.
        now_s: Current time.
        min_failures: Weighted failures of all entries that it takes.
    """
    current = [item.decayed(now_s) for item in evidence]
    failing = [item for item in current if item.verdict is Verdict.FAILING]
    if len(failing) < _QUORUM or 2 * len(failing) <= len(current):
        return False
    failures = sum(min(item.failures, _MAX_FAILURES_OF_ENTRY) for item in failing)
    requests = sum(item.requests for item in current)
    all_failures = sum(item.failures for item in current)
    return failures >= min_failures and all_failures >= _MIN_FAILURE_RATIO * requests
