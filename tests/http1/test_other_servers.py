"""The same odd requests at ready-made servers: why the callers' side has its own.

An answer is right if it is the one status with the connection closed after it, and
the handler saw nothing of the request.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from sanic import Sanic, response

from tests.http1.invalid_requests import INVALID_REQUESTS, LIMITS, VALID_GET

ODD_TARGET = b"/a/../b//%2F%2f;p?x=%00&y=+#"


class Seen:
    """What a server's handler saw.

    Attributes:
        targets: Targets of the requests.
        cancelled: Requests that were cancelled as their callers left.
    """

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.cancelled = 0
        self.port = 0

    async def wait(self) -> None:
        """What a slow request does."""
        try:
            await asyncio.sleep(1.0)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


@asynccontextmanager
async def _aiohttp() -> AsyncGenerator[Seen, None]:
    seen = Seen()

    async def handle(request: web.Request) -> web.Response:
        seen.targets.append(request.raw_path.encode())
        await request.read()
        if request.path == "/wait":
            await seen.wait()
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
    seen.port = runner.addresses[0][1]
    yield seen
    await runner.cleanup()


@asynccontextmanager
async def _sanic() -> AsyncGenerator[Seen, None]:
    seen = Seen()
    app = Sanic(f"odd_{id(seen)}", configure_logging=False)
    app.config.REQUEST_MAX_HEADER_SIZE = LIMITS.max_header_bytes
    app.config.REQUEST_MAX_SIZE = LIMITS.max_body_bytes
    app.config.REQUEST_TIMEOUT = LIMITS.header_timeout_s
    app.config.KEEP_ALIVE_TIMEOUT = LIMITS.idle_timeout_s
    app.config.TOUCHUP = False

    async def handle(request, path=""):
        seen.targets.append(request.raw_url)
        if request.path == "/wait":
            await seen.wait()
        return response.text("ok")

    for rule in ("/", "/<path:path>"):
        name = f"handle_{len(rule)}"
        app.add_route(handle, rule, methods=["GET", "POST"], name=name)
    server = await app.create_server(
        "127.0.0.1", 0, return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.start_serving()
    seen.port = server.server.sockets[0].getsockname()[1]
    yield seen
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


def _verdict(answer: bytes, status: int, seen: Seen) -> str:
    if seen.targets:
        return "handed on"
    if not answer.startswith(b"HTTP/1."):
        return "no answer"
    if answer.split(b" ", 2)[1] != b"%d" % status:
        return "other status"
    closed = b"connection: close" in answer.lower() or answer.startswith(b"HTTP/1.0")
    return "right" if closed else "left open"


# Rows that a server doesn't treat as the table asks.
DIFFERENT = {
    "aiohttp": {
        "huge header": "other status",
        "huge target": "other status",
        "many headers": "other status",
        # Its handler runs before the body has come.
        "declared too long": "handed on",
        "chunks too long": "handed on",
        "headers that never end": "no answer",
    },
    "sanic": {
        "space before colon": "handed on",
        "NUL in a value": "handed on",
        "bare LF": "other status",
        "no HTTP at all": "other status",
        "huge header": "other status",
        "huge target": "other status",
        "many headers": "other status",
    },
}


@pytest.mark.parametrize("name", SERVERS)
async def test_odd_requests(name):
    different = {}
    for row, data, status in INVALID_REQUESTS:
        async with SERVERS[name]() as seen:
            answer = await _exchange(seen.port, data)
        verdict = _verdict(answer, status, seen)
        if verdict != "right":
            different[row] = verdict
    assert different == DIFFERENT[name]


@pytest.mark.parametrize("name", SERVERS)
async def test_target_is_kept_byte_for_byte(name):
    async with SERVERS[name]() as seen:
        request = b"GET %b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        await _exchange(seen.port, request % ODD_TARGET)
    assert seen.targets == [ODD_TARGET]


@pytest.mark.parametrize("name", SERVERS)
async def test_half_close_cancels(name):
    async with SERVERS[name]() as seen:
        reader, writer = await asyncio.open_connection("127.0.0.1", seen.port)
        writer.write(VALID_GET.replace(b"/a/b?q=%20x", b"/wait"))
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 0.9)
        writer.close()
    assert seen.cancelled == 1
