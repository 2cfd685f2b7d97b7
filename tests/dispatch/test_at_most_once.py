"""What callers are told against what servers did, over generated behaviours."""

import itertools

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from gentianhoist.fleet import Repeatable
from gentianhoist.placement import Commitment
from tests.dispatch.fakes import Does, FakeResponder, Fleet, call, configuration
from tests.instant_loop import InstantLoop

PROMISE_NOT_RUN = {408, 421, 429, 503}
SCRIPTS = st.lists(st.sampled_from(list(Does)), min_size=1, max_size=6)


def _serve(
    script: list[Does],
    repeatable: Repeatable,
    *,
    streaming: bool,
    before=lambda fleet: None,
):
    loop = InstantLoop()
    fleet = Fleet(loop, itertools.cycle(script))
    fleet.state.replica.take(configuration(repeatable, streaming=streaming))
    before(fleet)
    responder = FakeResponder()
    tokens = 5_000 if streaming else 0
    request = call(loop, prompt_tokens=tokens)
    loop.run(fleet.dispatcher.handle(request, responder))  # type: ignore[arg-type]
    ended_s = loop.time()
    # What a server does later counts too.
    loop.run(_later(loop))
    loop.shut()
    return fleet, responder, ended_s


async def _later(loop: InstantLoop) -> None:
    import asyncio

    await asyncio.sleep(10.0)


class TestNonIdempotent:
    @given(SCRIPTS)
    @example([Does.RESET_AFTER])
    @example([Does.REJECT, Does.RUN_LATE])
    @example([Does.REFUSE_CONNECTION, Does.RESET_BEFORE, Does.ANSWER])
    def test_runs_at_most_once(self, script):
        fleet, _, _ = _serve(script, Repeatable.NON_IDEMPOTENT, streaming=False)
        assert len(fleet.world.runs) <= 1

    @given(SCRIPTS)
    def test_a_refusal_is_true(self, script):
        fleet, responder, _ = _serve(script, Repeatable.NON_IDEMPOTENT, streaming=False)
        if responder.status in PROMISE_NOT_RUN:
            assert fleet.world.runs == []
            assert float(responder.headers[b"Retry-After"]) > 0.0

    @given(SCRIPTS)
    def test_a_stream_that_cannot_be_resumed_runs_at_most_once(self, script):
        fleet, _, _ = _serve(script, Repeatable.NON_IDEMPOTENT, streaming=True)
        assert len(fleet.world.runs) <= 1


class TestEveryRequest:
    @given(SCRIPTS, st.sampled_from(list(Repeatable)), st.booleans())
    def test_gets_one_answer_in_its_time(self, script, repeatable, streaming):
        _, responder, ended_s = _serve(script, repeatable, streaming=streaming)
        assert responder.finished
        assert ended_s <= 3.0

    @given(SCRIPTS, st.sampled_from(list(Repeatable)), st.booleans())
    @example([Does.CUT, Does.ANSWER], Repeatable.IDEMPOTENT, True)
    @example([Does.CUT, Does.FORGET_RESUMING], Repeatable.IDEMPOTENT, True)
    def test_success_is_the_whole_answer(self, script, repeatable, streaming):
        _, responder, _ = _serve(script, repeatable, streaming=streaming)
        if responder.status == 200 and not responder.aborted:
            assert responder.body == b"id: 1\n\nid: 2\n\n"

    @given(SCRIPTS, st.sampled_from(list(Repeatable)), st.booleans())
    def test_leaves_nothing_behind(self, script, repeatable, streaming):
        fleet, _, _ = _serve(script, repeatable, streaming=streaming)
        assert not len(fleet.state.queue)
        for server in fleet.servers:
            assert fleet.state.ledger.load(server.id).ids == []
            assert fleet.state.outstanding.get(server.id, 0) == 0

    @given(SCRIPTS)
    def test_never_runs_on_more_servers_than_the_route_allows(self, script):
        fleet, _, _ = _serve(script, Repeatable.IDEMPOTENT, streaming=False)
        assert len(set(fleet.world.runs)) <= 2


class TestIdempotent:
    def test_is_answered_by_another_server_after_a_reset(self):
        fleet, responder, _ = _serve(
            [Does.RESET_AFTER, Does.ANSWER], Repeatable.IDEMPOTENT, streaming=False
        )
        assert responder.status == 200
        assert len(set(fleet.world.runs)) == 2

    def test_is_answered_by_another_server_in_silence(self):
        _, responder, ended_s = _serve(
            [Does.SILENT, Does.ANSWER], Repeatable.IDEMPOTENT, streaming=False
        )
        assert responder.status == 200
        assert ended_s < 1.0

    def test_a_servers_failure_is_passed_on_if_none_does_better(self):
        _, responder, _ = _serve([Does.FAIL], Repeatable.IDEMPOTENT, streaming=False)
        assert responder.status == 500
        assert responder.body

    @pytest.mark.parametrize("streaming", [False, True])
    def test_a_slow_server_is_waited_for_when_the_budget_is_spent(self, streaming):
        def spend(fleet) -> None:
            while fleet.state.budget("g").spend():
                continue

        fleet, responder, _ = _serve(
            [Does.SLOW], Repeatable.IDEMPOTENT, streaming=streaming, before=spend
        )
        assert responder.status == 200
        assert len(fleet.world.runs) == 1

    def test_a_late_stream_goes_on_before_its_caller_leaves(self):
        """A server is silent, and engines are busy with other reading."""

        def busy(fleet) -> None:
            for number, server in enumerate(fleet.servers):
                fleet.state.ledger.add(
                    Commitment(
                        f"x{number}", server.id, False, 0.4, 1.0, 9, 1.0, 1.0, 9.0, 9.0
                    ),
                    0.0,
                )

        _, responder, ended_s = _serve(
            [Does.SILENT, Does.ANSWER],
            Repeatable.IDEMPOTENT,
            streaming=True,
            before=busy,
        )
        assert responder.status == 200
        assert ended_s < 2.0

    def test_a_cut_stream_is_resumed_in_one_answer(self):
        _, responder, _ = _serve(
            [Does.CUT, Does.ANSWER], Repeatable.IDEMPOTENT, streaming=True
        )
        assert responder.status == 200
        assert not responder.aborted
