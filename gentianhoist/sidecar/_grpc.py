"""The sidecar's gRPC service: checks who may have work, then hands it on."""

from __future__ import annotations

import asyncio
import contextlib

from grpclib.server import Stream

from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.sidecar._attempt import Attempt, make_refusal
from gentianhoist.sidecar._cache_events import CacheUpdate
from gentianhoist.sidecar._engine_runner import EngineRunner
from gentianhoist.sidecar._orders import OrderRunner
from gentianhoist.sidecar._service_runner import ServiceRunner
from gentianhoist.wire import (
    Ack,
    CallReply,
    CallRequest,
    Cancel,
    EventsReply,
    EventsRequest,
    Frame,
    Heartbeat,
    HeartbeatReply,
    HoldAction,
    HoldReply,
    HoldRequest,
    OrderReply,
    OrderRequest,
    Refused,
    RunMessage,
    RunRequest,
    SidecarService,
)

_REASONS = {
    ErrorKind.NOT_READY: "no configuration yet, or the backend server doesn't answer",
    ErrorKind.LEAVING: "the sidecar is leaving",
    ErrorKind.ZONE_OUT: "operators have taken the instance or its zone out",
}


class SidecarGrpc(SidecarService):
    """Answers entries.

    Args:
        identity: Who this process is.
        configuration: Its copy of the configuration.
        events: Its events.
        engine: Runs generations, if its backend server is an engine.
        service: Runs calls, if it is a plain service.
        orders: Carries out orders, if it is an engine.
    """

    def __init__(
        self,
        identity: Identity,
        configuration: ConfigurationReplica,
        events: EventRing,
        engine: EngineRunner | None,
        service: ServiceRunner | None,
        orders: OrderRunner | None,
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._events = events
        self._engine = engine
        self._service = service
        self._orders = orders
        self.is_leaving = False

    async def heartbeat(self, stream: Stream[Heartbeat, HeartbeatReply]) -> None:
        """Take the configuration if it is newer, and tell the load."""
        message = await stream.recv_message()
        if message is None:
            return
        self._identity.observe_stamp(message.stamp)
        if message.update is not None and self._configuration.apply_update(
            message.update
        ):
            self._note_configuration()
        load, news = None, CacheUpdate(0, ())
        if self._engine is not None:
            load = self._engine.load_report()
            news = self._engine.cache_events.update_after(message.cache_cursor)
        await stream.send_message(
            HeartbeatReply(
                stamp=self._identity.stamp(),
                leaving=self.is_leaving or not self._backend_ready(),
                accepting=False,
                load=load,
                cache_cursor=news.cursor,
                cache_marks=news.added,
                update=self._configuration.update_for(
                    message.stamp.configuration_version
                ),
            )
        )

    async def events(self, stream: Stream[EventsRequest, EventsReply]) -> None:
        """Hand out the events."""
        message = await stream.recv_message()
        if message is not None:
            events = self._events.snapshot(message.since_us)
            await stream.send_message(EventsReply(tuple(events)))

    async def run(self, stream: Stream[RunMessage, Frame]) -> None:
        """Run or resume one generation."""
        request = await stream.recv_message()
        if not isinstance(request, RunRequest):
            return
        self._identity.observe_stamp(request.stamp)
        found = self._attempt(request)
        if isinstance(found, Refused):
            await stream.send_message(found)
            return
        assert self._engine is not None
        listener = asyncio.create_task(self._listen(stream, found))
        try:
            async for frame in self._engine.frames(found, request.offset):
                await stream.send_message(frame)
        finally:
            listener.cancel()

    async def call(self, stream: Stream[CallRequest, CallReply]) -> None:
        """Call the plain service."""
        request = await stream.recv_message()
        if request is None:
            return
        self._identity.observe_stamp(request.stamp)
        await stream.send_message(await self._call(request))

    async def order(self, stream: Stream[OrderRequest, OrderReply]) -> None:
        """Carry out an order to the engine."""
        request = await stream.recv_message()
        if request is None:
            return
        self._identity.observe_stamp(request.stamp)
        if self._orders is None:
            reply = OrderReply(False, ErrorKind.UNKNOWN_MODEL, "a service stands here")
        else:
            reply = await self._orders.run(request)
        await stream.send_message(reply)

    async def hold(self, stream: Stream[HoldRequest, HoldReply]) -> None:
        """Reserve memory, renew the reservation or give it back."""
        request = await stream.recv_message()
        if request is not None:
            self._identity.observe_stamp(request.stamp)
            await stream.send_message(self._hold(request))

    def _hold(self, request: HoldRequest) -> HoldReply:
        if self._engine is None:
            return HoldReply(False, ErrorKind.UNKNOWN_MODEL, "a service stands here")
        match request.action:
            case HoldAction.RESERVE:
                refusal = self._closed()
                if refusal is not None:
                    return HoldReply(False, refusal, _REASONS[refusal])
                return self._engine.kv_reservations.reserve(request)
            case HoldAction.RENEW:
                return self._engine.kv_reservations.renew(request)
            case HoldAction.RELEASE:
                return self._engine.kv_reservations.release(request.hold)

    async def _call(self, request: CallRequest) -> CallReply:
        if self._service is None:
            return CallReply(None, ErrorKind.UNKNOWN_SERVICE, "an engine stands here")
        refusal = self._closed()
        # A repeat of a key that this life knows is answered also while it leaves.
        if refusal is not None and not self._service.has_call(request):
            return CallReply(None, refusal, _REASONS[refusal], NotRun.TRUE)
        return await self._service.call(request)

    def _attempt(self, request: RunRequest) -> Attempt | Refused:
        if self._engine is None:
            return make_refusal(
                request, ErrorKind.UNKNOWN_MODEL, "a service stands here"
            )
        # A first message may come twice, if its answer was lost.
        if request.resume or self._engine.find_attempt(request) is not None:
            return self._resumed(request, self._engine)
        refusal = self._closed()
        # Work on a reservation was admitted when the memory was reserved.
        if refusal is not None and not self._engine.kv_reservations.is_active(
            request.hold
        ):
            return make_refusal(request, refusal, _REASONS[refusal])
        return self._engine.admit(request)

    def _resumed(self, request: RunRequest, engine: EngineRunner) -> Attempt | Refused:
        attempt = engine.find_attempt(request)
        if attempt is None or request.offset < attempt.buffer.first_offset:
            return make_refusal(
                request,
                ErrorKind.BACKEND_FAILED,
                "nothing to resume",
                NotRun.UNKNOWN,
            )
        self._events.record(
            EventKind.STREAM_RESUMED, f"from {request.offset}", request.request_id
        )
        return attempt

    def _backend_ready(self) -> bool:
        backend = self._engine or self._service
        return backend is not None and backend.is_ready

    def _closed(self) -> ErrorKind | None:
        """Why there is no new work here, if so."""
        configuration = self._configuration.current
        if configuration is None or not self._backend_ready():
            return ErrorKind.NOT_READY
        if self.is_leaving:
            return ErrorKind.LEAVING
        if not configuration.is_in_service(
            self._identity.instance, self._identity.availability_zone
        ):
            return ErrorKind.ZONE_OUT
        return None

    async def _listen(
        self, stream: Stream[RunMessage, Frame], attempt: Attempt
    ) -> None:
        assert self._engine is not None
        with contextlib.suppress(Exception):
            while (message := await stream.recv_message()) is not None:
                match message:
                    case Ack(offset=offset):
                        self._engine.acknowledge(attempt, offset)
                    case Cancel():
                        self._engine.cancel(attempt)

    def _note_configuration(self) -> None:
        self._events.configuration_version = self._configuration.version
        self._events.record(
            EventKind.CONFIGURATION_APPLIED, f"version {self._configuration.version}"
        )
