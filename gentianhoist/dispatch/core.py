"""The dispatcher: admits a request, sends it and gives it a single response."""

from __future__ import annotations

import asyncio

from gentianhoist.dispatch._buffered_relay import BufferedRelay
from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._error_response import send_error_response
from gentianhoist.dispatch._interfaces import Call
from gentianhoist.dispatch._request import Request
from gentianhoist.dispatch._streams import StreamRelay
from gentianhoist.exceptions import ErrorKind, HoistError, NotRun
from gentianhoist.http1 import Responder

__all__ = ["Dispatcher"]

_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Serves requests from admission to the response.

    Args:
        context: What all requests share.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    async def handle(self, call: Call, responder: Responder) -> None:
        """Serve one request and send its response.

        Args:
            call: The caller's request.
            responder: Sends the response to the caller.
        """
        started_s = asyncio.get_running_loop().time()
        outcome = "caller_gone"
        try:
            outcome = await self._serve(call, responder)
        except HoistError as error:
            outcome = self._send_error(call, responder, error)
        finally:
            elapsed_s = asyncio.get_running_loop().time() - started_s
            self._context.metrics.record_response(outcome, elapsed_s)
            if outcome == "caller_gone":
                self._context.log.record(
                    "caller_gone",
                    call.id,
                    after_s=round(elapsed_s, 3),
                    stopping=self._context.shutdown.has_begun,
                )

    async def _serve(self, call: Call, responder: Responder) -> str:
        request = self._admit(call)
        try:
            async with self._context.shutdown.timeout_at(request.deadline_s):
                if request.route.streaming:
                    return await StreamRelay(self._context, request, responder).run()
                return await BufferedRelay(self._context, request, responder).run()
        except TimeoutError:
            raise self._timeout_error(request) from None

    def _admit(self, call: Call) -> Request:
        self._context.shutdown.raise_if_over(asyncio.get_running_loop().time())
        configuration = self._context.state.routing.current
        if configuration is None:
            raise HoistError(
                ErrorKind.NOT_READY,
                "no configuration has been loaded yet",
                retry_after_s=_RETRY_AFTER_S,
            )
        request = self._context.match(call, configuration)
        if request.route.streaming:
            self._context.shutdown.raise_if_late_stream(call.received_s)
        request.group_name = self._context.choose_group(request)
        self._context.state.retry_quota(request.group_name).deposit()
        return request

    def _send_error(self, call: Call, responder: Responder, error: HoistError) -> str:
        self._context.log.record(
            "answered_error",
            call.id,
            kind=error.kind.value,
            reason=error.message,
            not_run=error.not_run.value,
            retry_after_s=round(error.retry_after_s, 3),
            configuration=self._context.state.routing.version,
        )
        if responder.started:
            responder.abort()
        else:
            send_error_response(responder, call.id, error)
        return error.kind.value

    def _timeout_error(self, request: Request) -> HoistError:
        if self._context.shutdown.end_s < request.deadline_s:
            return self._context.shutdown.error(may_have_run=request.may_have_run)
        if request.may_have_run:
            return HoistError(
                ErrorKind.DEADLINE_EXCEEDED, "no response before the deadline"
            )
        return HoistError(
            ErrorKind.OVERLOADED,
            "no backend server accepted the request in time",
            retry_after_s=_RETRY_AFTER_S,
            not_run=NotRun.TRUE,
        )
