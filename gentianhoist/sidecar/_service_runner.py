"""Runs calls on one plain service, within what it bears."""

from __future__ import annotations

import asyncio

from gentianhoist.backends import ServiceClient
from gentianhoist.calls import CallExecutor, CallSweeper
from gentianhoist.capacity import SlowStart
from gentianhoist.clocks import Clock
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.store import TableClient
from gentianhoist.wire import CallReply, CallRequest

_PROBE_S = 0.25
# One lost probe does not make a service unreachable.
_PROBES = 3
_RETRY_AFTER_S = 0.1


class ServiceRunner:
    """Everything that a sidecar does with its plain service.

    Args:
        url: Base URL of the service.
        slow_start: Limit of calls in progress.
        table: The table service.
        clock: This machine's clocks.
        events: Where decisions are recorded.
        instance: Name of this instance.
        incarnation: Random name of its present life.
        retention_s: Seconds that outcomes are kept.
    """

    def __init__(
        self,
        url: str,
        slow_start: SlowStart,
        table: TableClient,
        clock: Clock,
        events: EventRing,
        instance: str,
        incarnation: str,
        retention_s: float,
    ) -> None:
        self._client = ServiceClient(url)
        self._slow_start = slow_start
        self._events = events
        self._in_progress = 0
        self._joined = 0
        self._reachable = False
        self._probe: asyncio.Task[None] | None = None
        self._sweeper = CallSweeper(table, clock, retention_s)
        self._executor = CallExecutor(
            table, self._client, clock, instance, incarnation, self._executed
        )

    @property
    def executor(self) -> CallExecutor:
        """What runs the calls."""
        return self._executor

    @property
    def in_progress(self) -> int:
        """Calls whose callers still wait."""
        return self._in_progress + self._joined

    @property
    def call_limit(self) -> int:
        """Calls that the service bears at once."""
        return self._slow_start.limit_streams

    @property
    def is_ready(self) -> bool:
        """Whether the service answers."""
        return self._reachable

    async def start(self) -> None:
        """Open the client and begin to watch the service."""
        await self._client.start()
        await self._executor.start()
        await self._sweeper.start()
        self._probe = asyncio.create_task(self._watch())

    async def close(self) -> None:
        """Stop at once."""
        if self._probe is not None:
            self._probe.cancel()
        await self._sweeper.close()
        await self._executor.close()
        await self._client.close()

    def has_call(self, request: CallRequest) -> bool:
        """Whether this life has already been asked for the call's key."""
        return self._executor.has_call(request)

    async def call(self, request: CallRequest) -> CallReply:
        """Run one call, unless the service bears no more."""
        if self._executor.has_call(request):
            return await self._join(request)
        if self._in_progress >= self._slow_start.limit_streams:
            return CallReply(
                None,
                ErrorKind.OVERLOADED,
                "the service bears no more calls",
                NotRun.TRUE,
                _RETRY_AFTER_S,
            )
        self._in_progress += 1
        at_limit = self._in_progress >= self._slow_start.limit_streams
        try:
            reply = await self._executor.call(request)
        finally:
            self._in_progress -= 1
        if reply.outcome is not None:
            self._slow_start.record_success(slowness_ratio=1.0, at_limit=at_limit)
        elif reply.kind in (ErrorKind.BACKEND_FAILED, ErrorKind.OUTCOME_UNKNOWN):
            self._slow_start.record_overload()
        return reply

    async def _join(self, request: CallRequest) -> CallReply:
        """Answer a repeat, which costs the service nothing."""
        self._joined += 1
        try:
            return await self._executor.call(request)
        finally:
            self._joined -= 1

    def _executed(self, request_id: str) -> None:
        self._events.record(
            EventKind.CALL_EXECUTED, "handed to the backend server", request_id
        )

    async def _watch(self) -> None:
        failures = 0
        while True:
            reason = await self._client.probe()
            failures = failures + 1 if reason else 0
            if not reason and not self._reachable:
                self._slow_start.reset()
                self._events.record(EventKind.BACKEND_COLD, "the service answers")
                self._reachable = True
            elif failures == _PROBES and self._reachable:
                self._reachable = False
                self._events.record(EventKind.BACKEND_COLD, f"no answer: {reason}")
            await asyncio.sleep(_PROBE_S)
