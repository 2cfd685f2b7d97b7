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
    """

    delay_s: float = 0.0
    drop_before: int = 0
    drop_after: int = 0
    silent: bool = False


class ServiceStandin(StandinServer[ServiceFaults]):
    """One server of a plain service.

    It executes repeated calls again, so that tests can count duplicate executions.

    Args:
        host: IP address to listen on.
        port: TCP port, or 0 for any free port.
        faults: The initial faults.

    Attributes:
        executions: Number of executions of each idempotency key.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        faults: ServiceFaults | None = None,
    ) -> None:
        super().__init__(host, port, faults or ServiceFaults())
        self.executions: Counter[str] = Counter()

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
        if self.faults.drop_before > 0 and request.transport is not None:
            self.faults.drop_before -= 1
            request.transport.abort()
            raise asyncio.CancelledError
        key = request.headers.get("Idempotency-Key", "")
        self.executions[key] += 1
        await asyncio.sleep(self.faults.delay_s)
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
