"""Choice among the engines of a large fleet, of which only some are weighed."""

import random

import pytest

from gentianhoist.placement import (
    GANG,
    ONE_ENGINE,
    UNAVAILABLE,
    Candidate,
    Demand,
    ShortlistPolicy,
    choose_engines,
    make_shortlist,
)
from tests.placement.test_choice import LONG, PROFILE, SHORT, VERY_LONG, Fleet

ENGINES = 195


def _loaded_fleet(rng: random.Random, streams: int) -> Fleet:
    """A fleet as after a while of short and long prompts."""
    fleet = Fleet(ENGINES)
    for _ in range(streams):
        in_decode = rng.random() < 0.8
        fleet.add(rng.randrange(ENGINES), SHORT, in_decode=in_decode)
    for _ in range(streams // 20):
        for engine in rng.sample(range(ENGINES), 4):
            fleet.add(engine, LONG, prefill_s=0.4, is_helper=True)
    return fleet


def _shortlist(fleet: Fleet, policy: ShortlistPolicy, extra_requests=None):
    return make_shortlist(
        fleet.servers,
        fleet.ledger,
        0.0,
        rank_idle=lambda server: server.port,
        extra_requests=extra_requests,
        policy=policy,
    )


@pytest.mark.parametrize(
    ("demand", "policy"),
    [
        (SHORT, ONE_ENGINE),
        (LONG, GANG),
        (VERY_LONG, GANG),
    ],
)
@pytest.mark.parametrize("streams", [20, 200, 500, 900])
def test_shortlist_loses_hardly_any_value(
    demand: Demand, policy: ShortlistPolicy, streams: int
):
    """A choice among all engines, over recorded loads, is the best there is."""
    lost = 0.0
    for seed in range(12):
        fleet = _loaded_fleet(random.Random(seed), streams)
        full = choose_engines(demand, fleet.candidates(), PROFILE, 0.0)
        shortlist = _shortlist(fleet, policy)
        candidates = [
            Candidate(server, fleet.ledger.load(server.id))
            for server in shortlist.servers
        ]
        placement = choose_engines(
            demand, candidates, PROFILE, 0.0, fleet_load=shortlist.fleet_load
        )
        assert placement is not None
        lost += max(0.0, placement.loss - full.loss)
    assert lost / 12 <= 0.01 * demand.value


def test_number_of_weighed_engines_does_not_grow_with_the_fleet():
    for engines in (100, 500):
        fleet = Fleet(engines)
        assert len(_shortlist(fleet, ONE_ENGINE).servers) == ONE_ENGINE.size


def test_load_of_the_fleet_counts_engines_off_the_list():
    """The price of prefill depends on how many engines are idle, not on the list."""
    fleet = Fleet(ENGINES)
    for engine in range(100):
        fleet.add(engine, SHORT, in_decode=True)
    load = _shortlist(fleet, ONE_ENGINE).fleet_load
    assert load.requests == 100
    assert load.idle_engines == ENGINES


def test_engines_that_take_no_request_now_are_weighed_last():
    """Those that have reached a limit fill the list only if they must."""
    fleet = Fleet(100)
    full = set(fleet.servers[:40])
    shortlist = _shortlist(
        fleet, ONE_ENGINE, lambda server: UNAVAILABLE if server in full else 0.0
    )
    assert set(fleet.servers[40:]) <= set(shortlist.servers)
    assert len(shortlist.servers) == ONE_ENGINE.size


def test_engine_that_failed_is_weighed_before_busy_ones():
    fleet = Fleet(100)
    for engine in range(1, 100):
        for _ in range(5):
            fleet.add(engine, SHORT, in_decode=True)
    failed = fleet.servers[0]
    shortlist = _shortlist(
        fleet, ONE_ENGINE, lambda server: 3.0 if server is failed else 0.0
    )
    assert failed in shortlist.servers
