"""What callers get whose requests wait when the entry stops."""

import asyncio
import itertools

import msgspec
import pytest

from gentianhoist.fleet import Idempotency
from gentianhoist.ratelimits import LimitNamed
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)

STOP_S = 1.0
TIMEOUT_S = 20.0
SHORT_TOKENS = 5_000
# More than one engine has memory for, so that KV cache is reserved.
LARGE_TOKENS = 300_000
SLOTS = 8
REFUSED = 503
OUTCOME_UNKNOWN = 504


def make_harness(
    loop,
    behaviour: ServerBehaviour = ServerBehaviour.SILENT_RUN,
    *,
    streaming: bool,
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT,
    servers: int = 1,
) -> DispatcherHarness:
    harness = DispatcherHarness(loop, itertools.repeat(behaviour), servers)
    harness.state.routing.update_if_newer(
        configuration(idempotency, streaming=streaming, timeout_s=TIMEOUT_S)
    )
    return harness


async def serve_until_stop(
    harness: DispatcherHarness, requests: int = 1, tokens: int = 0
) -> list[FakeResponder]:
    """Send requests, stop the entry at once, and check that all end in time."""
    loop = harness.loop
    responders = [FakeResponder() for _ in range(requests)]
    tasks = [
        asyncio.ensure_future(
            harness.dispatcher.handle(
                call(loop, prompt_tokens=tokens, timeout_s=TIMEOUT_S), responder
            )
        )
        for responder in responders
    ]
    await asyncio.sleep(0.05)
    harness.context.begin_shutdown(STOP_S)
    began_s = loop.time()
    await asyncio.gather(*tasks)
    assert loop.time() - began_s <= STOP_S + 0.01
    return responders


async def serve_in_stop(
    harness: DispatcherHarness, remaining_s: float, tokens: int = 0
) -> FakeResponder:
    """Send a request to an entry that is told to stop."""
    harness.context.begin_shutdown(remaining_s)
    responder = FakeResponder()
    request = call(harness.loop, prompt_tokens=tokens, timeout_s=TIMEOUT_S)
    await harness.dispatcher.handle(request, responder)
    return responder


def assert_refused_as_not_run(responder: FakeResponder) -> None:
    assert responder.status == REFUSED
    assert msgspec.json.decode(responder.body)["not_run"] == "true"
    assert float(responder.headers[b"Retry-After"]) > 0.0


class TestStoppingEntry:
    # Guards against: prompts in the queue are dropped when a stopping entry ends.
    def test_prompts_that_wait_for_an_engine_are_refused(self, loop):
        harness = make_harness(loop, streaming=True)
        waiting = 3
        responders = loop.run(
            serve_until_stop(harness, SLOTS + waiting, tokens=SHORT_TOKENS)
        )
        sent = [item for item in responders if item.status == OUTCOME_UNKNOWN]
        refused = [item for item in responders if item.status != OUTCOME_UNKNOWN]
        assert 0 < len(sent) == len(harness.server_state.runs) <= SLOTS
        assert len(refused) >= waiting
        for responder in refused:
            assert_refused_as_not_run(responder)

    # Guards against: a refusal for the stop that comes when the caller has lost time.
    def test_a_prompt_that_would_end_too_late_is_refused_at_once(self, loop):
        harness = make_harness(loop, ServerBehaviour.ANSWER, streaming=True)
        assert_refused_as_not_run(loop.run(serve_in_stop(harness, STOP_S, 200_000)))
        assert loop.time() < 0.1
        assert not harness.server_state.runs

    # Guards against: a prompt is dropped while KV cache is reserved for it.
    def test_a_prompt_that_waits_for_a_reservation_is_refused(self, loop):
        harness = make_harness(loop, streaming=True, servers=4)
        harness.context.kv_reservations.reserve = wait_forever
        (responder,) = loop.run(serve_until_stop(harness, tokens=LARGE_TOKENS))
        assert_refused_as_not_run(responder)

    # Guards against: a request is dropped while a connection is opened for it.
    def test_a_request_that_waits_for_a_connection_is_refused(self, loop):
        harness = make_harness(loop, streaming=False)

        class SilentPool:
            acquire = staticmethod(wait_forever)

        harness.state.pool = lambda server, group: SilentPool()
        (responder,) = loop.run(serve_until_stop(harness))
        assert_refused_as_not_run(responder)

    # Guards against: all requests that the stop ends are repeated at the same moment.
    def test_callers_come_back_at_different_times(self, loop):
        harness = make_harness(loop, streaming=False)
        harness.quarantine.admit = wait_forever
        responders = loop.run(serve_until_stop(harness, 5))
        assert len({item.headers[b"Retry-After"] for item in responders}) == 5

    # Guards against: a request is dropped while the quarantine decides on it.
    def test_a_request_that_waits_for_the_quarantine_is_refused(self, loop):
        harness = make_harness(loop, streaming=False)
        harness.quarantine.admit = wait_forever
        (responder,) = loop.run(serve_until_stop(harness))
        assert_refused_as_not_run(responder)

    # Guards against: a request is dropped while it waits for a rate limit.
    def test_requests_that_wait_for_a_rate_limit_are_refused(self, loop):
        harness = make_harness(loop, ServerBehaviour.ANSWER, streaming=False)
        harness.context.rate_limits.observe = lambda *_: None
        harness.state.rate_limits.observe(
            harness.servers[0], LimitNamed(0.5), loop.time(), loop.time()
        )
        responders = loop.run(serve_until_stop(harness, 5))
        assert {item.status for item in responders} <= {200, 429, REFUSED}
        served = [item for item in responders if item.status == 200]
        assert len(served) == len(harness.server_state.runs) < len(responders)

    # Guards against: a refusal that says "not run" of a request that has run.
    @pytest.mark.parametrize("streaming", [False, True])
    def test_a_request_that_may_have_run_gets_an_error(self, loop, streaming):
        harness = make_harness(loop, streaming=streaming)
        tokens = SHORT_TOKENS if streaming else 0
        (responder,) = loop.run(serve_until_stop(harness, tokens=tokens))
        assert responder.status == OUTCOME_UNKNOWN
        assert msgspec.json.decode(responder.body)["not_run"] == "unknown"

    # Guards against: a stream that arrives late in the stop is begun and cut.
    @pytest.mark.parametrize("streaming", [False, True])
    def test_a_late_stream_is_refused(self, loop, streaming):
        harness = make_harness(loop, ServerBehaviour.ANSWER, streaming=streaming)
        tokens = SHORT_TOKENS if streaming else 0

        async def serve_late() -> FakeResponder:
            harness.context.begin_shutdown(TIMEOUT_S, new_streams_s=0.5)
            await asyncio.sleep(0.6)
            responder = FakeResponder()
            request = call(loop, prompt_tokens=tokens, timeout_s=TIMEOUT_S)
            await harness.dispatcher.handle(request, responder)
            return responder

        responder = loop.run(serve_late())
        if streaming:
            assert_refused_as_not_run(responder)
        assert len(harness.server_state.runs) == (not streaming)

    # Guards against: a request is sent by an entry that is about to end.
    def test_a_request_after_the_end_is_refused(self, loop):
        harness = make_harness(loop, ServerBehaviour.ANSWER, streaming=False)
        assert_refused_as_not_run(loop.run(serve_in_stop(harness, 0.0)))
        assert not harness.server_state.runs

    # Guards against: an entry that stops ends requests that have time.
    def test_a_request_that_ends_in_time_is_served(self, loop):
        harness = make_harness(loop, ServerBehaviour.ANSWER, streaming=False)
        (responder,) = loop.run(serve_until_stop(harness))
        assert responder.status == 200


async def wait_forever(*args: object, **options: object) -> None:
    await asyncio.get_running_loop().create_future()
