"""What the dispatcher reports to the quarantine, and does with held segments."""

import asyncio
import dataclasses
import itertools

import pytest

from gentianhoist.fleet import FeedRow, Idempotency, ServerListing, ServerState
from gentianhoist.placement import Commitment
from gentianhoist.quarantine import QuarantineRecord, QuarantineState, encode_record
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)
from tests.virtual_time_loop import VirtualTimeLoop

# Its trial is due from the start.
HELD = QuarantineRecord("dd", QuarantineState.HELD, 1, 0, 0)


class AgreeingRows:
    """Rows of a store that takes every write."""

    async def write(self, key: str, value: bytes, version: int) -> None:
        return None


@pytest.fixture
def loop():
    virtual_loop = VirtualTimeLoop()
    yield virtual_loop
    virtual_loop.cancel_and_close()


def make_harness(loop, *script: ServerBehaviour, idempotent: bool = True):
    harness = DispatcherHarness(loop, itertools.cycle(script))
    idempotency = Idempotency.IDEMPOTENT if idempotent else Idempotency.NON_IDEMPOTENT
    harness.state.routing.update_if_newer(configuration(idempotency, streaming=True))
    return harness


async def serve(harness, *segments: str) -> FakeResponder:
    responder = FakeResponder()
    request = call(harness.loop, prompt_tokens=5_000)
    request = dataclasses.replace(request, shared_segments=segments)
    await harness.dispatcher.handle(request, responder)
    return responder


def reported(harness) -> list[str]:
    """Ids of the servers whose loss was reported."""
    losses = harness.quarantine._losses._open_losses
    return sorted(incarnation[0] for incarnation in losses)


def make_down(harness) -> None:
    """Make probes find every server down."""
    now_s = harness.loop.time()
    harness.server_state.dead = {server.id: now_s for server in harness.servers}


class TestReports:
    @pytest.mark.parametrize("idempotent", [True, False])
    def test_connection_lost_at_the_beginning(self, loop, idempotent):
        script = [ServerBehaviour.RESET_AFTER]
        harness = make_harness(loop, *script, idempotent=idempotent)
        make_down(harness)
        loop.run(serve(harness, "aa", "dd"))
        assert len(reported(harness)) == (2 if idempotent else 1)

    def test_server_that_still_runs_is_no_loss(self, loop):
        harness = make_harness(loop, ServerBehaviour.RESET_AFTER)
        loop.run(serve(harness, "aa", "dd"))
        assert reported(harness) == []

    def test_timeout_is_no_loss(self, loop):
        harness = make_harness(loop, ServerBehaviour.SILENT_RUN)
        make_down(harness)
        loop.run(serve(harness, "aa", "dd"))
        assert reported(harness) == []

    def test_server_that_drains_may_end(self, loop):
        # Guards against: planned stops of engines count as crashes.
        harness = make_harness(loop, ServerBehaviour.SLOW_RESET)
        make_down(harness)

        async def scenario() -> None:
            serving = asyncio.ensure_future(serve(harness, "aa", "dd"))
            await asyncio.sleep(0.5)
            draining = [
                ServerListing(item.id, item._replace(state=ServerState.DRAINING))
                for item in harness.servers
            ]
            harness.state.directory.replace(draining, loop.time())
            await serving

        loop.run(scenario())
        assert reported(harness) == []


class TestHeld:
    def _hold_due(self, harness, *, in_store: bool = True) -> None:
        row = FeedRow("dd", encode_record(HELD), 1)
        if in_store:
            harness.quarantine._store._rows = AgreeingRows()
            harness.quarantine.replace_rows([row])
        else:
            harness.quarantine.receive_record(HELD._replace(until_ms=10**12))

    def test_prompt_is_refused_without_a_send(self, loop):
        harness = make_harness(loop, ServerBehaviour.ANSWER)
        self._hold_due(harness, in_store=False)
        responder = loop.run(serve(harness, "aa", "dd"))
        assert responder.status == 503
        assert harness.server_state.sends == 0

    def test_prompt_that_is_held_right_before_its_send(self, loop):
        # Guards against: it is refused as if no server were available, to come back at
        # once.
        harness = make_harness(loop, ServerBehaviour.ANSWER)

        async def scenario() -> FakeResponder:
            serving = asyncio.ensure_future(serve(harness, "aa", "dd"))
            await asyncio.sleep(0.0005)
            self._hold_due(harness, in_store=False)
            return await serving

        responder = loop.run(scenario())
        assert responder.status == 503
        assert b"prompt_quarantined" in responder.body
        assert float(responder.headers[b"Retry-After"]) >= 1.0
        assert harness.server_state.sends == 0

    def test_prompt_that_has_run_is_not_said_to_have_not(self, loop):
        harness = make_harness(loop, ServerBehaviour.RESET_AFTER)

        async def scenario() -> FakeResponder:
            serving = asyncio.ensure_future(serve(harness, "aa", "dd"))
            while not harness.server_state.sends:
                await asyncio.sleep(0.001)
            self._hold_due(harness, in_store=False)
            return await serving

        responder = loop.run(scenario())
        assert responder.status == 502
        assert harness.server_state.sends == 1

    def test_prompt_that_waits_for_an_engine_is_refused_at_once(self, loop):
        harness = make_harness(loop, ServerBehaviour.ANSWER)
        for server in harness.servers:
            for number in range(8):
                commitment = Commitment(
                    f"{server.id}.{number}", server.id, False, 0.1, 9.0, 6_000, 0.25,
                    1.5, 0.3, 60.0,
                )  # fmt: skip
                harness.state.ledger.add(commitment, loop.time())

        async def scenario() -> FakeResponder:
            serving = asyncio.ensure_future(serve(harness, "aa", "dd"))
            await asyncio.sleep(0.1)
            assert len(harness.state.queue) == 1
            self._hold_due(harness, in_store=False)
            harness.context.queue_scheduler.request_scan()
            await asyncio.sleep(0.2)
            assert serving.done()
            return await serving

        responder = loop.run(scenario())
        assert responder.status == 503
        assert harness.server_state.sends == 0

    @pytest.mark.parametrize(
        ("behaviour", "state"),
        [
            (ServerBehaviour.ANSWER, QuarantineState.RELEASED),
            (ServerBehaviour.RESET_AFTER, QuarantineState.HELD),
        ],
    )
    def test_trial_is_sent_once_to_an_idle_engine(self, loop, behaviour, state):
        # Guards against: a trial crashes the engine on which most streams are.
        harness = make_harness(loop, behaviour)
        make_down(harness)
        self._hold_due(harness)
        for server in harness.servers[:2]:
            commitment = Commitment(
                server.id, server.id, False, 0.0, 0.1, 6_000, 0.25, 1.5, 0.3, 60.0
            )
            harness.state.ledger.add(commitment, loop.time())
        loop.run(serve(harness, "aa", "dd"))
        assert harness.server_state.runs == [harness.servers[2].id]
        assert harness.quarantine._quarantine.record("dd").state is state

    def test_trial_that_no_engine_takes_stays_undecided(self, loop):
        harness = make_harness(loop, ServerBehaviour.REFUSE_CONNECTION)
        self._hold_due(harness)
        loop.run(serve(harness, "aa", "dd"))
        record = harness.quarantine._quarantine.record("dd")
        assert (record.state, record.failed_trials) == (QuarantineState.HELD, 0)
