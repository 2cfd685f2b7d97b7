"""The busiest minute under skewed overload, and through a switch down."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from benchmarks._load_generator import LoadGenerator, ScheduledRequest, poisson_schedule
from benchmarks._operations import OperatorClient
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults

_ALLOWANCE = 400
_DURATION_S = 84.0
_SWITCH_AT_S = 66.0
_SKEW = (9, 1)
_MINUTE_S = 60.0
_MICROSECONDS_PER_S = 1_000_000
_USED = 0.95


async def measure_allowance_window(results: BenchmarkResults) -> None:
    """Run the experiment.

    Args:
        results: Where the figures go.
    """
    rng = random.Random(11)
    deployment = Deployment(
        DeploymentShape(zones=2, entries=2, engines=2, requests_per_minute=_ALLOWANCE)
    )
    await deployment.start()
    try:
        urls = [deployment.entry_url(0)] * _SKEW[0] + [deployment.entry_url(1)]
        load = LoadGenerator(urls, deployment.caller_headers, 20.0)
        rate_per_s = 1.6 * _ALLOWANCE / _MINUTE_S
        schedule = poisson_schedule(
            rng,
            rate_per_s,
            _DURATION_S,
            lambda due_s: ScheduledRequest(due_s, 50, 2, "small"),
        )
        task = asyncio.create_task(load.run(schedule))
        await asyncio.sleep(_SWITCH_AT_S)
        async with aiohttp.ClientSession() as session:
            operator = OperatorClient(session, deployment)
            await operator.apply_change({
                "type": "switch_preset",
                "preset": "maintenance",
            })
            switch_s = time.time() + 4.0
            await task
            admitted_s = await _admitted(operator)
    finally:
        await deployment.close()
    _report(results, admitted_s, switch_s)


async def _admitted(operator: OperatorClient) -> list[float]:
    """Wall times at which requests were admitted by any entry."""
    first: dict[str, float] = {}
    for event in await operator.fetch_events():
        if event[3] == "request_routed":
            moment_s = event[0][0] / _MICROSECONDS_PER_S
            first[event[4]] = min(first.get(event[4], moment_s), moment_s)
    return sorted(first.values())


def _report(
    results: BenchmarkResults, admitted_s: list[float], switch_s: float
) -> None:
    overrun = 0
    fullest = 0
    for index, moment_s in enumerate(admitted_s):
        held = sum(other > moment_s - _MINUTE_S for other in admitted_s[: index + 1])
        low = moment_s > switch_s + 0.25
        limit = _ALLOWANCE // 4 if low else _ALLOWANCE
        overrun = max(overrun, held - limit)
        if not low:
            fullest = max(fullest, held)
    results.add_at_most("minute_overrun_requests", overrun, "requests", 0)
    results.add_at_least("allowance_used_ratio", fullest / _ALLOWANCE, "ratio", _USED)
