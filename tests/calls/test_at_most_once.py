"""Non-idempotent calls under every crossing of failures.

The machine drives the entry's dispatcher, the sidecars' executors and the store's
rules. Only messages, the store's answers and the backend server are replaced.
"""

import asyncio
import contextlib
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from gentianhoist.calls import CallExecutor, CallResolver, GroupCommit, NotSent
from gentianhoist.clocks import HybridClock
from gentianhoist.demo import EmbeddedFleet
from gentianhoist.entry._calls import CallDispatcher
from gentianhoist.events import EventRing
from gentianhoist.exceptions import HoistError, NotRun
from gentianhoist.membership import Member
from gentianhoist.settings import DeploymentSettings, Role
from gentianhoist.standins import MemoryTable, TableModel
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import CallOutcome, CallRequest, Stamp
from tests.instant_loop import InstantLoop

_KEYS = ("k0", "k1")
_SIDECARS = 2
_DEADLINE_S = 5.0
_MESSAGE_FAULTS = (
    [],
    ["refuse"],
    ["refuse", "refuse"],
    ["lose_request"],
    ["lose_reply"],
    ["delay"],
    ["refuse", "delay"],
)
_SERVICE_FAULTS = ("not_sent", "break_before", "break_after", "hang", "late")
_STORE_FAULTS = ("lose_answer", "drop_write", "down", "up")


def _deployment() -> DeploymentSettings:
    fleet = EmbeddedFleet()
    content = fleet._deployment_content.__func__
    fleet._ports = Counter()
    fleet.platform.faults.list_lag_s = 0.0
    made = content(fleet)
    made["platform"] = {"url": "http://127.0.0.1:1"}
    made["instances"] = []
    return DeploymentSettings.model_validate(made)


class _Service:
    """The backend servers' common effect: executions by key, each with its sender."""

    def __init__(self) -> None:
        self.executions: dict[str, list[int]] = {key: [] for key in _KEYS}
        self.faults: list[str] = []

    async def send(self, request: CallRequest) -> CallOutcome:
        fault = self.faults.pop(0) if self.faults else ""
        match fault:
            case "not_sent":
                raise NotSent("refused")
            case "break_before":
                raise ConnectionError("broke off")
            case "late":
                await asyncio.sleep(_DEADLINE_S * 3)
            case "hang":
                self._run(request)
                await asyncio.Event().wait()
        self._run(request)
        if fault == "break_after":
            raise ConnectionError("broke off")
        return CallOutcome(200, "text/plain", request.key.encode())

    def _run(self, request: CallRequest) -> None:
        self.executions[request.key].append(int(request.request_id))


class _Stub:
    def __init__(self, world: "_World", index: int) -> None:
        self._world = world
        self._index = index

    async def call(self, request: CallRequest, timeout: float):
        fault = self._world.message_faults.pop(0) if self._world.message_faults else ""
        if fault == "refuse":
            raise ConnectionRefusedError
        if fault == "lose_request":
            raise TimeoutError
        if fault == "delay":
            self._world.delayed.append((self._index, request))
            raise TimeoutError
        reply = await self._world.executors[self._index].call(request)
        if fault == "lose_reply":
            raise TimeoutError
        return reply


class _Link:
    def __init__(self, world: "_World", index: int) -> None:
        self.member = Member(f"s{index}", Role.SIDECAR, "zone-a", "", 0, "valves")
        self.stub = _Stub(world, index)
        self.streams = self

    @contextlib.contextmanager
    def use(self):
        yield self


class _Directory:
    def __init__(self, links: list[_Link]) -> None:
        self._links = links

    def usable(self, group: str) -> list[_Link]:
        return self._links

    def find(self, name: str) -> _Link | None:
        return next((link for link in self._links if link.member.name == name), None)


class _Allowance:
    async def spend(self, tokens: int) -> None:
        return


class _World:
    """Two sidecars and an entry on one store."""

    deployment = _deployment()

    def __init__(self, loop: InstantLoop) -> None:
        self.loop = loop
        self.model = TableModel()
        self.tables = [MemoryTable(self.model) for _ in range(_SIDECARS + 1)]
        self.service = _Service()
        self.message_faults: list[str] = []
        self.delayed: list[tuple[int, CallRequest]] = []
        self.lives = 0
        self.executors: list[CallExecutor] = []
        self.old_executors: list[CallExecutor] = []
        self.sends = 0
        self.sends_of: Counter[str] = Counter()

    async def start(self) -> None:
        for index in range(_SIDECARS):
            self.executors.append(await self._executor(index))
        commits = GroupCommit(self.tables[-1])
        await commits.start()
        links = [_Link(self, index) for index in range(_SIDECARS)]
        self.dispatcher = CallDispatcher(
            self.deployment,
            _Directory(links),
            _Allowance(),
            CallResolver(commits, self.loop, "entry"),
            self.loop,
            EventRing(HybridClock(self.loop), "entry", "zone-a"),
            Metrics(),
        )

    async def _executor(self, index: int) -> CallExecutor:
        self.lives += 1
        executor = CallExecutor(
            self.tables[index], self.service, self.loop, f"s{index}", f"l{self.lives}"
        )
        await executor.start()
        return executor

    async def restart(self, index: int, *, paused: bool) -> None:
        """A sidecar is replaced; the old life is killed, or only believed dead."""
        old = self.executors[index]
        if paused:
            self.old_executors.append(old)
        else:
            for task in old._tasks:
                task.cancel()
        self.executors[index] = await self._executor(index)

    async def call(self, key: str, *, numbered: bool) -> CallOutcome | HoistError:
        self.sends += 1
        self.sends_of[key] += 1
        request = CallRequest(
            Stamp("entry", "e", 1, (0, 0)),
            str(self.sends),
            "club",
            "valve-control",
            "flood",
            False,
            key,
            self.sends_of[key] if numbered else 0,
            b"sheet 2",
            _DEADLINE_S,
        )
        try:
            return await self.dispatcher.call(request)
        except HoistError as error:
            return error

    async def deliver(self) -> None:
        index, request = self.delayed.pop(0)
        await self.executors[index].call(request)


class AtMostOnce(RuleBasedStateMachine):
    """Callers, entries, sidecars, store and service, with all their failures."""

    @initialize()
    def begin(self) -> None:
        self.loop = InstantLoop()
        self.world = _World(self.loop)
        self.loop.run(self.world.start())
        # For each key, the newest send before the last "not run" was told.
        self.not_run_until: dict[str, int] = dict.fromkeys(_KEYS, 0)
        self.ran_before_denial: list[str] = []

    @rule(
        key=st.sampled_from(_KEYS),
        numbered=st.booleans(),
        message=st.sampled_from(_MESSAGE_FAULTS),
        service=st.lists(st.sampled_from(_SERVICE_FAULTS), max_size=2),
    )
    def call(
        self, key: str, numbered: bool, message: list[str], service: list[str]
    ) -> None:
        self.world.message_faults[:] = message
        self.world.service.faults[:] = service
        answer = self.loop.run(self.world.call(key, numbered=numbered))
        self.world.message_faults.clear()
        self.world.service.faults.clear()
        if isinstance(answer, CallOutcome):
            assert answer.body == key.encode()
            assert self.world.service.executions[key]
        elif answer.not_run is NotRun.TRUE:
            if self.world.service.executions[key]:
                self.ran_before_denial.append(f"{key}: {answer.kind} {answer}")
            self.not_run_until[key] = self.world.sends

    @rule(fault=st.sampled_from(_STORE_FAULTS), index=st.integers(0, _SIDECARS))
    def store(self, fault: str, index: int) -> None:
        table = self.world.tables[index]
        match fault:
            case "lose_answer":
                table.lose_answers += 1
            case "drop_write":
                table.drop_writes += 1
            case "down":
                table.down = True
            case "up":
                table.down = False

    @rule(index=st.integers(0, _SIDECARS - 1), paused=st.booleans())
    def restart(self, index: int, paused: bool) -> None:
        self.loop.run(self.world.restart(index, paused=paused))

    @rule()
    def deliver_delayed(self) -> None:
        if self.world.delayed:
            self.loop.run(self.world.deliver())

    @rule(seconds=st.sampled_from([0.1, 3.0, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.loop.run(asyncio.sleep(seconds))

    @invariant()
    def runs_at_most_once(self) -> None:
        if hasattr(self, "world"):
            for key, runs in self.world.service.executions.items():
                assert len(runs) <= 1, f"{key} ran for sends {runs}"

    @invariant()
    def not_run_is_true(self) -> None:
        if hasattr(self, "world"):
            assert not self.ran_before_denial
            for key, runs in self.world.service.executions.items():
                late = [send for send in runs if send <= self.not_run_until[key]]
                assert not late, f"{key} ran for send {late} after it was denied"

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self.loop.shut()


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(max_examples=2_000, stateful_step_count=12)


@pytest.mark.parametrize("lost", range(1, 5))
def test_lost_store_answers_are_settled(lost: int):
    """A lost answer is settled by sending the transaction again."""
    loop = InstantLoop()
    world = _World(loop)
    loop.run(world.start())
    for table in world.tables:
        table.lose_answers = lost
    answer = loop.run(world.call("k0", numbered=True))
    assert len(world.service.executions["k0"]) <= 1
    if isinstance(answer, CallOutcome):
        assert world.service.executions["k0"]
    loop.shut()
