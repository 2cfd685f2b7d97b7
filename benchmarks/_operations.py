"""What operators drive: a zone's cycle, configuration in force, the store out."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

import aiohttp

from benchmarks._load_generator import (
    LoadGenerator,
    RequestResult,
    ScheduledRequest,
    poisson_schedule,
    sample_log_uniform,
)
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults

_RATE_PER_S = 24.0
_CYCLE_S = 15.0
_OUT_AT_S = 4.0
_BACK_AT_S = 9.0
_STORE_OUT_S = 8.0
_CHANGES = 8
_SLOW_STORE_S = 0.4
_IN_FORCE_S = 6.0
_LAST_WORK_S = 3.0
_STORE_GOODPUT = 0.95
_MICROSECONDS_PER_S = 1_000_000


async def measure_operations(results: BenchmarkResults) -> None:
    """Run the experiments on one deployment.

    Args:
        results: Where the figures go.
    """
    rng = random.Random(11)
    deployment = Deployment(DeploymentShape(zones=3, entries=3, engines=6, services=1))
    await deployment.start()
    try:
        async with aiohttp.ClientSession() as session:
            operator = OperatorClient(session, deployment)
            await _measure_cycle(results, deployment, operator, rng)
            await _measure_spread(results, operator, "")
            await operator.set_faults({"delay_s": _SLOW_STORE_S})
            await _measure_spread(results, operator, ".slow_store")
            await operator.set_faults({})
            await _measure_store_out(results, deployment, operator, rng)
            await _measure_planned_stops(results, deployment, rng)
    finally:
        await deployment.close()


class OperatorClient:
    """Sends an operator's commands, and faults to the platform.

    Args:
        session: HTTP client.
        deployment: Where to send them.
    """

    def __init__(self, session: aiohttp.ClientSession, deployment: Deployment) -> None:
        self._session = session
        self._deployment = deployment

    async def apply_change(
        self, change: dict[str, Any], entry: int = 0
    ) -> dict[str, Any]:
        """Send one change; the answer."""
        url = f"{self._deployment.entry_url(entry)}/operators/v1/changes"
        async with self._session.post(
            url, json={"changes": [change]}, headers=self._deployment.operator_headers
        ) as response:
            return await response.json()

    async def fetch_events(self, entry: int = 0, since_us: int = 0) -> list[list[Any]]:
        """Events of all processes that an entry reaches."""
        base = self._deployment.entry_url(entry)
        url = f"{base}/operators/v1/events?since_us={since_us}"
        async with self._session.get(
            url, headers=self._deployment.operator_headers
        ) as response:
            return (await response.json())["events"]

    async def set_faults(self, faults: dict[str, Any]) -> None:
        """Set the platform's faults."""
        url = f"{self._deployment.url('platform')}/faults"
        async with self._session.post(url, json=faults) as response:
            assert response.status == 200

    async def fetch_counts(self) -> dict[str, int]:
        """Reads and writes that the platform has carried out."""
        url = f"{self._deployment.url('platform')}/counts"
        async with self._session.get(url) as response:
            return await response.json()


def _schedule(rng: random.Random, duration_s: float) -> list[ScheduledRequest]:
    def _make(due_s: float) -> ScheduledRequest:
        return ScheduledRequest(due_s, sample_log_uniform(rng, 500, 2_000), 24, "short")

    return poisson_schedule(rng, _RATE_PER_S, duration_s, _make)


def _load(deployment: Deployment) -> LoadGenerator:
    urls = [deployment.entry_url(index) for index in range(deployment.shape.entries)]
    return LoadGenerator(urls, deployment.caller_headers, 20.0)


async def _measure_cycle(
    results: BenchmarkResults,
    deployment: Deployment,
    operator: OperatorClient,
    rng: random.Random,
) -> None:
    task = asyncio.create_task(_load(deployment).run(_schedule(rng, _CYCLE_S)))
    await asyncio.sleep(_OUT_AT_S)
    zone = {"type": "set_zone", "availability_zone": "zone-b"}
    out_us = time.time() * _MICROSECONDS_PER_S
    await operator.apply_change({**zone, "out": True})
    await asyncio.sleep(_BACK_AT_S - _OUT_AT_S)
    back_us = time.time() * _MICROSECONDS_PER_S
    await operator.apply_change({**zone, "out": False}, 1)
    answers = await task
    admitted_us = [
        event[0][0]
        for event in await operator.fetch_events()
        if event[2] == "zone-b" and event[3] == "work_admitted"
    ]
    assert any(moment < out_us for moment in admitted_us), "zone-b never had work"
    during = [moment for moment in admitted_us if out_us < moment < back_us]
    last_s = max([0.0, *((moment - out_us) / _MICROSECONDS_PER_S for moment in during)])
    after = [moment for moment in admitted_us if moment > back_us]
    results.add_at_most("zone_out_last_new_work_s", last_s, "s", _LAST_WORK_S)
    results.add_at_most("zone_out_cut_requests", _cut(answers), "requests", 0)
    results.add("zone_cycle_goodput_ratio", _goodput(answers), "ratio")
    if after:
        back_s = (min(after) - back_us) / _MICROSECONDS_PER_S
        results.add("zone_back_first_work_s", back_s, "s")


def _cut(answers: list[RequestResult]) -> int:
    """Requests that were admitted and not answered whole."""
    return sum(not item.is_complete and item.status in (0, 200) for item in answers)


def _goodput(answers: list[RequestResult]) -> float:
    return sum(item.is_complete for item in answers) / len(answers)


async def _measure_spread(
    results: BenchmarkResults, operator: OperatorClient, suffix: str
) -> None:
    worst_s = 0.0
    reverts = 0
    for number in range(_CHANGES):
        begun_us = time.time() * _MICROSECONDS_PER_S
        change = {"type": "set_instance", "instance": "absent", "out": number % 2 == 0}
        version = (await operator.apply_change(change, number % 3))["record"]["version"]
        await asyncio.sleep(1.5)
        events = await operator.fetch_events(0, int(begun_us))
        applied = [event for event in events if event[3] == "configuration_applied"]
        moments = [event[0][0] for event in applied if event[5] == version]
        if len(moments) < 10:
            await asyncio.sleep(2.0)
            events = await operator.fetch_events(0, int(begun_us))
            applied = [event for event in events if event[3] == "configuration_applied"]
            moments = [event[0][0] for event in applied if event[5] == version]
        assert len(moments) >= 9, f"{len(moments)} processes have version {version}"
        worst_s = max(worst_s, (max(moments) - begun_us) / _MICROSECONDS_PER_S)
        reverts += _reverts(applied)
    results.add_at_most(f"config_in_force_s{suffix}", worst_s, "s", _IN_FORCE_S)
    results.add_at_most(f"config_reverts{suffix}", reverts, "reverts", 0)


def _reverts(applied: list[list[Any]]) -> int:
    newest: dict[str, int] = {}
    count = 0
    for event in sorted(applied, key=lambda item: item[0]):
        count += event[5] < newest.get(event[1], 0)
        newest[event[1]] = event[5]
    return count


async def _measure_store_out(
    results: BenchmarkResults,
    deployment: Deployment,
    operator: OperatorClient,
    rng: random.Random,
) -> None:
    before = await _load(deployment).run(_schedule(rng, _STORE_OUT_S))
    await operator.set_faults({"down": True})
    during = await _load(deployment).run(_schedule(rng, _STORE_OUT_S))
    await operator.set_faults({})
    ratio = _goodput(during) / _goodput(before)
    results.add_at_least("store_out_goodput_ratio", ratio, "ratio", _STORE_GOODPUT)


async def _measure_planned_stops(
    results: BenchmarkResults, deployment: Deployment, rng: random.Random
) -> None:
    load = LoadGenerator(
        [deployment.entry_url(0), deployment.entry_url(1)],
        deployment.caller_headers,
        20.0,
    )
    task = asyncio.create_task(load.run(_schedule(rng, 6.0)))
    await asyncio.sleep(2.0)
    for name in ("engine-0", "engine-4", "entry-2"):
        deployment.stop_process(name)
    answers = await task
    codes = [
        await asyncio.to_thread(deployment.wait_process, name)
        for name in ("engine-0", "engine-4", "entry-2")
    ]
    cut = _cut(answers) + sum(code != 0 for code in codes)
    results.add_at_most("planned_stop_cut_requests", cut, "requests", 0)
