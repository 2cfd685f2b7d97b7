"""How aiohttp's client handles closed connections and unexpected responses."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


class ScriptedServer:
    """Server that sends the scripted responses on each connection.

    Attributes:
        script: Responses to the requests of one connection; empty bytes close it.
        request_count: Number of requests received.
    """

    def __init__(self, script: list[bytes]) -> None:
        self.script = script
        self.request_count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for response in self.script:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.request_count += 1
            if not response:
                break
            writer.write(response)
            await writer.drain()
        writer.close()


@pytest.fixture
async def send_two_requests():
    listeners = []

    async def _send_two_requests(script: list[bytes]) -> tuple[list[str], int]:
        server = ScriptedServer(script)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        bodies = []
        async with aiohttp.ClientSession() as session:
            for _ in range(2):
                async with session.get(f"http://127.0.0.1:{port}/") as response:
                    bodies.append(await response.text())
        return bodies, server.request_count

    yield _send_two_requests
    for listener in listeners:
        listener.close()


async def test_aiohttp_retries_by_itself(send_two_requests):
    """The caller's limits don't count it; the server may have run the first attempt."""
    assert await send_two_requests([OK_HEAD + b"ok", b""]) == (["ok", "ok"], 3)


async def test_aiohttp_cannot_skip_the_response_to_another_request(send_two_requests):
    """It returns the first response on the connection; the right one comes second."""
    late_responses = (
        OK_HEAD.replace(b"OK", b"Of another request") + b"no" + OK_HEAD + b"ok"
    )
    bodies, _ = await send_two_requests([OK_HEAD + b"ok", late_responses])
    assert bodies == ["ok", "no"]
