"""HTTP/1.1 server for callers, and HTTP/1.1 client with connection pools.

Neither reuses a connection on which it received bytes that belong to no valid message.
"""

from gentianhoist.http1._budget_limits import BudgetLimits, SocketLimits
from gentianhoist.http1._client import (
    ClientConnection,
    ConnectionFailed,
    PoolExhausted,
)
from gentianhoist.http1._connection_memory import ResponseCut
from gentianhoist.http1._connection_server import Handler
from gentianhoist.http1._decimals import parse_decimal
from gentianhoist.http1._exchange import BufferedResponse, exchange
from gentianhoist.http1._holds import CutReason
from gentianhoist.http1._memory_monitor import CutRecord
from gentianhoist.http1._open_connections import OpenConnections
from gentianhoist.http1._pool import AcquiredConnection, ConnectionPool, PoolLimits
from gentianhoist.http1._responder import CallerRequest, Responder
from gentianhoist.http1._responses import (
    Attribute,
    Attribution,
    DroppedResponse,
    DropPosition,
    ResponseFraming,
    ResponseHead,
    attribute_in_order,
)
from gentianhoist.http1._server import HttpServer
from gentianhoist.http1.core import (
    NO_BODY_LIMITS,
    EncodedRequest,
    Headers,
    RequestLimits,
    encode_request,
    encode_request_parts,
    get_header,
)

__all__ = [
    "NO_BODY_LIMITS",
    "Attribute",
    "Attribution",
    "BudgetLimits",
    "CallerRequest",
    "CutReason",
    "CutRecord",
    "ClientConnection",
    "ConnectionFailed",
    "ConnectionPool",
    "DropPosition",
    "DroppedResponse",
    "EncodedRequest",
    "Handler",
    "Headers",
    "HttpServer",
    "AcquiredConnection",
    "OpenConnections",
    "PoolExhausted",
    "PoolLimits",
    "RequestLimits",
    "SocketLimits",
    "Responder",
    "ResponseCut",
    "ResponseFraming",
    "ResponseHead",
    "BufferedResponse",
    "encode_request",
    "encode_request_parts",
    "exchange",
    "parse_decimal",
    "attribute_in_order",
    "get_header",
]
