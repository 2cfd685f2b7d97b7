"""Bytes without end, from servers and from callers, however small their units are."""

import asyncio
import time

import pytest

from gentianhoist.http1 import ConnectionFailed, ConnectionPool, HttpServer, PoolLimits
from gentianhoist.http1._input import SlicedInput
from tests.http1.invalid_requests import LIMITS
from tests.turn_monitor import PASS_S, TurnMonitor

ENDS_WITHIN_S = 5.0
BLOCK_BYTES = 64 * 1024
RESPONSE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_RESPONSE = RESPONSE + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
async def monitor(heap_of_its_own):
    instance = TurnMonitor()
    yield instance
    instance.close()


async def write_until_closed(writer, begin: bytes, repeated: bytes) -> None:
    block = repeated * (BLOCK_BYTES // len(repeated))
    try:
        writer.write(begin)
        while True:
            writer.write(block)
            await writer.drain()
    except ConnectionError:
        writer.close()


async def read_response(begin: bytes, repeated: bytes) -> int:
    """Read a response without end, for a while; returns the size of its body."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await write_until_closed(writer, begin, repeated)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = ConnectionPool("127.0.0.1", port, PoolLimits())
    acquired = await pool.acquire()
    received = 0
    try:
        acquired.connection.send(REQUEST)
        await acquired.connection.read_head()
        end_s = time.monotonic() + 0.5
        while time.monotonic() < end_s:
            data = await acquired.connection.read_data()
            if not data:
                break
            received += len(data)
    finally:
        acquired.connection.close()
        pool.release(acquired.connection)
        server.close()
    return received


HEADS = {
    "headers": (RESPONSE, b"a:\r\n"),
    "a header": (RESPONSE + b"a: ", b"x"),
    "interim responses": (b"", b"HTTP/1.1 100 C\r\n\r\n"),
    "lines before a head": (b"", b"\r\n"),
}
BODIES = {
    "bytes": (RESPONSE + b"\r\n", b"x"),
    "blank lines": (RESPONSE + b"\r\n", b"\n"),
    "chunks of one byte": (CHUNKED_RESPONSE, b"1\r\nx\r\n"),
    "chunks with an extension": (CHUNKED_RESPONSE, b"1;a=b\r\nx\r\n"),
}
FRAMING = {
    "an extension": (CHUNKED_RESPONSE + b"1;", b"x"),
    "trailers": (CHUNKED_RESPONSE + b"0\r\n", b"a:\r\n"),
    "a trailer": (CHUNKED_RESPONSE + b"0\r\na:", b"x"),
}


class TestServers:
    """Guards against: a response takes the event loop from all other requests."""

    @pytest.mark.parametrize("case", HEADS)
    async def test_heads_fail(self, monitor, case):
        with pytest.raises(ConnectionFailed):
            await asyncio.wait_for(read_response(*HEADS[case]), ENDS_WITHIN_S)
        assert monitor.longest_s < PASS_S

    @pytest.mark.parametrize("case", FRAMING)
    async def test_framing_fails(self, monitor, case):
        with pytest.raises(ConnectionFailed):
            await asyncio.wait_for(read_response(*FRAMING[case]), ENDS_WITHIN_S)
        assert monitor.longest_s < PASS_S

    @pytest.mark.parametrize("case", BODIES)
    async def test_bodies_leave_others_their_turn(self, monitor, case):
        received = await asyncio.wait_for(read_response(*BODIES[case]), ENDS_WITHIN_S)
        assert received > BLOCK_BYTES
        assert monitor.longest_s < PASS_S


REJECTED_REQUESTS = {
    "headers": (b"GET / HTTP/1.1\r\n", b"a:\r\n"),
    "a header": (b"GET / HTTP/1.1\r\na: ", b"x"),
    "a target": (b"GET /", b"x"),
    "lines before a head": (b"", b"\r\n"),
    "an extension": (CHUNKED_REQUEST + b"1;", b"x"),
    "trailers": (CHUNKED_REQUEST + b"0\r\n", b"a:\r\n"),
    "a trailer": (CHUNKED_REQUEST + b"0\r\na:", b"x"),
    "chunks of one byte": (CHUNKED_REQUEST, b"1\r\nx\r\n"),
}


class TestCallers:
    """Guards against: a request takes the event loop, or memory, without end."""

    @pytest.mark.parametrize("case", REJECTED_REQUESTS)
    async def test_requests_without_end_are_rejected(self, monitor, case):
        data = await self.send(*REJECTED_REQUESTS[case])
        assert data.startswith((b"HTTP/1.1 431 ", b"HTTP/1.1 413 "))
        assert monitor.longest_s < PASS_S

    async def test_requests_one_after_the_other_leave_others_their_turn(self, monitor):
        with pytest.raises(TimeoutError):
            await self.send(b"", REQUEST, within_s=0.5)
        assert monitor.longest_s < PASS_S

    async def send(self, begin: bytes, repeated: bytes, within_s=ENDS_WITHIN_S):
        """Send a request without end, and return what comes back."""

        async def respond(request, responder) -> None:
            responder.send_response(200, [], b"ok")

        server = HttpServer(respond, lambda: LIMITS)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        sending = asyncio.ensure_future(write_until_closed(writer, begin, repeated))
        try:
            return await asyncio.wait_for(reader.read(), within_s)
        except ConnectionError:
            return bytes(reader._buffer)
        finally:
            sending.cancel()
            writer.close()
            await server.close()


class FakeTransport:
    """Records whether reading is paused."""

    def __init__(self) -> None:
        self.is_paused = False

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


class TestSlicedInput:
    async def test_slow_parsing_is_spread_over_turns(self):
        sizes = []

        def parse(data: memoryview) -> None:
            sizes.append(len(data))
            time.sleep(0.002)

        transport = FakeTransport()
        sliced_input = SlicedInput(parse, lambda: True)
        sliced_input.start(transport)
        sliced_input.receive(b"x" * 20_000)
        assert len(sizes) == 1
        assert transport.is_paused
        while not sliced_input.is_empty:
            before = len(sizes)
            await asyncio.sleep(0)
            assert len(sizes) <= before + 1
        assert sum(sizes) == 20_000
        assert not transport.is_paused

    async def test_bytes_wait_while_there_is_no_room(self):
        parsed = []
        room = [False]
        transport = FakeTransport()
        sliced_input = SlicedInput(lambda data: parsed.append(data), lambda: room[0])
        sliced_input.start(transport)
        sliced_input.receive(b"abc")
        await asyncio.sleep(0)
        assert not parsed
        assert transport.is_paused
        room[0] = True
        sliced_input.update()
        await asyncio.sleep(0)
        assert b"".join(parsed) == b"abc"
        assert not transport.is_paused
