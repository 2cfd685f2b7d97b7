"""Execution of calls on one plain service, within a concurrency limit."""

from __future__ import annotations

import asyncio

import msgspec

from gentianhoist.backends import ServiceClient
from gentianhoist.calls import CallExecutor, CallSweeper
from gentianhoist.capacity import AdaptiveConcurrencyLimit
from gentianhoist.clocks import Clock
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.store import TableClient
from gentianhoist.wire import CallReply, CallRequest

_PROBE_PERIOD_S = 0.25
# One lost probe must not make the service unreachable, so this many in a row do.
_UNREACHABLE_FAILED_PROBES = 3
_RETRY_AFTER_S = 0.1


class ServiceRunner:
    """Runs calls on one plain service and probes its health.

    Args:
        url: Base URL of the service.
        concurrency_limit: Adaptive limit of calls in progress.
        table: Client of the table service, which stores the calls' outcomes.
        clock: Clocks of this machine.
        events: Event ring that records decisions.
        instance: Name of this instance.
        incarnation: Random id of this process, new at each start.
        retention_s: Seconds for which outcomes are kept.
    """

    def __init__(
        self,
        url: str,
        concurrency_limit: AdaptiveConcurrencyLimit,
        table: TableClient,
        clock: Clock,
        events: EventRing,
        instance: str,
        incarnation: str,
        retention_s: float,
    ) -> None:
        self._client = ServiceClient(url)
        self._concurrency_limit = concurrency_limit
        self._events = events
        self._in_progress = 0
        self._repeats_in_progress = 0
        self._is_reachable = False
        self._probe_task: asyncio.Task[None] | None = None
        self._sweeper = CallSweeper(table, clock, retention_s)
        self._executor = CallExecutor(
            table, self._client, clock, instance, incarnation, self._record_execution
        )

    @property
    def executor(self) -> CallExecutor:
        """Executor of the calls."""
        return self._executor

    @property
    def in_progress(self) -> int:
        """Number of calls whose callers still wait, repeats included."""
        return self._in_progress + self._repeats_in_progress

    @property
    def call_limit(self) -> int:
        """Current maximum number of concurrent calls."""
        return self._concurrency_limit.limit_streams

    @property
    def is_ready(self) -> bool:
        """Whether the health probes of the service succeed."""
        return self._is_reachable

    async def start(self) -> None:
        """Start the client, the executor, the sweeper and the health probes."""
        await self._client.start()
        await self._executor.start()
        await self._sweeper.start()
        self._probe_task = asyncio.create_task(self._probe_periodically())

    async def close(self) -> None:
        """Stop at once."""
        if self._probe_task is not None:
            self._probe_task.cancel()
        await self._sweeper.close()
        await self._executor.close()
        await self._client.close()

    def has_call(self, request: CallRequest) -> bool:
        """Whether this process already has a call with the same idempotency key."""
        return self._executor.has_call(request)

    async def call(self, request: CallRequest) -> CallReply:
        """Run one call, unless the concurrency limit is reached.

        A repeat of a call that this process has is not limited.

        Args:
            request: The call.

        Returns:
            The outcome, or the kind of error.
        """
        if self._executor.has_call(request):
            return await self._call_repeat(request)
        if self._in_progress >= self._concurrency_limit.limit_streams:
            return CallReply(
                None,
                ErrorKind.OVERLOADED,
                "the limit of concurrent calls is reached",
                NotRun.TRUE,
                _RETRY_AFTER_S,
            )
        self._in_progress += 1
        at_limit = self._in_progress >= self._concurrency_limit.limit_streams
        try:
            reply = await self._executor.call(request)
        finally:
            self._in_progress -= 1
        if reply.outcome is not None:
            self._concurrency_limit.record_success(
                slowness_ratio=1.0, at_limit=at_limit
            )
        elif reply.kind in (ErrorKind.BACKEND_FAILED, ErrorKind.OUTCOME_UNKNOWN):
            self._concurrency_limit.record_overload()
        if reply.outcome is None and reply.not_run is NotRun.UNKNOWN:
            has_crashed = await self._client.is_down()
            return msgspec.structs.replace(reply, server_crashed=has_crashed)
        return reply

    async def _call_repeat(self, request: CallRequest) -> CallReply:
        """Answer a repeated call, which does not run on the service again."""
        self._repeats_in_progress += 1
        try:
            return await self._executor.call(request)
        finally:
            self._repeats_in_progress -= 1

    def _record_execution(self, request_id: str) -> None:
        self._events.record(
            EventKind.CALL_EXECUTED,
            "sending the call to the backend server",
            request_id,
        )

    async def _probe_periodically(self) -> None:
        failed_probes = 0
        while True:
            failure = await self._client.probe()
            failed_probes = failed_probes + 1 if failure else 0
            if not failure and not self._is_reachable:
                self._concurrency_limit.reset()
                self._events.record(EventKind.BACKEND_COLD, "the service responds")
                self._is_reachable = True
            elif failed_probes == _UNREACHABLE_FAILED_PROBES and self._is_reachable:
                self._is_reachable = False
                self._events.record(
                    EventKind.BACKEND_COLD, f"the service does not respond: {failure}"
                )
            await asyncio.sleep(_PROBE_PERIOD_S)
