"""Engine choice on given loads, as pure computation without network.

Each test class is named after the load pattern that it covers.
"""

from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.placement import (
    Candidate,
    Commitment,
    CommitmentLedger,
    Demand,
    choose_engines,
    is_worth_waiting,
)

PROFILE = EngineProfile(
    slots=8,
    kv_capacity_tokens=232_000,
    prefill_tokens_per_s=206_000.0,
    attention_pair_s=138e-12,
    decode_step_s=1.02e-3,
    decode_step_per_stream_s=4.52e-6,
    decode_step_per_context_token_s=4.31e-9,
    steps_per_event=43,
    chunk_tokens=2048,
    split_kv_step_s=75e-6,
)
SHORT = Demand(5_000, 1_300, 0.3, 0.25, 1.5)
LONG = Demand(133_000, 700, 2.5, 1.0, 14.0)
VERY_LONG = Demand(450_000, 700, 2.5, 1.0, 46.0)


class Fleet:
    """Engines and their commitments."""

    def __init__(self, engines: int) -> None:
        self.ledger = CommitmentLedger()
        self.servers = [
            BackendServer(f"engine-{i}", "g", "10.0.0.1", 8000 + i, "z", 8)
            for i in range(engines)
        ]
        self._ids = 0

    def add(
        self,
        engine: int,
        demand: Demand,
        *,
        prefill_s: float | None = None,
        is_helper: bool = False,
        in_decode: bool = False,
        now_s: float = 0.0,
    ) -> None:
        self._ids += 1
        id_ = f"c{self._ids}"
        self.ledger.add(
            Commitment(
                id_,
                self.servers[engine].id,
                is_helper,
                PROFILE.prefill_s(demand.prompt_tokens)
                if prefill_s is None
                else prefill_s,
                1.5,
                0 if is_helper else demand.kv_tokens,
                demand.pause_goal_s,
                demand.value,
                now_s + demand.ttft_budget_s,
                60.0,
            ),
            now_s,
        )
        if in_decode:
            self.ledger.record_first_event(id_, now_s)

    def candidates(self) -> list[Candidate]:
        return [Candidate(item, self.ledger.load(item.id)) for item in self.servers]

    def choose(self, demand: Demand, now_s: float = 0.0):
        return choose_engines(demand, self.candidates(), PROFILE, now_s)


class TestIdleOrFullEngines:
    def test_short_prompt_takes_one_engine(self):
        placement = Fleet(8).choose(SHORT)
        assert placement.helpers == ()
        assert placement.expected_ttft_s < SHORT.ttft_budget_s

    def test_long_prompt_meets_its_ttft_goal(self):
        placement = Fleet(8).choose(LONG)
        assert placement.own_loss == 0.0
        assert placement.expected_ttft_s < LONG.ttft_budget_s

    def test_prompt_larger_than_one_kv_cache_reserves_on_several_engines(self):
        fleet = Fleet(8)
        demand = Demand(600_000, 700, 2.5, 1.0, 61.0)
        placement = fleet.choose(demand)
        engines = 1 + len(placement.helpers)
        assert placement.reserved_kv_tokens_per_engine * engines >= demand.kv_tokens
        assert placement.reserved_kv_tokens_per_engine <= PROFILE.kv_capacity_tokens

    def test_engine_without_free_slot_is_not_chosen(self):
        fleet = Fleet(2)
        for _ in range(8):
            fleet.add(0, SHORT, in_decode=True)
        assert fleet.choose(SHORT).decode_engine.id == "engine-1"
        for _ in range(8):
            fleet.add(1, SHORT, in_decode=True)
        assert fleet.choose(SHORT) is None

    def test_kv_cache_is_never_overcommitted(self):
        fleet = Fleet(2)
        for engine in (0, 1):
            for _ in range(2):
                fleet.add(engine, Demand(80_000, 500, 2.5, 1.0, 9.0), in_decode=True)
        assert fleet.choose(Demand(150_000, 500, 2.5, 1.0, 16.0)) is None
        assert fleet.choose(SHORT) is not None


class TestShortStreamsBesideOneLongPrompt:
    def test_long_prompt_avoids_engines_in_decode(self):
        fleet = Fleet(6)
        for engine in range(4):
            for _ in range(3):
                fleet.add(engine, SHORT, in_decode=True)
        placement = fleet.choose(LONG)
        chosen = {placement.decode_engine.id, *(item.id for item in placement.helpers)}
        assert chosen <= {"engine-4", "engine-5"}

    def test_short_prompt_avoids_engines_in_prefill(self):
        fleet = Fleet(3)
        fleet.add(0, LONG, prefill_s=1.0)
        fleet.add(1, LONG, prefill_s=1.0)
        assert fleet.choose(SHORT).decode_engine.id == "engine-2"

    def test_shares_fit_the_pause_goal_of_streams(self):
        fleet = Fleet(20)
        for engine in range(20):
            fleet.add(engine, SHORT, in_decode=True)
        placement = fleet.choose(Demand(60_000, 700, 1.5, 0.6, 7.0))
        assert placement.share_prefill_s < 0.15


class TestOverlappingGangs:
    def test_prefill_share_counts_as_affected_request(self):
        """A second gang must not delay a prompt in prefill through one of its helpers.

        That happens if only whole prefills, not shares, count as affected requests.
        """
        fleet = Fleet(4)
        for engine in (0, 1):
            fleet.add(engine, LONG, prefill_s=1.2, is_helper=engine > 0)
        placement = fleet.choose(LONG)
        chosen = {placement.decode_engine.id, *(item.id for item in placement.helpers)}
        assert chosen <= {"engine-2", "engine-3"}


class TestLongPromptDuringShortBurst:
    def _burst(self, streams: int) -> Fleet:
        fleet = Fleet(12)
        for engine in range(12):
            for _ in range(streams):
                fleet.add(engine, SHORT, in_decode=True)
        return fleet

    def test_waits_while_engines_are_scarce(self):
        fleet = self._burst(6)
        placement = fleet.choose(VERY_LONG)
        assert is_worth_waiting(VERY_LONG, placement, slack_s=8.0)

    def test_is_placed_when_slack_runs_out(self):
        fleet = self._burst(6)
        placement = fleet.choose(VERY_LONG)
        assert not is_worth_waiting(VERY_LONG, placement, slack_s=0.3)

    def test_does_not_wait_while_engines_are_idle(self):
        fleet = Fleet(12)
        placement = fleet.choose(LONG)
        assert not is_worth_waiting(LONG, placement, slack_s=8.0)


class TestOnlyFreeSlotsBehindLongPrefill:
    def test_short_prompt_waits_for_a_slot_that_meets_its_ttft_goal(self):
        fleet = Fleet(2)
        fleet.add(0, LONG, prefill_s=1.6)
        for _ in range(8):
            fleet.add(1, SHORT, in_decode=True)
        placement = fleet.choose(SHORT)
        assert placement.decode_engine.id == "engine-0"
        assert is_worth_waiting(SHORT, placement, slack_s=8.0)

    def test_late_request_takes_the_earliest_engine(self):
        fleet = Fleet(2)
        fleet.add(0, LONG, prefill_s=1.6)
        fleet.add(1, LONG, prefill_s=0.4)
        late = SHORT._replace(ttft_budget_s=-0.1)
        assert fleet.choose(late).decode_engine.id == "engine-1"
