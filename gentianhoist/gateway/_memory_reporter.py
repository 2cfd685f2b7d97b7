"""Log lines and metrics of the memory that an entry holds for its callers."""

from __future__ import annotations

from gentianhoist.http1 import BudgetLimits, CutReason, CutRecord, HttpServer
from gentianhoist.telemetry import EntryMetrics, RepeatedDecisions

__all__ = ["MemoryReporter"]


class MemoryReporter:
    """Reports what the memory limit of an entry decides; silent without a limit.

    Args:
        memory_limit_bytes: Memory that the process may use, None without a limit.
        log: Log of decisions that many callers may cause at once.
        metrics: Counters and gauges of the entry.

    Attributes:
        limits: Limits of the bytes held for callers, None without a limit.
    """

    def __init__(
        self,
        memory_limit_bytes: int | None,
        log: RepeatedDecisions,
        metrics: EntryMetrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._is_short = False
        self.limits: BudgetLimits | None = None
        if memory_limit_bytes is not None:
            self.limits = BudgetLimits.for_process(memory_limit_bytes)

    def record_cut(self, cut: CutRecord) -> None:
        """Report a request, response or connection that was given up."""
        self._metrics.record_cut(cut.pool.value, cut.reason.value)
        is_for_time = cut.reason is CutReason.TINY_CHUNKS
        self._log.record(
            "cut_for_time" if is_for_time else "cut_for_memory",
            pool=cut.pool.value,
            reason=cut.reason.value,
            held_bytes=cut.held_bytes,
            waiting=cut.waiting,
        )

    def check_body_limit(self, max_body_bytes: int) -> None:
        """Report a limit of bodies that there is no room for.

        Args:
            max_body_bytes: The limit of the routing configuration.
        """
        if self.limits is None or max_body_bytes <= self.limits.large_bytes:
            return
        self._log.record(
            "body_limit_exceeds_memory",
            field="max_body_bytes",
            value=max_body_bytes,
            large_bytes=self.limits.large_bytes,
        )

    def update(self, server: HttpServer) -> None:
        """Set the gauges, and report when callers begin or cease to wait for room.

        Args:
            server: Server of the callers.
        """
        if server.memory is None:
            return
        budget = server.memory.budget
        for pool, reserved_bytes in budget.reserved_bytes.items():
            self._metrics.set_reserved_bytes(pool.value, reserved_bytes)
        is_short = bool(budget.waiting)
        if is_short == self._is_short:
            return
        self._is_short = is_short
        self._log.record(
            "memory_short" if is_short else "memory_sufficient",
            waiting=budget.waiting,
            **{f"{pool.value}_bytes": n for pool, n in budget.reserved_bytes.items()},
        )
