"""Reservations at engines: results by status, and retries on dropped connections."""

import asyncio

import pytest

from gentianhoist.dispatch import (
    Call,
    DispatchPolicy,
    DispatchState,
    ReservationStatus,
    SendOptions,
)
from gentianhoist.dispatch._attempt import Attempt
from gentianhoist.fleet import BackendServer, Idempotency
from gentianhoist_platform.servers import PlatformCodec, PlatformKvReservations
from tests.dispatch.fakes import configuration

DROP = 0


class Engine:
    """Engine that responds to orders with a list of statuses; `DROP` closes instead."""

    def __init__(self, *statuses: int) -> None:
        self._statuses = list(statuses)
        self._server: asyncio.Server | None = None
        self.connections = 0

    async def start(self) -> BackendServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return BackendServer("engine-1", "g", "127.0.0.1", port, "z", 8)

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        while True:
            try:
                await reader.readuntil(b"}")
            except asyncio.IncompleteReadError:
                break
            status = self._statuses.pop(0)
            if status == DROP:
                break
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status)
        writer.close()


@pytest.fixture
def reservations():
    state = DispatchState(DispatchPolicy(min_entries=1), seed=1)
    state.routing.update_if_newer(configuration(Idempotency.IDEMPOTENT, streaming=True))
    yield PlatformKvReservations(state, lambda server, notice: None)
    state.close()


async def _reserve(
    reservations, *statuses: int, times: int = 1
) -> list[ReservationStatus]:
    engine = Engine(*statuses)
    server = await engine.start()
    results = [await reservations.reserve(server, "t", 10, 3.0) for _ in range(times)]
    engine.close()
    return results


def _response(body: bytes, *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def _send_request(reservations, server: BackendServer) -> bytes:
    """Send the request r1 to an engine as the dispatcher does; returns the body."""
    state = reservations._state
    pool = state.pool(server, state.routing.current.groups["g"])
    call = Call("r1", b"GET", "a.example", "/", b"/", [], b"", "", 0.0)
    codec = PlatformCodec()
    attempt = Attempt(call, server, pool, codec, lambda _: None, lambda _: None)
    options = SendOptions(None, 1.0)
    await attempt.send(
        lambda: codec.encode(call, server, options),
        lambda: None,
        max_idle_s=float("inf"),
    )
    body = b""
    await attempt._connection.read_head()
    while data := await attempt.read_chunk():
        body += data
    attempt.close()
    return body


class TestReserve:
    @pytest.mark.parametrize(
        ("status", "result"),
        [
            (200, ReservationStatus.HELD),
            (409, ReservationStatus.REFUSED),
            (400, ReservationStatus.REFUSED),
            (421, ReservationStatus.UNREACHABLE),
        ],
    )
    async def test_status(self, reservations, status, result):
        assert await _reserve(reservations, status) == [result]

    async def test_engine_that_refuses_connections(self, reservations):
        engine = Engine()
        server = await engine.start()
        engine.close()
        assert (
            await reservations.reserve(server, "t", 10, 3.0)
            is ReservationStatus.UNREACHABLE
        )

    async def test_order_is_retried_after_dropped_idle_connection(self, reservations):
        """An engine may close an idle connection and reset the next order on it."""
        results = await _reserve(reservations, 200, DROP, 200, times=2)
        assert results == [ReservationStatus.HELD, ReservationStatus.HELD]

    # Guards against: a request gets the second response to an order, or waits in vain.
    async def test_second_response_to_an_order_reaches_no_request(self, reservations):
        async def serve(reader, writer) -> None:
            late = b""
            while data := await reader.read(4096):
                if b"/api/order" in data:
                    late = _response(b"{}")
                    writer.write(late)
                else:
                    writer.write(late + _response(b"own", b"Attempt-Id: r1"))
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        server = BackendServer("engine-1", "g", "127.0.0.1", port, "z", 8)
        await reservations.reserve(server, "t", 10, 3.0)
        assert await _send_request(reservations, server) == b"own"
        # Nor does the response to a request reach an order.
        assert (
            await reservations.reserve(server, "t", 10, 3.0) is ReservationStatus.HELD
        )
        listener.close()

    async def test_order_skips_the_response_to_a_request(self, reservations):
        async def serve(reader, writer) -> None:
            await reader.readuntil(b"}")
            refused = _response(b"{}").replace(b"200", b"409")
            writer.write(_response(b"late", b"Attempt-Id: r1") + refused)
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        server = BackendServer("engine-1", "g", "127.0.0.1", port, "z", 8)
        result = await reservations.reserve(server, "t", 10, 3.0)
        assert result is ReservationStatus.REFUSED
        listener.close()

    async def test_engine_that_closes_every_connection(self, reservations):
        assert await _reserve(reservations, DROP, DROP) == [
            ReservationStatus.UNREACHABLE
        ]
