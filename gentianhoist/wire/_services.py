"""gRPC services of the two roles, entry and sidecar, and the client stubs for them."""

from __future__ import annotations

import abc
from typing import Any

from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from gentianhoist.wire._calls import (
    CallReply,
    CallRequest,
)
from gentianhoist.wire._codec import MsgpackCodec
from gentianhoist.wire._control import (
    EventsReply,
    EventsRequest,
    Heartbeat,
    HeartbeatReply,
    LoanReply,
    LoanRequest,
)
from gentianhoist.wire._engine import (
    OrderReply,
    OrderRequest,
    ReservationReply,
    ReservationRequest,
)
from gentianhoist.wire._generation import (
    Frame,
    RunMessage,
)

_SERVICE_PREFIX = "/gentianhoist"
_FLOW_CONTROL_WINDOW_BYTES = 4 * 1024 * 1024


def open_channel(host: str, port: int) -> Channel:
    """Create a gRPC channel to a process; it connects at the first call.

    Args:
        host: IP address.
        port: TCP port.

    Returns:
        The channel, which the caller must close.
    """
    config = Configuration(
        http2_connection_window_size=_FLOW_CONTROL_WINDOW_BYTES,
        http2_stream_window_size=_FLOW_CONTROL_WINDOW_BYTES,
    )
    return Channel(host, port, codec=MsgpackCodec(), config=config)


class _BaseService(abc.ABC):
    _service_name = ""

    @abc.abstractmethod
    def _handlers(self) -> dict[str, Handler]: ...

    def __mapping__(self) -> dict[str, Handler]:
        return {
            f"{_SERVICE_PREFIX}.{self._service_name}/{name}": handler
            for name, handler in {**self._shared_handlers(), **self._handlers()}.items()
        }

    def _shared_handlers(self) -> dict[str, Handler]:
        unary = Cardinality.UNARY_UNARY
        return {
            "Heartbeat": Handler(self.heartbeat, unary, Heartbeat, HeartbeatReply),
            "Events": Handler(self.events, unary, EventsRequest, EventsReply),
        }

    @abc.abstractmethod
    async def heartbeat(self, stream: Stream[Heartbeat, HeartbeatReply]) -> None:
        """Update the configuration from a heartbeat and reply to it."""

    @abc.abstractmethod
    async def events(self, stream: Stream[EventsRequest, EventsReply]) -> None:
        """Return the recorded events of this process."""


class SidecarService(_BaseService):
    """gRPC service of a sidecar; a subclass implements the methods."""

    _service_name = "Sidecar"

    def _handlers(self) -> dict[str, Handler]:
        return {
            "Run": Handler(self.run, Cardinality.STREAM_STREAM, RunMessage, Frame),
            "Call": Handler(self.call, Cardinality.UNARY_UNARY, CallRequest, CallReply),
            "Hold": Handler(
                self.update_reservation,
                Cardinality.UNARY_UNARY,
                ReservationRequest,
                ReservationReply,
            ),
            "Order": Handler(
                self.order, Cardinality.UNARY_UNARY, OrderRequest, OrderReply
            ),
        }

    @abc.abstractmethod
    async def run(self, stream: Stream[RunMessage, Frame]) -> None:
        """Run or resume one generation."""

    @abc.abstractmethod
    async def call(self, stream: Stream[CallRequest, CallReply]) -> None:
        """Call the service behind the sidecar, which is not an LLM engine."""

    @abc.abstractmethod
    async def order(self, stream: Stream[OrderRequest, OrderReply]) -> None:
        """Carry out an operator's order to the engine."""

    @abc.abstractmethod
    async def update_reservation(
        self, stream: Stream[ReservationRequest, ReservationReply]
    ) -> None:
        """Make, renew or release a KV cache reservation."""


class EntryService(_BaseService):
    """gRPC service of an entry; a subclass implements the methods."""

    _service_name = "Entry"

    def _handlers(self) -> dict[str, Handler]:
        return {
            "Lend": Handler(self.lend, Cardinality.UNARY_UNARY, LoanRequest, LoanReply)
        }

    @abc.abstractmethod
    async def lend(self, stream: Stream[LoanRequest, LoanReply]) -> None:
        """Lend a part of this entry's share of the rate limit to another entry."""


class _BaseStub:
    _service_name = ""

    def __init__(self, channel: Channel) -> None:
        self.heartbeat = self._unary_method(
            channel, "Heartbeat", Heartbeat, HeartbeatReply
        )
        self.events = self._unary_method(channel, "Events", EventsRequest, EventsReply)

    def _unary_method(
        self, channel: Channel, method: str, request_type: Any, reply_type: Any
    ) -> UnaryUnaryMethod:
        path = f"{_SERVICE_PREFIX}.{self._service_name}/{method}"
        return UnaryUnaryMethod(channel, path, request_type, reply_type)


class SidecarStub(_BaseStub):
    """Client of `SidecarService`.

    Args:
        channel: Channel to the sidecar.
    """

    _service_name = "Sidecar"

    def __init__(self, channel: Channel) -> None:
        super().__init__(channel)
        self.run = StreamStreamMethod(
            channel, f"{_SERVICE_PREFIX}.{self._service_name}/Run", RunMessage, Frame
        )
        self.call = self._unary_method(channel, "Call", CallRequest, CallReply)
        self.update_reservation = self._unary_method(
            channel, "Hold", ReservationRequest, ReservationReply
        )
        self.order = self._unary_method(channel, "Order", OrderRequest, OrderReply)


class EntryStub(_BaseStub):
    """Client of `EntryService`.

    Args:
        channel: Channel to the entry.
    """

    _service_name = "Entry"

    def __init__(self, channel: Channel) -> None:
        super().__init__(channel)
        self.lend = self._unary_method(channel, "Lend", LoanRequest, LoanReply)
