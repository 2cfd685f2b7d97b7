"""Experiment: operator actions and faults under load.

Takes an availability zone out and back, rolls out configuration changes, stops the
store, and stops processes as planned maintenance does.
"""

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
_ZONE_LOAD_S = 15.0
_ZONE_OUT_AT_S = 4.0
_ZONE_BACK_AT_S = 9.0
_STORE_OUTAGE_S = 8.0
_CHANGE_COUNT = 8
_SLOW_STORE_DELAY_S = 0.4
_MAX_ROLLOUT_S = 6.0
_MAX_ADMISSION_AFTER_ZONE_OUT_S = 3.0
_MIN_STORE_OUTAGE_COMPLETE_RATIO = 0.95
_MICROSECONDS_PER_S = 1_000_000


async def measure_operations(results: BenchmarkResults) -> None:
    """Measure rollout times, interrupted requests and the ratio of complete responses.

    All are measured on one deployment.

    Args:
        results: Collects the measurements.
    """
    rng = random.Random(11)
    deployment = Deployment(DeploymentShape(zones=3, entries=3, engines=6, services=1))
    await deployment.start()
    try:
        async with aiohttp.ClientSession() as session:
            operator = OperatorClient(session, deployment)
            await _measure_zone_cycle(results, deployment, operator, rng)
            await _measure_config_rollout(results, operator, "")
            await operator.set_faults({"delay_s": _SLOW_STORE_DELAY_S})
            await _measure_config_rollout(results, operator, ".slow_store")
            await operator.set_faults({})
            await _measure_store_out(results, deployment, operator, rng)
            await _measure_planned_stops(results, deployment, rng)
    finally:
        await deployment.close()


class OperatorClient:
    """Client of the operators' API, and of the platform stand-in's fault injection.

    Args:
        session: HTTP session.
        deployment: Deployment that it operates.
    """

    def __init__(self, session: aiohttp.ClientSession, deployment: Deployment) -> None:
        self._session = session
        self._deployment = deployment

    async def apply_change(
        self, change: dict[str, Any], entry: int = 0
    ) -> dict[str, Any]:
        """Apply a configuration change.

        Args:
            change: Change as the operators' API encodes it.
            entry: Index of the entry that receives it.

        Returns:
            The decoded response.
        """
        url = f"{self._deployment.entry_url(entry)}/operators/v1/changes"
        async with self._session.post(
            url, json={"changes": [change]}, headers=self._deployment.operator_headers
        ) as response:
            return await response.json()

    async def fetch_events(self, entry: int = 0, since_us: int = 0) -> list[list[Any]]:
        """Fetch the events of all processes that an entry can reach.

        Args:
            entry: Index of the entry.
            since_us: Earliest time of an event, in Unix microseconds.

        Returns:
            Events as lists of these items, by index:

            0: Hybrid logical clock timestamp; its first item is in Unix microseconds.
            1: Instance.
            2: Availability zone.
            3: Kind of event.
            4: Request id.
            5: Configuration version.
            6: Cause.
        """
        base_url = self._deployment.entry_url(entry)
        url = f"{base_url}/operators/v1/events?since_us={since_us}"
        async with self._session.get(
            url, headers=self._deployment.operator_headers
        ) as response:
            return (await response.json())["events"]

    async def set_faults(self, faults: dict[str, Any]) -> None:
        """Replace the faults that the platform stand-in injects.

        Args:
            faults: Value by name of the fault; empty for none.
        """
        url = f"{self._deployment.url('platform')}/faults"
        async with self._session.post(url, json=faults) as response:
            assert response.status == 200

    async def fetch_counts(self) -> dict[str, int]:
        """Fetch the numbers of reads and writes that the platform has executed."""
        url = f"{self._deployment.url('platform')}/counts"
        async with self._session.get(url) as response:
            return await response.json()


def _make_schedule(rng: random.Random, duration_s: float) -> list[ScheduledRequest]:
    def _make_request(due_s: float) -> ScheduledRequest:
        return ScheduledRequest(due_s, sample_log_uniform(rng, 500, 2_000), 24, "short")

    return poisson_schedule(rng, _RATE_PER_S, duration_s, _make_request)


def _make_load_generator(deployment: Deployment) -> LoadGenerator:
    urls = [deployment.entry_url(index) for index in range(deployment.shape.entries)]
    return LoadGenerator(urls, deployment.caller_headers, 20.0)


async def _measure_zone_cycle(
    results: BenchmarkResults,
    deployment: Deployment,
    operator: OperatorClient,
    rng: random.Random,
) -> None:
    task = asyncio.create_task(
        _make_load_generator(deployment).run(_make_schedule(rng, _ZONE_LOAD_S))
    )
    await asyncio.sleep(_ZONE_OUT_AT_S)
    zone = {"type": "set_zone", "availability_zone": "zone-b"}
    out_us = time.time() * _MICROSECONDS_PER_S
    await operator.apply_change({**zone, "out": True})
    await asyncio.sleep(_ZONE_BACK_AT_S - _ZONE_OUT_AT_S)
    back_us = time.time() * _MICROSECONDS_PER_S
    await operator.apply_change({**zone, "out": False}, 1)
    request_results = await task
    admitted_us = [
        event[0][0]
        for event in await operator.fetch_events()
        if event[2] == "zone-b" and event[3] == "work_admitted"
    ]
    assert any(time_us < out_us for time_us in admitted_us), (
        "zone-b admitted no work before it was taken out"
    )
    admitted_out_us = [time_us for time_us in admitted_us if out_us < time_us < back_us]
    last_admission_s = max([
        0.0,
        *((time_us - out_us) / _MICROSECONDS_PER_S for time_us in admitted_out_us),
    ])
    admitted_back_us = [time_us for time_us in admitted_us if time_us > back_us]
    results.add_at_most(
        "zone_out_last_new_work_s",
        last_admission_s,
        "s",
        _MAX_ADMISSION_AFTER_ZONE_OUT_S,
    )
    results.add_at_most(
        "zone_out_cut_requests",
        _count_interrupted_requests(request_results),
        "requests",
        0,
    )
    results.add("zone_cycle_goodput_ratio", _complete_ratio(request_results), "ratio")
    if admitted_back_us:
        back_s = (min(admitted_back_us) - back_us) / _MICROSECONDS_PER_S
        results.add("zone_back_first_work_s", back_s, "s")


def _count_interrupted_requests(request_results: list[RequestResult]) -> int:
    """Count requests whose connection failed or whose stream ended early."""
    return sum(
        not item.is_complete and item.status in (0, 200) for item in request_results
    )


def _complete_ratio(request_results: list[RequestResult]) -> float:
    return sum(item.is_complete for item in request_results) / len(request_results)


async def _measure_config_rollout(
    results: BenchmarkResults, operator: OperatorClient, suffix: str
) -> None:
    max_s = 0.0
    reverts = 0
    for number in range(_CHANGE_COUNT):
        start_us = time.time() * _MICROSECONDS_PER_S
        change = {"type": "set_instance", "instance": "absent", "out": number % 2 == 0}
        version = (await operator.apply_change(change, number % 3))["record"]["version"]
        await asyncio.sleep(1.5)
        events = await operator.fetch_events(0, int(start_us))
        applied_events = [
            event for event in events if event[3] == "configuration_applied"
        ]
        applied_us = [event[0][0] for event in applied_events if event[5] == version]
        # 10 processes apply a change: 3 entries and the sidecars of 6 engines and of 1
        # service.
        if len(applied_us) < 10:
            await asyncio.sleep(2.0)
            events = await operator.fetch_events(0, int(start_us))
            applied_events = [
                event for event in events if event[3] == "configuration_applied"
            ]
            applied_us = [
                event[0][0] for event in applied_events if event[5] == version
            ]
        # Tolerates one process whose event is missing.
        assert len(applied_us) >= 9, (
            f"only {len(applied_us)} processes applied version {version}"
        )
        max_s = max(max_s, (max(applied_us) - start_us) / _MICROSECONDS_PER_S)
        reverts += _count_reverts(applied_events)
    results.add_at_most(f"config_in_force_s{suffix}", max_s, "s", _MAX_ROLLOUT_S)
    results.add_at_most(f"config_reverts{suffix}", reverts, "reverts", 0)


def _count_reverts(applied_events: list[list[Any]]) -> int:
    newest_versions: dict[str, int] = {}
    count = 0
    for event in sorted(applied_events, key=lambda item: item[0]):
        count += event[5] < newest_versions.get(event[1], 0)
        newest_versions[event[1]] = event[5]
    return count


async def _measure_store_out(
    results: BenchmarkResults,
    deployment: Deployment,
    operator: OperatorClient,
    rng: random.Random,
) -> None:
    before = await _make_load_generator(deployment).run(
        _make_schedule(rng, _STORE_OUTAGE_S)
    )
    await operator.set_faults({"down": True})
    during = await _make_load_generator(deployment).run(
        _make_schedule(rng, _STORE_OUTAGE_S)
    )
    await operator.set_faults({})
    relative_complete_ratio = _complete_ratio(during) / _complete_ratio(before)
    results.add_at_least(
        "store_out_goodput_ratio",
        relative_complete_ratio,
        "ratio",
        _MIN_STORE_OUTAGE_COMPLETE_RATIO,
    )


async def _measure_planned_stops(
    results: BenchmarkResults, deployment: Deployment, rng: random.Random
) -> None:
    load = LoadGenerator(
        [deployment.entry_url(0), deployment.entry_url(1)],
        deployment.caller_headers,
        20.0,
    )
    task = asyncio.create_task(load.run(_make_schedule(rng, 6.0)))
    await asyncio.sleep(2.0)
    for name in ("engine-0", "engine-4", "entry-2"):
        deployment.stop_process(name)
    request_results = await task
    exit_codes = [
        await asyncio.to_thread(deployment.wait_process, name)
        for name in ("engine-0", "engine-4", "entry-2")
    ]
    # Requests, and processes that did not exit with code 0.
    failures = _count_interrupted_requests(request_results) + sum(
        exit_code != 0 for exit_code in exit_codes
    )
    results.add_at_most("planned_stop_cut_requests", failures, "requests", 0)
