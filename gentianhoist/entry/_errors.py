"""From whatever was raised to an error of the closed list, and to its answer."""

from __future__ import annotations

import math

from sanic import Request
from sanic.exceptions import NotFound, PayloadTooLarge, SanicException
from sanic.response import HTTPResponse, raw

from gentianhoist.entry._headers import request_id_header
from gentianhoist.entry._openai import encode_error
from gentianhoist.exceptions import ErrorKind, HoistError

_JSON = "application/json"


def error_response(request: Request, error: HoistError) -> HTTPResponse:
    """The answer to an error, as the table has it."""
    headers = request_id_header(request)
    if error.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return raw(
        encode_error(error, headers["X-Request-Id"]),
        status=error.answer.status,
        headers=headers,
        content_type=_JSON,
    )


def as_hoist_error(exception: Exception) -> HoistError:
    """The error of the closed list that something raised amounts to."""
    match exception:
        case HoistError():
            return exception
        case BaseExceptionGroup():
            faults = [
                error for error in exception.exceptions if isinstance(error, HoistError)
            ]
            if not faults:
                return HoistError(ErrorKind.INTERNAL, "unexpected error")
            message = "; ".join(f"{error.field}: {error.message}" for error in faults)
            return HoistError(faults[0].kind, message, field=faults[0].field)
        case PayloadTooLarge():
            return HoistError(ErrorKind.BODY_TOO_LARGE, "the body is too large")
        case NotFound():
            return HoistError(ErrorKind.UNKNOWN_RESOURCE, str(exception))
        case SanicException() if exception.status_code < 500:
            return HoistError(ErrorKind.INVALID_REQUEST, str(exception))
        case _:
            return HoistError(ErrorKind.INTERNAL, "unexpected error")
