"""One caller's request, from its arrival to its one answer."""

from gentianhoist.dispatch._attempt import AttemptFailed, Execution
from gentianhoist.dispatch._ports import (
    AnswerOrigin,
    Call,
    EngineOrders,
    Reservation,
    SendOptions,
    ServerAnswer,
    ServerWire,
)
from gentianhoist.dispatch._refusals import answer_error
from gentianhoist.dispatch.core import Dispatcher, DispatchPolicy, DispatchState

__all__ = [
    "AnswerOrigin",
    "AttemptFailed",
    "Call",
    "DispatchPolicy",
    "DispatchState",
    "Dispatcher",
    "EngineOrders",
    "Execution",
    "Reservation",
    "SendOptions",
    "ServerAnswer",
    "ServerWire",
    "answer_error",
]
