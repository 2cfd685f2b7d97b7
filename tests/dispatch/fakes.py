"""Backend servers, callers and peers in memory, for tests of the dispatcher."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from gentianhoist.dispatch import (
    AnswerOrigin,
    Call,
    Dispatcher,
    DispatchPolicy,
    DispatchState,
    Reservation,
    SendOptions,
    ServerAnswer,
)
from gentianhoist.fleet import (
    BackendServer,
    EngineProfile,
    Organisation,
    Repeatable,
    Route,
    RoutingConfiguration,
    ServerGroup,
    ServerListing,
    WeightedGroup,
)
from gentianhoist.http1 import ConnectionFailed, Lease, RequestLimits, ResponseHead
from gentianhoist.peers import NullCommitmentPublisher
from gentianhoist.telemetry import DecisionLog, EntryMetrics
from tests.instant_loop import InstantLoop

PROFILE = EngineProfile(8, 232_000, 206e3, 138e-12, 1.02e-3, 4.5e-6, 4.3e-9, 43, 2048)


class Does(Enum):
    """What a server does with a request that it is sent."""

    ANSWER = "runs it and answers"
    FAIL = "runs it and answers 500"
    REJECT = "says that it did not run"
    REFUSE_CONNECTION = "takes no connection"
    RESET_BEFORE = "resets before running it"
    RESET_AFTER = "runs it and resets"
    SILENT_RUN = "runs it and says nothing"
    SILENT = "says nothing"
    GARBAGE = "runs it and answers bytes of no use"
    OTHER_FIRST = "sends another request's answer first"
    CUT = "runs it and cuts the answer"
    RUN_LATE = "runs it after a second and says nothing"
    SLOW = "runs it and answers after a while"
    FORGET_RESUMING = "runs it from the start and answers"
    READ_LONG = "runs it and answers after some seconds"
    DIE = "loses power with the request, and says nothing any more"


@dataclass
class World:
    """What servers did.

    Attributes:
        script: What the next sends meet.
        runs: Servers that ran the request.
        tickets: Memory reserved, by server and ticket.
        dead: Servers without power, each with the time since when.
    """

    script: Iterator[Does]
    runs: list[str] = field(default_factory=list)
    tickets: dict[tuple[str, str], int] = field(default_factory=dict)
    dead: dict[str, float] = field(default_factory=dict)
    sends: int = 0


class FakeConnection:
    """A connection on which one scripted thing happens."""

    def __init__(self, world: World, server: BackendServer, does: Does) -> None:
        self._world = world
        self._server = server
        self._does = does
        self._heads = 0
        self._parts = [b"id: 1\n\n", b"id: 2\n\n", b""]
        self._closed = False
        self._end = asyncio.Event()
        self._ready_s = 0.0

    def send(self, data: bytes, *, head_only: bool = False) -> None:
        self._world.sends += 1
        work_s = {Does.SLOW: 1.4, Does.READ_LONG: 4.0}.get(self._does, 0.01)
        self._ready_s = asyncio.get_running_loop().time() + work_s
        if data and self._does is not Does.FORGET_RESUMING:
            self._parts = self._parts[int(data) :]
        if self._does in {
            Does.ANSWER,
            Does.FAIL,
            Does.RESET_AFTER,
            Does.SILENT_RUN,
            Does.GARBAGE,
            Does.OTHER_FIRST,
            Does.CUT,
            Does.SLOW,
            Does.READ_LONG,
            Does.FORGET_RESUMING,
        }:
            self._world.runs.append(self._server.id)
        if self._does is Does.DIE:
            self._world.dead[self._server.id] = asyncio.get_running_loop().time()
        if self._does is Does.RUN_LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, self._world.runs.append, self._server.id)

    async def head(self) -> ResponseHead:
        match self._does:
            case Does.RESET_BEFORE | Does.RESET_AFTER:
                raise ConnectionFailed("reset", sent=True)
            case Does.SILENT | Does.SILENT_RUN | Does.RUN_LATE | Does.DIE:
                await self._end.wait()
                raise ConnectionFailed("closed by us", sent=True)
            case Does.OTHER_FIRST if self._heads == 0:
                self._heads += 1
                return ResponseHead(200, [(b"for", b"another")])
        status = {Does.FAIL: 500, Does.REJECT: 503}.get(self._does, 200)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._ready_s - loop.time()))
        return ResponseHead(status, [(b"does", self._does.value.encode())])

    async def data(self) -> bytes:
        if self._does is Does.CUT and len(self._parts) < 3:
            raise ConnectionFailed("cut", sent=True)
        return self._parts.pop(0)

    def skip_answer(self) -> None:
        return None

    def close(self) -> None:
        self._closed = True
        self._end.set()

    @property
    def usable(self) -> bool:
        return not self._closed


class FakePool:
    """Connections to one server of the world."""

    def __init__(self, world: World, server: BackendServer) -> None:
        self._world = world
        self._server = server

    async def acquire(self, *, max_idle_s: float = 0.0) -> Lease:
        does = next(self._world.script)
        await asyncio.sleep(0.001)
        if does is Does.REFUSE_CONNECTION:
            raise ConnectionFailed("refused", sent=False)
        return Lease(FakeConnection(self._world, self._server, does), True)  # type: ignore[arg-type]

    def release(self, connection: FakeConnection) -> None:
        return None

    def close(self) -> None:
        return None


class FakeWire:
    """Encodes nothing, and reads what the connections say."""

    def encode(self, call: Call, server: BackendServer, options: SendOptions) -> bytes:
        return options.resume_after or b""

    def decode(self, head: ResponseHead, call: Call, *, fresh: bool) -> ServerAnswer:
        does = head.value(b"does")
        if does is None:
            origin = AnswerOrigin.OTHER_REQUEST
        elif does == Does.REJECT.value.encode():
            origin = AnswerOrigin.NOT_EXECUTED
        elif does == Does.GARBAGE.value.encode():
            origin = AnswerOrigin.UNTRUSTED
        else:
            origin = AnswerOrigin.OURS
        return ServerAnswer(origin, head.status, [])


class FakeOrders:
    """Reservations, kept in the world."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def reserve(
        self, server: BackendServer, ticket: str, tokens: int, hold_s: float
    ) -> Reservation:
        if server.id in self._world.dead:
            await asyncio.sleep(0.6)
            return Reservation.GONE
        self._world.tickets[server.id, ticket] = tokens
        await asyncio.sleep(0.1)
        return Reservation.HELD

    async def release(self, server: BackendServer, ticket: str) -> None:
        self._world.tickets.pop((server.id, ticket), None)


class FakeResponder:
    """Keeps what the caller got."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.headers: dict[bytes, bytes] = {}
        self.started = False
        self.finished = False
        self.aborted = False

    def whole(self, status, headers, body: bytes) -> None:
        self.begin(status, headers)
        self.body = body
        self.finished = True

    def begin(self, status, headers) -> None:
        assert not self.started
        self.status = status
        self.headers = dict(headers)
        self.started = True

    async def chunk(self, data: bytes) -> None:
        self.body += data

    def end(self) -> None:
        self.finished = True

    def abort(self) -> None:
        self.aborted = True
        self.finished = True


def configuration(
    repeatable: Repeatable,
    *,
    streaming: bool,
    version: int = 1,
    group: str = "g",
    timeout_s: float = 4.0,
    goal_s: float = 0.2,
) -> RoutingConfiguration:
    route = Route(
        "r",
        "a",
        "/p/",
        (WeightedGroup(group, 1.0),),
        repeatable,
        streaming,
        timeout_s=timeout_s,
        goal_s=goal_s,
        pause_goal_s=0.25,
        silence_limit_s=timeout_s / 2,
        priority=1,
        max_servers=2,
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
        {"key": Organisation("club")},
        keys_required=True,
        limits=RequestLimits(),
    )


def call(
    loop: InstantLoop,
    *,
    prompt_tokens: int = 0,
    key: str = "key",
    patience_s: float = 3.0,
) -> Call:
    return Call(
        "id-1",
        b"POST",
        "a",
        "/p/x",
        b"/p/x",
        [],
        b"{}",
        key,
        loop.time(),
        patience_s,
        prompt_tokens,
        100 if prompt_tokens else 0,
    )


class Fleet:
    """A dispatcher before servers that do as scripted."""

    def __init__(
        self, loop: InstantLoop, script: Iterator[Does], servers: int = 3
    ) -> None:
        self.loop = loop
        self.world = World(script)
        self.state = DispatchState(DispatchPolicy(entries=1), seed=1)
        self.state.pool = lambda server, group: FakePool(self.world, server)  # type: ignore[assignment,method-assign,return-value]
        self.servers = [
            BackendServer(f"s{i}", "g", "10.0.0.1", 8000 + i, f"z{i}", 8)
            for i in range(servers)
        ]
        self.state.directory.replace(
            [ServerListing(item.id, item) for item in self.servers], loop.time()
        )
        self.dispatcher = Dispatcher(
            self.state,
            FakeWire(),
            FakeOrders(self.world),
            NullCommitmentPublisher("e"),
            loop,
            DecisionLog({}),
            EntryMetrics(),
        )
