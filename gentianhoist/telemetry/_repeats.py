"""Bounds the lines of a log that tell of the same decision again and again."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.clocks import Clock
from gentianhoist.telemetry._decisions import DecisionLog

__all__ = ["RepeatedDecisions"]

_MAX_LINES = 20
_INTERVAL_S = 1.0


class _Kind(NamedTuple):
    """What lines of one kind have in common."""

    decision: str
    reason: object
    status: object


class RepeatedDecisions:
    """Writes the first lines of each kind in an interval, and counts the others.

    For decisions on requests without an id: clients that are refused again and again
    cause thousands of lines that tell nothing new.

    Args:
        log: Log of decisions.
        clock: Clock of the entry.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._interval_end_s = 0.0
        self._counts: dict[_Kind, int] = {}

    def record(self, decision: str, request_id: str = "", **details: object) -> None:
        """Write a line, or count it.

        Args:
            decision: Name of the decision.
            request_id: Id of the request concerned, if any.
            details: Further fields. Lines with the same `reason` and `status` are of
                one kind.
        """
        self.tick()
        kind = _Kind(decision, details.get("reason"), details.get("status"))
        count = self._counts[kind] = self._counts.get(kind, 0) + 1
        if count <= _MAX_LINES:
            self._log.record(decision, request_id, **details)

    def tick(self) -> None:
        """Write how many lines were left out, if the interval is over."""
        now_s = self._clock.monotonic_s()
        if now_s < self._interval_end_s:
            return
        counts, self._counts = self._counts, {}
        self._interval_end_s = now_s + _INTERVAL_S
        for kind, count in counts.items():
            if count > _MAX_LINES:
                self._report(kind, count - _MAX_LINES)

    def _report(self, kind: _Kind, count: int) -> None:
        details = {
            name: value
            for name, value in (("reason", kind.reason), ("status", kind.status))
            if value is not None
        }
        self._log.record(
            "lines_left_out",
            of=kind.decision,
            count=count,
            within_s=_INTERVAL_S,
            **details,
        )
