"""One soak: faults in series and overlapping, load all the while, promises checked."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import aiohttp

from gentianhoist_platform.standins import (
    CallerStandin,
    CallKind,
    Outcome,
    ServerFaults,
    StoreFaults,
)
from soak._fleet import SoakFleet
from soak._proxy import LinkFaults

__all__ = ["InjectedFault", "InvariantViolation", "Report", "run_soak"]

_CALLERS = 12
_PAUSE_S = 0.05
_CALL_TIMEOUT_S = 2.0
# A process told to stop just before the calm serves for seconds, and starts again.
_RECOVER_S = 7.0
_CHECK_CALLS = 40
_RECOVERED_RATIO = 0.9
_START_S = 2.0


class InjectedFault(NamedTuple):
    """A fault that was injected.

    Attributes:
        at_s: When, in Unix seconds.
        description: What it was.
    """

    at_s: float
    description: str


class InvariantViolation(NamedTuple):
    """A promise that callers or servers saw broken.

    Attributes:
        request_id: The request.
        description: What was seen.
    """

    request_id: str
    description: str


class Report(NamedTuple):
    """What a soak saw.

    Attributes:
        seed: Its seed.
        call_counts: Requests by kind and status.
        completions: End of each request, in Unix seconds, and whether it was served.
        faults: Faults in order.
        violations: Promises that were broken.
        recovery_failure: What was not served after the faults, empty if enough was.
    """

    seed: int
    call_counts: Counter[tuple[str, int]]
    completions: list[tuple[float, bool]]
    faults: list[InjectedFault]
    violations: list[InvariantViolation]
    recovery_failure: str


class _Soak:
    def __init__(self, seed: int, seconds: float, fleet: SoakFleet) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._fleet = fleet
        self._outcomes: list[Outcome] = []
        self.ended: list[tuple[float, bool]] = []
        self._numbers = 0
        self.faults: list[InjectedFault] = []

    async def run(self) -> None:
        """Load and faults, then calm, then the check that service is back."""
        async with aiohttp.ClientSession() as session:
            caller = CallerStandin(session, _CALL_TIMEOUT_S)
            await asyncio.sleep(_START_S)
            load = [asyncio.ensure_future(self._load(caller)) for _ in range(_CALLERS)]
            faults = [asyncio.ensure_future(self._trouble()) for _ in range(2)]
            await asyncio.sleep(self._seconds)
            for task in faults:
                task.cancel()
            await asyncio.gather(*faults, return_exceptions=True)
            await self._calm()
            await asyncio.sleep(_RECOVER_S)
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            self._last = [await self._call(caller) for _ in range(_CHECK_CALLS)]

    def broken(self) -> list[InvariantViolation]:
        """Promises that callers and servers saw broken."""
        broken = []
        for outcome in self._outcomes:
            runs = self._fleet.count_executions(outcome.id)
            if outcome.fault:
                broken.append(InvariantViolation(outcome.id, outcome.fault))
            if runs > 1 and not outcome.kind.idempotent:
                broken.append(InvariantViolation(outcome.id, f"ran {runs} times"))
            if runs and outcome.claims_not_executed and not outcome.kind.idempotent:
                what = f"ran though {outcome.status} denies it"
                broken.append(InvariantViolation(outcome.id, what))
        return broken

    def unrecovered(self) -> str:
        """What was not served after the faults, empty if enough was."""
        served = sum(outcome.complete for outcome in self._last)
        if served >= _RECOVERED_RATIO * len(self._last):
            return ""
        return f"served {served} of {len(self._last)} after the faults"

    def calls(self) -> Counter[tuple[str, int]]:
        """Requests by kind and status."""
        return Counter((item.kind.name, item.status) for item in self._outcomes)

    async def _load(self, caller: CallerStandin) -> None:
        while True:
            await self._call(caller)
            await asyncio.sleep(self._rng.random() * 2 * _PAUSE_S)

    async def _call(self, caller: CallerStandin) -> Outcome:
        self._numbers += 1
        id_ = f"q{self._numbers}"
        entry = self._rng.choice(self._fleet.entries)
        kind = self._rng.choices(list(CallKind), (5, 1, 3, 3))[0]
        try:
            outcome = await caller.call(entry.address, id_, kind)
        except asyncio.CancelledError:
            # The caller leaves: it knows nothing of the answer.
            self._outcomes.append(Outcome(id_, kind, 0, False, ""))
            raise
        self._outcomes.append(outcome)
        self.ended.append((time.time(), outcome.complete))
        return outcome

    async def _trouble(self) -> None:
        kinds = [
            self._server_trouble,
            self._link_trouble,
            self._store_trouble,
            self._signal_trouble,
            self._configure,
        ]
        while True:
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            await self._rng.choice(kinds)()

    async def _server_trouble(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        fault = self._rng.choice([
            "full",
            "reset_before",
            "reset_after",
            "silent",
            "cut_after_events",
        ])
        self._note(f"server {server.id} {fault}")
        setattr(server.faults, fault, 2 if fault == "cut_after_events" else True)
        await asyncio.sleep(self._rng.uniform(0.2, 1.2))
        server.faults = ServerFaults()

    async def _link_trouble(self) -> None:
        link = self._rng.choice(self._fleet.links)
        fault = self._rng.choice([
            "delay_s",
            "silent",
            "one_way",
            "refuse",
            "reset",
            "cut",
        ])
        self._note(f"link {self._fleet.links.index(link)} {fault}")
        longest_s = 1.2
        match fault:
            case "reset":
                link.reset_connections()
                return
            case "cut":
                link.faults.refuse = True
                link.reset_connections()
                longest_s = 4.0
            case "delay_s":
                link.faults.delay_s = 0.2
            case _:
                setattr(link.faults, fault, True)
        await asyncio.sleep(self._rng.uniform(0.2, longest_s))
        link.faults = LinkFaults()

    async def _store_trouble(self) -> None:
        store = self._fleet.store
        fault = self._rng.choice(["down", "silent", "delay_s", "lose", "forget"])
        self._note(f"store {fault}")
        match fault:
            case "forget":
                store.forget_history()
            case "lose":
                store.faults.lose_answers = 3
            case "delay_s":
                store.faults.delay_s = 0.25
            case _:
                setattr(store.faults, fault, True)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        store.faults = StoreFaults()

    async def _signal_trouble(self) -> None:
        entry = self._rng.choice(self._fleet.entries)
        number = self._rng.choice([
            signal.SIGTERM,
            signal.SIGKILL,
            signal.SIGSTOP,
            signal.SIGHUP,
        ])
        self._note(f"entry {entry.address} {number.name}")
        entry.send_signal(number)
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        if entry.is_paused:
            entry.send_signal(signal.SIGCONT)

    async def _configure(self) -> None:
        self._note("configuration")
        self._fleet.publish_configuration()

    async def _calm(self) -> None:
        self._note("calm")
        for server in self._fleet.servers:
            server.faults = ServerFaults()
        for link in self._fleet.links:
            link.faults = LinkFaults()
        self._fleet.store.faults = StoreFaults()
        for entry in self._fleet.entries:
            if entry.is_paused:
                entry.send_signal(signal.SIGCONT)

    def _note(self, fault: str) -> None:
        self.faults.append(InjectedFault(time.time(), fault))


async def run_soak(seed: int, seconds: float, folder: Path, entries: int = 3) -> Report:
    """Run one soak.

    Args:
        seed: Decides the faults.
        seconds: How long faults come.
        folder: For settings and logs of the processes.
        entries: How many entries.

    Returns:
        What it saw.
    """
    fleet = SoakFleet(entries, folder)
    run = _Soak(seed, seconds, fleet)
    await fleet.start()
    try:
        await run.run()
        return Report(
            seed, run.calls(), run.ended, run.faults, run.broken(), run.unrecovered()
        )
    finally:
        await fleet.close()
