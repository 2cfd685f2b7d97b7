"""Unusual and invalid responses: what a client connection reports for each."""

import asyncio

import pytest

from gentianhoist.http1 import (
    ConnectionFailed,
    ConnectionPool,
    PoolExhausted,
    PoolLimits,
    exchange,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Server that sends the next scripted response for each request it receives."""

    def __init__(self, *responses: bytes, close: bool = False) -> None:
        self._responses = list(responses)
        self._close = close
        self.connections = 0

    async def start(self, max_connections: int = 64) -> ConnectionPool:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        limits = PoolLimits(max_connections=max_connections)
        return ConnectionPool("127.0.0.1", port, limits)

    async def close(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while self._responses:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._responses.pop(0))
                await writer.drain()
                if self._close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            if self._close:
                writer.close()


async def _send_request(pool: ConnectionPool) -> tuple[int, bytes, bool]:
    acquired = await pool.acquire()
    try:
        acquired.connection.send(REQUEST)
        head = await asyncio.wait_for(acquired.connection.read_head(), 1.0)
        body = b""
        while data := await asyncio.wait_for(acquired.connection.read_data(), 1.0):
            body += data
        await asyncio.sleep(0.02)
        return head.status, body, acquired.connection.usable
    except BaseException:
        acquired.connection.close()
        raise
    finally:
        pool.release(acquired.connection)


COMPLETE_RESPONSES = [
    ("with a length", OK_RESPONSE, False, b"ok", True),
    (
        "in chunks",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        False,
        b"ok",
        True,
    ),
    ("until it closes", b"HTTP/1.1 200 OK\r\n\r\nok", True, b"ok", False),
    ("after a 103", b"HTTP/1.1 103 Early\r\n\r\n" + OK_RESPONSE, False, b"ok", True),
    (
        "that says close",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        False,
        b"ok",
        False,
    ),
    (
        "that ends in the begin of a head",
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nHTTP/1.1 200",
        False,
        b"HTTP/1.1 200",
        True,
    ),
    ("with bytes after it", OK_RESPONSE + b"garbage", False, b"ok", False),
    ("with another response after it", OK_RESPONSE + OK_RESPONSE, False, b"ok", False),
    ("without a body", b"HTTP/1.1 204 No Content\r\n\r\n", False, b"", True),
]

FAILED_RESPONSES = [
    ("not HTTP", b"garbage\r\n\r\n", False),
    ("cut short", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", True),
    (
        "cut between chunks",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        True,
    ),
    ("nothing", b"", True),
    (
        "a chunk with a wrong size",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
        False,
    ),
]


class TestResponses:
    @pytest.mark.parametrize(
        ("name", "response", "close", "body", "reusable"), COMPLETE_RESPONSES
    )
    async def test_complete_response_is_read(
        self, name, response, close, body, reusable
    ):
        server = ScriptedServer(response, close=close)
        pool = await server.start()
        _, received, usable = await _send_request(pool)
        assert received == body
        assert usable is reusable
        pool.close()
        await server.close()

    @pytest.mark.parametrize(("name", "response", "close"), FAILED_RESPONSES)
    async def test_failed_response_raises(self, name, response, close):
        server = ScriptedServer(response, close=close)
        pool = await server.start()
        with pytest.raises(ConnectionFailed) as raised:
            await _send_request(pool)
        assert raised.value.sent
        assert pool.open_connections == 0
        await server.close()


# What a server in trouble sends, and then repeats until the connection is closed.
ENDLESS_RESPONSES = [
    ("header", b"HTTP/1.1 200 OK\r\nX: ", b"a" * 1000),
    ("headers", b"HTTP/1.1 200 OK\r\n", b"X: aaaaaaaa\r\n" * 80),
    ("reason", b"HTTP/1.1 200 ", b"a" * 1000),
    ("informational", b"", b"HTTP/1.1 103 Early\r\n\r\n" * 40),
    (
        "chunk extension",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n2;",
        b"a" * 1000,
    ),
    (
        "trailers",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X: aaaaaaaa\r\n" * 80,
    ),
    ("no HTTP", b"", b"\xff" * 1000),
]
# More than the limit and the buffers of both sockets together.
MAX_ENDLESS_BYTES = 16 * 1024 * 1024


class EndlessServer:
    """Server whose response never ends; counts the bytes that it could send."""

    def __init__(self, begin: bytes, repeated: bytes) -> None:
        self._begin = begin
        self._repeated = repeated
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def start(self) -> ConnectionPool:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return ConnectionPool("127.0.0.1", port, PoolLimits())

    async def close(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._begin)
        try:
            while self.sent_bytes < MAX_ENDLESS_BYTES:
                writer.write(self._repeated)
                self.sent_bytes += len(self._repeated)
                await writer.drain()
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()


class TestEndlessResponses:
    # Guards against: a server sends bytes that are no response without end, and the
    # entry keeps them in memory until the caller's deadline.
    @pytest.mark.parametrize(("name", "begin", "repeated"), ENDLESS_RESPONSES)
    async def test_connection_is_closed(self, name, begin, repeated):
        server = EndlessServer(begin, repeated)
        pool = await server.start()
        with pytest.raises(ConnectionFailed):
            await _send_request(pool)
        await asyncio.wait_for(server.closed.wait(), 1.0)
        assert server.sent_bytes < MAX_ENDLESS_BYTES
        assert pool.open_connections == 0
        await server.close()

    async def test_body_is_read_no_faster_than_it_is_used(self):
        begin = b"HTTP/1.1 200 OK\r\n\r\n"
        server = EndlessServer(begin, b"a" * 1000)
        pool = await server.start()
        acquired = await pool.acquire()
        acquired.connection.send(REQUEST)
        await acquired.connection.read_head()
        await asyncio.sleep(0.2)
        assert server.sent_bytes < MAX_ENDLESS_BYTES
        acquired.connection.close()
        pool.release(acquired.connection)
        await server.close()

    async def test_buffered_body_has_a_limit(self):
        server = EndlessServer(b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 100_000)
        pool = await server.start()
        with pytest.raises(ConnectionFailed):
            await exchange(pool, REQUEST, 1.0, 1.0, max_body_bytes=1_000_000)
        await asyncio.wait_for(server.closed.wait(), 1.0)
        assert pool.open_connections == 0
        await server.close()


class TestConnectionPool:
    async def test_reuses_an_idle_connection(self):
        server = ScriptedServer(OK_RESPONSE, OK_RESPONSE)
        pool = await server.start()
        await _send_request(pool)
        await _send_request(pool)
        assert server.connections == 1
        pool.close()
        await server.close()

    async def test_bytes_after_a_response_prevent_reuse(self):
        server = ScriptedServer(OK_RESPONSE + b"late", OK_RESPONSE)
        pool = await server.start()
        await _send_request(pool)
        await _send_request(pool)
        assert server.connections == 2
        pool.close()
        await server.close()

    async def test_max_idle_time_forces_a_new_connection(self):
        server = ScriptedServer(OK_RESPONSE, OK_RESPONSE)
        pool = await server.start()
        await _send_request(pool)
        acquired = await pool.acquire(max_idle_s=0.0)
        assert acquired.is_new
        acquired.connection.close()
        pool.release(acquired.connection)
        pool.close()
        await server.close()

    async def test_connection_carries_requests_of_one_kind(self):
        server = ScriptedServer(OK_RESPONSE, OK_RESPONSE)
        pool = await server.start()
        await _send_request(pool)
        acquired = await pool.acquire(is_named=True)
        assert acquired.is_new
        pool.release(acquired.connection)
        assert not (await pool.acquire(is_named=False)).is_new
        assert not (await pool.acquire(is_named=True)).is_new
        await server.close()

    async def test_idle_connection_makes_room_for_one_of_the_other_kind(self):
        server = ScriptedServer(OK_RESPONSE)
        pool = await server.start(max_connections=1)
        await _send_request(pool)
        acquired = await pool.acquire(is_named=True)
        assert acquired.is_new
        assert pool.open_connections == 1
        with pytest.raises(PoolExhausted):
            await pool.acquire(is_named=False)
        acquired.connection.close()
        await server.close()

    async def test_refused_connection_counts_as_unsent(self):
        server = ScriptedServer()
        pool = await server.start()
        await server.close()
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionFailed) as raised:
            await pool.acquire()
        assert not raised.value.sent
        assert pool.open_connections == 0


class TestResponseBeforeBodyWasRead:
    """A server may respond once it has read the head, and read the body later.

    The bytes of the next request must follow the complete body on the connection, or
    the server would read them as part of it.
    """

    BODY = b"b" * 3_000_000

    async def test_next_request_follows_the_complete_body(self):
        received_parts: list[bytes] = []
        may_read_body = asyncio.Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK_RESPONSE)
            await may_read_body.wait()
            received_parts.append(await reader.readexactly(len(self.BODY)))
            received_parts.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(OK_RESPONSE)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool("127.0.0.1", port, PoolLimits())
        request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        acquired = await pool.acquire()
        acquired.connection.send(request % len(self.BODY) + self.BODY)
        assert (await acquired.connection.read_head()).status == 200
        while await acquired.connection.read_data():
            continue
        pool.release(acquired.connection)
        asyncio.get_running_loop().call_later(0.05, may_read_body.set)
        status, body, _ = await _send_request(pool)
        assert (status, body) == (200, b"ok")
        assert received_parts == [self.BODY, REQUEST]
        pool.close()
        server.close()
