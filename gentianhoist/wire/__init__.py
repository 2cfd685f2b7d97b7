"""Messages and services between gentianhoist's own processes."""

from gentianhoist.wire._calls import (
    CallOutcome,
    CallReply,
    CallRequest,
)
from gentianhoist.wire._codec import MsgpackCodec, decode, encode
from gentianhoist.wire._control import (
    AllowanceUsage,
    ConfigurationUpdate,
    EventsReply,
    EventsRequest,
    Heartbeat,
    HeartbeatReply,
    LoanReply,
    LoanRequest,
)
from gentianhoist.wire._engine import (
    OrderKind,
    OrderReply,
    OrderRequest,
    ReservationAction,
    ReservationReply,
    ReservationRequest,
    exported_kv_object_name,
)
from gentianhoist.wire._generation import (
    Ack,
    Admitted,
    Cancel,
    Chunk,
    Completed,
    EngineLoad,
    Frame,
    Keepalive,
    Refused,
    RunMessage,
    RunRequest,
)
from gentianhoist.wire._message import (
    Stamp,
)
from gentianhoist.wire._services import (
    EntryService,
    EntryStub,
    SidecarService,
    SidecarStub,
    open_channel,
)

__all__ = [
    "Ack",
    "Admitted",
    "Keepalive",
    "CallOutcome",
    "CallReply",
    "CallRequest",
    "Cancel",
    "Chunk",
    "ConfigurationUpdate",
    "EngineLoad",
    "EntryService",
    "EntryStub",
    "EventsReply",
    "EventsRequest",
    "Frame",
    "Heartbeat",
    "HeartbeatReply",
    "ReservationAction",
    "ReservationReply",
    "ReservationRequest",
    "Completed",
    "LoanReply",
    "LoanRequest",
    "MsgpackCodec",
    "OrderKind",
    "OrderReply",
    "OrderRequest",
    "Refused",
    "RunMessage",
    "RunRequest",
    "SidecarService",
    "SidecarStub",
    "AllowanceUsage",
    "Stamp",
    "decode",
    "encode",
    "exported_kv_object_name",
    "open_channel",
]
