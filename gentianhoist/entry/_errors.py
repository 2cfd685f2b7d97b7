"""Converts exceptions to ``HoistError`` and to HTTP error responses."""

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
    """Return the HTTP response to an error, with the status that its kind defines.

    Args:
        request: The failed request.
        error: The error.
    """
    headers = request_id_header(request)
    if error.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return raw(
        encode_error(error, headers["X-Request-Id"]),
        status=error.response.status,
        headers=headers,
        content_type=_JSON,
    )


def as_hoist_error(exception: Exception) -> HoistError:
    """Convert any exception to a ``HoistError``.

    The errors of an exception group are joined into one. Exceptions that are not the
    caller's fault become internal errors, whose message discloses no details.

    Args:
        exception: An exception raised while a request was handled.
    """
    match exception:
        case HoistError():
            return exception
        case BaseExceptionGroup():
            errors = [
                error for error in exception.exceptions if isinstance(error, HoistError)
            ]
            if not errors:
                return HoistError(ErrorKind.INTERNAL, "unexpected error")
            message = "; ".join(f"{error.field}: {error.message}" for error in errors)
            return HoistError(errors[0].kind, message, field=errors[0].field)
        case PayloadTooLarge():
            return HoistError(ErrorKind.BODY_TOO_LARGE, "the body is too large")
        case NotFound():
            return HoistError(ErrorKind.UNKNOWN_RESOURCE, str(exception))
        case SanicException() if exception.status_code < 500:
            return HoistError(ErrorKind.INVALID_REQUEST, str(exception))
        case _:
            return HoistError(ErrorKind.INTERNAL, "unexpected error")
