"""gRPC connections to other processes, monitored by heartbeats."""

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
    QuarantineUpdate,
    SidecarStub,
    open_channel,
)

CONNECTION_ERRORS = (OSError, StreamTerminatedError, GRPCError, asyncio.TimeoutError)

# Assumed until an engine's first report: a limit of 1 stream, no free KV cache, a
# prefill speed of 10,000 tokens per second and a decode step of 0.02 s.
_INITIAL_LOAD = EngineLoad("", 1, 0, 0, 0, 0, 0, 10_000.0, 0.02, 0)

_Stub = TypeVar("_Stub", SidecarStub, EntryStub)


class Link(Generic[_Stub]):
    """A connection to one other process, which is reopened after a lost heartbeat.

    Each heartbeat carries the configuration changes that the other process lacked at
    its last reply.

    Args:
        member: The other process.
        stub_type: Class of the gRPC client.
        identity: Name and stamps of this process.
        replica: This process's copy of the configuration.
        timing: Heartbeat periods and timeouts.
        clock: Clocks of this machine.
        events: Events of this process; replaced connections are recorded here.
        idle_monitor: Detects stalls of this process itself.
        on_reply: Called with the member, each heartbeat reply, and the time of the
            heartbeat on this process's clock, in seconds.
    """

    def __init__(
        self,
        member: Member,
        stub_type: type[_Stub],
        identity: Identity,
        replica: ConfigurationReplica,
        timing: TimingSettings,
        clock: Clock,
        events: EventRing,
        idle_monitor: IdleStreamMonitor,
        on_reply: Callable[[Member, HeartbeatReply, float], None],
    ) -> None:
        self._member = member
        self._stub_type = stub_type
        self._identity = identity
        self._replica = replica
        self._timing = timing
        self._clock = clock
        self._events = events
        self._idle_monitor = idle_monitor
        self._on_reply = on_reply
        self._reported_version = 0
        self._task: asyncio.Task[None] | None = None
        self._channel: Channel | None = None
        self._stub: _Stub | None = None
        self._heartbeat_requested = asyncio.Event()

    @property
    def member(self) -> Member:
        """Member at the other end."""
        return self._member

    @property
    def stub(self) -> _Stub:
        """The gRPC client on the current connection."""
        assert self._stub is not None, "start() must be called before stub is used"
        return self._stub

    @property
    def reported_version(self) -> int:
        """Configuration version in the last reply; 0 before the first reply."""
        return self._reported_version

    async def start(self) -> None:
        """Open the connection and start to send heartbeats."""
        self._open()
        self._task = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Stop the heartbeats and close the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._channel is not None:
            self._channel.close()

    def send_heartbeat_now(self) -> None:
        """Send the next heartbeat without waiting for the rest of the period."""
        self._heartbeat_requested.set()

    def reconnect(self, reason: str) -> None:
        """Close the connection, which may no longer carry data, and open a new one.

        Args:
            reason: Why; recorded as an event.
        """
        self._events.record(
            EventKind.CONNECTION_REPLACED, f"to {self._member.name}: {reason}"
        )
        if self._channel is not None:
            self._channel.close()
        self._open()

    def _open(self) -> None:
        self._channel = open_channel(self._member.host, self._member.port)
        self._stub = self._stub_type(self._channel)

    async def _send_heartbeats(self) -> None:
        while True:
            requested_s = self._clock.monotonic_s()
            stub = self.stub
            try:
                reply = await stub.heartbeat(
                    self._build_heartbeat(), timeout=self._timing.silence_s
                )
            except CONNECTION_ERRORS as error:
                was_refused = isinstance(error, ConnectionRefusedError)
                was_stalled = self._idle_monitor.has_stalled_since(requested_s)
                if stub is self._stub and not was_refused and not was_stalled:
                    self.reconnect(f"heartbeat: {type(error).__name__}")
            else:
                self._apply_reply(reply, requested_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._period_s):
                    await self._heartbeat_requested.wait()
            self._heartbeat_requested.clear()

    @property
    def _period_s(self) -> float:
        return self._timing.heartbeat_s

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._identity.stamp(),
            update=self._replica.update_for(self._reported_version),
        )

    def _apply_reply(self, reply: HeartbeatReply, requested_s: float) -> None:
        self._identity.observe_stamp(reply.stamp)
        self._reported_version = reply.stamp.configuration_version
        self._on_reply(self._member, reply, requested_s)


class EntryLink(Link[EntryStub]):
    """A connection to another entry.

    The arguments are those of `Link`, and one more.

    Args:
        quarantine_update: Returns what this entry knows of prompts that crash engines.
    """

    def __init__(
        self,
        member: Member,
        identity: Identity,
        replica: ConfigurationReplica,
        timing: TimingSettings,
        clock: Clock,
        events: EventRing,
        idle_monitor: IdleStreamMonitor,
        on_reply: Callable[[Member, HeartbeatReply, float], None],
        quarantine_update: Callable[[], QuarantineUpdate | None],
    ) -> None:
        super().__init__(
            member,
            EntryStub,
            identity,
            replica,
            timing,
            clock,
            events,
            idle_monitor,
            on_reply,
        )
        self._quarantine_update = quarantine_update

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._identity.stamp(),
            update=self._replica.update_for(self._reported_version),
            quarantine=self._quarantine_update(),
        )

    @property
    def _period_s(self) -> float:
        return self._timing.entry_heartbeat_s


class SidecarLink(Link[SidecarStub]):
    """A connection to a sidecar, with this entry's view of its backend server.

    Streams and calls use a pool of further connections. The arguments are those of
    `Link`.
    """

    def __init__(
        self,
        member: Member,
        identity: Identity,
        replica: ConfigurationReplica,
        timing: TimingSettings,
        clock: Clock,
        events: EventRing,
        idle_monitor: IdleStreamMonitor,
        on_reply: Callable[[Member, HeartbeatReply, float], None],
    ) -> None:
        super().__init__(
            member,
            SidecarStub,
            identity,
            replica,
            timing,
            clock,
            events,
            idle_monitor,
            on_reply,
        )
        self._stream_channels = ChannelPool(member.host, member.port)
        self._view = BackendView(_backend_server(member), _INITIAL_LOAD)
        self._cache_cursor = 0

    @property
    def stream_channels(self) -> ChannelPool:
        """Pool of the connections for streams and calls."""
        return self._stream_channels

    async def close(self) -> None:
        """Close all connections."""
        self._stream_channels.close()
        await super().close()

    @property
    def view(self) -> BackendView:
        """Routing's view of the backend server."""
        return self._view

    def update_load(self, load: EngineLoad) -> None:
        """Update the view with a load that arrived outside a heartbeat reply."""
        self._view.update_load(load, self._clock.monotonic_s())

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._identity.stamp(),
            self._cache_cursor,
            self._replica.update_for(self._reported_version),
        )

    def _apply_reply(self, reply: HeartbeatReply, requested_s: float) -> None:
        now_s = self._clock.monotonic_s()
        if reply.load is not None:
            self._view.update_load(reply.load, now_s)
            self._view.heartbeat_round_trip_s = now_s - requested_s
            self._view.cache.add(reply.cached_prefix_hashes, now_s)
            self._cache_cursor = reply.cache_cursor
        super()._apply_reply(reply, requested_s)


def _backend_server(member: Member) -> BackendServer:
    """The backend server behind a sidecar, under the sidecar's name and address."""
    return BackendServer(
        member.name,
        member.group,
        member.host,
        member.port,
        member.availability_zone,
        slots=_INITIAL_LOAD.limit_streams,
    )


async def close_links(links: list[Link]) -> None:
    """Close links concurrently; errors are ignored."""
    with contextlib.suppress(Exception):
        await asyncio.gather(*(link.close() for link in links))
