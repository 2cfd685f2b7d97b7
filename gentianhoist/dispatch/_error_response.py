"""Error responses that the entry itself sends to callers."""

from __future__ import annotations

import msgspec

from gentianhoist.exceptions import HoistError
from gentianhoist.http1 import Headers, Responder

__all__ = ["send_error_response"]


def send_error_response(responder: Responder, call_id: str, error: HoistError) -> None:
    """Send an error as a complete JSON response.

    Args:
        responder: Sends the response.
        call_id: Id of the request, empty without one.
        error: The error; its kind determines status and code.
    """
    headers: Headers = [(b"Content-Type", b"application/json")]
    if error.retry_after_s > 0.0:
        headers.append((b"Retry-After", b"%.3f" % error.retry_after_s))
    body = msgspec.json.encode({
        "error": {
            "type": error.response.type,
            "code": error.kind.value,
            "message": error.message,
            "param": error.field or None,
        },
        "request_id": call_id,
        "not_run": error.not_run.value,
    })
    responder.send_response(error.response.status, headers, body)
