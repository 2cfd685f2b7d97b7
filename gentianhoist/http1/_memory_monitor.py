"""Carries out the decisions of a server's budget of received bytes in time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from gentianhoist.http1._receive_budget import (
    BudgetLimits,
    CutReason,
    Pool,
    ReceiveBudget,
)

__all__ = ["CutRecord", "MemoryMonitor", "MonitoredConnection"]

_CHECK_INTERVAL_S = 0.1


class CutRecord(NamedTuple):
    """A request or response that was given up, for logs and metrics.

    Attributes:
        pool: Pool of its bytes, or the one in which it waited for room.
        reason: Why it was given up.
        held_bytes: Bytes that it held.
        waiting: Number of others that waited for room.
    """

    pool: Pool
    reason: CutReason
    held_bytes: int
    waiting: int


class MonitoredConnection(Protocol):
    """Connection to a caller, as `MemoryMonitor` uses it."""

    def check_progress(self) -> None:
        """Look whether the caller reads, and whether it may send."""
        ...


class MemoryMonitor:
    """Budget of a server, and the timer that ends what makes no progress.

    Args:
        limits: Limits of the budget.
        connections: Returns all connections.
        idle_timeout_s: Returns the seconds without a byte until a request is ended.
        on_cut: Called with each request or response that is given up.
    """

    def __init__(
        self,
        limits: BudgetLimits,
        connections: Callable[[], Iterable[MonitoredConnection]],
        idle_timeout_s: Callable[[], float],
        on_cut: Callable[[CutRecord], None],
    ) -> None:
        self._connections = connections
        self._idle_timeout_s = idle_timeout_s
        self._on_cut = on_cut
        self._rng = random.Random()
        self._timer: asyncio.TimerHandle | None = None
        self.budget = ReceiveBudget(limits)

    def start(self) -> None:
        """Begin to check regularly."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def close(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()

    def retry_after_s(self) -> float:
        """Seconds after which a refused caller probably finds room."""
        return self.budget.retry_after_s(self._rng.random())

    def _check(self) -> None:
        self.start()
        for connection in list(self._connections()):
            connection.check_progress()
        now_s = asyncio.get_running_loop().time()
        for cut in self.budget.cuts_due(self._idle_timeout_s(), now_s):
            record = CutRecord(
                cut.hold.wanted_pool,
                cut.reason,
                cut.hold.held_bytes,
                self.budget.waiting,
            )
            if self.budget.cut(cut):
                self._on_cut(record)
