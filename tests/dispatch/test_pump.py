"""A queue under a flood of changes, in virtual time."""

import asyncio

import pytest
import uvloop

from gentianhoist.clocks import SystemClock
from gentianhoist.dispatch._queue_scheduler import QueueScanScheduler
from tests.virtual_time_loop import VirtualTimeLoop


class FullQueue:
    """A queue that stays full, and whose every look takes some processor time."""

    def __init__(self, look_s: float) -> None:
        self.looks = 0
        self.used_s = 0.0
        self._look_s = look_s

    def __len__(self) -> int:
        return 1

    def changed(self, now_s: float) -> None:
        self.looks += 1
        self.used_s += self._look_s

    def stopwatch(self) -> float:
        return self.used_s


@pytest.fixture
def loop():
    instance = VirtualTimeLoop()
    yield instance
    instance.cancel_and_close()


async def _flood(pump: QueueScanScheduler, changes: int, every_s: float) -> None:
    for _ in range(changes):
        pump.request_scan()
        await asyncio.sleep(every_s)
    pump.close()


def _pump(queue: FullQueue, loop: VirtualTimeLoop) -> QueueScanScheduler:
    return QueueScanScheduler(queue, loop, queue.stopwatch)  # type: ignore[arg-type]


class TestFloodOfChanges:
    def test_looks_take_a_bounded_part_of_the_processor(self, loop):
        queue = FullQueue(look_s=0.02)
        loop.run(_flood(_pump(queue, loop), changes=1_000, every_s=0.001))
        assert queue.used_s <= 0.25

    def test_cheap_looks_follow_changes_closely(self, loop):
        queue = FullQueue(look_s=0.0)
        loop.run(_flood(_pump(queue, loop), changes=1_000, every_s=0.001))
        assert queue.looks >= 100


class TestNoChange:
    def test_time_alone_brings_looks(self, loop):
        queue = FullQueue(look_s=0.0)
        loop.run(_flood(_pump(queue, loop), changes=1, every_s=1.0))
        assert queue.looks >= 20


class TestOnUvloop:
    def test_wakes_while_a_look_is_due(self):
        """Its handles differ from asyncio's where the time has come already."""
        queue = FullQueue(look_s=0.0)

        async def wake_twice() -> None:
            pump = QueueScanScheduler(queue, SystemClock())  # type: ignore[arg-type]
            pump.request_scan()
            pump.request_scan()
            await asyncio.sleep(0.01)
            pump.close()

        uvloop.run(wake_twice())
        assert queue.looks >= 1
