"""The stop of an entry, which ends the wait of all its requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from gentianhoist.exceptions import ErrorKind, HoistError

__all__ = ["Shutdown"]

# Mean time after which a caller comes back; other entries take its request at once.
_RETRY_AFTER_S = 0.2
_NEVER_S = float("inf")


class Shutdown:
    """When the entry has to have answered all requests that it has read.

    A request may wait in many places: for the tables, the quarantine, an engine, a KV
    cache reservation, a rate limit, a connection, a retry or a response. One limit on
    all of its work ends the wait in each of them.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._end_s = _NEVER_S
        self._last_stream_s = _NEVER_S
        self._timeouts: set[asyncio.Timeout] = set()

    @property
    def end_s(self) -> float:
        """When all requests must have been answered; infinite before a stop."""
        return self._end_s

    @property
    def has_begun(self) -> bool:
        """Whether the entry has been told to stop."""
        return self._end_s < _NEVER_S

    def begin(self, end_s: float, last_stream_s: float = _NEVER_S) -> None:
        """Bring the ends of all requests forward.

        Args:
            end_s: When all must have been answered, on the event loop's clock.
            last_stream_s: When the last stream may arrive, on the event loop's clock.
        """
        self._end_s = end_s
        self._last_stream_s = last_stream_s
        for timeout in self._timeouts:
            when_s = timeout.when()
            if not timeout.expired() and (when_s is None or when_s > end_s):
                timeout.reschedule(end_s)

    def remaining_s(self, now_s: float) -> float:
        """Seconds until all requests must have been answered; infinite before a stop.

        Args:
            now_s: Current time on the event loop's clock.
        """
        return self._end_s - now_s

    @asynccontextmanager
    async def timeout_at(self, when_s: float) -> AsyncGenerator[None, None]:
        """Limit the time of an `async with` block, which a stop may shorten.

        Args:
            when_s: End of the block without a stop, on the event loop's clock.

        Raises:
            TimeoutError: If the block takes longer.
        """
        async with asyncio.timeout_at(min(when_s, self._end_s)) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def raise_if_over(self, now_s: float) -> None:
        """Refuse a request that can't be served any more.

        Args:
            now_s: Current time on the event loop's clock.

        Raises:
            HoistError: If all requests had to be answered by now.
        """
        if self.remaining_s(now_s) <= 0.0:
            raise self.error(may_have_run=False)

    def raise_if_late_stream(self, received_s: float) -> None:
        """Refuse a stream that may last longer than the entry.

        Args:
            received_s: When it arrived, on the event loop's clock.

        Raises:
            HoistError: If it arrived after the last stream that is served.
        """
        if received_s > self._last_stream_s:
            raise self.error(may_have_run=False)

    def error(self, *, may_have_run: bool) -> HoistError:
        """The error for the caller of a request that the stop ends.

        Args:
            may_have_run: Whether a server may have started to execute the request.
        """
        if may_have_run:
            return HoistError(
                ErrorKind.OUTCOME_UNKNOWN, "the entry stops before the server responded"
            )
        # All that wait end at the same moment, and must not come back at one.
        retry_after_s = _RETRY_AFTER_S * (0.5 + self._rng.random())
        return HoistError(
            ErrorKind.LEAVING, "the entry stops", retry_after_s=retry_after_s
        )
