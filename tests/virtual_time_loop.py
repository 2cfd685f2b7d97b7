"""An event loop whose time jumps to the next timer, so that waiting costs nothing."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time; it is also the clock of what it runs."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s

    def elapsed_s(self) -> float:
        return self.time()

    def wall_s(self) -> float:
        return self.time()

    def run(self, main: Coroutine[Any, Any, Any]) -> Any:
        return self.run_until_complete(main)

    def cancel_and_close(self) -> None:
        """Cancel what still runs, and close."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        self.run(asyncio.sleep(0))
        self.close()
