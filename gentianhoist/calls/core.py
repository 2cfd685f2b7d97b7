"""Stored records of idempotency keys, and the decision that each record implies.

The row of a key is created either as an intent or as a tombstone. An intent names the
one sidecar incarnation that may run the call. A tombstone ("void") means that the call
did not run, and that no attempt up to the recorded attempt number can run any more.
Asking for the outcome of a call in doubt therefore forces it to be decided, as for
in-doubt transactions in "ADAPT D13: BS Middleware Platform", 3.3.
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
    """State of an idempotency key's row.

    Attributes:
        INTENT: The owner may run the call, or is running it.
        VOID: Tombstone: the call did not run under the recorded attempt.
        FREE: The owner gave up its intent without running the call.
        DONE: The call ran and its outcome is recorded.
        DOUBT: The call was sent and its outcome is unknown.
    """

    INTENT = "intent"
    VOID = "void"
    FREE = "free"
    DONE = "done"
    DOUBT = "doubt"


class CallRecord(msgspec.Struct, frozen=True):
    """Content of an idempotency key's row.

    Attributes:
        state: State of the row.
        owner: Instance that wrote the row: a sidecar for an intent and for what
            follows it, an entry for a tombstone.
        incarnation: Incarnation of that sidecar; empty in a tombstone.
        body_digest: Digest of the call's body.
        attempt: Number of the caller's attempt that wrote the row, 0 if the caller did
            not state it.
        recorded_s: Wall time at which the row was written, in seconds; rows are
            deleted by their age.
        outcome: Response of the backend server, in state `DONE` only.
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
    """Decision to run the call: this incarnation owns the intent and has not run it."""


@dataclass(frozen=True)
class ReplaceRow:
    """Decision to replace the row by this attempt's intent or tombstone.

    No process may run the call under the row as it is.
    """


@dataclass(frozen=True)
class ReturnReply:
    """Decision to reply without running the call.

    Attributes:
        reply: The reply.
    """

    reply: CallReply


CallDecision = Execute | ReplaceRow | ReturnReply


def call_row_key(request: CallRequest) -> str:
    """Row key of a call; idempotency keys are scoped to organisation and operation."""
    return (
        f"call/{request.organisation}/{request.service}/{request.operation}"
        f"/{request.idempotency_key}"
    )


def body_digest(body: bytes) -> str:
    """SHA-256 digest, in hex, that detects a repeated key with another body."""
    return hashlib.sha256(body).hexdigest()


def encode_call(record: CallRecord) -> bytes:
    """Encode a record as stored in its row."""
    return msgspec.msgpack.encode(record)


def decode_call(data: bytes) -> CallRecord:
    """Decode a row's value, as encoded by `encode_call`.

    Raises:
        msgspec.MsgspecError: If the value is not a call record.
    """
    return msgspec.msgpack.decode(data, type=CallRecord)


def decide_call(
    record: CallRecord, request: CallRequest, incarnation: str
) -> CallDecision:
    """Decide how to handle a call whose key already has a row.

    Args:
        record: Content of the row.
        request: The call.
        incarnation: Incarnation of this process; only a sidecar can own an intent.

    Returns:
        The decision. `Execute` is only valid if the caller of this function has not
        yet run the call in this incarnation.
    """
    if record.body_digest != body_digest(request.body):
        return ReturnReply(_key_reused_reply(record))
    match record:
        case CallRecord(state=CallState.DONE):
            return ReturnReply(CallReply(record.outcome))
        case CallRecord(state=CallState.VOID, attempt=attempt):
            return (
                ReplaceRow()
                if request.idempotency_attempt > attempt
                else ReturnReply(_voided_reply())
            )
        case CallRecord(state=CallState.FREE):
            return ReplaceRow()
        case CallRecord(state=CallState.INTENT, incarnation=owner_incarnation):
            return (
                Execute()
                if owner_incarnation == incarnation
                else ReturnReply(_outcome_unknown_reply(record))
            )
        case _:
            return ReturnReply(_outcome_unknown_reply(record))


def _key_reused_reply(record: CallRecord) -> CallReply:
    not_run = NotRun.TRUE if record.state is CallState.VOID else NotRun.UNKNOWN
    return CallReply(
        None,
        ErrorKind.KEY_REUSED,
        "the idempotency key was used with a different request body",
        not_run,
    )


def _voided_reply() -> CallReply:
    return CallReply(
        None,
        ErrorKind.KEY_VOIDED,
        "an earlier attempt was refused and did not run; repeat the call under a new"
        " key or with a higher Idempotency-Attempt",
        NotRun.TRUE,
    )


def _outcome_unknown_reply(record: CallRecord) -> CallReply:
    return CallReply(
        None,
        ErrorKind.OUTCOME_UNKNOWN,
        "an attempt was started and its outcome is unknown; repeat the call with the"
        " same key",
        NotRun.UNKNOWN,
        owner=record.owner,
    )
