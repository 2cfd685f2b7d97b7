"""Parsing and validation of callers' request headers."""

from __future__ import annotations

import math
import uuid

from sanic import Request

from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import LimitSettings

_MAX_REQUEST_ID_CHARACTERS = 64
_MAX_ATTEMPT_DIGITS = 6


def new_request_id(request: Request) -> str:
    """Create the id of a request, prefixed with the caller's ``X-Request-Id`` if any.

    Raises:
        HoistError: If ``X-Request-Id`` is malformed.
    """
    caller_id = request.headers.get("x-request-id", "")
    is_valid = caller_id.isascii() and caller_id.replace("-", "").isalnum()
    if caller_id and (not is_valid or len(caller_id) > _MAX_REQUEST_ID_CHARACTERS):
        raise HoistError(
            ErrorKind.INVALID_REQUEST,
            f"must be up to {_MAX_REQUEST_ID_CHARACTERS} letters, digits and hyphens",
            field="X-Request-Id",
        )
    # A retry may carry the X-Request-Id of the first request, and the two must not be
    # confused, so the suffix makes each id unique.
    suffix = uuid.uuid4().hex[:12]
    return f"{caller_id}-{suffix}" if caller_id else f"req-{uuid.uuid4().hex}"


def request_id_header(request: Request) -> dict[str, str]:
    """Return the response header with the id of the request.

    A request that failed before it had an id gets a new one.
    """
    request_id = getattr(request.ctx, "request_id", "") if request else ""
    return {"X-Request-Id": request_id or f"req-{uuid.uuid4().hex}"}


def parse_idempotency_attempt(request: Request) -> int:
    """Parse ``Idempotency-Attempt``, the attempt number under an idempotency key.

    Returns:
        The number, or 0 if the header is absent.

    Raises:
        HoistError: If the header is not a whole number or has too many digits.
    """
    text = request.headers.get("idempotency-attempt", "0")
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_ATTEMPT_DIGITS:
        raise HoistError(
            ErrorKind.INVALID_REQUEST,
            "must be a whole number of at most 6 digits",
            field="Idempotency-Attempt",
        )
    return int(text)


def parse_priority(request: Request) -> int:
    """Parse ``X-Priority``.

    Returns:
        0 for normal priority (the default), 1 for low priority.

    Raises:
        HoistError: If the header is neither ``normal`` nor ``low``.
    """
    text = request.headers.get("x-priority", "normal")
    if text not in ("normal", "low"):
        raise HoistError(
            ErrorKind.INVALID_REQUEST, "must be normal or low", field="X-Priority"
        )
    return 1 if text == "low" else 0


def parse_remaining_s(request: Request, limits: LimitSettings) -> float:
    """Parse ``X-Deadline-S``, the time that the caller allows for the request.

    Args:
        request: The request.
        limits: Limits with the default and the maximum deadline.

    Returns:
        Seconds until the deadline.

    Raises:
        HoistError: If the header is not a number or is out of range.
    """
    text = request.headers.get("x-deadline-s")
    if text is None:
        return limits.default_deadline_s
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value <= limits.max_deadline_s:
        raise HoistError(
            ErrorKind.INVALID_REQUEST,
            f"must be seconds above 0 and up to {limits.max_deadline_s:g}",
            field="X-Deadline-S",
        )
    return value
