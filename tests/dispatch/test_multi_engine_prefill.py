"""Prompts larger than an engine's memory, and engines of theirs that die."""

import asyncio
import itertools

import pytest

from gentianhoist.fleet import Repeatable
from tests.dispatch.fakes import (
    FakeResponder,
    Fleet,
    ServerBehaviour,
    call,
    configuration,
)
from tests.virtual_time_loop import VirtualTimeLoop

# How long memory may stay set aside after its request has ended.
FREE_S = 4.0
PATIENCE_S = 24.0
TOKENS = 600_000


class TestFirstEngineOfAGangDies:
    """It takes the prompt and loses power: nothing more is heard of it.

    The prompt's own reading takes seconds, so silence alone tells nothing for long,
    while the other engines keep memory for a request that has ended.
    """

    @pytest.fixture
    def loop(self):
        instance = VirtualTimeLoop()
        yield instance
        instance.cancel_and_close()

    def _serve(self, loop, script, goal_s=5.0):
        fleet = Fleet(loop, itertools.cycle(script), servers=8)
        fleet.state.replica.take_newer(
            configuration(
                Repeatable.IDEMPOTENT,
                streaming=True,
                timeout_s=PATIENCE_S,
                goal_s=goal_s,
            )
        )
        responder = FakeResponder()
        request = call(loop, prompt_tokens=TOKENS, patience_s=PATIENCE_S)
        longest_s = 0.0

        async def watch() -> float:
            nonlocal longest_s
            while True:
                await asyncio.sleep(0.05)
                died = fleet.world.dead.values()
                first = f"{fleet.dispatcher.peers.entry}."
                if died and self._first_ticket(fleet, first):
                    longest_s = loop.time() - min(died)

        async def run() -> None:
            watching = asyncio.ensure_future(watch())
            await fleet.dispatcher.handle(request, responder)
            await asyncio.sleep(1.0)
            watching.cancel()

        loop.run(run())
        return fleet, responder, longest_s

    def _first_ticket(self, fleet, prefix: str) -> bool:
        """Whether engines that live hold memory of the first attempt."""
        tickets = {
            int(ticket.removeprefix(prefix))
            for server, ticket in fleet.world.tickets
            if server not in fleet.world.dead
        }
        self.first = min([getattr(self, "first", 1 << 60), *tickets])
        return self.first in tickets

    def test_the_others_memory_is_free_in_time(self, loop):
        _, responder, longest_s = self._serve(
            loop, [ServerBehaviour.DIE, ServerBehaviour.ANSWER]
        )
        assert longest_s < FREE_S
        assert responder.status == 200

    def test_a_live_engine_is_not_given_up(self, loop):
        fleet, responder, _ = self._serve(loop, [ServerBehaviour.READ_LONG])
        assert fleet.world.sends == 1
        assert responder.status == 200

    def test_nor_where_another_would_have_no_time(self, loop):
        """Late from the start, on few engines: half of its time is gone by reading."""
        fleet, responder, _ = self._serve(loop, [ServerBehaviour.READ_LONG], goal_s=0.2)
        assert fleet.world.sends == 1
        assert responder.status == 200
