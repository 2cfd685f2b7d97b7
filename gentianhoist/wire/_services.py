"""gRPC services of the two roles, and the stubs that call them."""

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

_PREFIX = "/gentianhoist"
_WINDOW_BYTES = 4 * 1024 * 1024


def open_channel(host: str, port: int) -> Channel:
    """A channel to one process; it connects at the first call.

    Args:
        host: IP number.
        port: TCP port.

    Returns:
        The channel, to be closed by the caller.
    """
    config = Configuration(
        http2_connection_window_size=_WINDOW_BYTES,
        http2_stream_window_size=_WINDOW_BYTES,
    )
    return Channel(host, port, codec=MsgpackCodec(), config=config)


class _Service(abc.ABC):
    _name = ""

    @abc.abstractmethod
    def _methods(self) -> dict[str, Handler]: ...

    def __mapping__(self) -> dict[str, Handler]:
        return {
            f"{_PREFIX}.{self._name}/{name}": handler
            for name, handler in {**self._shared_methods(), **self._methods()}.items()
        }

    def _shared_methods(self) -> dict[str, Handler]:
        unary = Cardinality.UNARY_UNARY
        return {
            "Heartbeat": Handler(self.heartbeat, unary, Heartbeat, HeartbeatReply),
            "Events": Handler(self.events, unary, EventsRequest, EventsReply),
        }

    @abc.abstractmethod
    async def heartbeat(self, stream: Stream[Heartbeat, HeartbeatReply]) -> None:
        """Answer a heartbeat."""

    @abc.abstractmethod
    async def events(self, stream: Stream[EventsRequest, EventsReply]) -> None:
        """Hand out the events."""


class SidecarService(_Service):
    """What a sidecar answers."""

    _name = "Sidecar"

    def _methods(self) -> dict[str, Handler]:
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
        """Call the plain service."""

    @abc.abstractmethod
    async def order(self, stream: Stream[OrderRequest, OrderReply]) -> None:
        """Carry out an order to the engine."""

    @abc.abstractmethod
    async def update_reservation(
        self, stream: Stream[ReservationRequest, ReservationReply]
    ) -> None:
        """Reserve memory, renew the reservation or give it back."""


class EntryService(_Service):
    """What an entry answers to its peers."""

    _name = "Entry"

    def _methods(self) -> dict[str, Handler]:
        return {
            "Lend": Handler(self.lend, Cardinality.UNARY_UNARY, LoanRequest, LoanReply)
        }

    @abc.abstractmethod
    async def lend(self, stream: Stream[LoanRequest, LoanReply]) -> None:
        """Lend a part of the allowance."""


class _Stub:
    _name = ""

    def __init__(self, channel: Channel) -> None:
        self.heartbeat = self._unary(channel, "Heartbeat", Heartbeat, HeartbeatReply)
        self.events = self._unary(channel, "Events", EventsRequest, EventsReply)

    def _unary(
        self, channel: Channel, method: str, request: Any, reply: Any
    ) -> UnaryUnaryMethod:
        path = f"{_PREFIX}.{self._name}/{method}"
        return UnaryUnaryMethod(channel, path, request, reply)


class SidecarStub(_Stub):
    """Calls a sidecar.

    Args:
        channel: An open channel to it.
    """

    _name = "Sidecar"

    def __init__(self, channel: Channel) -> None:
        super().__init__(channel)
        self.run = StreamStreamMethod(
            channel, f"{_PREFIX}.{self._name}/Run", RunMessage, Frame
        )
        self.call = self._unary(channel, "Call", CallRequest, CallReply)
        self.update_reservation = self._unary(
            channel, "Hold", ReservationRequest, ReservationReply
        )
        self.order = self._unary(channel, "Order", OrderRequest, OrderReply)


class EntryStub(_Stub):
    """Calls an entry.

    Args:
        channel: An open channel to it.
    """

    _name = "Entry"

    def __init__(self, channel: Channel) -> None:
        super().__init__(channel)
        self.lend = self._unary(channel, "Lend", LoanRequest, LoanReply)
