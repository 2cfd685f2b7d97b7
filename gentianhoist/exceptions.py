"""The closed list of error kinds, and the table from kind to answer.

Every failure that can reach a caller or an operator is a `HoistError` of one of the
kinds below. The table `ERROR_RESPONSES` is the only place that says which HTTP status
and code a kind has, whether "not run" holds, and whether it is worth coming back.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "ERROR_RESPONSES",
    "ErrorResponse",
    "ErrorKind",
    "HoistError",
    "NotRun",
    "SettingsError",
]


class NotRun(StrEnum):
    """What is known about the execution of a refused request."""

    TRUE = "true"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every kind of error that gentianhoist can answer with."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_RESOURCE = "unknown_resource"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_INVALID = "idempotency_key_invalid"
    KEY_EXPIRED = "idempotency_key_expired"
    KEY_REUSED = "idempotency_key_reused"
    KEY_VOIDED = "idempotency_key_voided"
    ALLOWANCE_SPENT = "allowance_spent"
    OVERLOADED = "overloaded"
    NO_BACKEND_SERVER = "no_backend_server"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    LEAVING = "leaving"
    ZONE_OUT = "availability_zone_out"
    NOT_READY = "not_ready"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    CONFIGURATION_REJECTED = "configuration_rejected"
    FENCED = "fenced"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    BACKEND_FAILED = "backend_failed"
    CORRUPT_ANSWER = "corrupt_answer"
    INTERNAL = "internal"


class ErrorResponse(NamedTuple):
    """How one kind of error is answered.

    Attributes:
        status: HTTP status code.
        type: Error type of the OpenAI conventions.
        not_run: Whether the request is known not to have run.
        retryable: Whether the same request can succeed later.
    """

    status: int
    type: str
    not_run: NotRun
    retryable: bool


def _refused(status: int, type_: str, *, retryable: bool = False) -> ErrorResponse:
    return ErrorResponse(status, type_, NotRun.TRUE, retryable)


def _in_doubt(status: int, *, retryable: bool = True) -> ErrorResponse:
    return ErrorResponse(status, "server_error", NotRun.UNKNOWN, retryable)


_BAD = "invalid_request_error"
_BUSY = "rate_limit_error"
_DOWN = "server_error"

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_REQUEST: _refused(400, _BAD),
    ErrorKind.UNAUTHENTICATED: _refused(401, "authentication_error"),
    ErrorKind.UNKNOWN_MODEL: _refused(404, _BAD),
    ErrorKind.UNKNOWN_SERVICE: _refused(404, _BAD),
    ErrorKind.UNKNOWN_RESOURCE: _refused(404, _BAD),
    ErrorKind.BODY_TOO_LARGE: _refused(413, _BAD),
    ErrorKind.PROMPT_TOO_LONG: _refused(400, _BAD),
    ErrorKind.KEY_REQUIRED: _refused(400, _BAD),
    ErrorKind.KEY_INVALID: _refused(400, _BAD),
    # A key this old may have run long ago, and its outcome is gone.
    ErrorKind.KEY_EXPIRED: ErrorResponse(410, _BAD, NotRun.UNKNOWN, False),
    # The other body under this key may have run.
    ErrorKind.KEY_REUSED: ErrorResponse(409, _BAD, NotRun.UNKNOWN, False),
    ErrorKind.KEY_VOIDED: _refused(409, _BAD),
    ErrorKind.ALLOWANCE_SPENT: _refused(429, _BUSY, retryable=True),
    ErrorKind.OVERLOADED: _refused(429, _BUSY, retryable=True),
    ErrorKind.NO_BACKEND_SERVER: _refused(503, _DOWN, retryable=True),
    ErrorKind.DEADLINE_TOO_SHORT: _refused(422, _BAD),
    ErrorKind.LEAVING: _refused(503, _DOWN, retryable=True),
    ErrorKind.ZONE_OUT: _refused(503, _DOWN, retryable=True),
    ErrorKind.NOT_READY: _refused(503, _DOWN, retryable=True),
    ErrorKind.STORE_UNAVAILABLE: _refused(503, _DOWN, retryable=True),
    ErrorKind.CONFIGURATION_CONFLICT: _refused(409, _BAD),
    ErrorKind.CONFIGURATION_REJECTED: _refused(422, _BAD),
    ErrorKind.FENCED: _refused(409, _BAD),
    ErrorKind.OUTCOME_UNKNOWN: _in_doubt(504),
    ErrorKind.DEADLINE_EXCEEDED: _in_doubt(504),
    ErrorKind.BACKEND_FAILED: _in_doubt(502),
    ErrorKind.CORRUPT_ANSWER: _in_doubt(502),
    ErrorKind.INTERNAL: _in_doubt(500),
}


class HoistError(Exception):
    """An error of the closed list.

    Args:
        kind: The kind, which decides the answer.
        message: One sentence for a person.
        field: Name of the offending field or header, empty if there is none.
        retry_after_s: Seconds after which to come back, 0 where that is not known.
        not_run: Overrides the table where less is known than the kind implies.

    Example:
        >>> HoistError(ErrorKind.OVERLOADED, "queue is full").response.status
        429
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        field: str = "",
        retry_after_s: float = 0.0,
        not_run: NotRun | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.field = field
        self.retry_after_s = retry_after_s
        self.not_run = not_run if not_run is not None else ERROR_RESPONSES[kind].not_run

    @property
    def response(self) -> ErrorResponse:
        """The row of the table for this kind."""
        return ERROR_RESPONSES[self.kind]


class SettingsError(Exception):
    """One item of a settings file is wrong.

    Args:
        file: Name of the file.
        path: Dotted path of the item.
        expected: What was expected there.
    """

    def __init__(self, file: str, path: str, expected: str) -> None:
        super().__init__(f"{file}: {path}: {expected}")
        self.file = file
        self.path = path
        self.expected = expected
