"""Which engines entries choose that start together and don't hear each other yet."""

import collections

from gentianhoist.dispatch import DispatchPolicy, DispatchState
from gentianhoist.dispatch._engine_candidates import shortlisted_candidates
from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.placement import ONE_ENGINE, Commitment, choose_engines
from gentianhoist.serverhealth import Evidence, Report
from tests.placement.test_choice import PROFILE, SHORT

ENTRIES = 68
ENGINES = 195
SERVERS = [BackendServer(f"s{i}", "g", "10.0.0.1", i, "z", 5) for i in range(ENGINES)]
GROUP = ServerGroup("g", 400, 0.0, 0.0, PROFILE)
BUSY = Commitment("", "", False, 0.0, 1.0, 5_000, 0.25, 1.5, 9.0, 9.0)


def _choose(state: DispatchState) -> str:
    engines = shortlisted_candidates(state, GROUP, SERVERS, 0.0, ONE_ENGINE)
    placement = choose_engines(
        SHORT, engines.candidates, PROFILE, 0.0, fleet_load=engines.fleet_load
    )
    return placement.decode_engine.id


def test_all_entries_after_a_loss_of_power_choose_different_engines():
    """Callers wait for all entries to start, so all of them choose at one moment.

    With one order for all, the first engines get dozens of requests and refuse them.
    """
    states = [DispatchState(DispatchPolicy(), seed=seed) for seed in range(ENTRIES)]
    chosen = collections.Counter(_choose(state) for state in states)
    assert max(chosen.values()) <= PROFILE.slots


def test_entries_that_hear_each_other_prefer_the_same_engines():
    """In a small fleet, streams concentrate, so that engines stay free."""
    states = [DispatchState(DispatchPolicy(), seed=seed) for seed in range(4)]
    for state in states:
        state.set_heard_entries(4, 4)
    chosen = {_choose(state) for state in states for _ in range(20)}
    first = sorted(SERVERS, key=lambda item: states[0].engine_order(item.id))
    assert chosen <= {item.id for item in first[: ENGINES // 2]}


def test_entry_that_is_cut_off_chooses_at_random():
    state = DispatchState(DispatchPolicy(), seed=1)
    state.set_heard_entries(1, ENTRIES)
    assert len({_choose(state) for _ in range(40)}) > 20


def test_cold_engines_are_used_while_the_others_are_busy():
    """Many engines come back at once after a failure, cold and without any work."""
    group = ServerGroup("g", 400, 3.0, 100.0, PROFILE)
    state = DispatchState(DispatchPolicy(), seed=1)
    cold = {item.id for item in SERVERS[:60]}
    servers = [
        item._replace(cold_until_s=10.0) if item.id in cold else item
        for item in SERVERS
    ]
    for server in servers[60:]:
        for number in range(3):
            id_ = f"{server.id}.{number}"
            busy = Commitment(
                id_, server.id, False, 0.0, 1.0, 5_000, 0.25, 1.5, 9.0, 9.0
            )
            state.ledger.add(busy, 0.0)
            state.ledger.record_first_event(id_, 0.0)
    engines = shortlisted_candidates(state, group, servers, 0.0, ONE_ENGINE)
    assert cold & {item.server.id for item in engines.candidates}


def test_engines_that_other_entries_measured_as_slow_are_avoided():
    """A fifth of the engines is 6 times slower, and this entry hasn't used them yet."""
    states = [DispatchState(DispatchPolicy(), seed=seed) for seed in range(10)]
    slow = {item.id for item in SERVERS[: ENGINES // 5]}
    for state in states:
        for server in SERVERS[: ENGINES // 5]:
            for host in ("10.0.0.2", "10.0.0.3"):
                report = Report(host, "r", 1, Evidence(2.0, 0.0, 6.0, 0.0))
                state.server_health.receive(server.incarnation, report, 0.0)
    chosen = {_choose(state) for state in states for _ in range(5)}
    assert not chosen & slow
