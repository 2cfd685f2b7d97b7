"""Messages and gRPC services between gentianhoist's processes."""

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
    Failed,
    Frame,
    Keepalive,
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
    "AllowanceUsage",
    "CallOutcome",
    "CallReply",
    "CallRequest",
    "Cancel",
    "Chunk",
    "Completed",
    "ConfigurationUpdate",
    "EngineLoad",
    "EntryService",
    "EntryStub",
    "EventsReply",
    "EventsRequest",
    "Frame",
    "Heartbeat",
    "HeartbeatReply",
    "Keepalive",
    "LoanReply",
    "LoanRequest",
    "MsgpackCodec",
    "OrderKind",
    "OrderReply",
    "OrderRequest",
    "Failed",
    "ReservationAction",
    "ReservationReply",
    "ReservationRequest",
    "RunMessage",
    "RunRequest",
    "SidecarService",
    "SidecarStub",
    "Stamp",
    "decode",
    "encode",
    "exported_kv_object_name",
    "open_channel",
]
