"""At-most-once execution of non-idempotent calls, with a reliable "not run" reply."""

from gentianhoist.calls._executor import CallExecutor, CallSender, NotSent
from gentianhoist.calls._group_commit import GroupCommit
from gentianhoist.calls._keys import check_idempotency_key, new_idempotency_key
from gentianhoist.calls._lost_records import LostRecords
from gentianhoist.calls._resolver import CallResolver
from gentianhoist.calls._sweeper import CallSweeper
from gentianhoist.calls.core import (
    CallRecord,
    CallState,
    Execute,
    ReplaceRow,
    ReturnReply,
    body_digest,
    call_row_key,
    decide_call,
    decode_call,
    encode_call,
)

__all__ = [
    "CallExecutor",
    "CallRecord",
    "CallSender",
    "CallResolver",
    "CallState",
    "CallSweeper",
    "Execute",
    "GroupCommit",
    "LostRecords",
    "NotSent",
    "ReplaceRow",
    "ReturnReply",
    "body_digest",
    "check_idempotency_key",
    "decode_call",
    "encode_call",
    "decide_call",
    "new_idempotency_key",
    "call_row_key",
]
