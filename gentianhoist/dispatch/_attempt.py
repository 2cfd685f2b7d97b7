"""One send of a request to one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from gentianhoist.dispatch._interfaces import (
    Call,
    ResponseValidity,
    ServerCodec,
    ServerResponse,
)
from gentianhoist.fleet import BackendServer
from gentianhoist.http1 import ClientConnection, ConnectionFailed, ConnectionPool, Lease

__all__ = ["Attempt", "AttemptFailed", "Execution"]


class Execution(Enum):
    """What is known about a send that brought no answer."""

    UNSENT = "no byte was sent"
    NOT_EXECUTED = "the server says that it did not run"
    UNKNOWN = "it may have run"


class AttemptFailed(Exception):
    """A send brought no answer that can be passed on.

    Args:
        execution: What is known about it.
        reason: What happened, for the log.
        fault_address: Address of the server to blame, if another than the one asked.
        wrong_server: Whether another server has the address now.
        no_response: Whether the server said nothing at all in time.
        counts_against_server: Whether it tells anything about the server.
    """

    def __init__(
        self,
        execution: Execution,
        reason: str,
        *,
        fault_address: str | None = None,
        wrong_server: bool = False,
        no_response: bool = False,
        counts_against_server: bool = True,
    ) -> None:
        super().__init__(reason)
        self.execution = execution
        self.reason = reason
        self.fault_address = fault_address
        self.wrong_server = wrong_server
        self.no_response = no_response
        self.counts_against_server = counts_against_server


class Attempt:
    """A request on its way to one server.

    Args:
        call: The request.
        server: The server.
        pool: Connections to it.
        codec: How the server speaks.
    """

    def __init__(
        self,
        call: Call,
        server: BackendServer,
        pool: ConnectionPool,
        codec: ServerCodec,
    ) -> None:
        self._call = call
        self._server = server
        self._pool = pool
        self._codec = codec
        self._lease: Lease | None = None
        self._complete = False

    @property
    def server(self) -> BackendServer:
        """Where it was sent."""
        return self._server

    async def send(
        self,
        encode: Callable[[], bytes],
        refusal_reason: Callable[[], str | None],
        *,
        max_idle_s: float,
    ) -> None:
        """Send the request, unless it isn't allowed any more at that moment.

        Args:
            encode: Makes the bytes, at the last moment.
            refusal_reason: Why it may not be sent now, or nothing.
            max_idle_s: Longest time that a kept connection may have been idle.

        Raises:
            AttemptFailed: Unsent.
        """
        try:
            self._lease = await self._pool.acquire(max_idle_s=max_idle_s)
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
            raise AttemptFailed(Execution.UNSENT, "the connection has ended")
        try:
            self._connection.send(encode(), head_only=self._call.method == b"HEAD")
        except ConnectionFailed as error:
            self.close()
            raise AttemptFailed(Execution.UNSENT, str(error)) from error

    async def await_response(self, give_up_s: float) -> ServerResponse:
        """Wait for the head of the answer to this request.

        Args:
            give_up_s: When to give up, on the loop's clock.

        Raises:
            AttemptFailed: If there is none that may be passed on.
        """
        assert self._lease is not None
        try:
            async with asyncio.timeout_at(give_up_s):
                response = await self._matching_response(self._lease.fresh)
        except TimeoutError:
            raise AttemptFailed(
                Execution.UNKNOWN, "no answer in time", no_response=True
            ) from None
        except ConnectionFailed as error:
            raise AttemptFailed(Execution.UNKNOWN, str(error)) from error
        match response.validity:
            case ResponseValidity.NOT_EXECUTED:
                raise AttemptFailed(
                    Execution.NOT_EXECUTED,
                    f"not executed, status {response.status}",
                    fault_address=response.fault_address,
                    wrong_server=response.wrong_server,
                )
            case ResponseValidity.UNTRUSTED:
                raise AttemptFailed(
                    Execution.UNKNOWN, f"untrusted answer, status {response.status}"
                )
        return response

    async def read_body(self) -> bytes:
        """Read the whole body.

        Raises:
            AttemptFailed: If it breaks off.
        """
        parts = []
        while data := await self.read_chunk():
            parts.append(data)
        return b"".join(parts)

    async def read_chunk(self) -> bytes:
        """Read the next part of the body; empty when it is complete.

        Raises:
            AttemptFailed: If it breaks off.
        """
        try:
            data = await self._connection.data()
        except ConnectionFailed as error:
            raise AttemptFailed(Execution.UNKNOWN, str(error)) from error
        if not data:
            self._complete = True
        return data

    def abort(self) -> None:
        """End the connection; whoever waits for the answer gets `AttemptFailed`."""
        if self._lease is not None:
            self._connection.close()

    def close(self) -> None:
        """Give the connection back, or end it if the answer isn't complete."""
        if self._lease is None:
            return
        connection = self._connection
        self._lease = None
        if not self._complete:
            connection.close()
        self._pool.release(connection)

    @property
    def _connection(self) -> ClientConnection:
        assert self._lease is not None, "send() first"
        return self._lease.connection

    async def _matching_response(self, fresh: bool) -> ServerResponse:
        while True:
            head = await self._connection.head()
            response = self._codec.decode(head, self._call, fresh=fresh)
            if response.validity is not ResponseValidity.OTHER_REQUEST:
                return response
            self._connection.skip_answer()
            fresh = False
