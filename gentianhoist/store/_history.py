"""When this process first heard of the store's present history."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.clocks import Clock
from gentianhoist.store.core import NO_HISTORY, TableClient

__all__ = ["HistoryMonitor", "HistoryStart"]

_FIRST_HISTORY = 1


class HistoryStart(NamedTuple):
    """When this process first heard of a history; the history began before that.

    Attributes:
        history: Number of the history.
        wall_s: Wall time in seconds since the epoch.
        monotonic_s: Monotonic time in seconds.
    """

    history: int
    wall_s: float
    monotonic_s: float


class HistoryMonitor:
    """Observes restores of the store, by the histories that its responses name.

    Args:
        table: Client of the table service.
        clock: Clocks of this machine.
    """

    def __init__(self, table: TableClient, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._start: HistoryStart | None = None

    def restored(self) -> HistoryStart | None:
        """Return the start of the present history, None if it is the store's first.

        Call it after each response that matters, so that the start is not late.
        """
        history = self._table.history
        if history in (NO_HISTORY, _FIRST_HISTORY):
            return None
        if self._start is None or self._start.history != history:
            now_s = self._clock.monotonic_s()
            self._start = HistoryStart(history, self._clock.wall_s(), now_s)
        return self._start
