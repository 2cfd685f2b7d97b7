"""Experiment: goodput at twice the capacity, with and without a retry budget."""

from __future__ import annotations

import random

from benchmarks._load_generator import LoadGenerator, ScheduledRequest, poisson_schedule
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults

_CAPACITY_PER_S = 12.0
_DURATION_S = 8.0
_PROMPT_TOKENS = 3_000
_DEADLINE_S = 3.0


async def measure_overload(results: BenchmarkResults) -> None:
    """Measure goodput at capacity and at twice the capacity, per retry budget.

    Args:
        results: Collects the measurements.
    """
    for name, limits in (("budget", {}), ("no_budget", {"retry_ratio": 1.0})):
        # At capacity, then at twice the capacity.
        goodput_per_s = await _measure_goodput_per_s(limits)
        results.add(
            f"overload_goodput_ratio.{name}",
            goodput_per_s[1] / goodput_per_s[0],
            "ratio",
        )
        results.add(f"served_per_s.capacity.{name}", goodput_per_s[0], "requests/s")


async def _measure_goodput_per_s(limits: dict[str, float]) -> list[float]:
    """Measure requests per second within the deadline.

    Returns:
        Goodput at capacity and at twice the capacity.
    """
    rng = random.Random(11)
    deployment = Deployment(
        DeploymentShape(zones=2, entries=2, engines=2, limits=limits)
    )
    await deployment.start()
    try:
        goodput_per_s = []
        for factor in (1.0, 2.0):
            urls = [deployment.entry_url(0), deployment.entry_url(1)]
            load = LoadGenerator(urls, deployment.caller_headers, _DEADLINE_S)
            schedule = poisson_schedule(
                rng,
                factor * _CAPACITY_PER_S,
                _DURATION_S,
                lambda due_s: ScheduledRequest(due_s, _PROMPT_TOKENS, 16, "short"),
            )
            request_results = await load.run(schedule)
            on_time = sum(
                item.is_complete and item.latency_s <= _DEADLINE_S
                for item in request_results
            )
            goodput_per_s.append(on_time / _DURATION_S)
    finally:
        await deployment.close()
    return goodput_per_s
