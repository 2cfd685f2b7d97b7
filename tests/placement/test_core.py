"""Rules of placement: ours beside the baselines, on the same loads."""

import random

import pytest

from gentianhoist.placement import (
    Demand,
    ExpectedValue,
    LeastOutstanding,
    PlacementRuleName,
    RoundRobin,
    make_placement_rule,
    place,
    should_wait,
)
from tests.placement.test_engine_choice import HUGE, LONG, PROFILE, SHORT, Fleet


def _place(rule, demand: Demand, fleet: Fleet):
    rng = random.Random(5)
    return place(rule, demand, fleet.candidates(), PROFILE, 0.0, rng)


@pytest.mark.parametrize("name", PlacementRuleName)
class TestEveryRule:
    def test_places_short_and_long(self, name):
        for demand in (SHORT, LONG, HUGE):
            placement = _place(make_placement_rule(name), demand, Fleet(8))
            engines = 1 + len(placement.helpers)
            room = placement.helper_kv_tokens or PROFILE.kv_capacity_tokens
            assert room * engines >= demand.kv_tokens
            assert len({placement.first.id, *(s.id for s in placement.helpers)}) == (
                engines
            )

    def test_never_commits_more_memory_than_there_is(self, name):
        fleet = Fleet(1)
        fleet.add(0, Demand(230_000, 500, 2.5, 1.0, 20.0), writing=True)
        assert _place(make_placement_rule(name), SHORT, fleet) is None

    def test_no_engines_no_placement(self, name):
        assert _place(make_placement_rule(name), SHORT, Fleet(0)) is None


def test_without_gangs_a_prompt_takes_as_few_engines_as_hold_it():
    rule = make_placement_rule(PlacementRuleName.NO_GANGS)
    assert _place(rule, LONG, Fleet(8)).helpers == ()
    # Two engines hold it only when they are filled to the last token.
    assert len(_place(rule, HUGE, Fleet(8)).helpers) == 2


def test_least_outstanding_knows_nothing_of_lengths():
    """It puts a short prompt behind a long one where that engine has fewer requests."""
    fleet = Fleet(2)
    fleet.add(0, LONG)
    fleet.add(1, SHORT, writing=True)
    fleet.add(1, SHORT, writing=True)
    assert _place(LeastOutstanding(), SHORT, fleet).first.id == "engine-0"
    assert _place(ExpectedValue(), SHORT, fleet).first.id == "engine-1"


def test_round_robin_goes_on_where_it_was():
    rule = RoundRobin()
    chosen = [_place(rule, SHORT, Fleet(3)).first.id for _ in range(4)]
    assert chosen == ["engine-1", "engine-2", "engine-0", "engine-1"]


def test_only_ours_waits_by_choice():
    fleet = Fleet(1)
    fleet.add(0, LONG, prefill_s=1.5)
    placement = _place(ExpectedValue(), SHORT, fleet)
    assert should_wait(ExpectedValue(), SHORT, placement, 5.0)
    assert not should_wait(LeastOutstanding(), SHORT, placement, 5.0)
