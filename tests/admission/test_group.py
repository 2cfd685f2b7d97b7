"""Standing, free slots that are left to others, and decisions at arrival."""

import random

from gentianhoist.admission import (
    Applicant,
    GroupAdmission,
    OrganisationDemand,
    RefuseNow,
    ServeNow,
    Standing,
    WaitForSlot,
    room_for,
)
from gentianhoist.placement import Commitment

_SLOTS = 20
_NOW_S = 10.0


def _group(in_use: dict[str, int], slots: int = _SLOTS) -> GroupAdmission:
    """Return the admission to a group whose slots were all taken just now."""
    group = GroupAdmission(random.Random(1))
    group.record_arrival(1, _NOW_S)
    group.update(slots, _NOW_S)
    for name, count in in_use.items():
        for number in range(count):
            commitment = Commitment(
                f"{name}{number}",
                "e",
                False,
                0.1,
                0.9,
                1_000,
                0.2,
                1.0,
                _NOW_S + 0.2,
                _NOW_S + 60.0,
                name,
            )
            group.record_placed(commitment, _NOW_S)
    group.update(slots, _NOW_S)
    return group


def _assess(group: GroupAdmission, organisation: str, **options):
    options.setdefault("priority", 1)
    return group.assess(Applicant(organisation, **options), _NOW_S)


def _wait_elsewhere(group: GroupAdmission, waiting: dict[str, int], on_time=()) -> None:
    message = OrganisationDemand(list(waiting.items()), 0, "g", list(on_time))
    group.usage.reports.receive("x", message, _NOW_S)
    group.update(_SLOTS, _NOW_S)


class TestRoom:
    def test_grows_slower_than_the_fleet(self):
        """In a large fleet a margin of a fixed fraction would idle many slots."""
        assert room_for(300.0, 500.0, 270, Standing.LATE) <= 0.02 * 270

    def test_is_one_or_two_slots_in_a_small_fleet(self):
        assert room_for(2.0, 10.0, 12, Standing.OVER_SHARE) == 1
        assert room_for(2.0, 10.0, 12, Standing.LATE) == 2

    def test_is_at_most_a_quarter_of_the_slots(self):
        assert room_for(10_000.0, 0.0, 12, Standing.LATE) == 3
        assert room_for(10_000.0, 0.0, 1, Standing.LATE) == 0

    def test_is_zero_without_arrivals(self):
        """Slots must not stay idle while only late requests exist."""
        assert room_for(0.1, 0.0, 270, Standing.LATE) == 0


class TestStanding:
    def test_over_share_only_where_others_need_the_slots(self):
        group = _group({"flood": 15, "small": 2})
        _wait_elsewhere(group, {"flood": 50, "small": 6})
        assert _assess(group, "flood").standing is Standing.OVER_SHARE
        assert _assess(group, "small").standing is Standing.WITHIN_SHARE

    def test_first_request_is_within_any_share(self):
        """With more organisations than slots each share is less than one slot."""
        group = _group({str(i): 1 for i in range(4)}, slots=4)
        _wait_elsewhere(group, {str(i): 9 for i in range(16)})
        assert _assess(group, "15").standing is Standing.WITHIN_SHARE

    def test_late_request_within_its_share_doesnt_starve(self):
        """A flood of on-time requests would leave it no slot until its deadline."""
        group = _group({"flood": 15, "small": 2})
        late = _assess(group, "small", on_time_s=-0.5, overdue_ratio=0.3)
        assert late.standing is Standing.LATE
        overdue = _assess(group, "small", on_time_s=-1.0, overdue_ratio=0.9)
        assert overdue.standing is Standing.OVER_SHARE


class TestThresholds:
    def test_each_standing_leaves_more_slots(self):
        group = _group({"flood": 14, "small": 3})
        _wait_elsewhere(group, {"flood": 50, "small": 3}, [(1, 3)])
        small, flood = _assess(group, "small"), _assess(group, "flood")
        late = _assess(group, "flood", on_time_s=-1.0)
        assert small.room == 0
        assert 0 < flood.room <= late.room

    def test_one_active_organisation_leaves_nothing(self):
        group = _group({"flood": 19})
        assert _assess(group, "flood", on_time_s=-1.0).room == 0

    def test_less_urgent_requests_hold_nobody_back(self):
        """Requests of a more urgent class would wait for those of a less urgent one."""
        group = _group({"flood": 14, "small": 3})
        _wait_elsewhere(group, {"small": 5}, [(1, 5)])
        assert _assess(group, "flood", priority=0, on_time_s=-1.0).room == 0
        assert _assess(group, "small", priority=2).room > 0


class TestDecision:
    def _decide(self, group: GroupAdmission, organisation: str, slack_s: float):
        applicant = Applicant(organisation, 1, min(slack_s, 0.2), slack_s)
        assessment = group.assess(applicant, _NOW_S)
        return group.decide(applicant, assessment, 4, _NOW_S)

    def test_serves_while_slots_are_free(self):
        assert isinstance(self._decide(_group({"a": 3}), "a", 1.0), ServeNow)

    def test_waits_for_a_slot_that_becomes_free_in_time(self):
        group = _group({"flood": 15, "small": 5})
        decision = self._decide(group, "small", 1.0)
        assert isinstance(decision, WaitForSlot)
        assert 0.0 < decision.expected_s <= 1.0

    def test_refuses_at_once_what_cant_be_served_in_time(self):
        """It would be held until its deadline, and then refused all the same."""
        group = _group({"flood": 15, "small": 5})
        _wait_elsewhere(group, {"flood": 400}, [(1, 400)])
        decision = self._decide(group, "flood", 1.0)
        assert isinstance(decision, RefuseNow)
        assert decision.retry_after_s > 1.0
        assert isinstance(self._decide(group, "small", 1.0), WaitForSlot)

    def test_waits_where_requests_last_long(self):
        """Placements that just filled the slots must not count as a lasting load."""
        group = _group({"a": 2, "b": 2}, slots=4)
        assert isinstance(self._decide(group, "a", 1.0), WaitForSlot)

    def test_urgent_request_isnt_refused_for_less_urgent_ones(self):
        """An organisation may flood one class and send urgent requests in another."""
        group = _group({"flood": 15, "small": 5})
        _wait_elsewhere(group, {"flood": 400}, [(1, 400)])
        urgent = Applicant("flood", 0, 0.2, 1.0)
        assessment = group.assess(urgent, _NOW_S)
        decision = group.decide(urgent, assessment, 4, _NOW_S)
        assert isinstance(decision, WaitForSlot)
        assert decision.expected_s < 0.1

    def test_late_request_within_its_share_is_kept(self):
        """It was refused for the late requests of a flood that wait before it."""
        group = _group({"flood": 15, "small": 5})
        _wait_elsewhere(group, {"flood": 400, "small": 2}, [(1, 10)])
        late = {"priority": 1, "on_time_s": -0.1, "overdue_ratio": 0.1}
        flood = Applicant("flood", slack_s=2.0, **late)
        assert not group.expects_turn(flood, _NOW_S)
        small = Applicant("small", slack_s=2.0, **late)
        assert group.expects_turn(small, _NOW_S)
        assert not group.expects_turn(small._replace(slack_s=0.01), _NOW_S)
