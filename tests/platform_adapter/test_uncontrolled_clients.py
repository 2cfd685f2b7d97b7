"""Surges of uncontrolled clients leave an entry alive, small and answering others.

Such clients drove an entry's process from 300 MB to 751 MB. Each test starts the
process of an entry with a small memory limit, and checks only what doesn't depend on
speed.
"""

import asyncio
import sys
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from gentianhoist_platform.standins import (
    RawResponse,
    ServerStandin,
    StoreStandin,
    operator_configuration,
)

_MIB = 1024 * 1024
# An idle entry has about 45 MB; half of each surge is over the limit on its own.
_MEMORY_LIMIT_MB = 112
_MAX_BODY_BYTES = 4 * _MIB
_CLIENTS = 40
# Each stream holds up to 0.5 MiB, since an entry reads only as much in advance. The
# slots of the engine bound how many there are.
_STREAM_CLIENTS = 160
# Descriptors of an entry beside the connections of callers: listeners, its loop, store,
# other entries, and connections to servers, of which each client may cause one.
_OWN_DESCRIPTORS = 60
_ORDINARY_TIMEOUT_S = 10.0
_SURGE_S = 2.0
_READ_BYTES = 64 * 1024


class Entry:
    """The process of an entry with its stand-ins."""

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        port: int,
        desk: ServerStandin,
        engine: ServerStandin,
    ) -> None:
        self.process = process
        self.port = port
        self.desk = desk
        self.engine = engine

    def peak_resident_mb(self) -> float:
        """Largest resident memory that the process has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    def descriptors(self) -> int:
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def request(
        self, path: str = "/look/x", body: bytes = b"{}", timeout_s: float = 2.0
    ) -> bytes:
        """Send one request over a connection of its own; returns the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            framing = b"Connection: close\r\nContent-Length: %d" % len(body)
            writer.write(head(path, framing, timeout_s) + body)
            return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.transport.abort()

    async def ordinary_response(self, path: str = "/look/x") -> bytes:
        """Send an ordinary request as callers do, which repeat it when refused."""
        async with asyncio.timeout(_ORDINARY_TIMEOUT_S):
            while not (response := await self.request(path)).startswith(_OK):
                await asyncio.sleep(0.2)
        return response


_OK = b"HTTP/1.1 200 "


def head(path: str, framing: bytes, timeout_s: float = 2.0) -> bytes:
    return (
        b"POST %b HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nKey: key-1\r\n"
        b"Token-Count: 500,20\r\nDeadline-Ms: %d\r\n%b\r\n\r\n"
    ) % (path.encode(), timeout_s * 1000, framing)


@pytest.fixture
async def entry(tmp_path, unused_tcp_port_factory):
    store = StoreStandin()
    await store.start()
    configuration = operator_configuration(7)
    configuration["limits"]["max_body_bytes"] = _MAX_BODY_BYTES
    store.put("op", "config", configuration)
    desk = ServerStandin("d0", "desk", "z1", store, streaming=False)
    engine = ServerStandin("e0", "engines", "z1", store, streaming=True)
    await desk.start()
    await engine.start()
    ports = [unused_tcp_port_factory() for _ in range(4)]
    path = tmp_path / "node.conf"
    path.write_text(
        "node_name=edge-1\nip=127.0.0.1\nzone=z1\n"
        f"listen.frontend=127.0.0.1:{ports[0]}\n"
        f"listen.ready=127.0.0.1:{ports[1]}\n"
        f"internal_ports={ports[2]},{ports[2]}\n"
        f"platform.address=127.0.0.1:{store.port}\n"
        f"metrics_port={ports[3]}\n"
        f"limits.memory_mb={_MEMORY_LIMIT_MB}\n"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "gentianhoist_platform.start",
        env={"GENTIANHOIST_SETTINGS": str(path), "PYTHONPATH": ".:platform"},
        stdout=asyncio.subprocess.DEVNULL,
    )
    running_entry = Entry(process, ports[0], desk, engine)
    await _wait_for_start(running_entry)
    yield running_entry
    if process.returncode is None:
        process.kill()
    await process.wait()
    await desk.close()
    await engine.close()
    await store.close()


async def _wait_for_start(entry: Entry) -> None:
    async with asyncio.timeout(20.0):
        while True:
            with suppress(OSError):
                if (await entry.request()).startswith(_OK):
                    return
            await asyncio.sleep(0.05)


async def _send_pieces(entry: Entry, pieces: list[bytes]) -> None:
    """Send pieces as fast as the entry takes them, then leave the connection open.

    An entry may answer early and close; the client goes on until then.
    """
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    except OSError:
        return
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        await asyncio.sleep(3600.0)
    except OSError:
        return
    finally:
        writer.transport.abort()


@asynccontextmanager
async def surge(clients: list) -> AsyncGenerator[None]:
    """Run clients at once while the body of the statement runs."""
    tasks = [asyncio.create_task(client) for client in clients]
    try:
        await asyncio.sleep(_SURGE_S)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def check_surge(entry: Entry, clients: list, path: str = "/look/x") -> None:
    """Check what holds in each surge, with an ordinary request beside and after it."""
    count = len(clients)
    async with surge(clients):
        assert entry.process.returncode is None
        assert entry.descriptors() <= 2 * count + _OWN_DESCRIPTORS
        assert await entry.ordinary_response(path)
    assert await entry.ordinary_response(path)
    assert entry.process.returncode is None
    print("peak resident MB:", entry.peak_resident_mb())
    assert entry.peak_resident_mb() < _MEMORY_LIMIT_MB
    async with asyncio.timeout(_ORDINARY_TIMEOUT_S):
        while entry.descriptors() > _OWN_DESCRIPTORS:
            await asyncio.sleep(0.1)


def _cut_short(data: bytes, number: int) -> bytes:
    """Three of four clients stop just short of the end."""
    return data[:-1] if number % 4 else data


def _chunks(chunk_bytes: int, total_bytes: int) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (total_bytes // chunk_bytes) + b"0\r\n\r\n"


async def test_body_of_the_largest_size_is_served_without_a_surge(entry):
    response = await entry.request(body=b"x" * _MAX_BODY_BYTES)
    assert response.startswith(_OK)
    assert entry.desk.received_bodies[-1] == b"x" * _MAX_BODY_BYTES
    assert entry.peak_resident_mb() < _MEMORY_LIMIT_MB


@pytest.mark.parametrize("pieces", [1, 16])
async def test_bodies_that_stop_just_short_of_their_end(entry, pieces):
    body = b"x" * _MAX_BODY_BYTES
    start = head("/look/x", b"Content-Length: %d" % len(body))
    size = len(body) // pieces
    clients = []
    for number in range(_CLIENTS):
        sent = _cut_short(body, number)
        parts = [sent[i : i + size] for i in range(0, len(sent), size)]
        clients.append(_send_pieces(entry, [start, *parts]))
    await check_surge(entry, clients)


@pytest.mark.parametrize(
    ("chunk_bytes", "total_bytes"), [(65_536, _MAX_BODY_BYTES), (64, 2 * _MIB)]
)
async def test_chunked_bodies_that_stop_just_short(entry, chunk_bytes, total_bytes):
    body = _chunks(chunk_bytes, total_bytes)
    start = head("/look/x", b"Transfer-Encoding: chunked")
    clients = [
        _send_pieces(entry, [start, _cut_short(body, number)])
        for number in range(_CLIENTS)
    ]
    await check_surge(entry, clients)


async def test_bodies_far_over_the_limit(entry):
    announced = head("/look/x", b"Content-Length: 1073741824")
    chunked = head("/look/x", b"Transfer-Encoding: chunked")
    data = b"x" * _READ_BYTES
    chunk = b"%x\r\n%b\r\n" % (len(data), data)
    clients = []
    for number in range(_CLIENTS):
        start, part = [(announced, data), (chunked, chunk)][number % 2]
        clients.append(_send_pieces(entry, [start, *[part] * 256]))
    await check_surge(entry, clients)


async def test_complete_bodies_of_the_largest_size_at_once(entry):
    body = b"x" * _MAX_BODY_BYTES
    start = head("/look/x", b"Content-Length: %d" % len(body))
    clients = [_send_pieces(entry, [start, body]) for _ in range(_CLIENTS)]
    await check_surge(entry, clients)


async def test_bodies_that_a_silent_server_keeps_for_a_second_attempt(entry):
    """They are kept until the deadline; what finds no room meanwhile is refused."""
    entry.desk.faults.silent = True
    body = b"x" * _MAX_BODY_BYTES
    start = head("/look/x", b"Content-Length: %d" % len(body), timeout_s=10.0)
    clients = [_send_pieces(entry, [start, body]) for _ in range(_CLIENTS)]
    await check_surge(entry, clients, "/brief/x")


async def test_large_pipelined_requests(entry):
    body = b"x" * 200_000
    request = head("/look/x", b"Content-Length: %d" % len(body)) + body
    clients = [_send_pieces(entry, [request * 16]) for _ in range(_CLIENTS)]
    await check_surge(entry, clients)


async def test_large_responses_that_callers_do_not_read(entry):
    entry.desk.faults.raw_response = RawResponse(b"x" * 6 * _MIB)
    request = head("/look/x", b"Content-Length: 2") + b"{}"
    clients = [_send_unread(entry, request) for _ in range(_CLIENTS)]
    await check_surge(entry, clients, "/brief/x")


async def test_endless_streams_that_callers_do_not_read(entry):
    event = b"data: %b\n\n" % (b"x" * 4096)
    entry.engine.faults.raw_response = RawResponse(b"", repeated=event * 16)
    request = head("/brief/x", b"Content-Length: 2", timeout_s=3.0) + b"{}"
    clients = [_send_unread(entry, request) for _ in range(_STREAM_CLIENTS)]
    await check_surge(entry, clients)


async def _send_unread(entry: Entry, request: bytes) -> None:
    """Send a request and read nothing of the response."""
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", entry.port, limit=1024
        )
    except OSError:
        return
    try:
        writer.transport.pause_reading()
        writer.write(request)
        await asyncio.sleep(3600.0)
    finally:
        writer.transport.abort()
