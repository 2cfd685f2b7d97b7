"""Reports of other entries about what waits at them, for as long as they are valid."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import NamedTuple

from gentianhoist.admission._messages import OrganisationDemand

__all__ = ["REPORT_VALIDITY_S", "DemandReports"]

REPORT_VALIDITY_S = 1.0


class _Report(NamedTuple):
    observed_s: float
    waiting: dict[str, int]
    on_time: dict[int, int]


class DemandReports:
    """The latest valid report of each other entry about one server group, with sums.

    Every `now_s` is the current time on the entry's clock, in seconds.
    """

    def __init__(self) -> None:
        # In the order of arrival, so that expired ones come first.
        self._reports: OrderedDict[str, _Report] = OrderedDict()
        self._waiting: Counter[str] = Counter()
        self._on_time: Counter[int] = Counter()

    @property
    def waiting(self) -> Counter[str]:
        """Requests that wait at other entries, by organisation."""
        return self._waiting

    @property
    def on_time(self) -> Counter[int]:
        """Those of them that can still be on time, by priority class."""
        return self._on_time

    @property
    def on_time_ratio(self) -> float:
        """Fraction of the requests that wait at others which can be on time."""
        waiting = self._waiting.total()
        return min(1.0, self._on_time.total() / waiting) if waiting else 0.0

    def oldest_age_s(self, now_s: float) -> float:
        """Age of the oldest report, in seconds; 0 without any."""
        oldest_s = min(
            (item.observed_s for item in self._reports.values()), default=now_s
        )
        return max(0.0, now_s - oldest_s)

    def receive(self, sender: str, message: OrganisationDemand, now_s: float) -> None:
        """Replace the report of an entry, unless a later one has been received.

        Args:
            sender: Incarnation of the entry that sent it.
            message: The report.
        """
        observed_s = now_s - message.age_ms / 1000
        known = self._reports.get(sender)
        if known is not None and observed_s < known.observed_s:
            return
        self.forget(sender)
        if not message.waiting or now_s - observed_s >= REPORT_VALIDITY_S:
            return
        report = _Report(observed_s, dict(message.waiting), dict(message.on_time))
        self._reports[sender] = report
        self._waiting.update(report.waiting)
        self._on_time.update(report.on_time)

    def forget(self, sender: str) -> None:
        """Drop the report of an entry."""
        report = self._reports.pop(sender, None)
        if report is None:
            return
        _subtract(self._waiting, report.waiting)
        _subtract(self._on_time, report.on_time)

    def expire(self, now_s: float) -> None:
        """Drop the reports that are no longer valid."""
        for sender, report in list(self._reports.items()):
            if now_s - report.observed_s >= REPORT_VALIDITY_S:
                self.forget(sender)


def _subtract(total: Counter, part: dict) -> None:
    """Subtract, and keep no zeros, so that the sums stay as small as the reports."""
    for key, count in part.items():
        total[key] -= count
        if total[key] <= 0:
            del total[key]
