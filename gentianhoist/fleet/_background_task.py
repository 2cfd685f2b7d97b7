"""A task that its owner starts and closes."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

__all__ = ["BackgroundTask"]


class BackgroundTask(ABC):
    """Runs `_run` from `start` to `close`."""

    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to run."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop, and wait for the end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @abstractmethod
    async def _run(self) -> None:
        """What the task does until it is cancelled."""
