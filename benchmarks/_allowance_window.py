"""Experiment: rate limits under overload that is skewed to one of two entries.

Counts the admitted requests in every sliding window of a minute, also after a switch
to a preset with a quarter of the allowance.
"""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from benchmarks._load_generator import LoadGenerator, ScheduledRequest, poisson_schedule
from benchmarks._operations import OperatorClient
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults

_ALLOWANCE_PER_MINUTE = 400
_LOAD_S = 84.0
_SWITCH_AT_S = 66.0
_URL_WEIGHTS = (9, 1)
_MINUTE_S = 60.0
_MICROSECONDS_PER_S = 1_000_000
_MIN_USED_RATIO = 0.95


async def measure_allowance_window(results: BenchmarkResults) -> None:
    """Measure by how much any minute exceeds the allowance, and how well it is used.

    Args:
        results: Collects the measurements.
    """
    rng = random.Random(11)
    deployment = Deployment(
        DeploymentShape(
            zones=2, entries=2, engines=2, requests_per_minute=_ALLOWANCE_PER_MINUTE
        )
    )
    await deployment.start()
    try:
        urls = [deployment.entry_url(0)] * _URL_WEIGHTS[0] + [deployment.entry_url(1)]
        load = LoadGenerator(urls, deployment.caller_headers, 20.0)
        rate_per_s = 1.6 * _ALLOWANCE_PER_MINUTE / _MINUTE_S
        schedule = poisson_schedule(
            rng,
            rate_per_s,
            _LOAD_S,
            lambda due_s: ScheduledRequest(due_s, 50, 2, "small"),
        )
        load_task = asyncio.create_task(load.run(schedule))
        await asyncio.sleep(_SWITCH_AT_S)
        async with aiohttp.ClientSession() as session:
            operator = OperatorClient(session, deployment)
            await operator.apply_change({
                "type": "switch_preset",
                "preset": "maintenance",
            })
            # The default of timing.switch_lead_s: a switch takes effect 4 s after it is
            # accepted.
            reduced_from_s = time.time() + 4.0
            await load_task
            admitted_s = await _fetch_admission_times(operator)
    finally:
        await deployment.close()
    _add_results(results, admitted_s, reduced_from_s)


async def _fetch_admission_times(operator: OperatorClient) -> list[float]:
    """Times at which each request was first admitted by an entry.

    Returns:
        Unix times in seconds, in ascending order.
    """
    first_s: dict[str, float] = {}
    # Items of an event: see OperatorClient.fetch_events.
    for event in await operator.fetch_events():
        if event[3] == "request_routed":
            time_s = event[0][0] / _MICROSECONDS_PER_S
            first_s[event[4]] = min(first_s.get(event[4], time_s), time_s)
    return sorted(first_s.values())


def _add_results(
    results: BenchmarkResults, admitted_s: list[float], reduced_from_s: float
) -> None:
    max_excess = 0
    max_count = 0
    for index, time_s in enumerate(admitted_s):
        count = sum(other > time_s - _MINUTE_S for other in admitted_s[: index + 1])
        # The default of timing.clock_skew_s: clocks of two machines differ by 0.25 s.
        is_reduced = time_s > reduced_from_s + 0.25
        limit = _ALLOWANCE_PER_MINUTE // 4 if is_reduced else _ALLOWANCE_PER_MINUTE
        max_excess = max(max_excess, count - limit)
        if not is_reduced:
            max_count = max(max_count, count)
    results.add_at_most("minute_overrun_requests", max_excess, "requests", 0)
    results.add_at_least(
        "allowance_used_ratio",
        max_count / _ALLOWANCE_PER_MINUTE,
        "ratio",
        _MIN_USED_RATIO,
    )
