"""Stand-in for a plain service: counts the executions of every key."""

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
        delay_s: Seconds that an execution takes.
        drop_before: How many of the next calls break off before they run.
        drop_after: How many of the next calls break off after they ran.
        silent: Whether calls run and are never answered.
    """

    delay_s: float = 0.0
    drop_before: int = 0
    drop_after: int = 0
    silent: bool = False


class ServiceStandin(StandinServer[ServiceFaults]):
    """One server of a plain service.

    Args:
        host: IP number to listen on.
        port: TCP port, 0 for any.
        faults: The faults to begin with.
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
