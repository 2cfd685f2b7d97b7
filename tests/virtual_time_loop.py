"""An event loop in virtual time, which jumps to the next timer without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time; also serves as the clock of the code under test."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s

    def monotonic_s(self) -> float:
        return self.time()

    def wall_s(self) -> float:
        return self.time()

    def run(self, main: Coroutine[Any, Any, Any]) -> Any:
        return self.run_until_complete(main)

    def cancel_and_close(self) -> None:
        """Cancel all pending tasks and close the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        self.run(asyncio.sleep(0))
        self.close()
