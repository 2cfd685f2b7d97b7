"""Stand-in for a plain service that counts the executions of each idempotency key.

The protocol:

- ``POST /operations/{operation}`` executes an operation; the header
  ``Idempotency-Key`` identifies the call.
- ``GET /executions`` returns the number of executions of each key.
- ``GET /health`` is the health check.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec
from aiohttp import web

from gentianhoist.standins._server import StandinServer, json_response

__all__ = ["ServiceFaults", "ServiceStandin"]


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of a plain service.

    Attributes:
        delay_s: Duration of an execution in seconds.
        drop_before: Number of next calls whose connection is aborted before the
            execution.
        drop_after: Number of next calls whose connection is aborted after the
            execution.
        silent: Whether calls are executed but get no response.
        crash_text: The service crashes when it executes a call with this text in its
            body; empty for none.
        restart_s: Seconds from a crash until it listens again.
    """

    delay_s: float = 0.0
    drop_before: int = 0
    drop_after: int = 0
    silent: bool = False
    crash_text: str = ""
    restart_s: float = 0.2


class ServiceStandin(StandinServer[ServiceFaults]):
    """One server of a plain service.

    It executes repeated calls again, so that tests can count duplicate executions.

    Args:
        host: IP address to listen on.
        port: TCP port, or 0 for any free port.
        faults: The initial faults.

    Attributes:
        executions: Number of executions of each idempotency key.
        crashes: Number of crashes.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        faults: ServiceFaults | None = None,
    ) -> None:
        super().__init__(host, port, faults or ServiceFaults())
        self.executions: Counter[str] = Counter()
        self.crashes = 0
        self._transports: set[asyncio.Transport] = set()
        self._restart: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Stop listening and close open connections."""
        if self._restart is not None:
            self._restart.cancel()
        await super().close()

    async def crash(self) -> None:
        """Abort all connections, and listen again after the restart time."""
        self.crashes += 1
        await self._stop_listening()
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        self._restart = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.faults.restart_s)
        await self.start()

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_get("/executions", self._get_executions)
        router.add_get("/health", self._health)
        router.add_post("/operations/{operation}", self._execute)

    async def _health(self, _request: web.Request) -> web.Response:
        return json_response({})

    async def _get_executions(self, _request: web.Request) -> web.Response:
        return json_response(dict(self.executions))

    async def _execute(self, request: web.Request) -> web.Response:
        body = await request.read()
        if isinstance(request.transport, asyncio.Transport):
            self._transports.add(request.transport)
        if self.faults.drop_before > 0 and request.transport is not None:
            self.faults.drop_before -= 1
            request.transport.abort()
            raise asyncio.CancelledError
        key = request.headers.get("Idempotency-Key", "")
        self.executions[key] += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.crash_text and self.faults.crash_text.encode() in body:
            await self.crash()
            raise asyncio.CancelledError
        if self.faults.drop_after > 0 and request.transport is not None:
            self.faults.drop_after -= 1
            request.transport.abort()
            raise asyncio.CancelledError
        if self.faults.silent:
            await asyncio.Event().wait()
        return json_response({
            "operation": request.match_info["operation"],
            "received_bytes": len(body),
            "executions": self.executions[key],
        })
