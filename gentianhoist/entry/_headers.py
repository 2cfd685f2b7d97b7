"""What a caller's headers say, checked."""

from __future__ import annotations

import math
import uuid

from sanic import Request

from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import LimitSettings

_MAX_ID_CHARACTERS = 64
_MAX_ATTEMPT_DIGITS = 6


def new_request_id(request: Request) -> str:
    """The id of a request, which begins with what the caller sent for it.

    Raises:
        HoistError: If that can't be used.
    """
    given = request.headers.get("x-request-id", "")
    usable = given.isascii() and given.replace("-", "").isalnum()
    if given and (not usable or len(given) > _MAX_ID_CHARACTERS):
        raise HoistError(
            ErrorKind.INVALID_REQUEST,
            f"must be up to {_MAX_ID_CHARACTERS} letters, digits and hyphens",
            field="X-Request-Id",
        )
    # What a caller repeats must not cross with its first request, so the id is new.
    suffix = uuid.uuid4().hex[:12]
    return f"{given}-{suffix}" if given else f"req-{uuid.uuid4().hex}"


def request_id_header(request: Request) -> dict[str, str]:
    """The header that tells a caller the id of its request."""
    request_id = getattr(request.ctx, "request_id", "") if request else ""
    return {"X-Request-Id": request_id or f"req-{uuid.uuid4().hex}"}


def parse_idempotency_attempt(request: Request) -> int:
    """Which attempt under its key the caller says this is, 0 if it doesn't say.

    Raises:
        HoistError: If it is no number.
    """
    text = request.headers.get("idempotency-attempt", "0")
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_ATTEMPT_DIGITS:
        raise HoistError(
            ErrorKind.INVALID_REQUEST,
            "must be a whole number from 1",
            field="Idempotency-Attempt",
        )
    return int(text)


def parse_priority(request: Request) -> int:
    """0 for usual work, 1 for work that can wait.

    Raises:
        HoistError: If it is neither.
    """
    text = request.headers.get("x-priority", "normal")
    if text not in ("normal", "low"):
        raise HoistError(
            ErrorKind.INVALID_REQUEST, "must be normal or low", field="X-Priority"
        )
    return 1 if text == "low" else 0


def parse_remaining_s(request: Request, limits: LimitSettings) -> float:
    """Seconds that the caller gives, or the usual.

    Raises:
        HoistError: If it is no number, or out of bounds.
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
