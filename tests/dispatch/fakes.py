"""In-memory backend servers, callers and peers for tests of the dispatcher."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from gentianhoist.dispatch import (
    Call,
    DispatchContext,
    Dispatcher,
    DispatchPolicy,
    DispatchState,
    ReservationStatus,
    ResponseValidity,
    SendOptions,
    ServerResponse,
)
from gentianhoist.fleet import (
    BackendServer,
    EngineProfile,
    Idempotency,
    Organisation,
    Route,
    RoutingConfiguration,
    ServerGroup,
    ServerListing,
    WeightedGroup,
)
from gentianhoist.http1 import (
    AcquiredConnection,
    Attribute,
    Attribution,
    ConnectionFailed,
    DroppedResponse,
    RequestLimits,
    ResponseFraming,
    ResponseHead,
)
from gentianhoist.peers import NullCommitmentPublisher
from gentianhoist.quarantine import (
    KeyQuarantine,
    NullQuarantinePublisher,
    RequestQuarantine,
)
from gentianhoist.store import StoreUnavailable
from gentianhoist.telemetry import DecisionLog, EntryMetrics
from tests.virtual_time_loop import VirtualTimeLoop

PROFILE = EngineProfile(8, 232_000, 206e3, 138e-12, 1.02e-3, 4.5e-6, 4.3e-9, 43, 2048)


class ServerBehaviour(Enum):
    """What a backend server does with a request that it receives."""

    ANSWER = "runs it and answers"
    FAIL = "runs it and answers 500"
    REJECT = "reports that it did not run"
    REFUSE_CONNECTION = "refuses the connection"
    RESET_BEFORE = "resets before running it"
    RESET_AFTER = "runs it and resets"
    SILENT_RUN = "runs it and sends no response"
    SILENT = "sends no response"
    GARBAGE = "runs it and answers with an untrusted response"
    OTHER_FIRST = "sends the response to another request first"
    CUT = "runs it and closes the connection within the response"
    RUN_LATE = "runs it after one second and sends no response"
    SLOW = "runs it and answers after 1.4 seconds"
    FORGET_RESUMING = "ignores the last event id and answers from the start"
    SLOW_RESET = "runs it and resets after 1.4 seconds"
    LONG_PREFILL = "runs it and answers after 4 seconds"
    DIE = "loses power after receiving it and never responds again"


@dataclass
class FakeServerState:
    """State of the fake backend servers, shared by their connections.

    Attributes:
        script: Behaviours of the servers for the next sends, in order.
        runs: Ids of the servers that ran the request, one entry for each run.
        reservations: Reserved KV tokens, by server id and reservation id.
        dead: Time of the power loss, by server id.
        sends: Number of requests sent to servers.
    """

    script: Iterator[ServerBehaviour]
    runs: list[str] = field(default_factory=list)
    reservations: dict[tuple[str, str], int] = field(default_factory=dict)
    dead: dict[str, float] = field(default_factory=dict)
    sends: int = 0


class FakeConnection:
    """A connection to a server with one scripted behaviour."""

    def __init__(
        self,
        server_state: FakeServerState,
        server: BackendServer,
        behaviour: ServerBehaviour,
    ) -> None:
        self._server_state = server_state
        self._server = server
        self._behaviour = behaviour
        self._heads = 0
        self._parts = [b"id: 1\n\n", b"id: 2\n\n", b""]
        self._closed = False
        self._end = asyncio.Event()
        self._ready_s = 0.0

    def send(
        self,
        data: bytes,
        *,
        head_only: bool = False,
        attribute: Attribute,
        on_dropped: Callable[[DroppedResponse], None],
    ) -> None:
        self._attribute = attribute
        self._server_state.sends += 1
        work_s = {
            ServerBehaviour.SLOW: 1.4,
            ServerBehaviour.SLOW_RESET: 1.4,
            ServerBehaviour.LONG_PREFILL: 4.0,
        }.get(self._behaviour, 0.01)
        self._ready_s = asyncio.get_running_loop().time() + work_s
        if data and self._behaviour is not ServerBehaviour.FORGET_RESUMING:
            self._parts = self._parts[int(data) :]
        if self._behaviour in {
            ServerBehaviour.ANSWER,
            ServerBehaviour.FAIL,
            ServerBehaviour.RESET_AFTER,
            ServerBehaviour.SILENT_RUN,
            ServerBehaviour.GARBAGE,
            ServerBehaviour.OTHER_FIRST,
            ServerBehaviour.CUT,
            ServerBehaviour.SLOW,
            ServerBehaviour.SLOW_RESET,
            ServerBehaviour.LONG_PREFILL,
            ServerBehaviour.FORGET_RESUMING,
        }:
            self._server_state.runs.append(self._server.id)
        if self._behaviour is ServerBehaviour.DIE:
            self._server_state.dead[self._server.id] = asyncio.get_running_loop().time()
        if self._behaviour is ServerBehaviour.RUN_LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, self._server_state.runs.append, self._server.id)

    async def read_head(self) -> ResponseHead:
        while True:
            head = await self._next_head()
            if self._attribute(head) is not Attribution.OTHER:
                return head

    async def _next_head(self) -> ResponseHead:
        match self._behaviour:
            case ServerBehaviour.RESET_BEFORE | ServerBehaviour.RESET_AFTER:
                raise ConnectionFailed("reset", sent=True)
            case (
                ServerBehaviour.SILENT
                | ServerBehaviour.SILENT_RUN
                | ServerBehaviour.RUN_LATE
                | ServerBehaviour.DIE
            ):
                await self._end.wait()
                raise ConnectionFailed("closed by us", sent=True)
            case ServerBehaviour.OTHER_FIRST if self._heads == 0:
                self._heads += 1
                return ResponseHead(200, [(b"for", b"another")])
        status = {ServerBehaviour.FAIL: 500, ServerBehaviour.REJECT: 503}.get(
            self._behaviour, 200
        )
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._ready_s - loop.time()))
        if self._behaviour is ServerBehaviour.SLOW_RESET:
            raise ConnectionFailed("reset", sent=True)
        return ResponseHead(status, [(b"does", self._behaviour.value.encode())])

    async def read_data(self) -> bytes:
        if self._behaviour is ServerBehaviour.CUT and len(self._parts) < 3:
            raise ConnectionFailed("cut", sent=True)
        return self._parts.pop(0)

    @property
    def reads_first_response(self) -> bool:
        return self._heads == 0

    @property
    def framing(self) -> ResponseFraming:
        return ResponseFraming.LENGTH

    @property
    def sent_requests(self) -> int:
        return 1

    def close(self) -> None:
        self._closed = True
        self._end.set()

    @property
    def usable(self) -> bool:
        return not self._closed


class FakePool:
    """Connection pool of one fake server."""

    def __init__(self, server_state: FakeServerState, server: BackendServer) -> None:
        self._server_state = server_state
        self._server = server

    async def acquire(
        self, *, max_idle_s: float = 0.0, is_named: bool = False
    ) -> AcquiredConnection:
        behaviour = next(self._server_state.script)
        await asyncio.sleep(0.001)
        if behaviour is ServerBehaviour.REFUSE_CONNECTION:
            raise ConnectionFailed("refused", sent=False)
        return AcquiredConnection(
            FakeConnection(self._server_state, self._server, behaviour),  # type: ignore[arg-type]
            True,
        )

    def release(self, connection: FakeConnection) -> None:
        return None

    def close(self) -> None:
        return None


class FakeCodec:
    """Encodes only the last event id, and decodes the responses of the fakes."""

    def encode(self, call: Call, server: BackendServer, options: SendOptions) -> bytes:
        return options.last_event_id or b""

    def decode(
        self, head: ResponseHead, call: Call, *, is_first_response: bool
    ) -> ServerResponse:
        behaviour = head.get_header(b"does")
        if behaviour == ServerBehaviour.REJECT.value.encode():
            validity = ResponseValidity.NOT_EXECUTED
        elif behaviour == ServerBehaviour.GARBAGE.value.encode():
            validity = ResponseValidity.UNTRUSTED
        else:
            validity = ResponseValidity.VALID
        return ServerResponse(validity, head.status, [])

    def attribution(self, call: Call) -> Attribute:
        return _attribute


def _attribute(head: ResponseHead) -> Attribution:
    return Attribution.OTHER if head.get_header(b"for") else Attribution.OWN


class FakeReservationClient:
    """Records KV reservations of the fake engines."""

    def __init__(self, server_state: FakeServerState) -> None:
        self._server_state = server_state

    async def reserve(
        self, server: BackendServer, reservation_id: str, tokens: int, lease_s: float
    ) -> ReservationStatus:
        if server.id in self._server_state.dead:
            await asyncio.sleep(0.6)
            return ReservationStatus.UNREACHABLE
        self._server_state.reservations[server.id, reservation_id] = tokens
        await asyncio.sleep(0.1)
        return ReservationStatus.HELD

    async def release(self, server: BackendServer, reservation_id: str) -> None:
        self._server_state.reservations.pop((server.id, reservation_id), None)


class FakeQuarantineRows:
    """Rows of a store that is never available."""

    async def write(self, key: str, value: bytes, version: int) -> None:
        raise StoreUnavailable("down")

    async def remove(self, key: str, version: int) -> None:
        raise StoreUnavailable("down")


class FakeProbe:
    """Reports the servers that lost power as down."""

    def __init__(self, server_state: FakeServerState) -> None:
        self._server_state = server_state

    async def is_down(self, server: BackendServer) -> bool:
        await asyncio.sleep(0.003)
        return server.id in self._server_state.dead


class FakeResponder:
    """Records the response that the caller receives."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.headers: dict[bytes, bytes] = {}
        self.started = False
        self.finished = False
        self.aborted = False

    def send_response(self, status, headers, body: bytes) -> None:
        self.start_chunked(status, headers)
        self.body = body
        self.finished = True

    def start_chunked(self, status, headers) -> None:
        assert not self.started
        self.status = status
        self.headers = dict(headers)
        self.started = True

    async def reserve(self, count: int) -> None:
        return None

    async def send_chunk(self, data: bytes) -> None:
        self.body += data

    def end_chunked(self) -> None:
        self.finished = True

    def abort(self) -> None:
        self.aborted = True
        self.finished = True


def configuration(
    idempotency: Idempotency,
    *,
    streaming: bool,
    version: int = 1,
    group: str = "g",
    timeout_s: float = 4.0,
    goal_s: float = 0.2,
    max_executing_servers: int = 2,
    organisations: dict[str, str] | None = None,
) -> RoutingConfiguration:
    route = Route(
        "r",
        "a",
        "/p/",
        (WeightedGroup(group, 1.0),),
        idempotency,
        streaming,
        timeout_s=timeout_s,
        goal_s=goal_s,
        pause_goal_s=0.25,
        silence_limit_s=timeout_s / 2,
        priority=1,
        max_executing_servers=max_executing_servers,
        anonymous=False,
    )
    groups = {
        name: ServerGroup(name, 100, 0.0, 0.0, PROFILE if streaming else None)
        for name in ("g", "h")
    }
    return RoutingConfiguration(
        version,
        [route],
        groups,
        {
            key: Organisation(name)
            for key, name in (organisations or {"key": "club"}).items()
        },
        keys_required=True,
        limits=RequestLimits(),
    )


def call(
    loop: VirtualTimeLoop,
    *,
    prompt_tokens: int = 0,
    api_key: str = "key",
    timeout_s: float = 3.0,
) -> Call:
    return Call(
        "id-1",
        b"POST",
        "a",
        "/p/x",
        b"/p/x",
        [],
        b"{}",
        api_key,
        loop.time(),
        timeout_s,
        prompt_tokens,
        100 if prompt_tokens else 0,
    )


class DispatcherHarness:
    """A dispatcher with fake backend servers that follow a script."""

    def __init__(
        self, loop: VirtualTimeLoop, script: Iterator[ServerBehaviour], servers: int = 3
    ) -> None:
        self.loop = loop
        self.server_state = FakeServerState(script)
        self.state = DispatchState(DispatchPolicy(min_entries=1), seed=1)
        self.state.pool = lambda server, group: FakePool(self.server_state, server)  # type: ignore[assignment,method-assign,return-value]
        self.servers = [
            BackendServer(f"s{i}", "g", "10.0.0.1", 8000 + i, f"z{i}", 8)
            for i in range(servers)
        ]
        self.state.directory.replace(
            [ServerListing(item.id, item) for item in self.servers], loop.time()
        )
        self.quarantine = RequestQuarantine(
            KeyQuarantine(),
            NullQuarantinePublisher(),
            FakeQuarantineRows(),
            FakeProbe(self.server_state),
            loop,
            DecisionLog({}),
            EntryMetrics(),
            lambda: None,
        )
        self.context = DispatchContext(
            self.state,
            FakeCodec(),
            FakeReservationClient(self.server_state),
            NullCommitmentPublisher("e"),
            loop,
            DecisionLog({}),
            EntryMetrics(),
            self.quarantine,
        )
        self.dispatcher = Dispatcher(self.context)
