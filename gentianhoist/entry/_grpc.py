"""The entry's gRPC service for other entries and the time line."""

from __future__ import annotations

from collections.abc import Callable

from grpclib.server import Stream

from gentianhoist.allowance import Amount
from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.events import EventRing
from gentianhoist.wire import (
    ConfigurationUpdate,
    EntryService,
    EventsReply,
    EventsRequest,
    Heartbeat,
    HeartbeatReply,
    LoanReply,
    LoanRequest,
    Spending,
)


class EntryGrpc(EntryService):
    """Answers other entries.

    Args:
        identity: Who this process is.
        configuration: Its copy of the configuration.
        events: Its events.
        has_unannounced_change: Whether it may know of a change that it hasn't told.
        on_update: Takes what another process sent of the configuration.
        lend: Lends a part of the allowance.
        spending: Tells how much of the allowance is spent.
    """

    def __init__(
        self,
        identity: Identity,
        configuration: ConfigurationReplica,
        events: EventRing,
        has_unannounced_change: Callable[[], bool],
        on_update: Callable[[ConfigurationUpdate], None],
        lend: Callable[[Amount], LoanReply],
        spending: Callable[[], Spending | None],
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._events = events
        self._has_unannounced_change = has_unannounced_change
        self._on_update = on_update
        self._lend = lend
        self._spending = spending
        self.is_leaving = False

    async def heartbeat(self, stream: Stream[Heartbeat, HeartbeatReply]) -> None:
        """Take the configuration if it is newer, and say that this entry lives."""
        message = await stream.recv_message()
        if message is None:
            return
        self._identity.observe_stamp(message.stamp)
        if message.update is not None:
            self._on_update(message.update)
        await stream.send_message(
            HeartbeatReply(
                stamp=self._identity.stamp(),
                leaving=self.is_leaving,
                accepting=self._has_unannounced_change(),
                update=self._configuration.update_for(
                    message.stamp.configuration_version
                ),
                spending=self._spending(),
            )
        )

    async def events(self, stream: Stream[EventsRequest, EventsReply]) -> None:
        """Hand out the events."""
        message = await stream.recv_message()
        if message is not None:
            events = self._events.snapshot(message.since_us)
            await stream.send_message(EventsReply(tuple(events)))

    async def lend(self, stream: Stream[LoanRequest, LoanReply]) -> None:
        """Lend a part of the allowance."""
        message = await stream.recv_message()
        if message is not None:
            wanted = Amount(message.requests, message.tokens)
            await stream.send_message(self._lend(wanted))
