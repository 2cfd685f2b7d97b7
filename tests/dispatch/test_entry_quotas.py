"""Global limits that entries keep by their shares, without coordination."""

import pytest

from gentianhoist.dispatch import DispatchPolicy, DispatchState
from gentianhoist.fleet import BackendServer, ServerGroup

COLD_REQUESTS_PER_S = 36.0
MAX_RETRY_BUDGET_CAPACITY = 100.0
GROUP = ServerGroup("g", 400, 3.0, COLD_REQUESTS_PER_S)


def _entry_states(count: int) -> list[DispatchState]:
    policy = DispatchPolicy(retry_budget_capacity=0.8 * MAX_RETRY_BUDGET_CAPACITY)
    hosts = [f"10.0.0.{number}" for number in range(count)]
    states = [
        DispatchState(policy, seed=number, host=host)
        for number, host in enumerate(hosts)
    ]
    for state, host in zip(states, hosts, strict=True):
        state.set_entry_count(count)
        others = set(hosts) - {host}
        state.slow_starts.set_entries(others, state.assumed_entries, -10.0)
    return states


@pytest.mark.parametrize("count", [1, 4, 7, 27, 100])
class TestManyEntries:
    def test_send_a_cold_server_little_more_than_its_limit(self, count):
        """Each entry sends as early as it may, without hearing of the others."""
        server = BackendServer("s", "g", "h", 1, "z", 8, cold_until_s=100.0)
        sent = []
        states = _entry_states(count)
        for step in range(400):
            now_s = step / 100
            for state in states:
                if state.is_within_cold_limit(server, GROUP, now_s):
                    state.record_sent(server, now_s)
                    state.record_finished(server)
                    sent.append(now_s)
        busiest = max(sum(at <= other < at + 1.0 for other in sent) for at in sent)
        assert busiest <= 1.5 * COLD_REQUESTS_PER_S + 5

    def test_retry_no_more_than_the_capacity_without_traffic(self, count):
        retries = 0
        for state in _entry_states(count):
            while state.retry_quota("g").try_withdraw():
                retries += 1
        assert retries <= MAX_RETRY_BUDGET_CAPACITY

    def test_open_no_more_connections_than_a_server_accepts(self, count):
        server = BackendServer("s", "g", "h", 1, "z", 8)
        limits = [item.pool(server, GROUP)._limits for item in _entry_states(count)]
        assert sum(item.max_connections for item in limits) <= GROUP.max_connections


class TestANewEntry:
    def test_shrinks_the_shares_of_others_at_once(self):
        (state,) = _entry_states(1)
        budget = state.retry_quota("g")
        state.set_entry_count(40)
        assert sum(budget.try_withdraw() for _ in range(100)) <= 2
