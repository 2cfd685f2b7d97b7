"""What a ready-made client does with servers that break off or say too much."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


class Server:
    """Answers each request on a connection as scripted.

    Attributes:
        script: Answers to the requests of one connection; empty bytes close it.
        arrived: Requests that arrived.
    """

    def __init__(self, script: list[bytes]) -> None:
        self.script = script
        self.arrived = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for answer in self.script:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.arrived += 1
            if not answer:
                break
            writer.write(answer)
            await writer.drain()
        writer.close()


@pytest.fixture
async def ask():
    servers = []

    async def _ask(script: list[bytes]) -> tuple[list[str], int]:
        server = Server(script)
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        servers.append(listening)
        port = listening.sockets[0].getsockname()[1]
        got = []
        async with aiohttp.ClientSession() as session:
            for _ in range(2):
                async with session.get(f"http://127.0.0.1:{port}/") as answer:
                    got.append(await answer.text())
        return got, server.arrived

    yield _ask
    for listening in servers:
        listening.close()


async def test_aiohttp_sends_again_by_itself(ask):
    """A repeat that no budget knows of, to a server that may have run the first."""
    assert await ask([OK + b"ok", b""]) == (["ok", "ok"], 3)


async def test_aiohttp_can_not_pass_over_an_answer_that_is_not_its_own(ask):
    """It ends with the first answer; the one meant for the request came after it."""
    late = OK.replace(b"OK", b"Of another request") + b"no" + OK + b"ok"
    answers, _ = await ask([OK + b"ok", late])
    assert answers == ["ok", "no"]
