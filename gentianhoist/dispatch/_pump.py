"""Looks at the queue when something has changed, but never too often."""

from __future__ import annotations

import asyncio
import time

from gentianhoist.clocks import Clock
from gentianhoist.placement import PlacementQueue

__all__ = ["QueuePump"]

_MIN_GAP_S = 0.005
# Time left to other work for each second spent on the queue, in seconds.
_REST_RATIO = 5.0


class QueuePump:
    """Wakes the queue.

    Changes come by the hundred a second from many entries, and a look at a long queue
    takes a slow processor many milliseconds. So looks are gathered, and each is
    followed by a rest in proportion to what it took.

    Args:
        queue: The waiting requests.
        clock: The entry's clock.
    """

    def __init__(self, queue: PlacementQueue, clock: Clock) -> None:
        self._queue = queue
        self._clock = clock
        self._rest_until_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    def wake(self) -> None:
        """Look at the queue soon, if anything waits in it."""
        if self._timer is not None or not len(self._queue):
            return
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, self._rest_until_s - loop.time())
        self._timer = loop.call_later(delay_s, self._look)

    def close(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        self._timer = None
        began_s = time.perf_counter()
        self._queue.changed(self._clock.elapsed_s())
        took_s = time.perf_counter() - began_s
        rest_s = max(_MIN_GAP_S, _REST_RATIO * took_s)
        self._rest_until_s = asyncio.get_running_loop().time() + rest_s
