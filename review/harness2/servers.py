"""Stand-ins of backend servers, in a process of their own.

Each request that a server runs is a line in a file: time, server and attempt id.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from pathlib import Path
from typing import NamedTuple

__all__ = ["ServerProcess", "ServerSpec"]

_HEAD_LIMIT_BYTES = 64 * 1024


class ServerSpec(NamedTuple):
    """What one server is and does.

    Attributes:
        id: Id in the directory.
        service: Name of its service.
        port: TCP port on 127.0.0.1.
        events: Number of events of its streams; 0 for a plain response.
        interval_s: Seconds between two events, or until the plain response.
        slots: Requests that it runs at once; others are turned away.
    """

    id: str
    service: str
    port: int
    events: int
    interval_s: float
    slots: int = 8


class _Server:
    def __init__(self, spec: ServerSpec, runs_path: Path) -> None:
        self._spec = spec
        self._runs_path = runs_path
        self._running = 0

    async def serve(self) -> None:
        server = await asyncio.start_server(
            self._handle_connection,
            "127.0.0.1",
            self._spec.port,
            limit=_HEAD_LIMIT_BYTES,
        )
        async with server:
            await server.serve_forever()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._handle_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = _headers(head)
        left = int(headers.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 1 << 20))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self._spec.id) != self._spec.id:
            await _respond(writer, 421, attempt, "Not-Executed: 1\r\n", b"")
        elif b" /api/order " in head:
            await _respond(writer, 200, "", "", b'{"free":100000}')
        elif self._running >= self._spec.slots:
            await _respond(writer, 503, attempt, "Not-Executed: 1\r\n", b"")
        else:
            await self._run(writer, attempt)

    async def _run(self, writer: asyncio.StreamWriter, attempt: str) -> None:
        self._running += 1
        try:
            with self._runs_path.open("a", encoding="utf-8") as runs:
                runs.write(f"{time.time():.3f} {self._spec.id} {attempt}\n")
            seal = f"Server-Seal: seal-{self._spec.id}\r\n"
            if not self._spec.events:
                await asyncio.sleep(self._spec.interval_s)
                await _respond(writer, 200, attempt, seal, b"done")
                return
            await self._stream(writer, attempt, seal)
        finally:
            self._running -= 1

    async def _stream(
        self, writer: asyncio.StreamWriter, attempt: str, seal: str
    ) -> None:
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n{seal}"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, self._spec.events + 1):
            await asyncio.sleep(self._spec.interval_s)
            event = b"id: %d\ndata: x%d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


async def _respond(
    writer: asyncio.StreamWriter, status: int, attempt: str, extra: str, body: bytes
) -> None:
    head = f"HTTP/1.1 {status} x\r\n{extra}Content-Length: {len(body)}\r\n"
    if attempt:
        head += f"Attempt-Id: {attempt}\r\n"
    writer.write(head.encode() + b"\r\n" + body)
    await writer.drain()


async def _serve_all(specs: list[ServerSpec], runs_path: Path) -> None:
    await asyncio.gather(*(_Server(spec, runs_path).serve() for spec in specs))


def _main(specs: list[ServerSpec], runs_path: Path) -> None:
    asyncio.run(_serve_all(specs, runs_path))


class ServerProcess:
    """Process that runs some servers.

    Args:
        specs: The servers.
        runs_path: File to which each run is added as a line.
    """

    def __init__(self, specs: list[ServerSpec], runs_path: Path) -> None:
        self._runs_path = runs_path
        runs_path.touch()
        context = multiprocessing.get_context("fork")
        self._process = context.Process(target=_main, args=(specs, runs_path))

    def start(self) -> None:
        """Start the process."""
        self._process.start()

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.join()

    def run_count(self, attempt: str) -> int:
        """Number of runs of a request."""
        text = self._runs_path.read_text(encoding="utf-8")
        return sum(line.endswith(f" {attempt}") for line in text.splitlines())
