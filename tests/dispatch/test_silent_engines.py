"""What becomes of a stream whose engine is silent for a while."""

import itertools

from gentianhoist.fleet import Idempotency
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)

SHORT_TOKENS = 5_000
TIMEOUT_S = 20.0
# With time left, so that a prompt does not wait by choice.
GOAL_S = 5.0
# Later than a silent engine is abandoned, sooner than its answer after 4 s.
ABANDONED_WITHIN_S = 2.0


async def serve(
    loop, behaviours: list[ServerBehaviour], servers: int
) -> tuple[DispatcherHarness, FakeResponder]:
    """Serve one stream that may be resumed."""
    harness = DispatcherHarness(loop, itertools.cycle(behaviours), servers)
    harness.state.routing.update_if_newer(
        configuration(
            Idempotency.IDEMPOTENT, streaming=True, timeout_s=TIMEOUT_S, goal_s=GOAL_S
        )
    )
    responder = FakeResponder()
    request = call(loop, prompt_tokens=SHORT_TOKENS, timeout_s=TIMEOUT_S)
    await harness.dispatcher.handle(request, responder)
    return harness, responder


class TestSilentEngine:
    # Guards against: a stream is cut since its engine is silent and no other has room.
    def test_it_is_kept_while_no_other_has_a_place(self, loop):
        behaviours = [ServerBehaviour.LONG_PREFILL]
        harness, responder = loop.run(serve(loop, behaviours, 1))
        assert responder.status == 200
        assert responder.finished and not responder.aborted
        assert harness.server_state.sends == 1

    # Guards against: a stream stays at a dead engine though another one has room.
    def test_it_is_abandoned_for_another_one_with_a_place(self, loop):
        behaviours = [ServerBehaviour.SILENT, ServerBehaviour.ANSWER]
        harness, responder = loop.run(serve(loop, behaviours, 2))
        assert responder.status == 200
        assert loop.time() < ABANDONED_WITHIN_S
        assert harness.server_state.sends == 2
