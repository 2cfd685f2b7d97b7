"""Max-min shares of the slots, and their bound whatever is lost or repeated."""

import random

import pytest
from hypothesis import given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gentianhoist.admission import GroupAdmission, OrganisationDemand, max_min_shares
from gentianhoist.placement import Commitment

_TOLERANCE = 1e-6
_NAMES = strategies.sampled_from(["a", "b", "c", "d", ""])


@given(
    strategies.dictionaries(
        strategies.text(max_size=3), strategies.floats(0.0, 1e5), max_size=12
    ),
    strategies.integers(0, 2000),
)
def test_shares_use_all_slots_that_are_needed_and_no_more(demands, slots):
    """Guards against slots that are given out twice, or left idle under demand."""
    shares = max_min_shares(demands, slots)
    assert sum(shares.values()) <= slots + _TOLERANCE
    assert sum(shares.values()) == pytest.approx(
        min(slots, sum(demands.values())), abs=1e-3
    )
    assert all(shares[name] <= demands[name] for name in demands)


@given(strategies.dictionaries(_NAMES, strategies.integers(1, 50), min_size=2))
def test_nobody_gets_more_while_another_with_less_is_short(demands):
    shares = max_min_shares(demands, 30.0)
    short = [name for name in demands if shares[name] < demands[name] - _TOLERANCE]
    for name in short:
        assert shares[name] >= max(shares.values()) - _TOLERANCE


def test_weights_scale_the_shares():
    shares = max_min_shares({"a": 90, "b": 90}, 30.0, {"a": 2.0})
    assert shares == {"b": pytest.approx(10.0), "a": pytest.approx(20.0)}


def _commitment(id_: str, organisation: str, deadline_s: float) -> Commitment:
    return Commitment(
        id_, "e", False, 0.1, 0.2, 1_000, 0.2, 1.0, deadline_s, 99.0, organisation
    )


class SharesMachine(RuleBasedStateMachine):
    """Commitments and reports are lost, delayed and repeated; entries disappear."""

    def __init__(self) -> None:
        super().__init__()
        self._group = GroupAdmission(random.Random(1))
        self._now_s = 0.0
        self._slots = 8
        self._in_use: list[str] = []
        self._numbers = 0
        self._reports: list[tuple[str, OrganisationDemand]] = []

    @rule(organisation=_NAMES, ttft_s=strategies.floats(-1.0, 1.0))
    def place(self, organisation, ttft_s):
        self._numbers += 1
        commitment = _commitment(str(self._numbers), organisation, self._now_s + ttft_s)
        self._group.record_placed(commitment, self._now_s)
        self._in_use.append(organisation)

    @rule(position=strategies.integers(0, 100))
    def end(self, position):
        if self._in_use:
            organisation = self._in_use.pop(position % len(self._in_use))
            self._group.usage.remove(organisation)

    @rule(
        sender=strategies.sampled_from(["x", "y", "z"]),
        waiting=strategies.dictionaries(_NAMES, strategies.integers(1, 400)),
        age_ms=strategies.integers(0, 1500),
    )
    def report(self, sender, waiting, age_ms):
        message = OrganisationDemand(list(waiting.items()), age_ms, "g", [(1, 3)])
        self._reports.append((sender, message))
        self._group.usage.reports.receive(sender, message, self._now_s)

    @rule(position=strategies.integers(0, 100))
    def repeat_report(self, position):
        if self._reports:
            sender, message = self._reports[position % len(self._reports)]
            self._group.usage.reports.receive(sender, message, self._now_s)

    @rule(sender=strategies.sampled_from(["x", "y", "z"]))
    def lose_entry(self, sender):
        self._group.usage.reports.forget(sender)

    @rule(slots=strategies.integers(0, 40))
    def change_slots(self, slots):
        self._slots = slots

    @rule(seconds=strategies.floats(0.0, 2.0))
    def pass_time(self, seconds):
        self._now_s += seconds

    @invariant()
    def shares_never_exceed_the_slots(self):
        self._group.update(self._slots, self._now_s)
        assert sum(self._group.shares.values()) <= self._slots + _TOLERANCE

    @invariant()
    def counts_match_what_is_in_use(self):
        usage = self._group.usage
        assert usage.total_in_use == len(self._in_use)
        for name in {"a", "b", "c", "d", ""}:
            assert usage.in_use(name) == self._in_use.count(name)

    @invariant()
    def reports_are_bounded_and_never_negative(self):
        reports = self._group.usage.reports
        assert all(count > 0 for count in reports.waiting.values())
        assert reports.waiting.total() <= 3 * 5 * 400


TestShares = SharesMachine.TestCase
TestShares.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
