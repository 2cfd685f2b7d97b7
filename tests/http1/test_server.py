"""Hostile and odd requests, as a table: what the callers' side does with each."""

import asyncio

import pytest

from gentianhoist.http1 import CallerRequest, HttpServer, Responder
from tests.http1.invalid_requests import INVALID_REQUESTS, LIMITS, VALID_GET


class Served:
    """A server that echoes, and remembers what it was handed."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.server = HttpServer(self._handle, lambda: LIMITS)
        self.port = 0

    async def _handle(self, request: CallerRequest, responder: Responder) -> None:
        self.requests.append(request)
        if request.target == b"/wait":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.target == b"/stream":
            responder.start_chunked(200, [])
            for _ in range(3):
                await responder.send_chunk(b"abc")
            responder.end_chunked()
        elif request.target == b"/flood":
            responder.start_chunked(200, [])
            for _ in range(200):
                await responder.send_chunk(b"x" * 65_536)
            responder.end_chunked()
        elif request.target == b"/torn":
            responder.start_chunked(200, [])
            await responder.send_chunk(b"abc")
            responder.abort()
        else:
            responder.send_response(
                200, [(b"X-Body", b"%d" % len(request.body))], b"ok"
            )


@pytest.fixture
async def served():
    instance = Served()
    instance.port = await instance.server.start("127.0.0.1", 0)
    yield instance
    await instance.server.close()


async def _exchange(served: Served, *parts: bytes, pause_s: float = 0.0) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pause_s)
    try:
        return await asyncio.wait_for(reader.read(), 3.0)
    except ConnectionResetError:
        return b"(reset)"
    finally:
        writer.close()


class TestRefused:
    @pytest.mark.parametrize(("name", "data", "status"), INVALID_REQUESTS)
    async def test_is_answered_once_and_closed(self, served, name, data, status):
        answer = await _exchange(served, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert answer.count(b"HTTP/1.1") == 1
        assert b"Connection: close" in answer
        assert served.requests == []

    @pytest.mark.parametrize(("name", "data", "status"), INVALID_REQUESTS)
    async def test_a_request_before_it_is_served(self, served, name, data, status):
        answer = await _exchange(served, VALID_GET + data)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.count(b"HTTP/1.1 200 ") == 1
        assert b"Connection: close" in answer
        assert len(served.requests) == 1


class TestPassedOn:
    async def test_target_is_kept_byte_for_byte(self, served):
        target = b"/a/../b//%2F%2f;p?x=%00&y=+#"
        await _exchange(served, b"GET %b HTTP/1.0\r\nHost: a\r\n\r\n" % target)
        assert served.requests[0].target == target

    async def test_chunks_are_joined_and_trailers_dropped(self, served):
        data = (
            b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n"
            b"0\r\nHost: evil\r\n\r\n"
        )
        await _exchange(served, data)
        assert served.requests[0].body == b"abcde"
        hosts = [v for k, v in served.requests[0].headers if k.lower() == b"host"]
        assert hosts == [b"a"]

    async def test_bytes_may_come_one_by_one(self, served):
        data = b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        data += b"Content-Length: 3\r\n\r\nabc"
        answer = await _exchange(served, *(data[i : i + 1] for i in range(len(data))))
        assert b"X-Body: 3" in answer

    async def test_an_upgrade_is_ignored(self, served):
        data = (
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        )
        answer = await _exchange(served, data)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in answer

    async def test_expectation_is_met(self, served):
        data = (
            b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
            b"Connection: close\r\nContent-Length: 3\r\n\r\n"
        )
        answer = await _exchange(served, data, b"abc", pause_s=0.05)
        assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ")


class TestOrder:
    async def test_pipelined_requests_are_answered_in_turn(self, served):
        slow = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
        last = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        task = asyncio.ensure_future(_exchange(served, slow + last))
        await asyncio.sleep(0.05)
        assert len(served.requests) == 1
        served.release.set()
        answer = await task
        assert answer.count(b"HTTP/1.1 200") == 2

    async def test_stream_is_complete_only_at_its_end(self, served):
        whole = await _exchange(
            served, b"GET /stream HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        assert whole.endswith(b"0\r\n\r\n")
        torn = await _exchange(served, b"GET /torn HTTP/1.1\r\nHost: a\r\n\r\n")
        assert not torn.endswith(b"0\r\n\r\n")

    async def test_head_gets_no_body(self, served):
        data = b"HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        answer = await _exchange(served, data)
        assert b"Content-Length: 2" in answer
        assert answer.endswith(b"\r\n\r\n")


class TestCallersThatLeave:
    async def test_close_cancels_the_request(self, served):
        _, writer = await asyncio.open_connection("127.0.0.1", served.port)
        writer.write(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        assert served.cancelled == 1

    async def test_half_close_counts_as_leaving(self, served):
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        writer.write(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write_eof()
        assert await asyncio.wait_for(reader.read(), 2.0) == b""
        assert served.cancelled == 1
        writer.close()

    async def test_a_caller_that_does_not_read_holds_little(self, served):
        _, writer = await asyncio.open_connection("127.0.0.1", served.port)
        writer.write(b"GET /flood HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.1)
        (connection,) = served.server.connections
        assert connection._transport.get_write_buffer_size() < 1_000_000
        writer.transport.abort()

    async def test_idle_connection_is_closed(self, served):
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        assert await asyncio.wait_for(reader.read(), 2.0) == b""
        writer.close()


class TestLeaving:
    async def test_kept_connection_is_served_once_more_and_closed(self, served):
        reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
        writer.write(VALID_GET)
        assert b"200" in await reader.readuntil(b"ok")
        served.server.start_draining()
        writer.write(VALID_GET)
        answer = await asyncio.wait_for(reader.read(), 2.0)
        assert b"200" in answer
        assert b"Connection: close" in answer
        writer.close()
