"""Pace of one server that started or recovered, found from how it responds."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "EVIDENCE_TTL_S",
    "MAX_PACED_S",
    "PROBE_REQUESTS",
    "PaceCause",
    "PaceReport",
    "ServerPace",
]

# Requests over all entries while nothing is known of how the server responds.
PROBE_REQUESTS = 2
# Evidence of an entry is valid for this time, its own as that of others. So nobody goes
# by what an entry said that is cut off since.
EVIDENCE_TTL_S = 2.0
# Times to the first event, as multiples of the expected one, up to which the server
# responds as expected, and from which it is overloaded.
_ON_TIME_RATIO = 2.0
_SLOW_RATIO = 4.0
# Part of the time to the first event that doesn't come from the server's load.
_RESPONSE_MARGIN_S = 0.05
# The ratio says nothing where almost no time is expected: an entry with a fourth of a
# core is late by more than that itself.
_MIN_EXPECTED_S = 0.05
_REFUSAL_FACTOR = 0.5
_SLOW_FACTOR = 0.7
# Smallest step by which the pace rises with a response, for servers with many slots.
_MIN_STEP = 0.05
# Several requests that were sent together fail together and are one sign of overload.
_MIN_REDUCTION_INTERVAL_S = 0.25
# Reports carry four digits of the pace. Five sixths of six slots must remain five.
_SLOT_TOLERANCE = 0.05
# Responses as expected, over all entries, that end the slow start at the full pace.
_END_RESPONSES = 8
# A slow start without a sign of overload ends after this time, counted from the end of
# the cold start. A server with too little traffic for evidence is not paced for ever.
MAX_PACED_S = 15.0


class PaceCause(StrEnum):
    """Why the pace of a server changed."""

    COLD = "cold"
    RECOVERED = "recovered"
    ON_TIME = "on_time"
    SLOW = "slow"
    REFUSED = "refused"
    EVIDENCE = "evidence"
    ENDED = "ended"
    TIMED_OUT = "timed_out"


class PaceReport(NamedTuple):
    """Pace that one entry has found.

    Attributes:
        pace: Fraction of the slots.
        answered: Requests answered as expected since the start, or since the last sign
            of overload.
        observed_s: Time of the last response, on the clock of the entry that reads it.
    """

    pace: float
    answered: int
    observed_s: float


class _CachedPace(NamedTuple):
    pace: float
    max_requests: int
    from_s: float
    until_s: float


class ServerPace:
    """Pace of one incarnation of a server.

    It rises by a slot with each response in the expected time, and falls by a factor
    with refusals and slow responses. What other entries found is taken into account by
    the median: a single entry with a bad link, or that reports falsely, can neither
    stop the server nor flood it. A sign of overload that this entry saw itself binds it
    in any case.

    Every `now_s` is the current time on the entry's clock, in seconds.

    Args:
        slots: Number of requests that the server processes concurrently.
        cold_until_s: End of its cold start, on the entry's clock.
        now_s: When the slow start begins.
    """

    def __init__(self, slots: int, cold_until_s: float, now_s: float) -> None:
        self._slots = max(1, slots)
        self._cold_until_s = cold_until_s
        self._cold_s = max(0.0, cold_until_s - now_s)
        self._began_s = now_s
        self._initial = min(1.0, PROBE_REQUESTS / self._slots)
        self._own: PaceReport | None = None
        self._others: dict[str, PaceReport] = {}
        self._reduced_s = float("-inf")
        # Read for each server that is weighed for a prompt.
        self._cached: _CachedPace | None = None

    @property
    def began_s(self) -> float:
        """When the slow start began, on the entry's clock."""
        return self._began_s

    def own_report(self, now_s: float) -> PaceReport | None:
        """What this entry found itself, or None if it is out of date."""
        own = self._own
        return own if own is not None and _is_fresh(own, now_s) else None

    def pace(self, now_s: float) -> float:
        """Fraction of the slots that may be in use now, over all entries."""
        return self._current(now_s).pace

    def answered(self, now_s: float) -> int:
        """Responses as expected, over all entries with evidence."""
        return sum(item.answered for item in self._fresh(now_s))

    def max_requests(self, now_s: float) -> int:
        """Number of concurrent requests that the pace allows, over all entries."""
        return self._current(now_s).max_requests

    def record_response(
        self, after_s: float, expected_s: float, now_s: float
    ) -> PaceCause | None:
        """Record a response.

        Args:
            after_s: Seconds from the send to the first event.
            expected_s: Seconds that a healthy server would have taken.

        Returns:
            Why the pace changed, or None if the response is neither on time nor slow.
        """
        ratio = (after_s - _RESPONSE_MARGIN_S) / max(_MIN_EXPECTED_S, expected_s)
        # A cold server is slower than a warm one without being overloaded.
        allowance = 1.0 + self._cold_left_ratio(now_s)
        if ratio > _SLOW_RATIO * allowance:
            # Only refusals show that the server can't take two requests.
            lowest = min(self._initial, self.pace(now_s))
            return self._reduce(_SLOW_FACTOR, lowest, PaceCause.SLOW, now_s)
        pace = self.pace(now_s)
        answered = self._own.answered if self._own else 0
        if ratio > _ON_TIME_RATIO * allowance:
            self._set_own(PaceReport(pace, answered, now_s))
            return None
        pace = min(1.0, pace + max(_MIN_STEP, 1.0 / self._slots))
        self._set_own(PaceReport(pace, answered + 1, now_s))
        return PaceCause.ON_TIME

    def record_refusal(self, now_s: float) -> PaceCause | None:
        """Record a refusal, or a request that was lost without a response.

        Returns:
            Why the pace changed, or None if it was reduced just before.
        """
        lowest = 1.0 / self._slots
        return self._reduce(_REFUSAL_FACTOR, lowest, PaceCause.REFUSED, now_s)

    def receive(self, entry: str, report: PaceReport, now_s: float) -> None:
        """Take what another entry found.

        Args:
            entry: Incarnation of the entry.
            report: Its report, with its time on this entry's clock.
        """
        known = self._others.get(entry)
        if known is not None and known.observed_s > report.observed_s:
            return
        self._others[entry] = report
        self._cached = None
        for other, item in list(self._others.items()):
            if not _is_fresh(item, now_s):
                del self._others[other]

    def end_cause(self, now_s: float) -> PaceCause | None:
        """Why the slow start is over now, or None if it goes on."""
        if now_s < self._cold_until_s:
            return None
        if self.pace(now_s) >= 1.0 and self.answered(now_s) >= _END_RESPONSES:
            return PaceCause.ENDED
        quiet_since_s = max(self._began_s, self._cold_until_s, self._reduced_s)
        if now_s - quiet_since_s >= MAX_PACED_S:
            return PaceCause.TIMED_OUT
        return None

    def _current(self, now_s: float) -> _CachedPace:
        cached = self._cached
        if cached is None or not cached.from_s <= now_s < cached.until_s:
            cached = self._cached = self._compute_pace(now_s)
        return cached

    def _compute_pace(self, now_s: float) -> _CachedPace:
        reports = self._fresh(now_s)
        if not reports:
            return self._cache(self._initial, now_s, float("inf"))
        paces = sorted(item.pace for item in reports)
        # Of an even number, the lower of the two in the middle.
        pace = paces[(len(paces) - 1) // 2]
        own = self.own_report(now_s)
        if own is not None and not own.answered:
            # The last thing that this entry saw was a sign of overload.
            pace = min(own.pace, pace)
        until_s = min(item.observed_s for item in reports) + EVIDENCE_TTL_S
        return self._cache(pace, now_s, until_s)

    def _cache(self, pace: float, now_s: float, until_s: float) -> _CachedPace:
        max_requests = max(1, int(pace * self._slots + _SLOT_TOLERANCE))
        return _CachedPace(pace, max_requests, now_s, until_s)

    def _set_own(self, report: PaceReport) -> None:
        self._own = report
        self._cached = None

    def _reduce(
        self, factor: float, lowest: float, cause: PaceCause, now_s: float
    ) -> PaceCause | None:
        if 0.0 <= now_s - self._reduced_s < _MIN_REDUCTION_INTERVAL_S:
            return None
        self._reduced_s = now_s
        pace = max(lowest, self.pace(now_s) * factor)
        self._set_own(PaceReport(pace, 0, now_s))
        return cause

    def _cold_left_ratio(self, now_s: float) -> float:
        if not self._cold_s:
            return 0.0
        left_s = self._cold_until_s - now_s
        return min(1.0, max(0.0, left_s / self._cold_s))

    def _fresh(self, now_s: float) -> list[PaceReport]:
        reports = [item for item in self._others.values() if _is_fresh(item, now_s)]
        own = self.own_report(now_s)
        return reports if own is None else [*reports, own]


def _is_fresh(report: PaceReport, now_s: float) -> bool:
    # A step back of the clock leaves times in the future behind.
    return -EVIDENCE_TTL_S <= now_s - report.observed_s < EVIDENCE_TTL_S
