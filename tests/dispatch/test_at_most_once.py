"""Responses to callers match the executions, over generated server behaviours."""

import asyncio
import itertools

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from gentianhoist.fleet import Idempotency
from gentianhoist.placement import Commitment
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)
from tests.virtual_time_loop import VirtualTimeLoop

NOT_RUN_STATUSES = {408, 421, 429, 503}
SCRIPTS = st.lists(st.sampled_from(list(ServerBehaviour)), min_size=1, max_size=6)


def _serve(
    script: list[ServerBehaviour],
    idempotency: Idempotency,
    *,
    streaming: bool,
    before=lambda harness: None,
):
    loop = VirtualTimeLoop()
    harness = DispatcherHarness(loop, itertools.cycle(script))
    harness.state.routing.update_if_newer(
        configuration(idempotency, streaming=streaming)
    )
    before(harness)
    responder = FakeResponder()
    tokens = 5_000 if streaming else 0
    request = call(loop, prompt_tokens=tokens)
    loop.run(harness.dispatcher.handle(request, responder))  # type: ignore[arg-type]
    ended_s = loop.time()
    # Count executions that a server starts after the response, too.
    loop.run(_wait_for_late_runs(loop))
    loop.cancel_and_close()
    return harness, responder, ended_s


async def _wait_for_late_runs(loop: VirtualTimeLoop) -> None:
    await asyncio.sleep(10.0)


class TestNonIdempotent:
    @given(SCRIPTS)
    @example([ServerBehaviour.RESET_AFTER])
    @example([ServerBehaviour.REJECT, ServerBehaviour.RUN_LATE])
    @example([
        ServerBehaviour.REFUSE_CONNECTION,
        ServerBehaviour.RESET_BEFORE,
        ServerBehaviour.ANSWER,
    ])
    def test_runs_at_most_once(self, script):
        harness, _, _ = _serve(script, Idempotency.NON_IDEMPOTENT, streaming=False)
        assert len(harness.server_state.runs) <= 1

    @given(SCRIPTS)
    def test_refused_request_never_ran(self, script):
        harness, responder, _ = _serve(
            script, Idempotency.NON_IDEMPOTENT, streaming=False
        )
        if responder.status in NOT_RUN_STATUSES:
            assert harness.server_state.runs == []
            assert float(responder.headers[b"Retry-After"]) > 0.0

    @given(SCRIPTS)
    def test_a_stream_that_cannot_be_resumed_runs_at_most_once(self, script):
        harness, _, _ = _serve(script, Idempotency.NON_IDEMPOTENT, streaming=True)
        assert len(harness.server_state.runs) <= 1


class TestEveryRequest:
    @given(SCRIPTS, st.sampled_from(list(Idempotency)), st.booleans())
    def test_gets_one_response_before_its_deadline(
        self, script, idempotency, streaming
    ):
        _, responder, ended_s = _serve(script, idempotency, streaming=streaming)
        assert responder.finished
        # The caller's timeout, see `call`.
        assert ended_s <= 3.0

    @given(SCRIPTS, st.sampled_from(list(Idempotency)), st.booleans())
    @example(
        [ServerBehaviour.CUT, ServerBehaviour.ANSWER], Idempotency.IDEMPOTENT, True
    )
    @example(
        [ServerBehaviour.CUT, ServerBehaviour.FORGET_RESUMING],
        Idempotency.IDEMPOTENT,
        True,
    )
    def test_success_is_the_whole_answer(self, script, idempotency, streaming):
        _, responder, _ = _serve(script, idempotency, streaming=streaming)
        if responder.status == 200 and not responder.aborted:
            assert responder.body == b"id: 1\n\nid: 2\n\n"

    @given(SCRIPTS, st.sampled_from(list(Idempotency)), st.booleans())
    def test_releases_all_state(self, script, idempotency, streaming):
        harness, _, _ = _serve(script, idempotency, streaming=streaming)
        assert not len(harness.state.queue)
        for server in harness.servers:
            assert harness.state.ledger.load(server.id).ids == []
            assert harness.state.outstanding.get(server.id, 0) == 0

    @given(SCRIPTS)
    def test_never_runs_on_more_servers_than_the_route_allows(self, script):
        harness, _, _ = _serve(script, Idempotency.IDEMPOTENT, streaming=False)
        assert len(set(harness.server_state.runs)) <= 2


class TestChecksBeforeTheSend:
    """Changes between the choice of a server and the send."""

    def test_a_server_that_has_just_left_is_not_blamed(self):
        def leave(harness) -> None:
            usable = harness.state.directory.find_usable
            departed_id = harness.servers[0].id
            harness.state.directory.find_usable = lambda id_, now_s: (
                None if id_ == departed_id else usable(id_, now_s)
            )

        for seed in range(5):
            harness, responder, _ = _serve(
                [ServerBehaviour.ANSWER],
                Idempotency.NON_IDEMPOTENT,
                streaming=False,
                before=lambda harness, seed=seed: (
                    harness.state.rng.seed(seed),
                    leave(harness),
                ),
            )
            departed = harness.servers[0]
            assert responder.status == 200
            assert harness.server_state.runs != [departed.id]
            assert harness.state.server_health.get(departed.incarnation).failures == 0.0


class TestReservations:
    """KV reservations of a prompt larger than one engine, on every outcome."""

    PROMPT_TOKENS = 300_000

    def _serve(
        self, script: list[ServerBehaviour], leave_after_s: float
    ) -> tuple[int, dict]:
        loop = VirtualTimeLoop()
        harness = DispatcherHarness(loop, itertools.cycle(script))
        harness.state.routing.update_if_newer(
            configuration(Idempotency.IDEMPOTENT, streaming=True)
        )
        seen: list[int] = []

        async def run() -> None:
            request = call(loop, prompt_tokens=self.PROMPT_TOKENS)
            work = asyncio.ensure_future(
                harness.dispatcher.handle(request, FakeResponder())  # type: ignore[arg-type]
            )
            await asyncio.sleep(0.05)
            seen.append(len(harness.server_state.reservations))
            await asyncio.wait([work], timeout=leave_after_s)
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
            await asyncio.sleep(5.0)

        loop.run(run())
        loop.cancel_and_close()
        return seen[0], harness.server_state.reservations

    def test_are_released_after_the_answer(self):
        reserved, remaining = self._serve([ServerBehaviour.ANSWER], leave_after_s=5.0)
        assert reserved >= 2
        assert remaining == {}

    def test_are_released_when_the_caller_disconnects_while_reserving(self):
        reserved, remaining = self._serve([ServerBehaviour.ANSWER], leave_after_s=0.01)
        assert reserved >= 2
        assert remaining == {}

    @pytest.mark.parametrize(
        "behaviour",
        [ServerBehaviour.SILENT, ServerBehaviour.CUT, ServerBehaviour.REJECT],
    )
    def test_are_released_after_failures(self, behaviour):
        _, remaining = self._serve([behaviour], leave_after_s=5.0)
        assert remaining == {}


class TestIdempotent:
    def test_is_answered_by_another_server_after_a_reset(self):
        harness, responder, _ = _serve(
            [ServerBehaviour.RESET_AFTER, ServerBehaviour.ANSWER],
            Idempotency.IDEMPOTENT,
            streaming=False,
        )
        assert responder.status == 200
        assert len(set(harness.server_state.runs)) == 2

    def test_is_answered_by_another_server_after_a_timeout(self):
        _, responder, ended_s = _serve(
            [ServerBehaviour.SILENT, ServerBehaviour.ANSWER],
            Idempotency.IDEMPOTENT,
            streaming=False,
        )
        assert responder.status == 200
        assert ended_s < 1.0

    def test_a_server_error_is_forwarded_if_no_server_succeeds(self):
        _, responder, _ = _serve(
            [ServerBehaviour.FAIL], Idempotency.IDEMPOTENT, streaming=False
        )
        assert responder.status == 500
        assert responder.body

    @pytest.mark.parametrize("streaming", [False, True])
    def test_a_slow_server_is_waited_for_when_the_budget_is_spent(self, streaming):
        def exhaust_budget(harness) -> None:
            while harness.state.retry_quota("g").try_withdraw():
                continue

        harness, responder, _ = _serve(
            [ServerBehaviour.SLOW],
            Idempotency.IDEMPOTENT,
            streaming=streaming,
            before=exhaust_budget,
        )
        assert responder.status == 200
        assert len(harness.server_state.runs) == 1

    def test_a_stream_is_retried_before_its_caller_disconnects(self):
        """One engine sends no response, and all have other prefill work."""

        def add_load(harness) -> None:
            for number, server in enumerate(harness.servers):
                harness.state.ledger.add(
                    Commitment(
                        f"x{number}", server.id, False, 0.4, 1.0, 9, 1.0, 1.0, 9.0, 9.0
                    ),
                    0.0,
                )

        _, responder, ended_s = _serve(
            [ServerBehaviour.SILENT, ServerBehaviour.ANSWER],
            Idempotency.IDEMPOTENT,
            streaming=True,
            before=add_load,
        )
        assert responder.status == 200
        assert ended_s < 2.0

    def test_a_cut_stream_is_resumed_in_one_answer(self):
        _, responder, _ = _serve(
            [ServerBehaviour.CUT, ServerBehaviour.ANSWER],
            Idempotency.IDEMPOTENT,
            streaming=True,
        )
        assert responder.status == 200
        assert not responder.aborted
