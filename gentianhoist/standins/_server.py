"""Base class of the stand-ins: an HTTP server with faults that are set over HTTP."""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec
from aiohttp import web

_Faults = TypeVar("_Faults", bound=msgspec.Struct)

_MAX_BODY_BYTES = 64 * 1024 * 1024
_SHUTDOWN_TIMEOUT_S = 0.1


class StandinServer(Generic[_Faults]):
    """An aiohttp server whose injected faults are read and set at ``/faults``.

    ``GET /faults`` returns them as JSON, and ``POST /faults`` replaces them. A subclass
    adds its routes in ``_add_routes`` and applies the faults in its handlers.

    Args:
        host: IP address to listen on.
        port: TCP port, or 0 for any free port.
        faults: The initial faults.

    Attributes:
        faults: The faults in force.
    """

    def __init__(self, host: str, port: int, faults: _Faults) -> None:
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None
        self.faults = faults

    @property
    def port(self) -> int:
        """The TCP port; if 0 was given, the actual port after the start."""
        return self._port

    @property
    def url(self) -> str:
        """The base URL, valid after the start."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_get("/faults", self._get_faults)
        app.router.add_post("/faults", self._set_faults)
        self._add_routes(app.router)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
            handler_cancellation=True,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def _stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._runner is not None:
            for site in list(self._runner.sites):
                await site.stop()

    async def close(self) -> None:
        """Stop listening and close open connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        raise TypeError(f"{type(self).__name__} must override _add_routes")

    async def _get_faults(self, _request: web.Request) -> web.Response:
        return json_response(self.faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.faults = msgspec.json.decode(
                await request.read(), type=type(self.faults)
            )
        except msgspec.MsgspecError as error:
            return json_response({"error": str(error)}, status=400)
        return json_response(self.faults)


def json_response(content: object, *, status: int = 200) -> web.Response:
    """Build an HTTP response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        content_type="application/json",
    )
