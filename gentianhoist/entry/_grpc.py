"""The entry's gRPC service for heartbeats, loans and the collection of events."""

from __future__ import annotations

from collections.abc import Callable

from grpclib.server import Stream

from gentianhoist.allowance import Amount
from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.events import EventRing
from gentianhoist.wire import (
    AllowanceUsage,
    ConfigurationUpdate,
    EntryService,
    EventsReply,
    EventsRequest,
    Heartbeat,
    HeartbeatReply,
    LoanReply,
    LoanRequest,
    QuarantineUpdate,
)


class EntryGrpc(EntryService):
    """Handles the gRPC requests of other entries.

    Args:
        identity: Name and stamps of this process.
        replica: This process's copy of the configuration.
        events: Events of this process.
        has_unreported_change: Returns whether a change may be in the configuration log
            that this entry does not report yet.
        on_update: Called with each configuration update from another process.
        lend: Lends an amount of this entry's share of the rate limit.
        usage_report: Returns this entry's usage report, or `None` before a
            configuration is loaded.
        on_quarantine: Called with what another entry knows of prompts that crash
            engines.

    Attributes:
        is_leaving: Whether heartbeat replies report that this entry is draining.
    """

    def __init__(
        self,
        identity: Identity,
        replica: ConfigurationReplica,
        events: EventRing,
        has_unreported_change: Callable[[], bool],
        on_update: Callable[[ConfigurationUpdate], None],
        lend: Callable[[Amount], LoanReply],
        usage_report: Callable[[], AllowanceUsage | None],
        on_quarantine: Callable[[QuarantineUpdate], None],
    ) -> None:
        self._identity = identity
        self._replica = replica
        self._events = events
        self._has_unreported_change = has_unreported_change
        self._on_update = on_update
        self._lend = lend
        self._usage_report = usage_report
        self._on_quarantine = on_quarantine
        self.is_leaving = False

    async def heartbeat(self, stream: Stream[Heartbeat, HeartbeatReply]) -> None:
        """Apply the configuration in the heartbeat if it is newer, and reply."""
        message = await stream.recv_message()
        if message is None:
            return
        self._identity.observe_stamp(message.stamp)
        if message.update is not None:
            self._on_update(message.update)
        if message.quarantine is not None:
            self._on_quarantine(message.quarantine)
        await stream.send_message(
            HeartbeatReply(
                stamp=self._identity.stamp(),
                is_leaving=self.is_leaving,
                has_unreported_change=self._has_unreported_change(),
                update=self._replica.update_for(message.stamp.configuration_version),
                allowance_usage=self._usage_report(),
            )
        )

    async def events(self, stream: Stream[EventsRequest, EventsReply]) -> None:
        """Send the events of this process since the requested time."""
        message = await stream.recv_message()
        if message is not None:
            events = self._events.snapshot(message.since_us)
            await stream.send_message(EventsReply(tuple(events)))

    async def lend(self, stream: Stream[LoanRequest, LoanReply]) -> None:
        """Lend a part of this entry's share of the rate limit."""
        message = await stream.recv_message()
        if message is not None:
            wanted = Amount(message.requests, message.tokens)
            await stream.send_message(self._lend(wanted))
