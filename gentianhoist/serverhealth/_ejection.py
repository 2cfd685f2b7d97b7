"""Ejection of a server by the evidence of several entries, and probing after it."""

from __future__ import annotations

__all__ = ["SharedEjection"]

_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 6.0
# Entries that don't probe follow after this time, in case no success is reported.
_PROBING_S = 1.0
# An ejection within this time after another one is a repeated one.
_REPETITION_S = 6.0
# Weighted failures of all entries for a first and for a repeated ejection. Three
# failures within a half-life seldom meet a server that loses one request of a hundred.
_FIRST_FAILURES = 2.5
_REPEATED_FAILURES = 1.5


class SharedEjection:
    """State of one server between its ejections.

    An ejection isn't prolonged by the reports that follow it: those concern the same
    requests. Evidence from after its end begins the next one, which lasts twice as long
    up to a maximum.

    All times are on the entry's clock, in seconds.

    Attributes:
        started_s: Start of the last ejection.
        until_s: End of the last ejection, for the entries that probe.
        excluded_until_s: Time until which this entry sends nothing to the server.
    """

    def __init__(self) -> None:
        self.started_s = float("-inf")
        self.until_s = float("-inf")
        self.excluded_until_s = float("-inf")
        self._consecutive = 0
        self._is_released = True

    @property
    def is_released(self) -> bool:
        """Whether a success since the last ejection is known."""
        return self._is_released

    def is_excluded(self, now_s: float) -> bool:
        """Whether this entry sends nothing to the server."""
        return now_s < self.excluded_until_s

    def min_failures(self, now_s: float) -> float:
        """Weighted failures of all entries that it takes to eject the server now."""
        return _REPEATED_FAILURES if self._is_repeated(now_s) else _FIRST_FAILURES

    def begin(self, now_s: float, *, is_prober: bool) -> None:
        """Eject the server.

        Args:
            now_s: Current time.
            is_prober: Whether this entry sends the first requests after the ejection.
        """
        if not self._is_repeated(now_s):
            self._consecutive = 0
        self.started_s = now_s
        ejection_s = min(_MAX_EJECTION_S, _MIN_EJECTION_S * 2**self._consecutive)
        self.until_s = now_s + ejection_s
        self.excluded_until_s = self.until_s + (0.0 if is_prober else _PROBING_S)
        self._consecutive += 1
        self._is_released = False

    def release(self) -> None:
        """Let all entries follow at the end of the ejection, after a success."""
        self._is_released = True
        self.excluded_until_s = min(self.excluded_until_s, self.until_s)

    def _is_repeated(self, now_s: float) -> bool:
        return now_s - self.until_s < _REPETITION_S
