"""Placement rules: the default rule and the baselines on the same loads."""

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
from tests.placement.test_choice import LONG, PROFILE, SHORT, VERY_LONG, Fleet


def _place(rule, demand: Demand, fleet: Fleet):
    rng = random.Random(5)
    return place(rule, demand, fleet.candidates(), PROFILE, 0.0, rng)


@pytest.mark.parametrize("name", PlacementRuleName)
class TestEveryRule:
    def test_places_short_and_long_prompts(self, name):
        for demand in (SHORT, LONG, VERY_LONG):
            placement = _place(make_placement_rule(name), demand, Fleet(8))
            engines = 1 + len(placement.helpers)
            kv_tokens_per_engine = (
                placement.reserved_kv_tokens_per_engine or PROFILE.kv_capacity_tokens
            )
            assert kv_tokens_per_engine * engines >= demand.kv_tokens
            assert len({
                placement.decode_engine.id,
                *(s.id for s in placement.helpers),
            }) == (engines)

    def test_kv_cache_is_never_overcommitted(self, name):
        fleet = Fleet(1)
        fleet.add(0, Demand(230_000, 500, 2.5, 1.0, 20.0), in_decode=True)
        assert _place(make_placement_rule(name), SHORT, fleet) is None

    def test_without_engines_returns_none(self, name):
        assert _place(make_placement_rule(name), SHORT, Fleet(0)) is None


def test_without_gangs_a_prompt_takes_the_fewest_engines_that_hold_it():
    rule = make_placement_rule(PlacementRuleName.NO_GANGS)
    assert _place(rule, LONG, Fleet(8)).helpers == ()
    # Two engines would hold it only if placement filled their KV caches completely.
    assert len(_place(rule, VERY_LONG, Fleet(8)).helpers) == 2


def test_least_outstanding_ignores_prompt_lengths():
    """It queues a short prompt behind a long one on the engine with fewer requests."""
    fleet = Fleet(2)
    fleet.add(0, LONG)
    fleet.add(1, SHORT, in_decode=True)
    fleet.add(1, SHORT, in_decode=True)
    assert _place(LeastOutstanding(), SHORT, fleet).decode_engine.id == "engine-0"
    assert _place(ExpectedValue(), SHORT, fleet).decode_engine.id == "engine-1"


def test_round_robin_continues_from_its_position():
    rule = RoundRobin()
    chosen = [_place(rule, SHORT, Fleet(3)).decode_engine.id for _ in range(4)]
    assert chosen == ["engine-1", "engine-2", "engine-0", "engine-1"]


def test_only_expected_value_waits_by_choice():
    fleet = Fleet(1)
    fleet.add(0, LONG, prefill_s=1.5)
    placement = _place(ExpectedValue(), SHORT, fleet)
    assert should_wait(ExpectedValue(), SHORT, placement, 5.0)
    assert not should_wait(LeastOutstanding(), SHORT, placement, 5.0)
