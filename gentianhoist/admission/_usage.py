"""Slots in use and waiting requests of each organisation, over all entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from gentianhoist.admission._rates import DecayingRate
from gentianhoist.admission._reports import DemandReports
from gentianhoist.placement import Commitment

__all__ = ["OrganisationUsage"]

# Arrivals are counted over a time in which a burst shows, and ends.
_ARRIVALS_WINDOW_S = 1.0
_SERVICE_SMOOTHING = 0.05
_FORGOTTEN_PER_S = 0.01


class OrganisationUsage:
    """Use of one server group by organisation, kept up to date by changes.

    The slots in use come from the commitments of all entries; what waits, from this
    entry's queue and the reports of the others. Every `now_s` is the current time on
    the entry's clock, in seconds.
    """

    def __init__(self) -> None:
        self.reports = DemandReports()
        self._in_use: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._own_on_time: Counter[str] = Counter()
        self._waiting_by_priority: Counter[int] = Counter()
        self._arrivals: dict[str, DecayingRate] = {}
        self._total = 0
        self._ended = 0
        self._service_s = 0.0

    @property
    def total_in_use(self) -> int:
        """Slots in use by all organisations."""
        return self._total

    @property
    def ended(self) -> int:
        """Number of requests of all entries that have ended since the start."""
        return self._ended

    @property
    def service_s(self) -> float:
        """Mean of the expected seconds that a request takes its slot; 0 if unknown."""
        return self._service_s

    @property
    def own_waiting(self) -> Counter[str]:
        """Requests that wait at this entry, by organisation."""
        return self._waiting

    @property
    def own_on_time(self) -> Counter[str]:
        """Requests that wait at this entry and can be on time, by organisation."""
        return self._own_on_time

    @property
    def all_waiting(self) -> Counter[str]:
        """Requests that wait at all entries, by organisation."""
        return self._waiting + self.reports.waiting

    @property
    def waiting_on_time(self) -> Counter[str]:
        """Those of them that can be on time; estimated for other entries."""
        counts = Counter(self._own_on_time)
        ratio = self.reports.on_time_ratio
        for name, count in self.reports.waiting.items():
            counts[name] += round(ratio * count)
        return counts

    def in_use(self, organisation: str) -> int:
        """Slots in use by an organisation."""
        return self._in_use[organisation]

    def demands(self) -> dict[str, int]:
        """Slots in use plus waiting requests of each active organisation."""
        return dict(self._in_use + self.all_waiting)

    def arrivals_per_s(self, now_s: float) -> dict[str, float]:
        """Recent rate of placements, over all entries, by organisation."""
        rates = {name: rate.per_s(now_s) for name, rate in self._arrivals.items()}
        for name, per_s in rates.items():
            if per_s < _FORGOTTEN_PER_S:
                del self._arrivals[name]
        return rates

    def reported_within(self, shares: Mapping[str, float]) -> dict[str, int]:
        """Requests that wait at other entries and fit in the shares of their owners."""
        return {
            name: max(0, min(count, int(shares.get(name, 0.0)) - self._in_use[name]))
            for name, count in self.reports.waiting.items()
        }

    def add(self, commitment: Commitment, now_s: float) -> None:
        """Count a request that takes a slot from now on."""
        self._in_use[commitment.organisation] += 1
        self._total += 1
        rate = self._arrivals.get(commitment.organisation)
        if rate is None:
            rate = DecayingRate(_ARRIVALS_WINDOW_S)
            self._arrivals[commitment.organisation] = rate
        rate.record(now_s)
        expected_s = commitment.prefill_s + commitment.decode_s
        if not self._service_s:
            self._service_s = expected_s
        self._service_s += _SERVICE_SMOOTHING * (expected_s - self._service_s)

    def remove(self, organisation: str) -> None:
        """Count the end of a request of an organisation.

        Args:
            organisation: The organisation.
        """
        _decrement(self._in_use, organisation)
        self._total -= 1
        self._ended += 1

    def set_own_on_time(self, counts: Counter[str]) -> None:
        """Set how many requests that wait at this entry can be on time."""
        self._own_on_time = counts

    def add_waiting(self, organisation: str, priority: int) -> None:
        """Count a request that waits at this entry."""
        self._waiting[organisation] += 1
        self._waiting_by_priority[priority] += 1

    def remove_waiting(self, organisation: str, priority: int) -> None:
        """Count that a request no longer waits at this entry."""
        _decrement(self._waiting, organisation)
        _decrement(self._waiting_by_priority, priority)

    def urgent_ratio(self, priority: int) -> float:
        """Fraction of the waiting requests that aren't less urgent than a class.

        Those of other entries are known as far as they can be on time.
        """
        return _part_up_to(priority, self._waiting_by_priority + self.reports.on_time)

    def reported_urgent_ratio(self, priority: int) -> float:
        """The same, only of the requests that wait at other entries."""
        return _part_up_to(priority, self.reports.on_time)


def _part_up_to(priority: int, counts: Counter[int]) -> float:
    total = counts.total()
    if not total:
        return 1.0
    return sum(count for key, count in counts.items() if key <= priority) / total


def _decrement(counts: Counter[str], key: str) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
