"""The closed list of error kinds, and the HTTP response for each kind.

Every failure that can reach a caller or an operator is a `HoistError` of one of the
kinds below. The table `ERROR_RESPONSES` alone defines the HTTP status and error type of
a kind, and whether a retry can succeed. It also defines the default of whether the
request is known not to have been executed, which `HoistError.not_run` overrides.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "DECODE_ERRORS",
    "ERROR_RESPONSES",
    "ErrorResponse",
    "ErrorKind",
    "HoistError",
    "NotRun",
    "SettingsError",
]


# What a decoder raises for data of another process. Values that are nested too deep
# give a RecursionError, also in fields that are skipped.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class NotRun(StrEnum):
    """Whether a failed request is known not to have been executed.

    A request that was certainly not executed can be retried without being executed
    twice; with `UNKNOWN`, it may have been executed.
    """

    TRUE = "true"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Kinds of errors that gentianhoist can return; the values are the error codes."""

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
    BACKEND_RATE_LIMITED = "backend_rate_limited"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
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
    """HTTP response for one kind of error.

    Attributes:
        status: HTTP status code.
        type: Error type as in the OpenAI API.
        not_run: Whether the request is known not to have been executed.
        retryable: Whether the same request can succeed later.
    """

    status: int
    type: str
    not_run: NotRun
    retryable: bool


def _not_executed(
    status: int, error_type: str, *, retryable: bool = False
) -> ErrorResponse:
    return ErrorResponse(status, error_type, NotRun.TRUE, retryable)


def _maybe_executed(status: int, *, retryable: bool = True) -> ErrorResponse:
    return ErrorResponse(status, "server_error", NotRun.UNKNOWN, retryable)


_INVALID_REQUEST = "invalid_request_error"
_RATE_LIMITED = "rate_limit_error"
_SERVER_ERROR = "server_error"

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_REQUEST: _not_executed(400, _INVALID_REQUEST),
    ErrorKind.UNAUTHENTICATED: _not_executed(401, "authentication_error"),
    ErrorKind.UNKNOWN_MODEL: _not_executed(404, _INVALID_REQUEST),
    ErrorKind.UNKNOWN_SERVICE: _not_executed(404, _INVALID_REQUEST),
    ErrorKind.UNKNOWN_RESOURCE: _not_executed(404, _INVALID_REQUEST),
    ErrorKind.BODY_TOO_LARGE: _not_executed(413, _INVALID_REQUEST),
    ErrorKind.PROMPT_TOO_LONG: _not_executed(400, _INVALID_REQUEST),
    ErrorKind.KEY_REQUIRED: _not_executed(400, _INVALID_REQUEST),
    ErrorKind.KEY_INVALID: _not_executed(400, _INVALID_REQUEST),
    # The call may have been executed under this key; its stored outcome has expired.
    ErrorKind.KEY_EXPIRED: ErrorResponse(410, _INVALID_REQUEST, NotRun.UNKNOWN, False),
    # The call with the other body under this key may have been executed.
    ErrorKind.KEY_REUSED: ErrorResponse(409, _INVALID_REQUEST, NotRun.UNKNOWN, False),
    ErrorKind.KEY_VOIDED: _not_executed(409, _INVALID_REQUEST),
    ErrorKind.ALLOWANCE_SPENT: _not_executed(429, _RATE_LIMITED, retryable=True),
    ErrorKind.OVERLOADED: _not_executed(429, _RATE_LIMITED, retryable=True),
    ErrorKind.BACKEND_RATE_LIMITED: _not_executed(429, _RATE_LIMITED, retryable=True),
    ErrorKind.NO_BACKEND_SERVER: _not_executed(503, _SERVER_ERROR, retryable=True),
    ErrorKind.PROMPT_QUARANTINED: _not_executed(503, _SERVER_ERROR, retryable=True),
    ErrorKind.REQUEST_QUARANTINED: _not_executed(503, _SERVER_ERROR, retryable=True),
    ErrorKind.DEADLINE_TOO_SHORT: _not_executed(422, _INVALID_REQUEST),
    ErrorKind.LEAVING: _not_executed(503, _SERVER_ERROR, retryable=True),
    ErrorKind.ZONE_OUT: _not_executed(503, _SERVER_ERROR, retryable=True),
    ErrorKind.NOT_READY: _not_executed(503, _SERVER_ERROR, retryable=True),
    ErrorKind.STORE_UNAVAILABLE: _not_executed(503, _SERVER_ERROR, retryable=True),
    ErrorKind.CONFIGURATION_CONFLICT: _not_executed(409, _INVALID_REQUEST),
    ErrorKind.CONFIGURATION_REJECTED: _not_executed(422, _INVALID_REQUEST),
    ErrorKind.FENCED: _not_executed(409, _INVALID_REQUEST),
    ErrorKind.OUTCOME_UNKNOWN: _maybe_executed(504),
    ErrorKind.DEADLINE_EXCEEDED: _maybe_executed(504),
    ErrorKind.BACKEND_FAILED: _maybe_executed(502),
    ErrorKind.CORRUPT_ANSWER: _maybe_executed(502),
    ErrorKind.INTERNAL: _maybe_executed(500),
}


class HoistError(Exception):
    """Error that is returned to a caller or an operator.

    Args:
        kind: Kind of the error, which determines the HTTP response.
        message: Human-readable description of the error.
        field: Name of the invalid field or header, empty if there is none.
        retry_after_s: Seconds after which the caller should retry, 0 if not known.
        not_run: Overrides the value for the kind in `ERROR_RESPONSES`, for example
            where less is known about the execution than the kind implies.

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
        """HTTP response for the kind of this error, from `ERROR_RESPONSES`."""
        return ERROR_RESPONSES[self.kind]


class SettingsError(Exception):
    """Invalid item in a settings file.

    Args:
        file: Name of the file.
        path: Dotted path of the item in the file.
        expected: Description of the expected value.
    """

    def __init__(self, file: str, path: str, expected: str) -> None:
        super().__init__(f"{file}: {path}: {expected}")
        self.file = file
        self.path = path
        self.expected = expected
