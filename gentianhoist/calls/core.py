"""What is known of a key, and what follows from it.

A key's row is written once as an intent or as a tombstone. An intent names the one
sidecar incarnation that may run the call. A tombstone ("void") means that the key did
not run, and that no attempt up to the one that it names can run any more. It does what
the marker and the in-doubt inquiry do in "ADAPT D13: BS Middleware Platform", 3.3: who
asks for the outcome of a transaction in doubt forces it to be decided.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.wire import CallOutcome, CallReply, CallRequest

__all__ = [
    "CallRecord",
    "CallState",
    "Execute",
    "ReplaceRow",
    "ReturnReply",
    "body_digest",
    "decode_call",
    "encode_call",
    "decide_call",
    "call_row_key",
]


class CallState(StrEnum):
    """State of a key's row."""

    INTENT = "intent"
    VOID = "void"
    FREE = "free"
    DONE = "done"
    DOUBT = "doubt"


class CallRecord(msgspec.Struct, frozen=True):
    """Content of a key's row.

    Attributes:
        state: Its state.
        owner: Instance of the sidecar that may run it, or ran it.
        incarnation: Life of that sidecar.
        body_digest: Digest of the call's body.
        attempt: The caller's attempt that wrote it.
        recorded_s: Wall time of the first record, for the clean-up.
        outcome: What the backend server answered.
    """

    state: CallState
    owner: str
    incarnation: str
    body_digest: str
    attempt: int
    recorded_s: float
    outcome: CallOutcome | None = None


@dataclass(frozen=True)
class Execute:
    """This incarnation owns the intent and has not run it: run it."""


@dataclass(frozen=True)
class ReplaceRow:
    """Nobody can run the key under this row, and this attempt may replace it."""


@dataclass(frozen=True)
class ReturnReply:
    """Answer without running anything."""

    reply: CallReply


Verdict = Execute | ReplaceRow | ReturnReply


def call_row_key(request: CallRequest) -> str:
    """Key of the row; idempotency keys are scoped to organisation and operation."""
    return (
        f"call/{request.organisation}/{request.service}/{request.operation}"
        f"/{request.key}"
    )


def body_digest(body: bytes) -> str:
    """Digest that tells whether a repeat has the same body."""
    return hashlib.sha256(body).hexdigest()


def encode_call(record: CallRecord) -> bytes:
    """Encode for the store."""
    return msgspec.msgpack.encode(record)


def decode_call(data: bytes) -> CallRecord:
    """Decode what `encode_call` made."""
    return msgspec.msgpack.decode(data, type=CallRecord)


def decide_call(record: CallRecord, request: CallRequest, incarnation: str) -> Verdict:
    """The table from what a row says to what is done and said.

    Args:
        record: The row.
        request: The call.
        incarnation: The asking process's life; only a sidecar's can own an intent.

    Returns:
        What to do. `Execute` presumes that the caller of this function knows that it
        has not yet run the key in this life.
    """
    if record.body_digest != body_digest(request.body):
        return ReturnReply(_reused(record))
    match record:
        case CallRecord(state=CallState.DONE):
            return ReturnReply(CallReply(record.outcome))
        case CallRecord(state=CallState.VOID, attempt=attempt):
            return (
                ReplaceRow()
                if request.key_attempt > attempt
                else ReturnReply(_voided())
            )
        case CallRecord(state=CallState.FREE):
            return ReplaceRow()
        case CallRecord(state=CallState.INTENT, incarnation=owner):
            return Execute() if owner == incarnation else ReturnReply(_unknown(record))
        case _:
            return ReturnReply(_unknown(record))


def _reused(record: CallRecord) -> CallReply:
    not_run = NotRun.TRUE if record.state is CallState.VOID else NotRun.UNKNOWN
    return CallReply(
        None,
        ErrorKind.KEY_REUSED,
        "the key was used with another body",
        not_run,
    )


def _voided() -> CallReply:
    return CallReply(
        None,
        ErrorKind.KEY_VOIDED,
        "an earlier attempt was refused and did not run; repeat it under a new key or"
        " with a higher Idempotency-Attempt",
        NotRun.TRUE,
    )


def _unknown(record: CallRecord) -> CallReply:
    return CallReply(
        None,
        ErrorKind.OUTCOME_UNKNOWN,
        "an attempt was begun and its outcome is not known; ask again with the same"
        " key",
        NotRun.UNKNOWN,
        owner=record.owner,
    )
