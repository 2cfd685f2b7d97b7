"""Base class of background tasks."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

__all__ = ["BackgroundTask"]


class BackgroundTask(ABC):
    """An asyncio task that runs `_run` between `start` and `close`."""

    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task on the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @abstractmethod
    async def _run(self) -> None:
        """Body of the task; runs until it is cancelled."""
