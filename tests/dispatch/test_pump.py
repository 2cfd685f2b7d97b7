"""A queue under a flood of changes."""

import asyncio
import time

from gentianhoist.clocks import SystemClock
from gentianhoist.dispatch._pump import QueuePump


class SlowQueue:
    """A queue whose every look takes some processor time."""

    def __init__(self, look_s: float) -> None:
        self.looks = 0
        self._look_s = look_s

    def __len__(self) -> int:
        return 1

    def changed(self, now_s: float) -> None:
        self.looks += 1
        end_s = time.perf_counter() + self._look_s
        while time.perf_counter() < end_s:
            continue


class TestFloodOfChanges:
    async def test_a_change_while_the_pump_rests_is_looked_at_later(self):
        queue = SlowQueue(0.0)
        pump = QueuePump(queue, SystemClock())  # type: ignore[arg-type]
        pump.wake()
        await asyncio.sleep(0.01)
        pump.wake()
        await asyncio.sleep(0.05)
        assert queue.looks == 2

    async def test_many_changes_are_one_look(self):
        queue = SlowQueue(0.02)
        pump = QueuePump(queue, SystemClock())  # type: ignore[arg-type]
        for _ in range(200):
            pump.wake()
            await asyncio.sleep(0)
        # One look at once; the next has to wait for five times as long as it took.
        assert queue.looks == 1
        pump.close()
