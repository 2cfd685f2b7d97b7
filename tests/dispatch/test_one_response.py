"""A request gets one response, whatever ends in the same turn of the event loop."""

import asyncio
import itertools

import pytest

from gentianhoist.dispatch import Call, ServerResponse
from gentianhoist.fleet import BackendServer, Idempotency
from gentianhoist.http1 import Headers, Responder, ResponseHead
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeCodec,
    FakeConnection,
    FakePool,
    ServerBehaviour,
    call,
    configuration,
)

# When the response head of a server is there that answers slowly, and it is sent to at
# once, after the time that the fake pool takes.
RESPONSE_S = 1.401
TIMEOUT_S = 3.0
PROMPT_TOKENS = 5_000


class _RecordingConnection:
    """A caller's connection that keeps all bytes written to it."""

    def __init__(self) -> None:
        self.written = b""
        self.is_draining = False
        self.aborted = False

    def write(self, data: bytes) -> None:
        assert not self.aborted
        self.written += data

    async def wait_writable(self) -> None:
        await asyncio.sleep(0)

    async def reserve_response(self, count: int) -> None:
        return None

    def abort(self) -> None:
        self.aborted = True

    def close_after_linger(self) -> None:
        return None


class _NamingConnection(FakeConnection):
    """A connection to a server that names itself in each head and body."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self._name = self._server.id.encode()
        self._parts = [b"body of ", self._name, b""]

    async def read_head(self) -> ResponseHead:
        head = await super().read_head()
        return ResponseHead(head.status, [*head.headers, (b"server", self._name)])


class _NamingPool(FakePool):
    async def acquire(self, **options):
        acquired = await super().acquire(**options)
        fake = acquired.connection
        connection = _NamingConnection(
            self._server_state, self._server, fake._behaviour
        )
        return acquired._replace(connection=connection)


class _ForwardingCodec(FakeCodec):
    """Forwards all headers."""

    def decode(
        self, head: ResponseHead, call: Call, *, is_first_response: bool
    ) -> ServerResponse:
        response = super().decode(head, call, is_first_response=is_first_response)
        return response._replace(headers=head.headers)


def _make_harness(
    loop, script: list[ServerBehaviour], servers: int, *, streaming: bool = False
) -> DispatcherHarness:
    harness = DispatcherHarness(loop, itertools.cycle(script), servers)
    harness.state.routing.update_if_newer(
        configuration(Idempotency.IDEMPOTENT, streaming=streaming, goal_s=0.2)
    )
    return harness


def _name_servers(harness: DispatcherHarness) -> None:
    def pool(server: BackendServer, group: object) -> _NamingPool:
        return _NamingPool(harness.server_state, server)

    harness.state.pool = pool
    harness.context.codec = _ForwardingCodec()


def _parse(written: bytes) -> tuple[int, Headers, bytes]:
    """Parse the only response, which has to be whole."""
    head, _, body = written.partition(b"\r\n\r\n")
    status_line, *lines = head.split(b"\r\n")
    headers = [tuple(line.split(b": ", 1)) for line in lines]
    length = dict(headers)[b"Content-Length"]
    assert len(body) == int(length)
    return int(status_line.split()[1]), headers, body


def _responder(connection: _RecordingConnection) -> Responder:
    return Responder(connection, keep_alive=True, head_only=False)


class TestKeptResponse:
    # Guards against: a failed response that is kept while a retry runs is forwarded
    # with a part of another one, or besides it.
    @pytest.mark.parametrize("second", list(ServerBehaviour))
    def test_status_headers_and_body_are_of_one_server(self, loop, second):
        harness = _make_harness(loop, [ServerBehaviour.FAIL, second], 3)
        _name_servers(harness)
        connection = _RecordingConnection()
        request = call(loop, timeout_s=TIMEOUT_S)
        loop.run(harness.dispatcher.handle(request, _responder(connection)))
        assert harness.server_state.sends >= 1
        assert not connection.aborted
        status, headers, body = _parse(connection.written)
        names = [value for key, value in headers if key == b"server"]
        if not names:
            assert status in {502, 503, 504}
            return
        (name,) = names
        assert body == b"body of " + name
        behaviour = dict(headers)[b"does"].decode()
        assert (status == 500) == (behaviour == ServerBehaviour.FAIL.value)


class TestSameTurn:
    # Guards against: a deadline, a stop or a caller that leaves adds a second response,
    # or a part of one, to that which is sent in the same turn of the loop.
    @pytest.mark.parametrize("offset_s", [-1e-3, -1e-9, 0.0, 1e-9, 1e-3])
    @pytest.mark.parametrize("turns", range(6))
    @pytest.mark.parametrize("ends", ["deadline", "stop", "leave", "deadline and stop"])
    @pytest.mark.parametrize("streaming", [False, True])
    def test_one_whole_response_or_none(self, loop, streaming, ends, turns, offset_s):
        harness = _make_harness(loop, [ServerBehaviour.SLOW], 1, streaming=streaming)
        connection = _RecordingConnection()
        responder = _responder(connection)
        end_s = RESPONSE_S + offset_s
        margin_s = harness.state.policy.response_margin_s
        request = call(
            loop,
            prompt_tokens=PROMPT_TOKENS if streaming else 0,
            timeout_s=end_s + margin_s if "deadline" in ends else TIMEOUT_S,
        )

        async def serve() -> None:
            task = asyncio.ensure_future(harness.dispatcher.handle(request, responder))
            await asyncio.sleep(end_s)
            for _ in range(turns):
                await asyncio.sleep(0)
            if "stop" in ends:
                harness.context.begin_shutdown(0.0)
            if ends == "leave":
                task.cancel()
            await asyncio.wait([task])
            assert task.cancelled() or task.exception() is None

        loop.run(serve())
        written = connection.written
        assert written.count(b"HTTP/1.1 ") <= 1
        if written.startswith(b"HTTP/1.1 200") and streaming:
            is_whole = written.endswith(b"\r\n0\r\n\r\n")
            assert is_whole == (responder.finished and not connection.aborted)
            assert is_whole or connection.aborted or ends == "leave"
        elif written:
            assert responder.finished
            assert not connection.aborted
            _parse(written)
        else:
            assert ends == "leave"
