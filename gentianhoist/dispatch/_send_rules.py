"""Rules of one send: its options, what its response tells, how a failure weighs."""

from __future__ import annotations

from gentianhoist.dispatch._attempt import AttemptFailed, Execution, StreamProgress
from gentianhoist.dispatch._interfaces import (
    ResponseValidity,
    SendOptions,
    ServerResponse,
)
from gentianhoist.dispatch._request import Request
from gentianhoist.ratelimits import NoLimitNamed

__all__ = [
    "failure_weight",
    "may_tell_rate_limit",
    "options_at_send",
    "progress_fields",
    "shows_overload",
]

# Weights of failures in the health of a server; any other failure weighs 1.
_WRONG_SERVER_WEIGHT = 2.0
_NO_RESPONSE_WEIGHT = 1.5
_NOT_EXECUTED_WEIGHT = 0.3
_SERVER_ERROR = 500


def may_tell_rate_limit(response: ServerResponse) -> bool:
    """Whether a response may change what is known of its server's rate limit.

    Only an orderly response shows that there is no limit: one of a server that fails or
    refuses may lack the headers of others.
    """
    match response.rate_limit:
        case NoLimitNamed():
            return (
                response.validity is ResponseValidity.VALID
                and response.status < _SERVER_ERROR
            )
    return True


def options_at_send(
    options: SendOptions, request: Request, remaining_s: float
) -> SendOptions:
    """The options with the organisation and remaining time at the send."""
    return SendOptions(
        organisation=request.organisation,
        remaining_s=remaining_s,
        last_event_id=options.last_event_id,
        urgency=options.urgency,
        helpers=options.helpers,
        decode_reservation_id=options.decode_reservation_id,
    )


def failure_weight(failure: AttemptFailed) -> float:
    if failure.wrong_server:
        return _WRONG_SERVER_WEIGHT
    if failure.execution is Execution.NOT_EXECUTED:
        return _NOT_EXECUTED_WEIGHT
    if failure.no_response:
        return _NO_RESPONSE_WEIGHT
    return 1.0


def shows_overload(failure: AttemptFailed) -> bool:
    """Whether a failure is a sign that a server that started gets too much work.

    One that wasn't sent, as this entry held it back, says nothing of the server.
    """
    if failure.wrong_server:
        return False
    return failure.execution is not Execution.UNSENT or failure.no_response


def progress_fields(
    progress: StreamProgress | None, now_s: float
) -> dict[str, int | float]:
    if progress is None:
        return {}
    return {"events": progress.events, "writing_s": round(progress.writing_s(now_s), 4)}
