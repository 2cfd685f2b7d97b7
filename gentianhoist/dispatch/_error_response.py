"""Answers of our own: from an error's kind to what the caller gets."""

from __future__ import annotations

import msgspec

from gentianhoist.exceptions import HoistError
from gentianhoist.http1 import Headers, Responder

__all__ = ["send_error_response"]


def send_error_response(responder: Responder, call_id: str, error: HoistError) -> None:
    """Answer a request with an error of the closed list.

    Args:
        responder: Where to answer.
        call_id: The request's id, empty if it has none.
        error: What is wrong.
    """
    headers: Headers = [(b"Content-Type", b"application/json")]
    if error.retry_after_s > 0.0:
        headers.append((b"Retry-After", b"%.3f" % error.retry_after_s))
    body = msgspec.json.encode({
        "error": {
            "type": error.answer.type,
            "code": error.kind.value,
            "message": error.message,
            "param": error.field or None,
        },
        "request_id": call_id,
        "not_run": error.not_run.value,
    })
    responder.whole(error.answer.status, headers, body)
