"""Messages of one call of a plain service."""

from __future__ import annotations

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.wire._message import Message, Stamp


class CallRequest(Message, frozen=True):
    """One call of a plain service.

    Attributes:
        stamp: What every message carries.
        request_id: The request.
        organisation: Who asks.
        service: Name of the service.
        operation: Name of the operation.
        idempotent: Whether the operation may be repeated.
        idempotency_key: Idempotency key, empty for an idempotent operation.
        idempotency_attempt: Which attempt under this key the caller says it is, 0 if it
            doesn't say.
        body: Body of the call.
        deadline_left_s: Seconds until the deadline.
    """

    stamp: Stamp
    request_id: str
    organisation: str
    service: str
    operation: str
    idempotent: bool
    idempotency_key: str
    idempotency_attempt: int
    body: bytes
    deadline_left_s: float


class CallOutcome(Message, frozen=True):
    """What the backend server answered."""

    status: int
    content_type: str
    body: bytes


class CallReply(Message, frozen=True):
    """Answer to a call: an outcome, or a kind of error.

    Attributes:
        outcome: What the backend server answered, if that is known.
        kind: Why there is no outcome.
        message: One sentence for a person.
        not_run: What is known of its execution.
        retry_after_s: Seconds after which to come back.
        owner: Instance that owns the key's intent, if it is another.
    """

    outcome: CallOutcome | None
    kind: ErrorKind | None = None
    message: str = ""
    not_run: NotRun = NotRun.TRUE
    retry_after_s: float = 0.0
    owner: str = ""
