"""A queue under a flood of changes, in virtual time."""

import asyncio

import pytest
import uvloop

from gentianhoist.clocks import SystemClock
from gentianhoist.dispatch._queue_scheduler import QueueScanScheduler
from tests.virtual_time_loop import VirtualTimeLoop


class NonEmptyQueue:
    """A queue that stays full, and whose every look takes some processor time."""

    def __init__(self, scan_s: float) -> None:
        self.scans = 0
        self.used_s = 0.0
        self._scan_s = scan_s

    def __len__(self) -> int:
        return 1

    def changed(self, now_s: float) -> None:
        self.scans += 1
        self.used_s += self._scan_s

    def stopwatch(self) -> float:
        return self.used_s


@pytest.fixture
def loop():
    instance = VirtualTimeLoop()
    yield instance
    instance.cancel_and_close()


async def _request_scans(
    scheduler: QueueScanScheduler, changes: int, every_s: float
) -> None:
    for _ in range(changes):
        scheduler.request_scan()
        await asyncio.sleep(every_s)
    scheduler.close()


def _scheduler(queue: NonEmptyQueue, loop: VirtualTimeLoop) -> QueueScanScheduler:
    return QueueScanScheduler(queue, loop, queue.stopwatch)  # type: ignore[arg-type]


class TestFloodOfChanges:
    def test_looks_take_a_bounded_part_of_the_processor(self, loop):
        queue = NonEmptyQueue(scan_s=0.02)
        loop.run(_request_scans(_scheduler(queue, loop), changes=1_000, every_s=0.001))
        assert queue.used_s <= 0.25

    def test_cheap_looks_follow_changes_closely(self, loop):
        queue = NonEmptyQueue(scan_s=0.0)
        loop.run(_request_scans(_scheduler(queue, loop), changes=1_000, every_s=0.001))
        assert queue.scans >= 100


class TestNoChange:
    def test_time_alone_brings_looks(self, loop):
        queue = NonEmptyQueue(scan_s=0.0)
        loop.run(_request_scans(_scheduler(queue, loop), changes=1, every_s=1.0))
        assert queue.scans >= 20


class TestOnUvloop:
    def test_wakes_while_a_look_is_due(self):
        """Its handles differ from asyncio's where the time has come already."""
        queue = NonEmptyQueue(scan_s=0.0)

        async def wake_twice() -> None:
            scheduler = QueueScanScheduler(queue, SystemClock())  # type: ignore[arg-type]
            scheduler.request_scan()
            scheduler.request_scan()
            await asyncio.sleep(0.01)
            scheduler.close()

        uvloop.run(wake_twice())
        assert queue.scans >= 1
