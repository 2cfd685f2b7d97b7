"""Entries that choose engines before they receive each other's commitments."""

from collections import Counter

from gentianhoist.dispatch import DispatchPolicy, DispatchState
from gentianhoist.fleet import BackendServer
from gentianhoist.placement import Candidate, Demand, choose_engines
from tests.dispatch.fakes import PROFILE

SHORT_PROMPT = Demand(5_000, 1_300, 0.3, 0.25, 1.5)


def _choices(entries: int, engines: int) -> Counter[str]:
    """Count the decode engines that entries choose at once, on empty ledgers."""
    servers = [
        BackendServer(f"engine-{i}", "g", "10.0.0.1", 8000 + i, "z", 8)
        for i in range(engines)
    ]
    chosen: Counter[str] = Counter()
    for entry in range(entries):
        state = DispatchState(DispatchPolicy(), seed=entry)
        state.set_heard_entries(entries, entries)
        candidates = [
            Candidate(
                item,
                state.ledger.load(item.id),
                preference_cost=state.preference_cost(item.id),
            )
            for item in servers
        ]
        placement = choose_engines(SHORT_PROMPT, candidates, PROFILE, 0.0)
        assert placement is not None
        chosen[placement.decode_engine.id] += 1
    return chosen


class TestManyEntriesAtOnce:
    def test_twenty_seven_entries_spread(self):
        assert max(_choices(27, 78).values()) <= 4

    def test_few_entries_concentrate_on_some_engines(self):
        """Guards that other engines stay free of streams for long prompts."""
        assert len(_choices(4, 78)) <= 4
