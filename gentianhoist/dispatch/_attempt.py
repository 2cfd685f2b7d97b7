"""One attempt to send a request to one backend server and read its response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from gentianhoist.backoff import PauseNamed
from gentianhoist.dispatch._interfaces import (
    Call,
    ResponseValidity,
    ServerCodec,
    ServerResponse,
)
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import BackendServer
from gentianhoist.http1 import (
    AcquiredConnection,
    ClientConnection,
    ConnectionFailed,
    ConnectionPool,
    DroppedResponse,
    EncodedRequest,
    ResponseCut,
)

__all__ = ["Attempt", "AttemptFailed", "Execution", "ResponseTrace", "StreamProgress"]

# Limit of a body that is buffered; streams are passed on event by event.
_MAX_BODY_BYTES = 8 * 1024 * 1024
# Begin of a response head.
_HEAD_BEGIN = b"HTTP/1.1 "


class Execution(Enum):
    """Whether a request may have run when an attempt gave no usable response."""

    UNSENT = "no byte was sent"
    NOT_EXECUTED = "the server reports that the request did not run"
    UNKNOWN = "the request may have run"


class AttemptFailed(Exception):
    """An attempt gave no response that can be forwarded.

    Args:
        execution: Whether the request may have run.
        reason: Cause, for the log and the error response.
        fault_address: Address of the server that failed, if it isn't the one addressed.
        wrong_server: Whether another server now has the address.
        no_response: Whether the connection could not be opened, or the wait for the
            response or the next event timed out.
        connection_lost: Whether the connection ended before the response did.
        counts_against_server: Whether the failure counts in the server's health.
    """

    def __init__(
        self,
        execution: Execution,
        reason: str,
        *,
        fault_address: str | None = None,
        wrong_server: bool = False,
        no_response: bool = False,
        connection_lost: bool = False,
        counts_against_server: bool = True,
    ) -> None:
        super().__init__(reason)
        self.execution = execution
        self.reason = reason
        self.fault_address = fault_address
        self.wrong_server = wrong_server
        self.no_response = no_response
        self.connection_lost = connection_lost
        self.counts_against_server = counts_against_server


@dataclass
class StreamProgress:
    """How far the stream of one attempt has come.

    Attributes:
        events: Number of events received.
        first_event_s: Time of the first event on the event loop's clock, None before.
    """

    events: int = 0
    first_event_s: float | None = None

    def record_events(self, count: int, now_s: float) -> None:
        """Record events at the current time of the event loop's clock."""
        self.events += count
        if self.first_event_s is None:
            self.first_event_s = now_s

    def writing_s(self, now_s: float) -> float:
        """Return the seconds since the first event; 0 before it."""
        return 0.0 if self.first_event_s is None else now_s - self.first_event_s


class ResponseTrace(NamedTuple):
    """Where on its connection a response was read, for the log.

    Attributes:
        framing: How the end of the body was found.
        connection_requests: Number of requests sent on the connection so far.
        heads_in_body: Number of response heads that seem to begin in the body.
    """

    framing: str
    connection_requests: int
    heads_in_body: int


async def _reserve_nothing(count: int) -> None:
    return None


class Attempt:
    """One attempt at a request, on one connection to one backend server.

    Args:
        call: The caller's request.
        server: The backend server.
        pool: Connections to the server.
        codec: Decodes the response.
        on_response: Called with each response head of the server, usable or not.
        on_dropped: Called with each response on the connection that isn't passed on.
    """

    def __init__(
        self,
        call: Call,
        server: BackendServer,
        pool: ConnectionPool,
        codec: ServerCodec,
        on_response: Callable[[ServerResponse], None],
        on_dropped: Callable[[DroppedResponse], None],
    ) -> None:
        self._call = call
        self._server = server
        self._pool = pool
        self._codec = codec
        self._on_response = on_response
        self._on_dropped = on_dropped
        self._lease: AcquiredConnection | None = None
        self._complete = False
        self._heads_in_body = 0

    @property
    def trace(self) -> ResponseTrace:
        """Where the response was read; only between `send` and `close`."""
        return ResponseTrace(
            self._connection.framing.value,
            self._connection.sent_requests,
            self._heads_in_body,
        )

    @property
    def server(self) -> BackendServer:
        """The backend server that is addressed."""
        return self._server

    async def send(
        self,
        encode: Callable[[], EncodedRequest],
        refusal_reason: Callable[[], str | None],
        *,
        max_idle_s: float,
    ) -> None:
        """Send the request, unless it is forbidden once a connection is available.

        Args:
            encode: Encodes the request; called right before the send.
            refusal_reason: Returns why the request may not be sent now, or None.
            max_idle_s: Maximum seconds that a reused connection may have been idle.

        Raises:
            AttemptFailed: If the request was not sent.
        """
        try:
            self._lease = await self._pool.acquire(max_idle_s=max_idle_s, is_named=True)
        except ConnectionFailed as error:
            raise AttemptFailed(
                Execution.UNSENT, str(error), no_response=True
            ) from error
        reason = refusal_reason()
        if reason is not None:
            self.close()
            raise AttemptFailed(Execution.UNSENT, reason, counts_against_server=False)
        if not self._connection.usable:
            self.close()
            raise AttemptFailed(
                Execution.UNSENT, "connection closed before the request was sent"
            )
        try:
            self._connection.send(
                encode(),
                head_only=self._call.method == b"HEAD",
                attribute=self._codec.attribution(self._call),
                on_dropped=self._on_dropped,
            )
        except ConnectionFailed as error:
            self.close()
            raise AttemptFailed(Execution.UNSENT, str(error)) from error

    async def await_response(self, wait_deadline_s: float) -> ServerResponse:
        """Wait for the response head of this request.

        Args:
            wait_deadline_s: End of the wait, on the event loop's clock.

        Raises:
            AttemptFailed: If no response arrives that may be forwarded.
        """
        try:
            async with asyncio.timeout_at(wait_deadline_s):
                head = await self._connection.read_head()
        except TimeoutError:
            raise AttemptFailed(
                Execution.UNKNOWN, "no response before the timeout", no_response=True
            ) from None
        except ConnectionFailed as error:
            raise AttemptFailed(
                Execution.UNKNOWN, str(error), connection_lost=True
            ) from error
        response = self._codec.decode(
            head,
            self._call,
            is_first_response=self._connection.reads_first_response,
        )
        self._on_response(response)
        match response.validity:
            case ResponseValidity.NOT_EXECUTED:
                raise AttemptFailed(
                    Execution.NOT_EXECUTED,
                    f"server did not execute the request, status {response.status}",
                    fault_address=response.fault_address,
                    wrong_server=response.wrong_server,
                    counts_against_server=not isinstance(
                        response.notice.pause, PauseNamed
                    ),
                )
            case ResponseValidity.UNTRUSTED:
                raise AttemptFailed(
                    Execution.UNKNOWN, f"untrusted response, status {response.status}"
                )
        return response

    async def read_body(
        self, reserve: Callable[[int], Awaitable[None]] = _reserve_nothing
    ) -> bytes:
        """Read the complete body.

        Args:
            reserve: Waits until there is room for bytes of the response; no more are
                read meanwhile.

        Raises:
            AttemptFailed: If the connection fails before the end, or the body exceeds
                the size limit.
            HoistError: If there is no room for the response.
        """
        parts = []
        size_bytes = 0
        while data := await self.read_chunk():
            try:
                await reserve(len(data))
            except ResponseCut as cut:
                raise HoistError(
                    ErrorKind.BACKEND_FAILED, f"no memory for the response: {cut}"
                ) from cut
            parts.append(data)
            size_bytes += len(data)
            if size_bytes > _MAX_BODY_BYTES:
                raise AttemptFailed(
                    Execution.UNKNOWN, "the body exceeds the size limit"
                )
        return b"".join(parts)

    async def read_chunk(self) -> bytes:
        """Read the next part of the body; empty when the body is complete.

        Raises:
            AttemptFailed: If the connection fails before the end.
        """
        try:
            data = await self._connection.read_data()
        except ConnectionFailed as error:
            raise AttemptFailed(
                Execution.UNKNOWN, str(error), connection_lost=True
            ) from error
        self._heads_in_body += data.count(_HEAD_BEGIN)
        if not data:
            self._complete = True
        return data

    def abort(self) -> None:
        """Close the connection; a pending read raises `AttemptFailed`."""
        if self._lease is not None:
            self._connection.close()

    def close(self) -> None:
        """Return the connection to the pool, closed if the response is incomplete."""
        if self._lease is None:
            return
        connection = self._connection
        self._lease = None
        if not self._complete:
            connection.close()
        self._pool.release(connection)

    @property
    def _connection(self) -> ClientConnection:
        assert self._lease is not None, "send() was not called"
        return self._lease.connection
