"""Messages for calls to services other than LLM engines."""

from __future__ import annotations

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.wire._message import Message, Stamp


class CallRequest(Message, frozen=True):
    """A call to an operation of a service that is not an LLM engine.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        request_id: Id of the request.
        organisation: Organisation of the caller.
        service: Name of the service.
        operation: Name of the operation.
        idempotent: Whether the operation may be executed more than once.
        idempotency_key: Idempotency key, empty for an idempotent operation.
        idempotency_attempt: Number of the attempt under this key as stated by the
            caller, 0 if the caller did not state it.
        body: Request body.
        deadline_left_s: Seconds from sending until the deadline.
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
    """Response of the backend server to a call.

    Attributes:
        status: HTTP status code.
        content_type: Content type of the body.
        body: Response body.
    """

    status: int
    content_type: str
    body: bytes


class CallReply(Message, frozen=True):
    """Reply to a `CallRequest`: the outcome of the call, or an error.

    Attributes:
        outcome: Response of the backend server, `None` if there is an error.
        kind: Kind of the error, `None` if there is an outcome.
        message: Human-readable description of the error.
        not_run: If there is an error: whether the call is known not to have been
            executed.
        retry_after_s: Seconds after which the caller should retry, 0 if not known.
        owner: Instance that wrote the stored record of the key, which the entry can ask
            for the outcome; empty if there is none to ask.
        server_crashed: Whether the backend server crashed while it executed the call.
    """

    outcome: CallOutcome | None
    kind: ErrorKind | None = None
    message: str = ""
    not_run: NotRun = NotRun.TRUE
    retry_after_s: float = 0.0
    owner: str = ""
    server_crashed: bool = False
