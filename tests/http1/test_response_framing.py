"""The bytes that a caller receives, from the begin of a connection to its end."""

import asyncio

import pytest

from gentianhoist.http1 import CallerRequest, HttpServer, Responder, _responder
from tests.http1.invalid_requests import LIMITS

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_EXPECTING_HEAD = (
    b"POST /second HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    b"Connection: close\r\nContent-Length: 3\r\n\r\n"
)


class StepServer:
    """Server whose streams wait in their middle until they may go on."""

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.may_go_on = asyncio.Event()
        self.http_server = HttpServer(self._handle, lambda: LIMITS)
        self.port = 0

    async def _handle(self, request: CallerRequest, responder: Responder) -> None:
        self.targets.append(request.target)
        match request.target:
            case b"/stream" | b"/torn" | b"/cancelled":
                responder.start_chunked(200, [])
                await responder.send_chunk(b"abc")
                await self.may_go_on.wait()
                await responder.send_chunk(b"defg")
                if request.target == b"/torn":
                    responder.abort()
                elif request.target == b"/cancelled":
                    raise asyncio.CancelledError
                else:
                    responder.end_chunked()
            case b"/large-then-twice":
                responder.send_response(200, [], b"x" * 2_000_000)
                responder.send_response(200, [], b"second")
            case b"/twice":
                responder.send_response(200, [], b"first")
                responder.send_response(200, [], b"second")
            case b"/chunked-after-response":
                responder.send_response(200, [], b"first")
                responder.start_chunked(200, [])
            case b"/response-in-stream":
                responder.start_chunked(200, [])
                await responder.send_chunk(b"abc")
                responder.send_response(504, [], b"late")
            case b"/chunk-after-end":
                responder.start_chunked(200, [])
                responder.end_chunked()
                await responder.send_chunk(b"abc")
            case b"/204" | b"/304":
                responder.send_response(int(request.target[1:]), [], b"")
            case b"/204-with-body":
                responder.send_response(204, [], b"abc")
            case b"/no-body":
                responder.send_response(200, [], b"")
            case _:
                responder.send_response(200, [], b"body of " + request.target)


@pytest.fixture
async def server():
    step_server = StepServer()
    step_server.port = await step_server.http_server.start("127.0.0.1", 0)
    yield step_server
    await step_server.http_server.close()


async def _read_until_close(reader: asyncio.StreamReader) -> bytes:
    received = b""
    while True:
        try:
            data = await asyncio.wait_for(reader.read(65_536), 3.0)
        except ConnectionResetError:
            return received
        if not data:
            return received
        received += data


async def _exchange(server: StepServer, data: bytes) -> bytes:
    """Send bytes at once and return all that is received, until the close."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    received = await _read_until_close(reader)
    writer.close()
    return received


def _get(target: bytes, options: bytes = b"", version: bytes = b"1.1") -> bytes:
    return b"GET %b HTTP/%b\r\nHost: a\r\n%b\r\n" % (target, version, options)


_CLOSE = b"Connection: close\r\n"


class TestContinue:
    # Guards against: 100 Continue in the body of the response that is being written.
    async def test_it_comes_after_the_response_in_progress(self, server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_get(b"/stream"))
        begin = await reader.readuntil(b"abc\r\n")
        writer.write(_EXPECTING_HEAD)
        await asyncio.sleep(0.05)
        server.may_go_on.set()
        rest = await asyncio.wait_for(reader.readuntil(_CONTINUE), 2.0)
        assert begin + rest == (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n" + _CONTINUE
        )
        writer.write(b"xyz")
        assert (await _read_until_close(reader)).endswith(b"body of /second")
        writer.close()

    # Guards against: 100 Continue before the response to an earlier request.
    async def test_it_comes_after_the_responses_to_all_earlier_requests(self, server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_get(b"/a") + _get(b"/b") + _EXPECTING_HEAD)
        received = await asyncio.wait_for(reader.readuntil(_CONTINUE), 2.0)
        assert received.endswith(b"body of /b" + _CONTINUE)
        assert received.startswith(b"HTTP/1.1 200 OK\r\n")
        writer.write(b"xyz")
        assert (await _read_until_close(reader)).endswith(b"body of /second")
        writer.close()

    # Guards against: 100 Continue after the response, taken for that of the next one.
    async def test_none_is_sent_once_the_body_is_there(self, server):
        received = await _exchange(server, _get(b"/a") + _EXPECTING_HEAD + b"xyz")
        assert b" 100 " not in received
        assert received.count(b"HTTP/1.1 200 OK") == 2

    # Guards against: an interim response to a caller that knows none.
    async def test_none_is_sent_to_http_1_0(self, server):
        head = _EXPECTING_HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
        received = await _exchange(server, head + b"xyz")
        assert received.startswith(b"HTTP/1.1 200 OK\r\n")

    # Guards against: 100 Continue after the refusal of the request that expects it.
    async def test_none_is_sent_after_a_refusal(self, server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_get(b"/stream"))
        begin = await reader.readuntil(b"abc\r\n")
        writer.write(
            b"POST /second HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nno size\r\n"
        )
        await asyncio.sleep(0.05)
        server.may_go_on.set()
        received = begin + await _read_until_close(reader)
        assert b" 100 " not in received
        assert received.count(b"HTTP/1.1") == 2
        assert b"\r\n0\r\n\r\nHTTP/1.1 400 Bad Request\r\n" in received
        writer.close()


class TestHttp10:
    # Guards against: chunk framing that the caller takes for a part of the body.
    async def test_stream_is_sent_with_a_length(self, server):
        server.may_go_on.set()
        received = await _exchange(server, _get(b"/stream", version=b"1.0"))
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK\r\n")
        assert b"Transfer-Encoding" not in head
        assert b"Content-Length: 7" in head
        assert body == b"abcdefg"

    # Guards against: a caller's stream is held back without a bound.
    async def test_stream_that_is_too_large_is_broken_off(self, server, monkeypatch):
        monkeypatch.setattr(_responder, "_MAX_HELD_BYTES", 6)
        server.may_go_on.set()
        assert await _exchange(server, _get(b"/stream", version=b"1.0")) == b""

    # Guards against: a stream that is broken off looks complete without framing.
    @pytest.mark.parametrize("target", [b"/torn", b"/cancelled"])
    async def test_nothing_is_sent_of_a_stream_that_is_broken_off(self, server, target):
        server.may_go_on.set()
        assert await _exchange(server, _get(target, version=b"1.0")) == b""


class TestBodilessResponses:
    # Guards against: a length that is no length of a body.
    @pytest.mark.parametrize("target", [b"/204", b"/304"])
    async def test_204_and_304_have_no_framing(self, server, target):
        received = await _exchange(server, _get(target) + _get(b"/next", _CLOSE))
        first, _, second = received.partition(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 %b " % target[1:])
        assert b"Content-Length" not in first
        assert b"Transfer-Encoding" not in first
        assert second.startswith(b"HTTP/1.1 200 OK\r\n")
        assert second.endswith(b"body of /next")

    # Guards against: a body after a response that has none.
    async def test_no_body_is_sent_with_204(self, server):
        received = await _exchange(
            server, _get(b"/204-with-body") + _get(b"/next", _CLOSE)
        )
        assert received.startswith(b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK")

    # Guards against: the response to HEAD says that a body is empty that isn't.
    async def test_response_to_head_without_a_known_length_has_none(self, server):
        head = b"HEAD /no-body HTTP/1.1\r\nHost: a\r\n\r\n"
        received = await _exchange(server, head + _get(b"/next", _CLOSE))
        assert received.startswith(b"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n")
        assert received.endswith(b"body of /next")

    async def test_response_to_head_keeps_a_known_length(self, server):
        head = b"HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n"
        received = await _exchange(server, head + _get(b"/next", _CLOSE))
        assert received.startswith(
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nHTTP/1.1 200 OK\r\n"
        )

    async def test_head_of_a_stream_has_no_chunks(self, server):
        server.may_go_on.set()
        head = b"HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\n"
        received = await _exchange(server, head + _get(b"/next", _CLOSE))
        assert received == (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\nConnection: close\r\n\r\n"
            b"body of /next"
        )


class TestOneResponse:
    # Guards against: a second response that is taken for that to the next request.
    @pytest.mark.parametrize("target", [b"/twice", b"/chunked-after-response"])
    async def test_second_response_is_not_written(self, server, target):
        received = await _exchange(server, _get(target) + _get(b"/next"))
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
        assert whole.startswith(received)
        assert server.targets == [target]

    # Guards against: an error response inside the stream that it ends.
    async def test_response_in_a_stream_is_not_written(self, server):
        received = await _exchange(server, _get(b"/response-in-stream"))
        stream = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        assert stream.startswith(received)

    # Guards against: a chunk after the end of its stream.
    async def test_chunk_after_the_end_is_not_written(self, server):
        received = await _exchange(server, _get(b"/chunk-after-end"))
        stream = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        assert stream.startswith(received)

    # Guards against: a response that is cut looks complete, and the next one follows.
    async def test_response_that_is_cut_is_shorter_than_its_length(self, server):
        received = await _exchange(server, _get(b"/large-then-twice") + _get(b"/next"))
        head, _, body = received.partition(b"\r\n\r\n")
        assert not received or b"Content-Length: 2000000" in head
        assert set(body) <= set(b"x")
        assert server.targets == [b"/large-then-twice"]


class TestBrokenOffStreams:
    # Guards against: a stream that is broken off looks complete, or is followed by the
    # response to the next request.
    @pytest.mark.parametrize("target", [b"/torn", b"/cancelled"])
    async def test_last_chunk_and_next_response_are_not_sent(self, server, target):
        server.may_go_on.set()
        received = await _exchange(server, _get(target) + _get(b"/next"))
        stream = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n4\r\ndefg\r\n"
        )
        assert stream.startswith(received)
        assert server.targets == [target]

    # Guards against: the stop of an entry ends a stream as if it were complete.
    async def test_stop_ends_a_stream_without_its_last_chunk(self, server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_get(b"/stream") + _get(b"/next"))
        begin = await reader.readuntil(b"abc\r\n")
        server.http_server.start_draining()
        server.http_server.stop_listening()
        await server.http_server.close()
        server.may_go_on.set()
        rest = await _read_until_close(reader)
        assert begin.endswith(b"\r\n\r\n3\r\nabc\r\n")
        assert rest == b""
        assert server.targets == [b"/stream"]
        writer.close()


class TestRefusalsBehindResponses:
    # Guards against: the refusal of a request inside the response to the one before.
    @pytest.mark.parametrize(
        ("refused", "status"),
        [
            (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10001\r\n\r\n", 413),
            (b"GET / HTTP/1.1\r\nX: " + b"a" * 5_000 + b"\r\n\r\n", 431),
            (b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost: a\r\n", 408),
        ],
    )
    async def test_refusal_follows_the_whole_stream(self, server, refused, status):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_get(b"/stream"))
        begin = await reader.readuntil(b"abc\r\n")
        writer.write(refused)
        await asyncio.sleep(2 * LIMITS.header_timeout_s)
        server.may_go_on.set()
        received = begin + await _read_until_close(reader)
        stream, end, refusal = received.partition(b"\r\n0\r\n\r\n")
        assert stream == (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n4\r\ndefg"
        )
        assert end
        assert refusal.startswith(b"HTTP/1.1 %d " % status)
        assert refusal.count(b"HTTP/1.1") == 1
        assert refusal.endswith(b"Connection: close\r\n\r\n")
        writer.close()

    # Guards against: the blank line that some callers send after a body is answered.
    async def test_blank_line_without_a_request_gets_no_response(self, server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_get(b"/a") + b"\r\n")
        received = await _read_until_close(reader)
        assert received == b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody of /a"
        writer.close()
