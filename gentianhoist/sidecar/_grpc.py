"""The sidecar's gRPC service, which checks and dispatches the entries' requests."""

from __future__ import annotations

import asyncio
import contextlib

from grpclib.server import Stream

from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.sidecar._attempt import Attempt, make_failure
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
    Failed,
    Frame,
    Heartbeat,
    HeartbeatReply,
    OrderReply,
    OrderRequest,
    ReservationAction,
    ReservationReply,
    ReservationRequest,
    RunMessage,
    RunRequest,
    SidecarService,
)

_REFUSAL_MESSAGES = {
    ErrorKind.NOT_READY: "no configuration yet, or the backend server is not ready",
    ErrorKind.LEAVING: "the sidecar is draining",
    ErrorKind.ZONE_OUT: "the instance or its availability zone is out of service",
}


class SidecarGrpc(SidecarService):
    """Handles the gRPC methods that entries call.

    Args:
        identity: Identity of this process.
        configuration: Replica of the configuration.
        events: Event ring of this process.
        engine: Runs generations, `None` unless the backend server is an engine.
        service: Runs calls, `None` unless the backend server is a plain service.
        orders: Executes orders, `None` unless the backend server is an engine.

    Attributes:
        is_draining: Whether the sidecar is draining and refuses new work.
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
        self.is_draining = False

    async def heartbeat(self, stream: Stream[Heartbeat, HeartbeatReply]) -> None:
        """Apply a newer configuration, and report the load and cached prefixes.

        A message's stamp has the sender's instance, incarnation, configuration version
        and hybrid logical clock time; `observe_stamp` merges the time into the clock of
        this process.
        """
        message = await stream.recv_message()
        if message is None:
            return
        self._identity.observe_stamp(message.stamp)
        if message.update is not None and self._configuration.apply_update(
            message.update
        ):
            self._record_configuration()
        load, cache_update = None, CacheUpdate(0, ())
        if self._engine is not None:
            load = self._engine.load_report()
            cache_update = self._engine.cache_events.update_after(message.cache_cursor)
        await stream.send_message(
            HeartbeatReply(
                stamp=self._identity.stamp(),
                is_leaving=self.is_draining or not self._is_backend_ready(),
                has_unreported_change=False,
                load=load,
                cache_cursor=cache_update.cursor,
                cached_prefix_hashes=cache_update.added,
                update=self._configuration.update_for(
                    message.stamp.configuration_version
                ),
            )
        )

    async def events(self, stream: Stream[EventsRequest, EventsReply]) -> None:
        """Send the recorded events."""
        message = await stream.recv_message()
        if message is not None:
            events = self._events.snapshot(message.since_us)
            await stream.send_message(EventsReply(tuple(events)))

    async def run(self, stream: Stream[RunMessage, Frame]) -> None:
        """Run or resume one generation, and stream its frames."""
        request = await stream.recv_message()
        if not isinstance(request, RunRequest):
            return
        self._identity.observe_stamp(request.stamp)
        attempt = self._find_or_admit(request)
        if isinstance(attempt, Failed):
            await stream.send_message(attempt)
            return
        assert self._engine is not None
        message_task = asyncio.create_task(self._handle_messages(stream, attempt))
        try:
            async for frame in self._engine.frames(attempt, request.offset):
                await stream.send_message(frame)
        finally:
            message_task.cancel()

    async def call(self, stream: Stream[CallRequest, CallReply]) -> None:
        """Run one call on the plain service."""
        request = await stream.recv_message()
        if request is None:
            return
        self._identity.observe_stamp(request.stamp)
        await stream.send_message(await self._call(request))

    async def order(self, stream: Stream[OrderRequest, OrderReply]) -> None:
        """Execute an order to the engine."""
        request = await stream.recv_message()
        if request is None:
            return
        self._identity.observe_stamp(request.stamp)
        if self._orders is None:
            reply = OrderReply(
                False, ErrorKind.UNKNOWN_MODEL, "this instance runs a plain service"
            )
        else:
            reply = await self._orders.run(request)
        await stream.send_message(reply)

    async def update_reservation(
        self, stream: Stream[ReservationRequest, ReservationReply]
    ) -> None:
        """Reserve KV cache, renew a reservation or release it."""
        request = await stream.recv_message()
        if request is not None:
            self._identity.observe_stamp(request.stamp)
            await stream.send_message(self._handle_reservation(request))

    def _handle_reservation(self, request: ReservationRequest) -> ReservationReply:
        if self._engine is None:
            return ReservationReply(
                False, ErrorKind.UNKNOWN_MODEL, "this instance runs a plain service"
            )
        match request.action:
            case ReservationAction.RESERVE:
                refusal = self._refusal_kind()
                if refusal is not None:
                    return ReservationReply(False, refusal, _REFUSAL_MESSAGES[refusal])
                return self._engine.kv_reservations.reserve(request)
            case ReservationAction.RENEW:
                return self._engine.kv_reservations.renew(request)
            case ReservationAction.RELEASE:
                return self._engine.kv_reservations.release(request.reservation_id)

    async def _call(self, request: CallRequest) -> CallReply:
        if self._service is None:
            return CallReply(
                None, ErrorKind.UNKNOWN_SERVICE, "this instance runs an engine"
            )
        refusal = self._refusal_kind()
        # A repeat of a call that this process already has is answered even if new calls
        # are refused.
        if refusal is not None and not self._service.has_call(request):
            return CallReply(None, refusal, _REFUSAL_MESSAGES[refusal], NotRun.TRUE)
        return await self._service.call(request)

    def _find_or_admit(self, request: RunRequest) -> Attempt | Failed:
        if self._engine is None:
            return make_failure(
                request, ErrorKind.UNKNOWN_MODEL, "this instance runs a plain service"
            )
        # The entry sends its first message again if the response to it was lost.
        if request.resume or self._engine.find_attempt(request) is not None:
            return self._resume(request, self._engine)
        refusal = self._refusal_kind()
        # Work on a reservation was admitted when its KV cache was reserved.
        if refusal is not None and not self._engine.kv_reservations.is_active(
            request.reservation_id
        ):
            return make_failure(request, refusal, _REFUSAL_MESSAGES[refusal])
        return self._engine.admit(request)

    def _resume(self, request: RunRequest, engine: EngineRunner) -> Attempt | Failed:
        attempt = engine.find_attempt(request)
        if attempt is None or request.offset < attempt.buffer.first_offset:
            return make_failure(
                request,
                ErrorKind.BACKEND_FAILED,
                "the sidecar does not have the attempt or its tokens any more",
                NotRun.UNKNOWN,
            )
        self._events.record(
            EventKind.STREAM_RESUMED, f"from {request.offset}", request.request_id
        )
        return attempt

    def _is_backend_ready(self) -> bool:
        backend = self._engine or self._service
        return backend is not None and backend.is_ready

    def _refusal_kind(self) -> ErrorKind | None:
        """Reason to refuse new work, `None` if it can be taken."""
        configuration = self._configuration.current
        if configuration is None or not self._is_backend_ready():
            return ErrorKind.NOT_READY
        if self.is_draining:
            return ErrorKind.LEAVING
        if not configuration.is_in_service(
            self._identity.instance, self._identity.availability_zone
        ):
            return ErrorKind.ZONE_OUT
        return None

    async def _handle_messages(
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

    def _record_configuration(self) -> None:
        self._events.configuration_version = self._configuration.version
        self._events.record(
            EventKind.CONFIGURATION_APPLIED, f"version {self._configuration.version}"
        )
