"""What callers see while servers name rate limits."""

import asyncio
import itertools
import random
from typing import NamedTuple

from gentianhoist.fleet import Idempotency
from gentianhoist.ratelimits import LimitNamed
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)

SHORT_TOKENS = 5_000
LONG_TOKENS = 60_000
# A request that can't be served in time is refused within this time.
AT_ONCE_S = 0.01


class Served(NamedTuple):
    tokens: int
    status: int
    after_s: float
    retry_after_s: float


def make_harness(
    loop,
    limits_per_s: list[float | None],
    *,
    streaming: bool = False,
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT,
    script=(ServerBehaviour.ANSWER,),
) -> DispatcherHarness:
    """A dispatcher with one server for each limit; None for a server without one.

    The limits stand, whatever the fake responses say.
    """
    harness = DispatcherHarness(loop, itertools.cycle(script), len(limits_per_s))
    harness.state.routing.update_if_newer(
        configuration(idempotency, streaming=streaming)
    )
    name_limits(harness, limits_per_s)
    harness.context.rate_limits.observe = lambda *_: None
    return harness


def name_limits(harness, limits_per_s: list[float | None]) -> None:
    now_s = harness.loop.time()
    limits = harness.state.rate_limits
    for server, limit in zip(harness.servers, limits_per_s, strict=True):
        if limit is not None:
            limits.observe(server, LimitNamed(limit), now_s, now_s)


async def serve(harness, tokens: int = 0, timeout_s: float = 3.0) -> Served:
    loop = harness.loop
    responder = FakeResponder()
    request = call(loop, prompt_tokens=tokens, timeout_s=timeout_s)
    await harness.dispatcher.handle(request, responder)
    after_s = loop.time() - request.received_s
    retry_after_s = float(responder.headers.get(b"Retry-After", b"0"))
    return Served(tokens, responder.status, after_s, retry_after_s)


async def serve_at_rate(harness, per_s: float, duration_s: float, tokens=(0,)):
    """Send requests at random times, with a random one of the numbers of tokens."""
    rng = random.Random(5)
    tasks = []
    for _ in range(int(per_s * duration_s)):
        size = rng.choice(tokens)
        tasks.append(asyncio.ensure_future(serve(harness, size)))
        await asyncio.sleep(rng.expovariate(per_s))
    return await asyncio.gather(*tasks)


class TestServices:
    def test_servers_without_a_limit_come_first(self, loop):
        harness = make_harness(loop, [5.0, None, 5.0])
        served = loop.run(serve_at_rate(harness, 10.0, 3.0))
        assert {item.status for item in served} == {200}
        assert set(harness.server_state.runs) == {"s1"}

    # Guards against: a refusal while a token arrives in time.
    def test_requests_wait_for_the_next_token(self, loop):
        harness = make_harness(loop, [2.0])
        served = loop.run(serve_at_rate(harness, 1.5, 8.0))
        assert {item.status for item in served} == {200}

    # Guards against: requests that wait for a server until their deadline, although
    # it is known that no server takes them before.
    def test_what_cannot_be_served_is_refused_at_once(self, loop):
        harness = make_harness(loop, [1.0, 1.0])
        served = loop.run(serve_at_rate(harness, 20.0, 10.0))
        ok = [item for item in served if item.status == 200]
        refused = [item for item in served if item.status == 429]
        assert len(ok) + len(refused) == len(served)
        assert len(ok) >= 0.85 * 2.0 * 10.0
        assert len(harness.server_state.runs) == len(ok)
        at_once = [item for item in refused if item.after_s <= AT_ONCE_S]
        assert len(at_once) >= 0.9 * len(refused) > 0
        assert all(item.retry_after_s > 0.0 for item in refused)

    def test_a_server_that_names_zero_is_asked_now_and_then(self, loop):
        harness = make_harness(loop, [0.0])
        loop.run(serve_at_rate(harness, 20.0, 20.0))
        assert 5 <= len(harness.server_state.runs) <= 12

    # Guards against: a slow server that is given up for one that may get nothing.
    def test_a_slow_server_is_kept_while_the_others_may_get_nothing(self, loop):
        harness = make_harness(
            loop,
            [None, 0.1],
            idempotency=Idempotency.IDEMPOTENT,
            script=(ServerBehaviour.SLOW,),
        )
        served = loop.run(serve(harness))
        assert served.status == 200
        assert harness.server_state.sends == 1


class TestPrompts:
    def test_engines_without_a_limit_come_first(self, loop):
        harness = make_harness(loop, [5.0, None, 5.0], streaming=True)
        loop.run(serve_at_rate(harness, 4.0, 3.0, [SHORT_TOKENS]))
        assert set(harness.server_state.runs) == {"s1"}

    # Guards against: short prompts that take each token as it arrives, while long ones
    # wait, or the other way round.
    def test_no_length_is_left_without_a_part(self, loop):
        harness = make_harness(loop, [1.0, 1.0, 1.0], streaming=True)
        sizes = [SHORT_TOKENS] * 4 + [LONG_TOKENS]
        served = loop.run(serve_at_rate(harness, 15.0, 20.0, sizes))
        ratios = {
            size: sum(item.status == 200 for item in served if item.tokens == size)
            / sum(item.tokens == size for item in served)
            for size in (SHORT_TOKENS, LONG_TOKENS)
        }
        assert min(ratios.values()) >= 0.5 * max(ratios.values())
        refused = [item for item in served if item.status == 429]
        at_once = [item for item in refused if item.after_s <= AT_ONCE_S]
        assert len(at_once) >= 0.9 * len(refused) > 0

    # Guards against: the parts of a long prompt that are read by further engines, and
    # not counted there.
    def test_a_part_of_a_prompt_counts(self, loop):
        harness = make_harness(loop, [2.0] * 4, streaming=True)

        async def run():
            await asyncio.sleep(1.0)
            return await serve(harness, 600_000)

        assert loop.run(run()).status == 200
        limits = harness.state.rate_limits
        sent = [limits.report(item.incarnation).sent for item in harness.servers]
        assert sum(sent) >= 3

    def test_tokens_of_a_prompt_that_is_not_sent_are_given_back(self, loop):
        harness = make_harness(
            loop,
            [2.0] * 3,
            streaming=True,
            script=(ServerBehaviour.REFUSE_CONNECTION,),
        )

        async def run():
            await asyncio.sleep(1.0)
            await serve(harness, SHORT_TOKENS)

        loop.run(run())
        limits = harness.state.rate_limits
        sent = [limits.report(item.incarnation).sent for item in harness.servers]
        assert sent == [0, 0, 0]

    def test_a_limit_that_ends_lets_waiting_prompts_through(self, loop):
        harness = make_harness(loop, [1.2], streaming=True)

        async def run():
            tasks = [asyncio.ensure_future(serve(harness, SHORT_TOKENS))]
            await asyncio.sleep(0.3)
            harness.state.rate_limits.keep_only(set())
            return await asyncio.gather(*tasks)

        (served,) = loop.run(run())
        assert served.status == 200
        assert served.after_s < 0.6


class TestResponses:
    # Guards against: a limit in a refusal of the server that nobody reads.
    def test_a_limit_in_a_refusal_counts(self, loop):
        script = (ServerBehaviour.REJECT,)
        harness = DispatcherHarness(loop, itertools.cycle(script), 1)
        harness.state.routing.update_if_newer(
            configuration(Idempotency.NON_IDEMPOTENT, streaming=False)
        )
        decode = harness.context.codec.decode

        def decode_with_limit(head, request, **options):
            response = decode(head, request, **options)
            return response._replace(rate_limit=LimitNamed(1.5))

        harness.context.codec.decode = decode_with_limit
        loop.run(serve(harness))
        assert harness.state.rate_limits.limit_per_s(harness.servers[0]) == 1.5
