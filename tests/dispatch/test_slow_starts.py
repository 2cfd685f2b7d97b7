"""What callers and servers see while servers start or have just recovered."""

import asyncio
import itertools

import pytest

from gentianhoist.backoff import PauseNamed, ServerNotice
from gentianhoist.dispatch._attempt import AttemptFailed, Execution
from gentianhoist.dispatch._send_rules import shows_overload
from gentianhoist.fleet import Idempotency, ServerListing
from gentianhoist.slowstart import PROBE_REQUESTS
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)

COLD_S = 3.0
COLD_PER_S = 200.0
TOKENS = 5_000


def make_harness(
    loop,
    *,
    streaming: bool = True,
    cold_per_s: float = COLD_PER_S,
    script=(ServerBehaviour.ANSWER,),
    servers: int = 1,
) -> DispatcherHarness:
    """A dispatcher whose servers are cold for the next 3 s."""
    harness = DispatcherHarness(loop, itertools.cycle(script), servers)
    routing = configuration(Idempotency.IDEMPOTENT, streaming=streaming)
    routing.groups["g"] = routing.groups["g"]._replace(
        cold_s=COLD_S, cold_requests_per_s=cold_per_s
    )
    harness.state.routing.update_if_newer(routing)
    harness.servers = [
        server._replace(cold_until_s=loop.time() + COLD_S) for server in harness.servers
    ]
    harness.state.directory.replace(
        [ServerListing(server.id, server) for server in harness.servers], loop.time()
    )
    harness.context.slow_starts.tick((), 1, 1)
    return harness


async def serve(harness, tokens: int = TOKENS) -> int:
    responder = FakeResponder()
    await harness.dispatcher.handle(call(harness.loop, prompt_tokens=tokens), responder)
    return responder.status


def paced(harness):
    return harness.state.slow_starts._paced.get(harness.servers[0].id)


def max_requests(harness) -> int:
    return paced(harness).pace.max_requests(harness.loop.time())


class TestAColdEngine:
    def test_gets_few_prompts_of_a_burst_until_it_answers(self, loop):
        """Prompts that arrive together wait, instead of flooding it."""
        harness = make_harness(loop, script=[ServerBehaviour.LONG_PREFILL])
        for _ in range(8):
            loop.create_task(serve(harness))
        loop.run(asyncio.sleep(0.5))
        assert harness.server_state.sends == PROBE_REQUESTS

    def test_gets_more_as_it_answers(self, loop):
        harness = make_harness(loop)

        async def serve_all() -> list[int]:
            return await asyncio.gather(*(serve(harness) for _ in range(20)))

        assert set(loop.run(serve_all())) == {200}
        assert max_requests(harness) > PROBE_REQUESTS

    def test_gets_less_when_it_refuses(self, loop):
        harness = make_harness(loop, script=[ServerBehaviour.REJECT])
        loop.run(serve(harness))
        assert max_requests(harness) < PROBE_REQUESTS

    def test_has_no_pace_where_the_group_has_no_cold_rate(self, loop):
        harness = make_harness(
            loop, script=[ServerBehaviour.LONG_PREFILL], cold_per_s=0.0
        )
        for _ in range(8):
            loop.create_task(serve(harness))
        loop.run(asyncio.sleep(0.5))
        assert harness.server_state.sends > PROBE_REQUESTS
        assert paced(harness) is None


class TestARequestWithoutStreaming:
    def test_is_not_refused_for_the_pace_of_the_only_server(self, loop):
        harness = make_harness(
            loop, streaming=False, script=[ServerBehaviour.LONG_PREFILL]
        )

        async def serve_all() -> None:
            for _ in range(4):
                loop.create_task(serve(harness, tokens=0))
            await asyncio.sleep(0.1)

        loop.run(serve_all())
        assert harness.server_state.sends >= 4

    def test_is_not_sent_beyond_the_hard_bound(self, loop):
        harness = make_harness(loop, streaming=False, cold_per_s=4.0)

        async def serve_all() -> list[int]:
            return await asyncio.gather(*(serve(harness, tokens=0) for _ in range(9)))

        statuses = loop.run(serve_all())
        assert statuses.count(200) == 3
        assert statuses.count(503) == 6
        assert harness.server_state.sends == 3

    def test_tells_the_pace_of_its_server(self, loop):
        harness = make_harness(loop, streaming=False)
        loop.run(serve(harness, tokens=0))
        assert max_requests(harness) > PROBE_REQUESTS


def test_server_whose_pause_is_over_begins_slowly(loop):
    """Half of the engines name a pause, and all of it is over at the same time."""
    harness = make_harness(loop)
    server = harness.servers[0]._replace(cold_until_s=0.0)
    harness.state.directory.replace([ServerListing(server.id, server)], loop.time())
    harness.context.observe_notice(server, ServerNotice(PauseNamed(0.5)))
    loop.run(asyncio.sleep(1.0))
    assert paced(harness) is None
    loop.run(serve(harness))
    assert max_requests(harness) <= PROBE_REQUESTS + 1


@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (AttemptFailed(Execution.NOT_EXECUTED, "503"), True),
        (AttemptFailed(Execution.UNKNOWN, "late", no_response=True), True),
        (AttemptFailed(Execution.UNKNOWN, "reset", connection_lost=True), True),
        (AttemptFailed(Execution.UNSENT, "refused", no_response=True), True),
        (AttemptFailed(Execution.UNSENT, "cold", counts_against_server=False), False),
        (AttemptFailed(Execution.NOT_EXECUTED, "421", wrong_server=True), False),
    ],
)
def test_failures_that_slow_a_server_down(failure, expected):
    """What this entry held back, or another server answered, says nothing of it."""
    assert shows_overload(failure) is expected
