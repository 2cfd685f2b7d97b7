"""A timer that is started again and again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["Timer"]


class Timer:
    """Calls a function once after a delay, unless it is cancelled or started again."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether the function is still to be called."""
        return self._handle is not None

    def start(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay, and not the one of the start before.

        Args:
            delay_s: The delay, in seconds.
            callback: The function.
        """
        self.cancel()
        self._handle = self._loop.call_later(delay_s, self._call, callback)

    def cancel(self) -> None:
        """Call nothing; does nothing if the timer doesn't run."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _call(self, callback: Callable[[], None]) -> None:
        self._handle = None
        callback()
