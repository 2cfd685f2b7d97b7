"""Decides for one server group which requests are placed, wait or are refused."""

from __future__ import annotations

import random
from collections import Counter

from gentianhoist.admission._decisions import (
    AdmissionDecision,
    Applicant,
    Assessment,
    RefuseNow,
    ServeNow,
    WaitForSlot,
)
from gentianhoist.admission._drain import DrainRate
from gentianhoist.admission._retries import RetrySchedule
from gentianhoist.admission._shares import max_min_shares
from gentianhoist.admission._thresholds import (
    ArrivalMix,
    ReportedWaiting,
    Standing,
    expected_arrivals,
    room_for,
)
from gentianhoist.admission._usage import OrganisationUsage
from gentianhoist.placement import Commitment

__all__ = ["GroupAdmission"]

# Fraction of the time from which a late request within its share is no longer placed
# after those that are on time, so that it doesn't starve behind a flood.
_MAX_OVERDUE_RATIO = 0.8
# Least fraction of the freed slots that is assumed to be left to late requests.
_MIN_LATE_RATIO = 0.02


class GroupAdmission:
    """Admission to one server group, from its use by all entries.

    Every `now_s` is the current time on the entry's clock, in seconds.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self.usage = OrganisationUsage()
        self._mix = ArrivalMix()
        self._drain = DrainRate()
        self._rng = rng
        self._retries: dict[str, RetrySchedule] = {}
        self._slots = 0
        self._shares: dict[str, float] = {}
        self._reported_within: dict[str, int] = {}
        # Rooms by organisation, priority and standing, until the next update.
        self._rooms: dict[tuple[str, int, Standing], int] = {}

    @property
    def shares(self) -> dict[str, float]:
        """Max-min shares of the active organisations, in slots."""
        return self._shares

    @property
    def slots(self) -> int:
        """Slots of the server group at the last update."""
        return self._slots

    @property
    def occupied_ratio(self) -> float:
        """Fraction of the slots that all entries have in use."""
        return self.usage.total_in_use / self._slots if self._slots else 0.0

    @property
    def organisations_over_share(self) -> frozenset[str]:
        """Organisations whose next request would exceed their share."""
        return frozenset(name for name in self._shares if self._is_over_share(name))

    @property
    def _drain_per_s(self) -> float:
        return self._drain.per_s(self.usage.total_in_use, self.usage.service_s)

    def update(self, slots: int, now_s: float) -> None:
        """Recompute the shares, at intervals of some milliseconds.

        Args:
            slots: Slots of the server group, free or in use.
        """
        usage = self.usage
        usage.reports.expire(now_s)
        self._slots = slots
        self._drain.update(usage.ended, self.occupied_ratio, now_s)
        demands: dict[str, float] = dict(usage.demands())
        for name, per_s in usage.arrivals_per_s(now_s).items():
            arrivals = expected_arrivals(per_s)
            if arrivals or name in demands:
                demands[name] = demands.get(name, 0.0) + arrivals
        # One more for the next request of each, which is about to be decided on.
        next_demands = {name: demand + 1.0 for name, demand in demands.items()}
        self._shares = max_min_shares(next_demands, slots)
        self._rooms.clear()
        self._mix.keep_only(self._shares)
        for name in self._retries.keys() - self._shares.keys():
            del self._retries[name]
        self._reported_within = usage.reported_within(self._shares)

    def record_placed(self, commitment: Commitment, now_s: float) -> None:
        """Count a placement of any entry."""
        standing = Standing.WITHIN_SHARE
        if commitment.ttft_deadline_s <= now_s:
            standing = Standing.LATE
        elif self._is_over_share(commitment.organisation):
            standing = Standing.OVER_SHARE
        self.usage.add(commitment, now_s)
        self._mix.record_placed(commitment.organisation, standing, now_s)

    def record_arrival(self, priority: int, now_s: float) -> None:
        """Count a request of a priority class that arrived at this entry."""
        self._mix.record_own(priority, now_s)

    def is_held(self, applicant: Applicant, now_s: float) -> bool:
        """Whether a waiting request leaves the free slots to others."""
        standing = self._standing(applicant)
        room = self._room(applicant, standing, now_s)
        return room > 0 and self._slots - self.usage.total_in_use <= room

    def expects_turn(self, applicant: Applicant, now_s: float) -> bool:
        """Whether a request within its share gets a slot before its deadline.

        Over the share, it depends on what other requests leave.
        """
        name = applicant.organisation
        if self._is_over_share(name):
            return False
        drain_per_s = self._fair_drain_per_s(name, Standing.WITHIN_SHARE, now_s)
        return self._requests_ahead(applicant) <= drain_per_s * applicant.slack_s

    def assess(self, applicant: Applicant, now_s: float) -> Assessment:
        """Return what the decision on a request is based on."""
        standing = self._standing(applicant)
        name = applicant.organisation
        return Assessment(
            standing,
            self._shares.get(name, 0.0),
            self.usage.in_use(name),
            self._slots,
            self._slots - self.usage.total_in_use,
            self._room(applicant, standing, now_s),
            self.usage.reports.oldest_age_s(now_s),
        )

    def decide(
        self,
        applicant: Applicant,
        assessment: Assessment,
        entries: int,
        now_s: float,
    ) -> AdmissionDecision:
        """Decide on a request that has just arrived.

        Args:
            applicant: The request.
            assessment: Its assessment.
            entries: Number of entries, which retries are divided between.
        """
        if assessment.free > assessment.room:
            return ServeNow()
        drain_per_s = self._drain_per_s
        if drain_per_s <= 0.0:
            return WaitForSlot(0.0)
        name = applicant.organisation
        fair_per_s = self._fair_drain_per_s(name, assessment.standing, now_s)
        on_time_wait_s = self._requests_ahead(applicant, on_time_only=True) / fair_per_s
        if on_time_wait_s <= min(applicant.on_time_s, applicant.slack_s):
            return WaitForSlot(on_time_wait_s)
        late_wait_s = self._requests_ahead(applicant) / self._late_drain_per_s(now_s)
        if late_wait_s <= applicant.slack_s:
            return WaitForSlot(late_wait_s)
        retry_after_s = self.retry_after_s(applicant, entries, now_s)
        return RefuseNow(late_wait_s, retry_after_s)

    def retry_after_s(self, applicant: Applicant, entries: int, now_s: float) -> float:
        """Return when a caller that is refused should retry, in seconds.

        A request that arrives then is ahead of those that are late by then.

        Args:
            applicant: The request.
            entries: Number of entries, which retries are divided between.
        """
        organisation = applicant.organisation
        standing = Standing.WITHIN_SHARE
        if self._is_over_share(organisation):
            standing = Standing.OVER_SHARE
        wait_s = interval_s = 0.0
        fair_per_s = self._fair_drain_per_s(organisation, standing, now_s)
        if fair_per_s > 0.0:
            ahead = self._requests_ahead(applicant, on_time_only=True)
            wait_s = ahead / fair_per_s
            interval_s = entries / fair_per_s
        schedule = self._retries.get(organisation)
        if schedule is None:
            schedule = self._retries[organisation] = RetrySchedule(self._rng)
        return schedule.next_after_s(wait_s, interval_s, now_s)

    def _late_drain_per_s(self, now_s: float) -> float:
        """Slots per second that requests on time leave to late ones.

        Until slots have been in use for a while, placements have filled the free ones,
        and don't tell what is left.
        """
        drain_per_s = self._drain_per_s
        if not self._drain.is_measured:
            return drain_per_s
        left_per_s = drain_per_s - self._mix.on_time_per_s(now_s)
        return max(left_per_s, _MIN_LATE_RATIO * drain_per_s)

    def _is_over_share(self, organisation: str) -> bool:
        """Whether one more request of an organisation exceeds its share.

        One request is within any share, however many organisations there are.
        """
        in_use = self.usage.in_use(organisation)
        share = self._shares.get(organisation)
        return share is not None and in_use + 1 > max(1.0, share)

    def _standing(self, applicant: Applicant) -> Standing:
        is_over_share = self._is_over_share(applicant.organisation)
        if applicant.on_time_s >= 0.0:
            return Standing.OVER_SHARE if is_over_share else Standing.WITHIN_SHARE
        if not is_over_share and applicant.overdue_ratio >= _MAX_OVERDUE_RATIO:
            return Standing.OVER_SHARE
        return Standing.LATE

    def _room(self, applicant: Applicant, standing: Standing, now_s: float) -> int:
        key = (applicant.organisation, applicant.priority, standing)
        room = self._rooms.get(key)
        if room is None:
            room = self._rooms[key] = self._compute_room(applicant, standing, now_s)
        return room

    def _compute_room(
        self, applicant: Applicant, standing: Standing, now_s: float
    ) -> int:
        if len(self._shares) < 2:
            return 0
        others_within = sum(self._reported_within.values())
        others_within -= self._reported_within.get(applicant.organisation, 0)
        before_per_s = self._mix.per_s_before(
            applicant.organisation,
            applicant.priority,
            standing,
            ReportedWaiting(self.usage.reports.on_time, others_within),
            now_s,
        )
        return room_for(before_per_s, self._drain_per_s, self._slots, standing)

    def _contenders(self, organisation: str, waiting: Counter[str]) -> int:
        """Requests among those waiting that aren't behind the ones of an organisation.

        A slot goes to the organisation that has the least, so a flood is served after
        the few requests of the others.
        """
        usage = self.usage
        own_demand = usage.in_use(organisation) + waiting.get(organisation, 0) + 1
        others = sum(
            min(count, max(0, own_demand - usage.in_use(name)))
            for name, count in waiting.items()
            if name != organisation
        )
        return others + waiting.get(organisation, 0)

    def _requests_ahead(
        self, applicant: Applicant, *, on_time_only: bool = False
    ) -> float:
        """Expected place of a request, late and less urgent ones after it."""
        usage = self.usage
        waiting = usage.waiting_on_time if on_time_only else usage.all_waiting
        ratio = usage.urgent_ratio(applicant.priority)
        return ratio * self._contenders(applicant.organisation, waiting) + 1.0

    def _fair_drain_per_s(
        self, organisation: str, standing: Standing, now_s: float
    ) -> float:
        """Slots per second that become free for the requests of an organisation."""
        drain_per_s = self._drain_per_s
        if standing is Standing.WITHIN_SHARE:
            return drain_per_s
        others_per_s = self._mix.within_share_per_s(organisation, now_s)
        least_per_s = drain_per_s / max(1, len(self._shares))
        return max(least_per_s, drain_per_s - others_per_s)
