"""Callers with random requests get whole responses, in order, each its own.

A seed determines the requests of many connections, how they are cut into pieces and
how fast the responses are read, and when the server is told to stop. All bytes that a
caller receives are compared with those that the responses to its requests have.

To run other seeds by hand, set HOIST_RESPONSE_ORDER_SEEDS to a range, e.g. 100-400:

    HOIST_RESPONSE_ORDER_SEEDS=100-400 pytest -q tests/http1/test_response_order.py
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import pytest
import uvloop

from gentianhoist.http1 import CallerRequest, HttpServer, RequestLimits, Responder

_LIMITS = RequestLimits(
    max_header_bytes=4_096,
    max_body_bytes=10_000,
    header_timeout_s=0.1,
    idle_timeout_s=0.2,
)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CONNECTIONS = 25
_MAX_REQUESTS = 6
_STOP_WITHIN_S = 0.15
_CLOSE_AFTER_S = 0.15
_TIMEOUT_S = 10.0
_SMALL_BUFFER_BYTES = 8 * 1024


def _seeds() -> range:
    first, _, last = os.environ.get("HOIST_RESPONSE_ORDER_SEEDS", "1-3").partition("-")
    return range(int(first), int(last or first) + 1)


class _Kind(Enum):
    """How a request is answered."""

    WHOLE = "a complete response"
    LARGE = "a complete response of more than the buffers hold"
    STREAM = "a stream"
    TORN = "a stream that is aborted"
    FAILED = "a stream whose handler fails"
    CANCELLED = "a stream whose handler is cancelled"
    TWICE = "a second response after a complete one"
    SILENT = "no response"
    EMPTY = "204"


_KINDS = [
    *[_Kind.WHOLE, _Kind.STREAM] * 6,
    *[_Kind.LARGE, _Kind.EMPTY] * 2,
    *_Kind,
]
_BROKEN_OFF = {_Kind.TORN, _Kind.FAILED, _Kind.CANCELLED, _Kind.SILENT}


class _Sent(NamedTuple):
    """A request of a caller, and what its response has to be."""

    id: str
    kind: _Kind
    method: str
    version: str
    expects_continue: bool
    data: bytes


class _Refused(NamedTuple):
    """The last bytes of a caller, which aren't a request that can be read."""

    status: int
    data: bytes


_REFUSED = [
    _Refused(400, b"GET / HTTP/1.1\r\nHost : a\r\n\r\n"),
    _Refused(408, b"GET / HTTP/1.1\r\nHost: a\r\n"),
    _Refused(413, b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10001\r\n\r\n"),
    _Refused(431, b"GET / HTTP/1.1\r\nX: " + b"a" * 5_000 + b"\r\n\r\n"),
]


def _body(request_id: str, kind: _Kind) -> bytes:
    """The body of a response; each line of it names the request."""
    rng = random.Random(request_id)
    lines = rng.randrange(20_000, 60_000) if kind is _Kind.LARGE else rng.randrange(200)
    return b"%b\r\n" % request_id.encode() * lines


class _Server:
    """Answers each request as its target asks for."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.http_server = HttpServer(self._handle, lambda: _LIMITS)

    async def _handle(self, request: CallerRequest, responder: Responder) -> None:
        _, kind_name, request_id = request.target.decode().split("/")
        kind = _Kind[kind_name]
        headers = [(b"X-Id", request_id.encode())]
        body = _body(request_id, kind)
        await self._pause()
        match kind:
            case _Kind.SILENT:
                return
            case _Kind.EMPTY:
                responder.send_response(204, headers, b"")
            case _Kind.WHOLE | _Kind.LARGE | _Kind.TWICE:
                responder.send_response(200, headers, body)
                if kind is _Kind.TWICE:
                    responder.send_response(200, headers, body)
            case _:
                await self._stream(kind, headers, body, responder)

    async def _stream(
        self,
        kind: _Kind,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        responder: Responder,
    ) -> None:
        responder.start_chunked(200, headers)
        for piece in _cut(body, self._rng):
            await responder.send_chunk(piece)
            await self._pause()
        match kind:
            case _Kind.TORN:
                responder.abort()
            case _Kind.FAILED:
                raise ValueError("the handler fails")
            case _Kind.CANCELLED:
                raise asyncio.CancelledError
            case _:
                responder.end_chunked()

    async def _pause(self) -> None:
        match self._rng.randrange(4):
            case 0:
                await asyncio.sleep(0)
            case 1:
                await asyncio.sleep(self._rng.random() * 0.01)


def _cut(data: bytes, rng: random.Random) -> Iterator[bytes]:
    """Cut data into up to five pieces of random sizes."""
    ends = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(5)))
    for start, end in zip([0, *ends], [*ends, len(data)], strict=True):
        yield data[start:end]


def _request(request_id: str, rng: random.Random, *, is_last: bool) -> _Sent:
    kind = rng.choice(_KINDS)
    method = rng.choice(["GET", "GET", "POST", "POST", "HEAD"])
    # Callers of HTTP/1.0 send one request on a connection.
    version = "1.0" if is_last and rng.random() < 0.3 else "1.1"
    expects_continue = method == "POST" and rng.random() < 0.4
    lines = [f"{method} /{kind.name}/{request_id} HTTP/{version}", "Host: a"]
    if expects_continue:
        lines.append("Expect: 100-continue")
    if rng.random() < 0.05:
        lines += ["Connection: Upgrade", "Upgrade: h2c"]
    body = b""
    if method == "POST":
        content = b"x" * rng.randrange(1, 3_000)
        if rng.random() < 0.5 and version == "1.1":
            lines.append("Transfer-Encoding: chunked")
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(content), content)
        else:
            lines.append(f"Content-Length: {len(content)}")
            body = content
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    sent_expectation = expects_continue and version == "1.1"
    return _Sent(request_id, kind, method, version, sent_expectation, head + body)


class _Caller:
    """One connection with pipelined requests, and all bytes received on it."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self._rng = rng
        count = rng.randrange(1, _MAX_REQUESTS + 1)
        self.requests = [
            _request(f"{name}-{i}", rng, is_last=i == count - 1) for i in range(count)
        ]
        self.refused = rng.choice(_REFUSED) if rng.random() < 0.3 else None
        self.received = bytearray()
        self._reads_slowly = rng.random() < 0.3
        self._leaves_early = rng.random() < 0.1

    async def run(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", port))
            except ConnectionError:
                return
            sending = asyncio.ensure_future(self._send(sock))
            try:
                await self._receive(sock)
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        data = b"".join(request.data for request in self.requests)
        if self.refused is not None:
            data += self.refused.data
        for piece in _cut(data, self._rng):
            await loop.sock_sendall(sock, piece)
            if self._rng.random() < 0.5:
                await asyncio.sleep(self._rng.random() * 0.02)

    async def _receive(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self._leaves_early and len(self.received) > 1_000:
                return
            if self._reads_slowly:
                await asyncio.sleep(self._rng.random() * 0.005)
            try:
                data = await loop.sock_recv(sock, 16 * 1024)
            except ConnectionError:
                return
            if not data:
                return
            self.received += data


class _Parsed(NamedTuple):
    """A response at the begin of some bytes.

    Attributes:
        status: HTTP status.
        id: Request that it names, None if none.
        closes: Whether it announces the close of the connection.
        is_chunked: Whether its head announces chunks.
        body: What there is of the body.
        is_whole: Whether the body is complete.
        rest: The bytes after it.
    """

    status: int
    id: str | None
    closes: bool
    is_chunked: bool
    body: bytes
    is_whole: bool
    rest: bytes


def _parse(data: bytes, method: str) -> _Parsed | None:
    """Parse a response as strictly as it may be sent; None if its head is cut off."""
    head, end, rest = data.partition(b"\r\n\r\n")
    if not end:
        assert b"HTTP/1.1 ".startswith(head[:9]), head[:100]
        return None
    status_line, *lines = head.decode("ascii").split("\r\n")
    version, status, _ = status_line.split(" ", 2)
    assert version == "HTTP/1.1", status_line
    headers = dict(line.split(": ", 1) for line in lines)
    assert len(headers) == len(lines), lines
    body, is_whole, rest = _parse_body(rest, method, int(status), headers)
    return _Parsed(
        int(status),
        headers.get("X-Id"),
        headers.get("Connection") == "close",
        "Transfer-Encoding" in headers,
        body,
        is_whole,
        rest,
    )


def _parse_body(
    data: bytes, method: str, status: int, headers: dict[str, str]
) -> tuple[bytes, bool, bytes]:
    framing = headers.keys() & {"Content-Length", "Transfer-Encoding"}
    if status == 204:
        assert not framing
        return b"", True, data
    if method == "HEAD":
        return b"", True, data
    assert len(framing) == 1, headers
    if "Content-Length" in headers:
        size = int(headers["Content-Length"])
        return data[:size], len(data) >= size, data[size:]
    body = b""
    while True:
        size_line, end, after = data.partition(b"\r\n")
        if not end:
            return body, False, b""
        size = int(size_line, 16)
        chunk, data = after[:size], after[size:]
        if size == 0:
            assert b"\r\n".startswith(data[:2]), data[:100]
            return body, len(data) >= 2, data[2:]
        body += chunk
        assert b"\r\n".startswith(data[:2]), data[:100]
        if len(data) < 2:
            return body, False, b""
        data = data[2:]


def _check(caller: _Caller) -> int:
    """Check all that a caller has received; returns the number of whole responses."""
    data = bytes(caller.received)
    count = 0
    for request in caller.requests:
        if request.expects_continue:
            data = data.removeprefix(_CONTINUE)
        response = _parse(data, request.method)
        if response is None:
            return count
        data = response.rest
        assert response.id == request.id
        _check_response(request, response)
        if not response.is_whole or request.kind in _BROKEN_OFF:
            assert data == b""
            return count
        count += 1
        if response.closes or request.kind is _Kind.TWICE:
            assert data == b""
            return count
    if caller.refused is not None and data:
        refusal = _parse(data, "GET")
        if refusal is None:
            return count
        assert refusal.status == caller.refused.status
        assert refusal.id is None
        assert refusal.closes
        data = refusal.rest
    assert data == b""
    return count


def _check_response(request: _Sent, response: _Parsed) -> None:
    assert request.version == "1.1" or not response.is_chunked
    expected = b"" if request.method == "HEAD" else _body(request.id, request.kind)
    if request.kind is _Kind.EMPTY:
        assert (response.status, response.body) == (204, b"")
        return
    assert response.status == 200
    assert expected.startswith(response.body)
    if request.kind in _BROKEN_OFF:
        # A response to HEAD has no end that could be missing.
        assert request.method == "HEAD" or not response.is_whole
    elif response.is_whole:
        assert response.body == expected


async def _play(seed: int, *, stops: bool) -> list[_Caller]:
    """Play the connections of a seed, and return the callers."""
    rng = random.Random(seed)
    server = _Server(random.Random(rng.random())).http_server
    port = await server.start("127.0.0.1", 0)
    callers = [
        _Caller(f"{seed}-{i}", random.Random(rng.random())) for i in range(_CONNECTIONS)
    ]
    async with asyncio.timeout(_TIMEOUT_S):
        tasks = [asyncio.ensure_future(caller.run(port)) for caller in callers]
        if stops:
            await asyncio.sleep(rng.random() * _STOP_WITHIN_S)
            server.start_draining()
            await asyncio.sleep(rng.random() * _CLOSE_AFTER_S)
            server.stop_listening()
            await asyncio.sleep(rng.random() * _CLOSE_AFTER_S)
            await server.close()
        await asyncio.gather(*tasks)
    await server.close()
    return callers


# Guards against: a response that isn't whole looks complete, comes out of order, twice
# or to another request, or has other bytes before, inside or after it.
@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
@pytest.mark.parametrize("stops", [False, True])
@pytest.mark.parametrize("seed", _seeds())
def test_each_response_is_whole_and_in_order(seed, stops, loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        callers = runner.run(_play(seed, stops=stops))
    counts = [_check(caller) for caller in callers]
    assert sum(counts) >= (1 if stops else _CONNECTIONS)
