"""Tests of admission control of one engine."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gentianhoist.capacity import (
    AdaptiveConcurrencyLimit,
    AdmissionController,
    AdmissionPolicy,
    Refuse,
    SpeedEstimate,
    Start,
    Wait,
    Work,
    WorkClass,
    classify,
)
from gentianhoist.exceptions import ErrorKind

_KV_CAPACITY_TOKENS = 100_000
_SHORT_TOKENS, _LONG_TOKENS = 8_000, 32_000


def _controller(cold: int = 4, maximum: int = 16) -> AdmissionController:
    return AdmissionController(
        AdmissionPolicy(_KV_CAPACITY_TOKENS, ageing_s=5.0),
        AdaptiveConcurrencyLimit(cold, maximum),
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
        classify(tokens, _SHORT_TOKENS, _LONG_TOKENS),
        now_s,
        now_s + left_s,
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Submits, starts, ends and cancels work, with holds and restarts of the engine."""

    @initialize()
    def begin(self) -> None:
        self.controller = _controller()
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
        decision = self.controller.offer(work, self.now_s)
        if isinstance(decision, Refuse):
            assert work.request_id not in self.controller.running_ids
            assert work.request_id not in self.controller.waiting_ids
        else:
            self.works[work.request_id] = work
            running = work.request_id in self.controller.running_ids
            assert running == isinstance(decision, Start)

    @rule()
    def start(self) -> None:
        for work in self.controller.startable(self.now_s):
            assert work.request_id in self.controller.running_ids

    @rule(work_index=st.integers(0, 100), is_first_token=st.booleans())
    def progress(self, work_index: int, is_first_token: bool) -> None:
        if not self.works:
            return
        name = sorted(self.works)[work_index % len(self.works)]
        if is_first_token:
            self.controller.first_token(name, self.now_s)
        else:
            self.controller.end(name, self.now_s, 10)
            del self.works[name]

    @rule(tokens=st.sampled_from([10, 50_000]))
    def hold(self, tokens: int) -> None:
        name = f"h{len(self.holds)}"
        if self.controller.hold(name, tokens):
            self.holds[name] = tokens

    @rule()
    def free(self) -> None:
        if self.holds:
            name, _ = self.holds.popitem()
            self.controller.free(name)

    @rule()
    def turn_cold(self) -> None:
        self.controller.turned_cold()
        self.holds.clear()

    @rule(seconds=st.sampled_from([0.01, 1.0, 20.0]))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds

    @invariant()
    def kv_cache_is_conserved(self) -> None:
        if not hasattr(self, "controller"):
            return
        running = sum(
            self.works[name].kv_tokens for name in self.controller.running_ids
        )
        assert self.controller.reserved_tokens == running + sum(self.holds.values())
        assert self.controller.kv_free_tokens >= 0

    @invariant()
    def nothing_is_lost(self) -> None:
        if hasattr(self, "controller"):
            known = {*self.controller.running_ids, *self.controller.waiting_ids}
            assert known == set(self.works)

    @invariant()
    def one_long_prefill_at_a_time(self) -> None:
        if hasattr(self, "controller"):
            prefilling = [
                item.work
                for item in self.controller._running.values()
                if item.first_token_s is None and item.work.work_class is WorkClass.LONG
            ]
            assert len(prefilling) <= 1


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=300, stateful_step_count=40)


def test_cold_limit_is_never_exceeded():
    controller = _controller(cold=2)
    decisions = [controller.offer(_work(f"w{number}"), 0.0) for number in range(10)]
    assert sum(isinstance(decision, Start) for decision in decisions) == 2
    assert len(controller.running_ids) == 2
    assert controller.startable(0.0) == []


def test_limit_grows_with_success_and_resets_on_a_restart():
    controller = _controller(cold=2, maximum=8)
    now_s = 0.0
    for number in range(60):
        now_s += 1.0
        for stream in range(8):
            controller.offer(_work(f"w{number}-{stream}", now_s=now_s), now_s)
        controller.startable(now_s)
        for name in controller.running_ids:
            controller.first_token(name, now_s + 0.1)
            controller.end(name, now_s + 0.2, 10)
    assert controller.concurrency_limit.is_warm
    controller.turned_cold()
    assert controller.concurrency_limit.limit_streams == 2


def test_short_work_starts_before_long_work_until_that_has_aged():
    controller = _controller(cold=1, maximum=1)
    controller.offer(_work("first"), 0.0)
    assert isinstance(controller.offer(_work("long", 60_000), 0.0), Wait)
    controller.offer(_work("short"), 0.1)
    controller.end("first", 1.0)
    assert [work.request_id for work in controller.startable(1.0)] == ["short"]
    controller.offer(_work("newer", now_s=11.0), 11.0)
    controller.end("short", 11.0)
    # After two ageing periods the long work has the rank of short work, and its
    # start tag is the smaller one.
    assert [work.request_id for work in controller.startable(11.0)] == ["long"]


def test_organisation_over_its_share_has_lower_priority_in_the_engine():
    controller = _controller(cold=16)
    for number in range(8):
        large = _work(f"large{number}", organisation="large")
        controller.offer(large, 0.0)
    small = _work("small", organisation="small")
    controller.offer(small, 0.0)
    assert controller.priority(small, 0.0) < controller.priority(large, 0.0)
    long = _work("long", 60_000, organisation="small")
    assert controller.priority(long, 0.0) > controller.priority(large, 0.0)


def test_prefill_backlog_of_the_engine_is_limited():
    """Work that is queued in the engine can no longer be ordered fairly."""
    controller = _controller(cold=32, maximum=64)
    controller.offer(_work("small0", organisation="small"), 0.0)
    for number in range(16):
        controller.offer(_work(f"large{number}", 2_000, organisation="large"), 0.0)
    assert len(controller.running_ids) <= 5
    assert isinstance(
        controller.offer(_work("small1", organisation="small"), 0.0), Start
    )
    controller.first_token("large0", 0.1)
    assert len(controller.startable(0.1)) >= 1


def test_organisations_share_in_proportion_to_their_weights():
    """A large organisation's backlog does not delay a small one's request."""
    controller = _controller(cold=1, maximum=1)
    controller.offer(_work("running"), 0.0)
    for number in range(20):
        controller.offer(_work(f"large{number}", organisation="large", weight=4.0), 0.0)
    controller.offer(_work("small", organisation="small"), 0.0)
    order = []
    controller.end("running", 0.0)
    while started := controller.startable(0.0):
        order.append(started[0].request_id)
        controller.end(started[0].request_id, 0.0)
    assert order.index("small") <= 4


@pytest.mark.parametrize(
    ("tokens", "left_s", "kind"),
    [
        (200_000, 600.0, ErrorKind.PROMPT_TOO_LONG),
        (60_000, 1.0, ErrorKind.DEADLINE_TOO_SHORT),
    ],
)
def test_work_that_cannot_be_completed_is_refused(tokens, left_s, kind):
    decision = _controller().offer(_work("w", tokens, left_s=left_s), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.kind is kind


def test_refusal_of_an_overload_has_a_retry_time():
    controller = _controller()
    for number in range(40):
        decision = controller.offer(_work(f"w{number}", 20_000, left_s=4.0), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.kind is ErrorKind.OVERLOADED
    assert decision.retry_after_s > 0


def test_waiting_work_that_became_infeasible_is_listed():
    controller = _controller(cold=1, maximum=1)
    controller.offer(_work("running", left_s=60.0), 0.0)
    controller.offer(_work("waiting", left_s=5.0), 0.0)
    assert controller.infeasible_work(1.0) == []
    assert [work.request_id for work in controller.infeasible_work(4.99)] == ["waiting"]


def test_slow_prefills_reset_the_stream_limit():
    controller = _controller(cold=2, maximum=2)
    assert controller.concurrency_limit.is_warm
    controller = _controller(cold=2, maximum=4)
    while not controller.concurrency_limit.is_warm:
        controller.concurrency_limit.record_success(slowness_ratio=1.0, at_limit=True)
    for number in range(4):
        name, started_s = f"w{number}", 10.0 * number
        controller.offer(_work(name, 2_000, now_s=started_s), started_s)
        took_s = 2_000 / 25_000.0 * 4
        controller.first_token(name, started_s + took_s)
        controller.end(name, started_s + 1.0, 10)
    assert controller.concurrency_limit.limit_streams == 2
