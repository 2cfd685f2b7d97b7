"""One soak run: constant load, random overlapping faults, and invariant checks.

Two tasks inject faults at random while callers send requests. After the faults are
cleared, the run checks that no invariant was violated and that requests succeed again.
"""

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

__all__ = ["InjectedEvent", "InvariantViolation", "Report", "run_soak"]

_CALLER_COUNT = 12
_MEAN_PAUSE_S = 0.05
_REQUEST_TIMEOUT_S = 2.0
# An entry that gets SIGTERM as faults end drains for seconds, then starts again.
_RECOVERY_S = 7.0
_RECOVERY_REQUEST_COUNT = 40
_MIN_RECOVERED_RATIO = 0.9
_STARTUP_S = 2.0


class InjectedEvent(NamedTuple):
    """Fault, configuration publication, or end of all faults, as caused by the run.

    Attributes:
        at_s: Time of the event, in Unix seconds.
        description: The target and the kind of fault; "configuration" for a
            publication, "calm" for the end of all faults.
    """

    at_s: float
    description: str


class InvariantViolation(NamedTuple):
    """Violation of an invariant, observed by a caller or by the backend servers.

    Attributes:
        request_id: Id of the request.
        description: What was observed.
    """

    request_id: str
    description: str


class Report(NamedTuple):
    """Result of a soak run.

    Attributes:
        seed: Seed of the random number generator.
        request_counts: Number of requests by kind and HTTP status.
        completions: End of each request, in Unix seconds, and whether it succeeded.
        injected_events: Faults, publications, and the end of the faults, in order of
            time.
        violations: Violated invariants.
        recovery_failure: Message with the number of requests that succeeded after the
            faults were cleared; empty if enough did.
    """

    seed: int
    request_counts: Counter[tuple[str, int]]
    completions: list[tuple[float, bool]]
    injected_events: list[InjectedEvent]
    violations: list[InvariantViolation]
    recovery_failure: str


class _SoakRun:
    def __init__(self, seed: int, seconds: float, fleet: SoakFleet) -> None:
        self._rng = random.Random(seed)
        self._fault_duration_s = seconds
        self._fleet = fleet
        self._outcomes: list[Outcome] = []
        self.completions: list[tuple[float, bool]] = []
        self._request_count = 0
        self.injected_events: list[InjectedEvent] = []

    async def run(self) -> None:
        """Run load with faults, clear the faults, then check that requests succeed."""
        async with aiohttp.ClientSession() as session:
            caller = CallerStandin(session, _REQUEST_TIMEOUT_S)
            await asyncio.sleep(_STARTUP_S)
            load_tasks = [
                asyncio.ensure_future(self._generate_load(caller))
                for _ in range(_CALLER_COUNT)
            ]
            fault_tasks = [
                asyncio.ensure_future(self._inject_faults()) for _ in range(2)
            ]
            await asyncio.sleep(self._fault_duration_s)
            for task in fault_tasks:
                task.cancel()
            await asyncio.gather(*fault_tasks, return_exceptions=True)
            await self._clear_faults()
            await asyncio.sleep(_RECOVERY_S)
            for task in load_tasks:
                task.cancel()
            await asyncio.gather(*load_tasks, return_exceptions=True)
            self._recovery_outcomes = [
                await self._send_request(caller) for _ in range(_RECOVERY_REQUEST_COUNT)
            ]

    def find_violations(self) -> list[InvariantViolation]:
        """Find violated invariants.

        A successful answer is correct, a non-idempotent request runs at most once, and
        it does not run at all if the status claims that it was not executed.
        """
        violations = []
        for outcome in self._outcomes:
            executions = self._fleet.count_executions(outcome.id)
            if outcome.fault:
                violations.append(InvariantViolation(outcome.id, outcome.fault))
            if executions > 1 and not outcome.kind.idempotent:
                violations.append(
                    InvariantViolation(outcome.id, f"ran {executions} times")
                )
            if (
                executions
                and outcome.claims_not_executed
                and not outcome.kind.idempotent
            ):
                description = f"ran although {outcome.status} claims not executed"
                violations.append(InvariantViolation(outcome.id, description))
        return violations

    def describe_recovery_failure(self) -> str:
        """Message with the number of requests that succeeded after the faults.

        It is empty if enough succeeded.
        """
        served = sum(outcome.complete for outcome in self._recovery_outcomes)
        if served >= _MIN_RECOVERED_RATIO * len(self._recovery_outcomes):
            return ""
        return f"served {served} of {len(self._recovery_outcomes)} after the faults"

    def request_counts(self) -> Counter[tuple[str, int]]:
        """Number of requests by kind and HTTP status."""
        return Counter((item.kind.name, item.status) for item in self._outcomes)

    async def _generate_load(self, caller: CallerStandin) -> None:
        while True:
            await self._send_request(caller)
            await asyncio.sleep(self._rng.random() * 2 * _MEAN_PAUSE_S)

    async def _send_request(self, caller: CallerStandin) -> Outcome:
        self._request_count += 1
        request_id = f"q{self._request_count}"
        entry = self._rng.choice(self._fleet.entries)
        kind = self._rng.choices(list(CallKind), (5, 1, 3, 3))[0]
        try:
            outcome = await caller.call(entry.address, request_id, kind)
        except asyncio.CancelledError:
            # The run ends while the request is in flight: its result is unknown, but
            # the servers' executions still count.
            self._outcomes.append(Outcome(request_id, kind, 0, False, ""))
            raise
        self._outcomes.append(outcome)
        self.completions.append((time.time(), outcome.complete))
        return outcome

    async def _inject_faults(self) -> None:
        injectors = [
            self._inject_server_fault,
            self._inject_link_fault,
            self._inject_store_fault,
            self._send_random_signal,
            self._publish_configuration,
        ]
        while True:
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            await self._rng.choice(injectors)()

    async def _inject_server_fault(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        fault = self._rng.choice([
            "full",
            "reset_before",
            "reset_after",
            "silent",
            "cut_after_events",
            "answers_twice",
        ])
        self._record_event(f"server {server.id} {fault}")
        setattr(server.faults, fault, 2 if fault == "cut_after_events" else True)
        await asyncio.sleep(self._rng.uniform(0.2, 1.2))
        server.faults = ServerFaults()

    async def _inject_link_fault(self) -> None:
        link = self._rng.choice(self._fleet.links)
        fault = self._rng.choice([
            "delay_s",
            "silent",
            "one_way",
            "refuse",
            "reset",
            "cut",
        ])
        self._record_event(f"link {self._fleet.links.index(link)} {fault}")
        max_duration_s = 1.2
        match fault:
            case "reset":
                link.reset_connections()
                return
            case "cut":
                link.faults.refuse = True
                link.reset_connections()
                max_duration_s = 4.0
            case "delay_s":
                link.faults.delay_s = 0.2
            case _:
                setattr(link.faults, fault, True)
        await asyncio.sleep(self._rng.uniform(0.2, max_duration_s))
        link.faults = LinkFaults()

    async def _inject_store_fault(self) -> None:
        store = self._fleet.store
        fault = self._rng.choice(["down", "silent", "delay_s", "lose", "forget"])
        self._record_event(f"store {fault}")
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

    async def _send_random_signal(self) -> None:
        entry = self._rng.choice(self._fleet.entries)
        signal_number = self._rng.choice([
            signal.SIGTERM,
            signal.SIGKILL,
            signal.SIGSTOP,
            signal.SIGHUP,
        ])
        self._record_event(f"entry {entry.address} {signal_number.name}")
        entry.send_signal(signal_number)
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        if entry.is_paused:
            entry.send_signal(signal.SIGCONT)

    async def _publish_configuration(self) -> None:
        self._record_event("configuration")
        self._fleet.publish_configuration()

    async def _clear_faults(self) -> None:
        self._record_event("calm")
        for server in self._fleet.servers:
            server.faults = ServerFaults()
        for link in self._fleet.links:
            link.faults = LinkFaults()
        self._fleet.store.faults = StoreFaults()
        for entry in self._fleet.entries:
            if entry.is_paused:
                entry.send_signal(signal.SIGCONT)

    def _record_event(self, description: str) -> None:
        self.injected_events.append(InjectedEvent(time.time(), description))


async def run_soak(seed: int, seconds: float, folder: Path, entries: int = 3) -> Report:
    """Run one soak against a fleet of its own.

    Args:
        seed: Seed of the random faults and requests.
        seconds: Seconds for which faults are injected.
        folder: Folder for the settings and logs of the entries.
        entries: Number of entries.

    Returns:
        The result of the run.
    """
    fleet = SoakFleet(entries, folder)
    soak_run = _SoakRun(seed, seconds, fleet)
    await fleet.start()
    try:
        await soak_run.run()
        return Report(
            seed,
            soak_run.request_counts(),
            soak_run.completions,
            soak_run.injected_events,
            soak_run.find_violations(),
            soak_run.describe_recovery_failure(),
        )
    finally:
        await fleet.close()
