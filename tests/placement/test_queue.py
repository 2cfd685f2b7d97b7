"""The order of waiting requests, and what one change costs."""

import asyncio

from gentianhoist.fleet import BackendServer
from gentianhoist.placement import (
    Demand,
    Placement,
    PlacementQueue,
    QueueOrder,
    Refused,
    Unplaced,
    Waiting,
)

_PLACED = Placement(BackendServer("s", "g", "h", 1, "z", 8), (), 0.1, 0.1, 0, 0.0, 0.0)


def _waiting(demand: Demand, place, give_up_s: float = 10.0) -> Waiting:
    future = asyncio.get_running_loop().create_future()
    return Waiting(demand, give_up_s, 1, place, future)


def _demand(tokens: int, value: float = 1.0) -> Demand:
    return Demand(tokens, 100, 1.0, 0.25, value)


class TestPlacementQueue:
    async def test_full_fleet_costs_one_try_a_change(self):
        """Burst of many short ones with every slot taken: a change stays cheap."""
        tries = 0

        def no_room() -> Unplaced:
            nonlocal tries
            tries += 1
            return Unplaced.NO_ROOM

        queue = PlacementQueue()
        for _ in range(300):
            queue.join(_waiting(_demand(5_000), no_room))
        queue.changed(0.0)
        assert tries == 1

    async def test_smaller_prompts_pass_one_that_finds_no_memory(self):
        queue = PlacementQueue()
        large = _waiting(_demand(200_000, value=50.0), lambda: Unplaced.NO_ROOM)
        small = _waiting(_demand(5_000), lambda: _PLACED)
        queue.join(large)
        queue.join(small)
        queue.changed(0.0)
        assert small.result.result() is _PLACED
        assert not large.result.done()

    async def test_one_that_waits_by_choice_holds_up_nobody(self):
        queue = PlacementQueue()
        short = _waiting(_demand(5_000), lambda: Unplaced.WORTH_WAITING)
        long = _waiting(_demand(50_000), lambda: _PLACED)
        queue.join(short)
        queue.join(long)
        queue.changed(0.0)
        assert long.result.result() is _PLACED

    async def test_too_late_is_refused(self):
        queue = PlacementQueue()
        item = _waiting(_demand(5_000), lambda: Unplaced.NO_ROOM, give_up_s=1.0)
        queue.join(item)
        queue.changed(1.0)
        assert isinstance(item.result.result(), Refused)
        assert not len(queue)


class TestFirstComeBaseline:
    async def test_nobody_passes_one_that_came_earlier(self):
        queue = PlacementQueue(QueueOrder.FIRST_COME)
        assert queue.passable
        queue.join(_waiting(_demand(200_000), lambda: Unplaced.NO_ROOM))
        small = _waiting(_demand(5_000), lambda: _PLACED)
        queue.join(small)
        queue.changed(0.0)
        assert not small.result.done()
        assert not queue.passable
