"""Measures for how long other tasks wait for their turn of the event loop."""

import asyncio
import time

# Events of other callers have to be passed on within this time.
PASS_S = 0.12


class TurnMonitor:
    """Measures the processor time of the longest turn of the event loop.

    Use it with the fixture `heap_of_its_own`.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._task = asyncio.ensure_future(self._measure())

    async def _measure(self) -> None:
        while True:
            began_s = time.thread_time()
            await asyncio.sleep(0)
            self.longest_s = max(self.longest_s, time.thread_time() - began_s)

    def close(self) -> None:
        self._task.cancel()
