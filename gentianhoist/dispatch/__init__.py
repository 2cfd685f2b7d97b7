"""Handles a caller's request from admission to its single response."""

from gentianhoist.dispatch._attempt import AttemptFailed, Execution
from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._error_response import send_error_response
from gentianhoist.dispatch._interfaces import (
    Call,
    KvReservationClient,
    ReservationStatus,
    ResponseValidity,
    SendOptions,
    ServerCodec,
    ServerResponse,
)
from gentianhoist.dispatch._state import DispatchPolicy, DispatchState
from gentianhoist.dispatch.core import Dispatcher

__all__ = [
    "ResponseValidity",
    "AttemptFailed",
    "Call",
    "DispatchContext",
    "DispatchPolicy",
    "DispatchState",
    "Dispatcher",
    "KvReservationClient",
    "Execution",
    "ReservationStatus",
    "SendOptions",
    "ServerResponse",
    "ServerCodec",
    "send_error_response",
]
