"""The gate before one engine."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gentianhoist.capacity import (
    AdmissionController,
    AdmissionPolicy,
    Refuse,
    SlowStart,
    SpeedEstimate,
    Start,
    Wait,
    Work,
    WorkClass,
    classify,
)
from gentianhoist.exceptions import ErrorKind

_CAPACITY = 100_000
_SHORT, _LONG = 8_000, 32_000


def _gate(cold: int = 4, most: int = 16) -> AdmissionController:
    return AdmissionController(
        AdmissionPolicy(_CAPACITY, ageing_s=5.0),
        SlowStart(cold, most),
        SpeedEstimate(25_000.0, 0.01),
    )


def _work(
    name: str,
    tokens: int = 1_000,
    now_s: float = 0.0,
    left_s: float = 60.0,
    organisation: str = "club",
    weight: float = 1.0,
) -> Work:
    return Work(
        name,
        organisation,
        weight,
        tokens,
        tokens,
        10,
        classify(tokens, _SHORT, _LONG),
        now_s,
        now_s + left_s,
    )


class GateMachine(RuleBasedStateMachine):
    """Work that comes, runs, ends and is cancelled, on an engine that turns cold."""

    @initialize()
    def begin(self) -> None:
        self.gate = _gate()
        self.now_s = 0.0
        self.works: dict[str, Work] = {}
        self.holds: dict[str, int] = {}
        self.count = 0

    @rule(
        tokens=st.sampled_from([100, 1_000, 20_000, 60_000, 99_000, 200_000]),
        left_s=st.sampled_from([0.001, 1.0, 30.0, 600.0]),
        organisation=st.sampled_from(["club", "crew"]),
    )
    def offer(self, tokens: int, left_s: float, organisation: str) -> None:
        self.count += 1
        work = _work(f"w{self.count}", tokens, self.now_s, left_s, organisation)
        decision = self.gate.offer(work, self.now_s)
        if isinstance(decision, Refuse):
            assert work.request_id not in self.gate.running_ids
            assert work.request_id not in self.gate.waiting_ids
        else:
            self.works[work.request_id] = work
            running = work.request_id in self.gate.running_ids
            assert running == isinstance(decision, Start)

    @rule()
    def start(self) -> None:
        for work in self.gate.startable(self.now_s):
            assert work.request_id in self.gate.running_ids

    @rule(which=st.integers(0, 100), token=st.booleans())
    def progress(self, which: int, token: bool) -> None:
        if not self.works:
            return
        name = sorted(self.works)[which % len(self.works)]
        if token:
            self.gate.first_token(name, self.now_s)
        else:
            self.gate.end(name, self.now_s, 10)
            del self.works[name]

    @rule(tokens=st.sampled_from([10, 50_000]))
    def hold(self, tokens: int) -> None:
        name = f"h{len(self.holds)}"
        if self.gate.hold(name, tokens):
            self.holds[name] = tokens

    @rule()
    def free(self) -> None:
        if self.holds:
            name, _ = self.holds.popitem()
            self.gate.free(name)

    @rule()
    def turn_cold(self) -> None:
        self.gate.turned_cold()
        self.holds.clear()

    @rule(seconds=st.sampled_from([0.01, 1.0, 20.0]))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds

    @invariant()
    def memory_is_conserved(self) -> None:
        if not hasattr(self, "gate"):
            return
        running = sum(self.works[name].kv_tokens for name in self.gate.running_ids)
        assert self.gate.reserved_tokens == running + sum(self.holds.values())
        assert self.gate.kv_free_tokens >= 0

    @invariant()
    def nothing_is_lost(self) -> None:
        if hasattr(self, "gate"):
            known = {*self.gate.running_ids, *self.gate.waiting_ids}
            assert known == set(self.works)

    @invariant()
    def one_long_prefill_at_a_time(self) -> None:
        if hasattr(self, "gate"):
            prefilling = [
                item.work
                for item in self.gate._running.values()
                if item.first_token_s is None and item.work.work_class is WorkClass.LONG
            ]
            assert len(prefilling) <= 1


TestGate = GateMachine.TestCase
TestGate.settings = settings(max_examples=300, stateful_step_count=40)


def test_cold_limit_is_never_passed():
    gate = _gate(cold=2)
    decisions = [gate.offer(_work(f"w{number}"), 0.0) for number in range(10)]
    assert sum(isinstance(decision, Start) for decision in decisions) == 2
    assert len(gate.running_ids) == 2
    assert gate.startable(0.0) == []


def test_limit_grows_with_success_and_falls_when_cold():
    gate = _gate(cold=2, most=8)
    now_s = 0.0
    for number in range(60):
        now_s += 1.0
        for place in range(8):
            gate.offer(_work(f"w{number}-{place}", now_s=now_s), now_s)
        gate.startable(now_s)
        for name in gate.running_ids:
            gate.first_token(name, now_s + 0.1)
            gate.end(name, now_s + 0.2, 10)
    assert gate.slow_start.is_warm
    gate.turned_cold()
    assert gate.slow_start.limit_streams == 2


def test_short_goes_before_long_and_long_ages():
    gate = _gate(cold=1, most=1)
    gate.offer(_work("first"), 0.0)
    assert isinstance(gate.offer(_work("long", 60_000), 0.0), Wait)
    gate.offer(_work("short"), 0.1)
    gate.end("first", 1.0)
    assert [work.request_id for work in gate.startable(1.0)] == ["short"]
    gate.offer(_work("newer", now_s=11.0), 11.0)
    gate.end("short", 11.0)
    # After two ageing periods the long one has the rank of a short one, and its
    # organisation's tag is older.
    assert [work.request_id for work in gate.startable(11.0)] == ["long"]


def test_large_organisation_comes_after_a_small_one_in_the_engine():
    gate = _gate(cold=16)
    for number in range(8):
        large = _work(f"large{number}", organisation="large")
        gate.offer(large, 0.0)
    small = _work("small", organisation="small")
    gate.offer(small, 0.0)
    assert gate.priority(small, 0.0) < gate.priority(large, 0.0)
    long = _work("long", 60_000, organisation="small")
    assert gate.priority(long, 0.0) > gate.priority(large, 0.0)


def test_engine_gets_few_prompts_ahead():
    """What waits in the engine can't be put in a fair order any more."""
    gate = _gate(cold=32, most=64)
    gate.offer(_work("small0", organisation="small"), 0.0)
    for number in range(16):
        gate.offer(_work(f"large{number}", 2_000, organisation="large"), 0.0)
    assert len(gate.running_ids) <= 5
    assert isinstance(gate.offer(_work("small1", organisation="small"), 0.0), Start)
    gate.first_token("large0", 0.1)
    assert len(gate.startable(0.1)) >= 1


def test_organisations_share_by_weight():
    """A large organisation's backlog does not delay a small one's request."""
    gate = _gate(cold=1, most=1)
    gate.offer(_work("running"), 0.0)
    for number in range(20):
        gate.offer(_work(f"large{number}", organisation="large", weight=4.0), 0.0)
    gate.offer(_work("small", organisation="small"), 0.0)
    order = []
    gate.end("running", 0.0)
    while started := gate.startable(0.0):
        order.append(started[0].request_id)
        gate.end(started[0].request_id, 0.0)
    assert order.index("small") <= 4


@pytest.mark.parametrize(
    ("tokens", "left_s", "kind"),
    [
        (200_000, 600.0, ErrorKind.PROMPT_TOO_LONG),
        (60_000, 1.0, ErrorKind.DEADLINE_TOO_SHORT),
    ],
)
def test_what_cannot_be_done_is_refused(tokens, left_s, kind):
    decision = _gate().offer(_work("w", tokens, left_s=left_s), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.kind is kind


def test_overload_is_refused_with_a_time_to_come_back():
    gate = _gate()
    for number in range(40):
        decision = gate.offer(_work(f"w{number}", 20_000, left_s=4.0), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.kind is ErrorKind.OVERLOADED
    assert decision.retry_after_s > 0


def test_waiting_work_that_became_late_is_named():
    gate = _gate(cold=1, most=1)
    gate.offer(_work("running", left_s=60.0), 0.0)
    gate.offer(_work("waiting", left_s=5.0), 0.0)
    assert gate.infeasible_work(1.0) == []
    assert [work.request_id for work in gate.infeasible_work(4.99)] == ["waiting"]


def test_engine_that_turned_cold_unannounced_is_noticed_by_its_times():
    gate = _gate(cold=2, most=2)
    assert gate.slow_start.is_warm
    gate = _gate(cold=2, most=4)
    while not gate.slow_start.is_warm:
        gate.slow_start.record_success(slowness_ratio=1.0, at_limit=True)
    for number in range(4):
        name, begun_s = f"w{number}", 10.0 * number
        gate.offer(_work(name, 2_000, now_s=begun_s), begun_s)
        took_s = 2_000 / 25_000.0 * 4
        gate.first_token(name, begun_s + took_s)
        gate.end(name, begun_s + 1.0, 10)
    assert gate.slow_start.limit_streams == 2
