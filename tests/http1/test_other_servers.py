"""How other HTTP servers handle the invalid requests of `invalid_requests`.

Their deviations are why the entry has an HTTP server of its own. A response is right
if it has the expected status and announces that the connection closes after it, and the
handler wasn't called.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from sanic import Sanic, response

from tests.http1.invalid_requests import INVALID_REQUESTS, LIMITS, VALID_GET

UNNORMALISED_TARGET = b"/a/../b//%2F%2f;p?x=%00&y=+#"


class HandlerLog:
    """Records what the handler of a server received.

    Attributes:
        targets: Request targets, in the order received.
        cancelled: Number of requests cancelled because the caller disconnected.
        port: TCP port of the server.
    """

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.cancelled = 0
        self.port = 0

    async def wait(self) -> None:
        """Hold a request for one second, and count it if it is cancelled."""
        try:
            await asyncio.sleep(1.0)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


@asynccontextmanager
async def _aiohttp() -> AsyncGenerator[HandlerLog, None]:
    handler_log = HandlerLog()

    async def handle(request: web.Request) -> web.Response:
        handler_log.targets.append(request.raw_path.encode())
        await request.read()
        if request.path == "/wait":
            await handler_log.wait()
        return web.Response(text="ok")

    app = web.Application(client_max_size=LIMITS.max_body_bytes)
    app.router.add_route("*", "/{tail:.*}", handle)
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        keepalive_timeout=LIMITS.idle_timeout_s,
        max_line_size=LIMITS.max_header_bytes,
        max_field_size=LIMITS.max_header_bytes,
        access_log=None,
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    handler_log.port = runner.addresses[0][1]
    yield handler_log
    await runner.cleanup()


@asynccontextmanager
async def _sanic() -> AsyncGenerator[HandlerLog, None]:
    handler_log = HandlerLog()
    app = Sanic(f"odd_{id(handler_log)}", configure_logging=False)
    app.config.REQUEST_MAX_HEADER_SIZE = LIMITS.max_header_bytes
    app.config.REQUEST_MAX_SIZE = LIMITS.max_body_bytes
    app.config.REQUEST_TIMEOUT = LIMITS.header_timeout_s
    app.config.KEEP_ALIVE_TIMEOUT = LIMITS.idle_timeout_s
    app.config.TOUCHUP = False

    async def handle(request, path=""):
        handler_log.targets.append(request.raw_url)
        if request.path == "/wait":
            await handler_log.wait()
        return response.text("ok")

    for rule in ("/", "/<path:path>"):
        name = f"handle_{len(rule)}"
        app.add_route(handle, rule, methods=["GET", "POST"], name=name)
    server = await app.create_server(
        "127.0.0.1", 0, return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.start_serving()
    handler_log.port = server.server.sockets[0].getsockname()[1]
    yield handler_log
    server.close()
    await server.wait_closed()


SERVERS = {"aiohttp": _aiohttp, "sanic": _sanic}


async def _exchange(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), 1.5)
    except TimeoutError:
        return b"(left open)"
    except ConnectionResetError:
        return b"(reset)"
    finally:
        writer.close()


def _classify_response(
    response_bytes: bytes, status: int, handler_log: HandlerLog
) -> str:
    if handler_log.targets:
        return "handler called"
    if not response_bytes.startswith(b"HTTP/1."):
        return "no response"
    if response_bytes.split(b" ", 2)[1] != b"%d" % status:
        return "other status"
    announces_close = (
        b"connection: close" in response_bytes.lower()
        or response_bytes.startswith(b"HTTP/1.0")
    )
    return "right" if announces_close else "does not announce close"


# Names of the requests that a server doesn't reject as expected, and how it responds.
EXPECTED_DEVIATIONS = {
    "aiohttp": {
        "huge header": "other status",
        "huge target": "other status",
        "many headers": "other status",
        # The handler runs before the body has arrived.
        "declared too long": "handler called",
        "chunks too long": "handler called",
        "headers that never end": "no response",
    },
    "sanic": {
        "space before colon": "handler called",
        "NUL in a value": "handler called",
        "bare LF": "other status",
        "no HTTP at all": "other status",
        "huge header": "other status",
        "huge target": "other status",
        "many headers": "other status",
    },
}


@pytest.mark.parametrize("name", SERVERS)
async def test_invalid_requests(name):
    deviations = {}
    for request_name, data, status in INVALID_REQUESTS:
        async with SERVERS[name]() as handler_log:
            response_bytes = await _exchange(handler_log.port, data)
        outcome = _classify_response(response_bytes, status, handler_log)
        if outcome != "right":
            deviations[request_name] = outcome
    assert deviations == EXPECTED_DEVIATIONS[name]


@pytest.mark.parametrize("name", SERVERS)
async def test_target_is_kept_byte_for_byte(name):
    async with SERVERS[name]() as handler_log:
        request = b"GET %b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        await _exchange(handler_log.port, request % UNNORMALISED_TARGET)
    assert handler_log.targets == [UNNORMALISED_TARGET]


@pytest.mark.parametrize("name", SERVERS)
async def test_half_close_cancels_the_request(name):
    async with SERVERS[name]() as handler_log:
        reader, writer = await asyncio.open_connection("127.0.0.1", handler_log.port)
        writer.write(VALID_GET.replace(b"/a/b?q=%20x", b"/wait"))
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 0.9)
        writer.close()
    assert handler_log.cancelled == 1
