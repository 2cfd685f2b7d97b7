"""Non-idempotent calls: at most once, and a true "not run"."""

from gentianhoist.calls._executor import CallExecutor, CallSender, NotSent
from gentianhoist.calls._group_commit import GroupCommit
from gentianhoist.calls._keys import check_key, new_key
from gentianhoist.calls._settler import CallSettler
from gentianhoist.calls._sweeper import CallSweeper
from gentianhoist.calls.core import (
    CallRecord,
    CallState,
    Execute,
    Revive,
    Tell,
    body_digest,
    decode_call,
    encode_call,
    judge,
    row_key,
)

__all__ = [
    "CallExecutor",
    "CallRecord",
    "CallSender",
    "CallSettler",
    "CallState",
    "CallSweeper",
    "Execute",
    "GroupCommit",
    "NotSent",
    "Revive",
    "Tell",
    "body_digest",
    "check_key",
    "decode_call",
    "encode_call",
    "judge",
    "new_key",
    "row_key",
]
