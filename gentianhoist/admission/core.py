"""Admission control by organisation over the slots of the whole fleet.

Every entry knows the commitments of all entries, and what waits at them. From these it
derives the shares of the organisations, and how many free slots a request leaves to
others. No message is needed for a decision.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple, Protocol

from gentianhoist.admission._decisions import (
    AdmissionDecision,
    Applicant,
    Assessment,
)
from gentianhoist.admission._group import GroupAdmission
from gentianhoist.admission._messages import MAX_REPORTED, OrganisationDemand
from gentianhoist.placement import Commitment, QueuedRequest

__all__ = ["AdmissionMode", "FleetAdmission", "FleetView", "GroupSlots", "applicant_of"]

_UPDATE_INTERVAL_S = 0.02
# An update takes some microseconds for each active organisation.
_UPDATE_INTERVAL_PER_ORGANISATION_S = 0.0005
# Engines come and go more slowly, and are counted one by one.
_SLOTS_INTERVAL_S = 0.1
# Part of the known entries that have to be heard from, so that the use is known.
_MIN_HEARD_RATIO = 0.75
_MAX_REPORTED_PRIORITIES = 16
# Late requests are told apart by the tenth of their remaining time that has passed.
_OVERDUE_KINDS = 10


class AdmissionMode(StrEnum):
    """Whether admission is by the use of the whole fleet, and if not, why."""

    FLEET = "fleet"
    ONE_ORGANISATION = "one_organisation"
    FEW_ENTRIES_HEARD = "few_entries_heard"


class GroupSlots(NamedTuple):
    """Slots of the engines of a server group that may get requests.

    Attributes:
        total: Slots in use there, and free ones that may be used now.
        in_use: Slots in use there.
    """

    total: int
    in_use: int


class FleetView(Protocol):
    """What an entry knows of the engines and the configuration."""

    @property
    def has_several_organisations(self) -> bool:
        """Whether API keys of more than one organisation are configured."""
        ...

    def has_group(self, group: str) -> bool:
        """Whether a server group of model engines is configured."""
        ...

    def group_of(self, server_id: str) -> str:
        """Server group of an engine; empty if it isn't known."""
        ...

    def slots(self, group: str, now_s: float) -> GroupSlots:
        """Slots of the engines of a server group that may get requests."""
        ...


class _TrackedSlot(NamedTuple):
    group: str
    organisation: str


class FleetAdmission:
    """Admission control of one entry, for all server groups.

    It decides only in `AdmissionMode.FLEET`; its counts are always kept up to date.
    Every `now_s` is the current time on the entry's clock, in seconds.

    Args:
        fleet: What the entry knows of the engines and the configuration.
        rng: Source of randomness.
    """

    def __init__(self, fleet: FleetView, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._groups: dict[str, GroupAdmission] = {}
        self._updated_s: dict[str, float] = {}
        self._counted_s: dict[str, float] = {}
        # Slots by the id of their commitment; helpers take none.
        self._slots: dict[str, _TrackedSlot] = {}
        self._queued: dict[QueuedRequest, None] = {}
        self._reported_groups: set[str] = set()
        self._scanned_s = float("-inf")
        self._held_kinds: set[tuple[str, str, int, int, bool]] = set()
        self._heard_entries = 0
        self._known_entries = 0

    @property
    def mode(self) -> AdmissionMode:
        """Whether it decides, and if not, why."""
        if not self._fleet.has_several_organisations:
            return AdmissionMode.ONE_ORGANISATION
        known = self._known_entries
        if not known or self._heard_entries < _MIN_HEARD_RATIO * known:
            return AdmissionMode.FEW_ENTRIES_HEARD
        return AdmissionMode.FLEET

    @property
    def is_active(self) -> bool:
        """Whether it decides; otherwise the entry goes by its own placements."""
        return self.mode is AdmissionMode.FLEET

    @property
    def groups(self) -> dict[str, GroupAdmission]:
        """Admission to each server group that has been used."""
        return self._groups

    def set_heard_entries(self, heard: int, known: int) -> None:
        """Set how many of the known entries are heard, this one included.

        Args:
            heard: Entries whose messages arrive now.
            known: Entries that are registered or heard, 0 if that isn't known yet.
        """
        self._heard_entries = heard
        self._known_entries = known

    def group(self, name: str, now_s: float) -> GroupAdmission:
        """Return the admission to a server group, brought up to date."""
        group = self._group(name)
        updated_s = self._updated_s.get(name, float("-inf"))
        interval_s = _UPDATE_INTERVAL_PER_ORGANISATION_S * len(group.shares)
        if now_s - updated_s >= max(_UPDATE_INTERVAL_S, interval_s):
            self._updated_s[name] = now_s
            group.usage.set_own_on_time(
                Counter(item.organisation for item in self._on_time(name, now_s))
            )
            group.update(self._slots_of(name, group, now_s), now_s)
        return group

    # Decisions on requests.

    def assess(self, group: str, applicant: Applicant, now_s: float) -> Assessment:
        """Return what the decision on a request is based on."""
        return self.group(group, now_s).assess(applicant, now_s)

    def decide(
        self, group: str, applicant: Applicant, assessment: Assessment, now_s: float
    ) -> AdmissionDecision:
        """Decide on a request that has just arrived."""
        entries = max(1, self._heard_entries)
        return self.group(group, now_s).decide(applicant, assessment, entries, now_s)

    def record_arrival(self, group: str, priority: int, now_s: float) -> None:
        """Count a request of a priority class that arrived at this entry."""
        self._group(group).record_arrival(priority, now_s)

    # Of the placement queue: see `placement.QueueGate`.

    def add(self, request: QueuedRequest) -> None:
        """Count a request that waits from now on."""
        self._queued[request] = None
        self._group(request.group).usage.add_waiting(
            request.organisation, request.priority
        )

    def remove(self, request: QueuedRequest) -> None:
        """Count that a request no longer waits."""
        if request in self._queued:
            del self._queued[request]
            self._group(request.group).usage.remove_waiting(
                request.organisation, request.priority
            )

    def holds(self, request: QueuedRequest, now_s: float) -> bool:
        """Whether a waiting request leaves the free slots to others."""
        if not self.is_active or request.may_have_run:
            return False
        if now_s != self._scanned_s:
            self._scanned_s = now_s
            self._held_kinds.clear()
        # A scan places requests and frees no slot, so once one of a kind is held, so
        # are the others. This keeps a scan of a long queue cheap.
        kind = (
            request.group,
            request.organisation,
            request.priority,
            math.floor(_OVERDUE_KINDS * request.overdue_ratio(now_s)),
            request.is_late(now_s),
        )
        if kind in self._held_kinds:
            return True
        group = self.group(request.group, now_s)
        is_held = group.is_held(applicant_of(request, now_s), now_s)
        if is_held:
            self._held_kinds.add(kind)
        return is_held

    def keeps(self, request: QueuedRequest, now_s: float) -> bool:
        """Whether a late request is expected to get its turn by its share."""
        if not self.is_active:
            return False
        group = self.group(request.group, now_s)
        return group.expects_turn(applicant_of(request, now_s), now_s)

    def over_share(self, now_s: float) -> frozenset[str] | None:
        """Organisations over their share in a server group; None if it isn't known."""
        if not self.is_active:
            return None
        names: frozenset[str] = frozenset()
        for name in self._groups:
            names |= self.group(name, now_s).organisations_over_share
        return names

    def retry_after_s(self, request: QueuedRequest, now_s: float) -> float | None:
        """When the caller of a refused request should retry, None if it isn't known."""
        if not self.is_active:
            return None
        group = self.group(request.group, now_s)
        entries = max(1, self._heard_entries)
        applicant = applicant_of(request, now_s)
        return group.retry_after_s(applicant, entries, now_s)

    # Of the ledger: see `placement.CommitmentListener`.

    def commitment_added(self, commitment: Commitment, now_s: float) -> None:
        """Count the slot of a commitment of any entry."""
        if commitment.is_helper:
            return
        group = self._fleet.group_of(commitment.server_id)
        self._slots[commitment.id] = _TrackedSlot(group, commitment.organisation)
        self._group(group).record_placed(commitment, now_s)

    def commitment_removed(self, commitment: Commitment) -> None:
        """Count that the slot of a commitment is free again."""
        if commitment.is_helper:
            return
        slot = self._slots.pop(commitment.id, None)
        if slot is not None:
            self._group(slot.group).usage.remove(slot.organisation)

    # Of the other entries: see `DemandExchange`.

    def receive(self, sender: str, message: OrganisationDemand, now_s: float) -> None:
        """Take the report of another entry, given by its incarnation."""
        if self._fleet.has_group(message.group):
            self._group(message.group).usage.reports.receive(sender, message, now_s)

    def forget(self, sender: str) -> None:
        """Drop the reports of an entry, given by its incarnation."""
        for group in self._groups.values():
            group.usage.reports.forget(sender)

    def reports(self, now_s: float) -> list[OrganisationDemand]:
        """Report what waits here, once more for a group where nothing waits any more.

        Without the last report, others would leave slots to requests that are gone.
        """
        waiting_groups = {request.group for request in self._queued}
        ended_groups = sorted(self._reported_groups - waiting_groups)
        self._reported_groups = waiting_groups
        ended = [self._report(name, now_s) for name in ended_groups]
        return self.waiting_reports(now_s) + ended

    def waiting_reports(self, now_s: float) -> list[OrganisationDemand]:
        """Report what waits here, for an entry that has just started."""
        groups = sorted({request.group for request in self._queued})
        return [self._report(name, now_s) for name in groups]

    def _report(self, name: str, now_s: float) -> OrganisationDemand:
        waiting = self._group(name).usage.own_waiting
        on_time = Counter(item.priority for item in self._on_time(name, now_s))
        return OrganisationDemand(
            waiting.most_common(MAX_REPORTED),
            0,
            name,
            sorted(on_time.items())[:_MAX_REPORTED_PRIORITIES],
        )

    def _on_time(self, name: str, now_s: float) -> Iterator[QueuedRequest]:
        """Requests that wait here for a server group and can be on time."""
        for request in self._queued:
            if request.group == name and not request.is_late(now_s):
                yield request

    def _slots_of(self, name: str, group: GroupAdmission, now_s: float) -> int:
        """Slots of a server group, counted at longer intervals."""
        if now_s - self._counted_s.get(name, float("-inf")) < _SLOTS_INTERVAL_S:
            return group.slots
        self._counted_s[name] = now_s
        slots = self._fleet.slots(name, now_s)
        # Those on engines that get no more requests are in use until they end.
        elsewhere = max(0, group.usage.total_in_use - slots.in_use)
        return slots.total + elsewhere

    def _group(self, name: str) -> GroupAdmission:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = GroupAdmission(self._rng)
        return group


def applicant_of(request: QueuedRequest, now_s: float) -> Applicant:
    """Return a waiting request as an applicant for a slot."""
    return Applicant(
        request.organisation,
        request.priority,
        request.on_time_until_s - now_s,
        request.latest_start_s - now_s,
        request.overdue_ratio(now_s),
    )
