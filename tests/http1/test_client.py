"""Odd answers of servers, as a table: what the connection makes of each."""

import asyncio

import pytest

from gentianhoist.http1 import ConnectionFailed, ConnectionPool, PoolLimits

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Scripted:
    """A server that answers each request on a connection with scripted bytes."""

    def __init__(self, *answers: bytes, close: bool = False) -> None:
        self._answers = list(answers)
        self._close = close
        self.connections = 0

    async def start(self) -> ConnectionPool:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return ConnectionPool("127.0.0.1", port, PoolLimits())

    async def close(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while self._answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._answers.pop(0))
                await writer.drain()
                if self._close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            if self._close:
                writer.close()


async def _ask(pool: ConnectionPool) -> tuple[int, bytes, bool]:
    lease = await pool.acquire()
    try:
        lease.connection.send(REQUEST)
        head = await asyncio.wait_for(lease.connection.read_head(), 1.0)
        body = b""
        while data := await asyncio.wait_for(lease.connection.read_data(), 1.0):
            body += data
        await asyncio.sleep(0.02)
        return head.status, body, lease.connection.usable
    except BaseException:
        lease.connection.close()
        raise
    finally:
        pool.release(lease.connection)


WHOLE = [
    ("with a length", OK, False, b"ok", True),
    (
        "in chunks",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        False,
        b"ok",
        True,
    ),
    ("until it closes", b"HTTP/1.1 200 OK\r\n\r\nok", True, b"ok", False),
    ("after a 103", b"HTTP/1.1 103 Early\r\n\r\n" + OK, False, b"ok", True),
    (
        "that says close",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        False,
        b"ok",
        False,
    ),
    ("with bytes after it", OK + b"garbage", False, b"ok", False),
    ("with another answer after it", OK + OK, False, b"ok", False),
    ("without a body", b"HTTP/1.1 204 No Content\r\n\r\n", False, b"", True),
]

BROKEN = [
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


class TestAnswers:
    @pytest.mark.parametrize(("name", "answer", "close", "body", "reused"), WHOLE)
    async def test_whole(self, name, answer, close, body, reused):
        server = Scripted(answer, close=close)
        pool = await server.start()
        _, got, usable = await _ask(pool)
        assert got == body
        assert usable is reused
        pool.close()
        await server.close()

    @pytest.mark.parametrize(("name", "answer", "close"), BROKEN)
    async def test_broken(self, name, answer, close):
        server = Scripted(answer, close=close)
        pool = await server.start()
        with pytest.raises(ConnectionFailed) as caught:
            await _ask(pool)
        assert caught.value.sent
        assert pool.open_connections == 0
        await server.close()


class TestConnectionPool:
    async def test_reuses_a_connection(self):
        server = Scripted(OK, OK)
        pool = await server.start()
        await _ask(pool)
        await _ask(pool)
        assert server.connections == 1
        pool.close()
        await server.close()

    async def test_late_bytes_on_an_idle_connection_end_it(self):
        server = Scripted(OK + b"late", OK)
        pool = await server.start()
        await _ask(pool)
        await _ask(pool)
        assert server.connections == 2
        pool.close()
        await server.close()

    async def test_an_old_connection_is_not_proven(self):
        server = Scripted(OK, OK)
        pool = await server.start()
        await _ask(pool)
        lease = await pool.acquire(max_idle_s=0.0)
        assert lease.fresh
        lease.connection.close()
        pool.release(lease.connection)
        pool.close()
        await server.close()

    async def test_refused_connection_is_unsent(self):
        server = Scripted()
        pool = await server.start()
        await server.close()
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionFailed) as caught:
            await pool.acquire()
        assert not caught.value.sent
        assert pool.open_connections == 0


class TestAnswerBeforeTheBodyWasRead:
    """A server may answer when it has read the head, and read the body later."""

    BODY = b"b" * 3_000_000

    async def test_next_request_comes_after_the_whole_body(self):
        read: list[bytes] = []
        go_on = asyncio.Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)
            await go_on.wait()
            read.append(await reader.readexactly(len(self.BODY)))
            read.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(OK)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool("127.0.0.1", port, PoolLimits())
        request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        lease = await pool.acquire()
        lease.connection.send(request % len(self.BODY) + self.BODY)
        assert (await lease.connection.read_head()).status == 200
        while await lease.connection.read_data():
            continue
        pool.release(lease.connection)
        asyncio.get_running_loop().call_later(0.05, go_on.set)
        status, body, _ = await _ask(pool)
        assert (status, body) == (200, b"ok")
        assert read == [self.BODY, REQUEST]
        pool.close()
        server.close()
