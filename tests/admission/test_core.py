"""Admission of several entries under the loads that it is for.

Each test names its load. The entries, their queues and ledgers are the real ones; the
engines are slots that are in use for some time, and messages take some milliseconds.
"""

import pytest

from tests.admission.fleet import SERVICE_S, Caller, EntryFleet, Results

_ENTRIES, _ENGINES, _SLOTS = 6, 12, 6
_CAPACITY_PER_S = _ENGINES * _SLOTS / SERVICE_S
# Five small callers and a flood that usually sends as much as one of them, at 0.09 of
# the capacity each.
_USUAL_PER_S = 0.09 * _CAPACITY_PER_S
_UNTIL_S = 4.0


def _fleet(**options) -> EntryFleet:
    return EntryFleet(_ENTRIES, _ENGINES, _SLOTS, **options)


def _small_callers() -> list[Caller]:
    return [Caller(f"small-{i}", _USUAL_PER_S) for i in range(5)]


def _total(results: dict[str, Results], prefix: str) -> Results:
    total = Results()
    for name, result in results.items():
        if name.startswith(prefix):
            total.ttft_s += result.ttft_s
            total.refused += result.refused
    return total


class TestOneOrganisationFloods:
    @pytest.mark.parametrize("times", [5, 15, 25])
    async def test_callers_within_their_share_are_on_time(self, times):
        """An organisation at 5, 15 and 25 times its usual load delayed all others."""
        flood = Caller("flood", times * _USUAL_PER_S)
        results = await _fleet().run([flood, *_small_callers()], _UNTIL_S)
        assert _total(results, "small").on_time_ratio >= 0.9

    @pytest.mark.parametrize("times", [15, 25])
    async def test_fault_is_there_without_the_shared_use(self, times):
        """Shows that entries which know only themselves don't take this load."""
        flood = Caller("flood", times * _USUAL_PER_S)
        fleet = _fleet(is_shared=False)
        results = await fleet.run([flood, *_small_callers()], _UNTIL_S)
        assert _total(results, "small").on_time_ratio < 0.7

    async def test_flood_gets_what_others_leave(self):
        """A flood must neither starve nor leave slots idle that nobody else needs."""
        fleet = _fleet()
        flood = Caller("flood", 15 * _USUAL_PER_S)
        results = await fleet.run([flood, *_small_callers()], _UNTIL_S)
        mean_in_use = sum(fleet.in_use[200:]) / len(fleet.in_use[200:])
        assert mean_in_use >= 0.9 * fleet.view.total_slots
        assert len(results["flood"].ttft_s) >= 0.3 * _CAPACITY_PER_S * _UNTIL_S

    async def test_small_fleet(self):
        """With 6 slots, a margin of a few slots would be most of the fleet."""
        capacity_per_s = 6 / SERVICE_S
        callers = [
            Caller("flood", 3 * capacity_per_s),
            Caller("small", 0.1 * capacity_per_s),
        ]
        fleet = EntryFleet(2, 2, 3)
        results = await fleet.run(callers, 15.0)
        assert results["small"].on_time_ratio >= 0.9
        assert sum(fleet.in_use[200:]) / len(fleet.in_use[200:]) >= 0.75 * 6


class TestManyEntries:
    async def test_entries_dont_take_the_same_slot(self):
        """Thirty entries hear at once of a free slot, and took it all together."""
        fleet = EntryFleet(30, 15, 6)
        capacity_per_s = 15 * 6 / SERVICE_S
        callers = [Caller("flood", 2.5 * capacity_per_s)]
        callers += [Caller(f"small-{i}", 0.09 * capacity_per_s) for i in range(5)]
        results = await fleet.run(callers, 2.5)
        assert _total(results, "small").on_time_ratio >= 0.9
        mean_in_use = sum(fleet.in_use[200:]) / len(fleet.in_use[200:])
        assert mean_in_use >= 0.85 * fleet.view.total_slots


class TestWorkConserving:
    async def test_lone_flooder_uses_an_idle_fleet(self):
        """A margin for organisations that don't call would leave slots idle."""
        fleet = _fleet()
        await fleet.run([Caller("flood", 2 * _CAPACITY_PER_S)], _UNTIL_S)
        mean_in_use = sum(fleet.in_use[200:]) / len(fleet.in_use[200:])
        assert mean_in_use >= 0.98 * fleet.view.total_slots

    async def test_nobody_is_refused_while_there_is_capacity(self):
        flood = Caller("flood", 4 * _USUAL_PER_S)
        results = await _fleet().run([flood, *_small_callers()], _UNTIL_S)
        assert _total(results, "").refused == 0
        assert _total(results, "").on_time_ratio >= 0.95


class TestBurst:
    async def test_all_organisations_in_a_burst_of_short_prompts(self):
        """At twice the capacity half of the responses can be on time, not none."""
        callers = [Caller(f"all-{i}", _CAPACITY_PER_S / 3) for i in range(6)]
        results = await _fleet().run(callers, _UNTIL_S)
        assert _total(results, "all").on_time_ratio >= 0.4
        served = sorted(len(result.ttft_s) for result in results.values())
        assert served[0] >= 0.7 * served[-1]


class TestRetries:
    async def test_callers_that_retry_at_once_gain_nothing(self):
        """Ignoring Retry-After must not displace callers that follow it."""
        callers = [
            Caller("flood", 2 * _CAPACITY_PER_S, retries="at_once"),
            Caller("patient", _USUAL_PER_S, retries="as_told"),
            Caller("usual", _USUAL_PER_S),
        ]
        results = await _fleet().run(callers, 2.0)
        assert results["patient"].on_time_ratio >= 0.9
        assert results["usual"].on_time_ratio >= 0.9

    async def test_returning_callers_are_not_starved(self):
        """Callers of an overloaded organisation that return as told get a turn."""
        callers = [
            Caller(f"all-{i}", 0.3 * _CAPACITY_PER_S, retries="as_told")
            for i in range(4)
        ]
        results = await _fleet().run(callers, 6.0)
        for result in results.values():
            assert result.refused
            assert len(result.ttft_s) >= 0.15 * _CAPACITY_PER_S * 6.0

    async def test_retries_are_spread(self):
        """Callers that are refused together must not come back together."""
        flood = Caller("flood", 25 * _USUAL_PER_S)
        results = await _fleet().run([flood, *_small_callers()], 2.0)
        retries_s = sorted(results["flood"].retry_after_s)
        middle = retries_s[len(retries_s) // 4 : 3 * len(retries_s) // 4]
        assert middle[-1] >= 2.0 * middle[0]
        assert all(0.2 <= retry_s <= 12.0 for retry_s in retries_s)


class TestPriority:
    async def test_urgent_requests_dont_wait_behind_less_urgent_ones(self):
        callers = [
            Caller("flood", 3 * _CAPACITY_PER_S),
            Caller("other", _USUAL_PER_S),
            Caller("urgent", 2 * _USUAL_PER_S, priority=0),
        ]
        results = await _fleet().run(callers, _UNTIL_S)
        assert results["urgent"].on_time_ratio >= 0.95

    async def test_urgent_requests_of_the_flood_itself(self):
        """Less urgent requests of the same organisation must not hold them back."""
        callers = [
            Caller("flood", 3 * _CAPACITY_PER_S),
            Caller("other", _USUAL_PER_S),
            Caller("flood", _USUAL_PER_S, priority=0, name="urgent"),
        ]
        results = await _fleet().run(callers, _UNTIL_S)
        assert results["urgent"].on_time_ratio >= 0.9
