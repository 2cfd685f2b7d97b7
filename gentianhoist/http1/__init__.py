"""HTTP/1.1 on both sides of an entry, with every byte accounted for."""

from gentianhoist.http1._client import (
    ClientConnection,
    ConnectionFailed,
    PoolExhausted,
    ResponseHead,
)
from gentianhoist.http1._exchange import BufferedResponse, exchange
from gentianhoist.http1._pool import ConnectionPool, Lease, PoolLimits
from gentianhoist.http1._responder import CallerRequest, Responder
from gentianhoist.http1._server import HttpServer
from gentianhoist.http1.core import Headers, RequestLimits, encode_request, get_header

__all__ = [
    "CallerRequest",
    "ClientConnection",
    "ConnectionFailed",
    "ConnectionPool",
    "Headers",
    "HttpServer",
    "Lease",
    "PoolExhausted",
    "PoolLimits",
    "RequestLimits",
    "Responder",
    "ResponseHead",
    "BufferedResponse",
    "encode_request",
    "exchange",
    "get_header",
]
