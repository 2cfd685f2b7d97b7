"""Scans of the placement queue under many changes, in virtual time."""

import asyncio

import uvloop

from gentianhoist.clocks import SystemClock
from gentianhoist.dispatch._queue_scheduler import QueueScanScheduler
from tests.virtual_time_loop import VirtualTimeLoop


class FullQueue:
    """A queue that stays full, and whose every scan takes some processor time."""

    def __init__(self, scan_s: float) -> None:
        self.scans = 0
        self.used_s = 0.0
        self._scan_s = scan_s

    def __len__(self) -> int:
        return 1

    def place_waiting(self, now_s: float) -> None:
        self.scans += 1
        self.used_s += self._scan_s

    def stopwatch(self) -> float:
        return self.used_s


async def _flood(scheduler: QueueScanScheduler, changes: int, every_s: float) -> None:
    for _ in range(changes):
        scheduler.request_scan()
        await asyncio.sleep(every_s)
    scheduler.close()


def _scheduler(queue: FullQueue, loop: VirtualTimeLoop) -> QueueScanScheduler:
    return QueueScanScheduler(queue, loop, queue.stopwatch)  # type: ignore[arg-type]


class TestFloodOfChanges:
    def test_scans_take_a_bounded_share_of_the_processor(self, loop):
        queue = FullQueue(scan_s=0.02)
        loop.run(_flood(_scheduler(queue, loop), changes=1_000, every_s=0.001))
        assert queue.used_s <= 0.25

    def test_cheap_scans_follow_changes_closely(self, loop):
        queue = FullQueue(scan_s=0.0)
        loop.run(_flood(_scheduler(queue, loop), changes=1_000, every_s=0.001))
        assert queue.scans >= 100


class TestNoChange:
    def test_scans_continue_without_changes(self, loop):
        queue = FullQueue(scan_s=0.0)
        loop.run(_flood(_scheduler(queue, loop), changes=1, every_s=1.0))
        assert queue.scans >= 20


class TestOnUvloop:
    def test_request_while_a_scan_is_scheduled(self):
        """uvloop's handles differ from asyncio's for a timer that is already due."""
        queue = FullQueue(scan_s=0.0)

        async def request_twice() -> None:
            scheduler = QueueScanScheduler(queue, SystemClock())  # type: ignore[arg-type]
            scheduler.request_scan()
            scheduler.request_scan()
            await asyncio.sleep(0.01)
            scheduler.close()

        uvloop.run(request_twice())
        assert queue.scans >= 1
