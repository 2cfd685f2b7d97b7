"""Connections to other processes, kept alive by heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Generic, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from gentianhoist.clocks import Clock
from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.entry._channels import ChannelPool
from gentianhoist.entry._idle_monitor import IdleStreamMonitor
from gentianhoist.events import EventKind, EventRing
from gentianhoist.fleet import BackendServer
from gentianhoist.membership import Member
from gentianhoist.routing import BackendView
from gentianhoist.settings import TimingSettings
from gentianhoist.wire import (
    EngineLoad,
    EntryStub,
    Heartbeat,
    HeartbeatReply,
    SidecarStub,
    open_channel,
)

CONNECTION_ERRORS = (OSError, StreamTerminatedError, GRPCError, asyncio.TimeoutError)

_UNKNOWN_LOAD = EngineLoad("", 1, 0, 0, 0, 0, 0, 10_000.0, 0.02, 0)

_Stub = TypeVar("_Stub", SidecarStub, EntryStub)


class Link(Generic[_Stub]):
    """The connection to one other process.

    Args:
        member: The other process.
        stub_type: How to call it.
        identity: Who this process is.
        configuration: Its copy of the configuration.
        timing: Periods.
        clock: This machine's clocks.
        events: Where replaced connections are recorded.
        silence: Finds out whether this process was late itself.
        on_reply: Told each answer, and when it was asked for.
    """

    def __init__(
        self,
        member: Member,
        stub_type: type[_Stub],
        identity: Identity,
        configuration: ConfigurationReplica,
        timing: TimingSettings,
        clock: Clock,
        events: EventRing,
        silence: IdleStreamMonitor,
        on_reply: Callable[[Member, HeartbeatReply, float], None],
    ) -> None:
        self._member = member
        self._stub_type = stub_type
        self._identity = identity
        self._configuration = configuration
        self._timing = timing
        self._clock = clock
        self._events = events
        self._silence = silence
        self._on_reply = on_reply
        self._heard_version = 0
        self._task: asyncio.Task[None] | None = None
        self._channel: Channel | None = None
        self._stub: _Stub | None = None
        self._nudged = asyncio.Event()

    @property
    def member(self) -> Member:
        """The other process."""
        return self._member

    @property
    def stub(self) -> _Stub:
        """Calls it on the present connection."""
        assert self._stub is not None, "start() first"
        return self._stub

    @property
    def heard_version(self) -> int:
        """Configuration version that it last had."""
        return self._heard_version

    async def start(self) -> None:
        """Open the connection and keep it alive."""
        self._open()
        self._task = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._channel is not None:
            self._channel.close()

    def nudge(self) -> None:
        """Send the next heartbeat now, as there is news."""
        self._nudged.set()

    def replace(self, reason: str) -> None:
        """Drop the connection, which may have gone silent, and open a new one."""
        self._events.record(
            EventKind.CONNECTION_REPLACED, f"to {self._member.name}: {reason}"
        )
        if self._channel is not None:
            self._channel.close()
        self._open()

    def _open(self) -> None:
        self._channel = open_channel(self._member.host, self._member.port)
        self._stub = self._stub_type(self._channel)

    async def _beat(self) -> None:
        while True:
            asked_s = self._clock.elapsed_s()
            stub = self.stub
            try:
                reply = await stub.heartbeat(
                    self._heartbeat(), timeout=self._timing.silence_s
                )
            except CONNECTION_ERRORS as error:
                refused = isinstance(error, ConnectionRefusedError)
                late = self._silence.has_stalled_since(asked_s)
                if stub is self._stub and not refused and not late:
                    self.replace(f"heartbeat: {type(error).__name__}")
            else:
                self._take(reply, asked_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._period_s):
                    await self._nudged.wait()
            self._nudged.clear()

    @property
    def _period_s(self) -> float:
        return self._timing.heartbeat_s

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._identity.stamp(),
            update=self._configuration.update_for(self._heard_version),
        )

    def _take(self, reply: HeartbeatReply, asked_s: float) -> None:
        self._identity.observe_stamp(reply.stamp)
        self._heard_version = reply.stamp.configuration_version
        self._on_reply(self._member, reply, asked_s)


class EntryLink(Link[EntryStub]):
    """The connection to another entry."""

    @property
    def _period_s(self) -> float:
        return self._timing.entry_heartbeat_s


class SidecarLink(Link[SidecarStub]):
    """The connection to a sidecar, with what is known of its backend server."""

    def __init__(
        self,
        member: Member,
        identity: Identity,
        configuration: ConfigurationReplica,
        timing: TimingSettings,
        clock: Clock,
        events: EventRing,
        silence: IdleStreamMonitor,
        on_reply: Callable[[Member, HeartbeatReply, float], None],
    ) -> None:
        super().__init__(
            member,
            SidecarStub,
            identity,
            configuration,
            timing,
            clock,
            events,
            silence,
            on_reply,
        )
        self._streams = ChannelPool(member.host, member.port)
        self._view = BackendView(_backend_server(member), _UNKNOWN_LOAD)
        self._cursor = 0

    @property
    def streams(self) -> ChannelPool:
        """Connections for streams and calls."""
        return self._streams

    async def close(self) -> None:
        """Close all connections."""
        self._streams.close()
        await super().close()

    @property
    def view(self) -> BackendView:
        """What routing knows of it."""
        return self._view

    def take_load(self, load: EngineLoad) -> None:
        """Take what the sidecar says of its engine on the way."""
        self._view.update_load(load, self._clock.elapsed_s())

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._identity.stamp(),
            self._cursor,
            self._configuration.update_for(self._heard_version),
        )

    def _take(self, reply: HeartbeatReply, asked_s: float) -> None:
        now_s = self._clock.elapsed_s()
        if reply.load is not None:
            self._view.update_load(reply.load, now_s)
            self._view.network_s = now_s - asked_s
            self._view.cache.add(reply.cache_marks, now_s)
            self._cursor = reply.cache_cursor
        super()._take(reply, asked_s)


def _backend_server(member: Member) -> BackendServer:
    """The backend server behind a sidecar, under the sidecar's name and address."""
    return BackendServer(
        member.name,
        member.group,
        member.host,
        member.port,
        member.availability_zone,
        slots=_UNKNOWN_LOAD.limit_streams,
    )


async def close_all(links: list[Link]) -> None:
    """Close many connections."""
    with contextlib.suppress(Exception):
        await asyncio.gather(*(link.close() for link in links))
