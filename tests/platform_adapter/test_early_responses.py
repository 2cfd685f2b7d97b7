"""Responses that a caller must not get as complete ones, over the whole path.

The servers answer before they have read the request, and end the connection while it is
still being written. Entries run on uvloop; asyncio's loop, which the other tests use,
tells the end of a connection in another way.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp
import pytest
import uvloop

from gentianhoist_platform.standins import operator_configuration
from tests.platform_adapter.conftest import Deployment, running_deployment
from tests.platform_adapter.early_server import EarlyServer, Ending

MIB = 1024 * 1024
SIZES_BYTES = (100_000, MIB, 4 * MIB)
# Until one comes to an early server: they are chosen at random.
MAX_REQUESTS = 20
STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (i, i) for i in range(1, 6))
# A whole number of events, so that the stream looks complete at the end.
PART = b"".join(STREAM.partition(b"id: 3")[:1])
PROMPT = {"Token_Count": "5000,100"}
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n"
ENDINGS = [Ending.RESET, Ending.UNREAD, Ending.END_FIRST]
# Without a response, and with an error of the entry.
FAILED_STATUSES = (0, 502)
# Less than the callers' timeout.
PROMPT_FAILURE_S = 2.0
FRAMINGS: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda body: b"Content-Length: %d\r\n\r\n" % len(body) + body,
    "chunked": lambda body: (
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    ),
    "none": lambda body: b"\r\n" + body,
    "empty": lambda body: b"Content-Length: 0\r\n\r\n",
}
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


class Path(NamedTuple):
    """A route of the test, and what the other servers answer there."""

    path: str
    service: str
    expected: bytes
    headers: dict[str, str]
    may_repeat: bool

    @property
    def part(self) -> bytes:
        """Part of what is expected."""
        return PART if self.expected == STREAM else self.expected[:2]


PATHS = {
    "idempotent": Path("/look/x", "desk", b"done", {}, True),
    "non_idempotent": Path("/press/x", "desk", b"done", {}, False),
    "stream": Path("/brief/x", "engines", STREAM, PROMPT, True),
    "single_stream": Path("/draft/x", "engines", STREAM, PROMPT, False),
}


class Result(NamedTuple):
    """What a caller got; status 0 if the response broke off."""

    status: int
    body: bytes


@pytest.fixture(params=["uvloop"])
def run(request, unused_tcp_port_factory):
    """Return a function that runs a scenario in a deployment on one event loop."""
    ports = [unused_tcp_port_factory() for _ in range(4)]

    def run_scenario(
        scenario: Callable[[Deployment], Awaitable[None]], servers: int = 1
    ) -> None:
        async def main() -> None:
            async with (
                aiohttp.ClientSession() as session,
                running_deployment(
                    session, ports, _configuration(), servers
                ) as running,
            ):
                await scenario(running)

        with asyncio.Runner(loop_factory=LOOPS[request.param]) as runner:
            runner.run(main())

    return run_scenario


def _configuration() -> dict:
    configuration = operator_configuration(7)
    configuration["limits"]["max_body_bytes"] = 4 * MIB
    (stream,) = [r for r in configuration["routes"] if r["name"] == "brief"]
    configuration["routes"].append(
        stream | {"name": "draft", "prefix": "/draft/", "resumable": False}
    )
    return configuration


@pytest.fixture
def early_servers():
    """Return a function that starts early servers; they are closed after the test."""
    started: list[EarlyServer] = []

    def start(
        deployment: Deployment, path: Path, response: bytes, count: int
    ) -> list[EarlyServer]:
        for number in range(count):
            server = EarlyServer(f"early-{number}", response, Ending.KEEP)
            server.start()
            started.append(server)
            row = server.row | {"service": path.service}
            deployment.store.put("servers", f"early-{number}", row)
        return started

    yield start
    for server in started:
        server.close()


async def _wait_for_servers(deployment: Deployment, count: int) -> None:
    directory = deployment.gateway._state.directory
    await deployment.wait_until(lambda: len(directory.servers) >= count)


async def _send(deployment: Deployment, path: Path, id_: str, body: bytes) -> Result:
    try:
        status, _, received = await deployment.send(
            path.path, id_, body=body, Deadline_Ms="3000", **path.headers
        )
    except aiohttp.ClientError:
        return Result(0, b"")
    return Result(status, received)


def _runs(deployment: Deployment, early: list[EarlyServer], id_: str) -> int:
    standins = deployment.servers.values()
    return sum(server.runs[id_] for server in [*early, *standins])


class TestPartOfAResponse:
    """The response has no length, so that only the end of the connection ends it."""

    # Guards against: a caller gets the part as a complete response, when the end of the
    # data arrives before the reset.
    @pytest.mark.parametrize("ending", ENDINGS)
    @pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
    def test_part_is_never_complete(self, run, early_servers, path, ending):
        response = HEAD + b"\r\n" + path.part

        async def scenario(deployment: Deployment) -> None:
            early = early_servers(deployment, path, response, 2)
            for server in early:
                server.ending = ending
            await _wait_for_servers(deployment, 4)
            for number in range(MAX_REQUESTS):
                id_ = f"r{number}"
                # Bodies that crash servers repeatedly would be held.
                body = id_.encode().ljust(MIB, b"x")
                result = await _send(deployment, path, id_, body)
                if 200 <= result.status < 300:
                    assert result.body == path.expected
                if not path.may_repeat:
                    assert _runs(deployment, early, id_) <= 1
                if any(server.unread_bytes for server in early):
                    break
            unread_bytes = [n for server in early for n in server.unread_bytes]
            assert unread_bytes, "no request came to an early server"
            assert min(unread_bytes) > 0, "an upload ended before the response"

        run(scenario)

    # Guards against: the above, where the caller has to get an error.
    @pytest.mark.parametrize("run", LOOPS, indirect=True)
    @pytest.mark.parametrize(
        ("path", "size_bytes"),
        [
            (path, size_bytes)
            for path in PATHS.values()
            # A stream waits longer for another engine.
            for size_bytes in (SIZES_BYTES if path.expected != STREAM else (MIB,))
        ],
    )
    def test_error_without_another_server(self, run, early_servers, path, size_bytes):
        response = HEAD + b"\r\n" + path.part

        async def scenario(deployment: Deployment) -> None:
            (early,) = early_servers(deployment, path, response, 1)
            await _wait_for_servers(deployment, 1)
            for ending in ENDINGS:
                early.ending = ending
                body = ending.value.encode().ljust(size_bytes, b"x")
                result = await _send(deployment, path, ending.value, body)
                assert result.status in FAILED_STATUSES
                assert early.runs[ending.value]

        run(scenario, servers=0)


class TestCompleteResponse:
    """A server may answer early, and end its side of the connection only."""

    # Guards against: a complete response is taken for a part, or is held back.
    @pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
    def test_response_before_the_half_close(self, run, early_servers, path):
        response = HEAD + b"\r\n" + path.expected

        async def scenario(deployment: Deployment) -> None:
            (early,) = early_servers(deployment, path, response, 1)
            early.ending = Ending.HALF_CLOSE
            await _wait_for_servers(deployment, 1)
            for size_bytes in SIZES_BYTES:
                id_ = f"r{size_bytes}"
                result = await _send(deployment, path, id_, b"x" * size_bytes)
                assert result == (200, path.expected)
                assert early.runs[id_] == 1

        run(scenario, servers=0)

    # Guards against: the rest of the upload is waited for.
    @pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
    def test_response_with_a_length(self, run, early_servers, path):
        response = HEAD + FRAMINGS["length"](path.expected)

        async def scenario(deployment: Deployment) -> None:
            early_servers(deployment, path, response, 1)
            await _wait_for_servers(deployment, 1)
            result = await _send(deployment, path, "r1", b"x" * MIB)
            assert result == (200, path.expected)

        run(scenario, servers=0)


class TestInvalidStatus:
    """The status line holds a number that is no status."""

    # Guards against: a caller gets such a response, or waits until its deadline.
    @pytest.mark.parametrize("status", ["000", "099", "1000", "0"])
    @pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
    def test_response_is_not_passed_on(self, run, early_servers, path, status):
        async def scenario(deployment: Deployment) -> None:
            (early,) = early_servers(deployment, path, b"", 1)
            await _wait_for_servers(deployment, 1)
            # A stream waits longer for another engine.
            framings = ["length"] if path.expected == STREAM else FRAMINGS
            for framing in framings:
                frame = FRAMINGS[framing]
                early.response = _with_status(status) + frame(path.expected)
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                result = await _send(deployment, path, framing, framing.encode())
                assert result.status in FAILED_STATUSES
                assert loop.time() - began_s < PROMPT_FAILURE_S
                assert early.runs[framing]
                if not path.may_repeat:
                    assert early.runs[framing] == 1

        run(scenario, servers=0)

    # Guards against: what follows such a response is taken for the one to the request.
    @pytest.mark.parametrize("status", ["000", "099", "1000"])
    @pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
    def test_response_after_it_is_not_passed_on(self, run, early_servers, path, status):
        framed = FRAMINGS["length"](path.expected)

        async def scenario(deployment: Deployment) -> None:
            response = _with_status(status) + framed + HEAD + framed
            early_servers(deployment, path, response, 1)
            await _wait_for_servers(deployment, 1)
            result = await _send(deployment, path, "r1", b"{}")
            assert result.status in FAILED_STATUSES

        run(scenario, servers=0)


def _with_status(status: str) -> bytes:
    return HEAD.replace(b"200 OK", status.encode() + b" X")
