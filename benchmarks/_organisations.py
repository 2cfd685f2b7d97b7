"""Experiment: isolation of a small organisation from one with ten times its load."""

from __future__ import annotations

import asyncio
import random

from benchmarks._load_generator import (
    LoadGenerator,
    RequestResult,
    ScheduledRequest,
    percentile_s,
    poisson_schedule,
    sample_log_uniform,
)
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults

_DURATION_S = 10.0
_SMALL_RATE_PER_S = 5.0
_LARGE_RATE_PER_S = 50.0
_DEADLINE_S = 4.0
_MAX_SLOWDOWN_RATIO = 1.10


async def measure_organisations(results: BenchmarkResults) -> None:
    """Measure the slowdown of the small organisation beside the large one.

    Args:
        results: Collects the measurements.
    """
    rng = random.Random(11)
    deployment = Deployment(DeploymentShape(zones=2, entries=2, engines=4))
    await deployment.start()
    try:
        alone = await _make_load_generator(deployment, "key-crew").run(
            _make_schedule(rng, _SMALL_RATE_PER_S)
        )
        beside, large = await asyncio.gather(
            _make_load_generator(deployment, "key-crew").run(
                _make_schedule(rng, _SMALL_RATE_PER_S)
            ),
            _make_load_generator(deployment, "key-club").run(
                _make_schedule(rng, _LARGE_RATE_PER_S)
            ),
        )
    finally:
        await deployment.close()
    alone_ttft_s, beside_ttft_s = _ttft_p95_s(alone), _ttft_p95_s(beside)
    results.add_at_most(
        "small_organisation_slowdown_ratio",
        beside_ttft_s / alone_ttft_s,
        "ratio",
        _MAX_SLOWDOWN_RATIO,
    )
    results.add("small_organisation_ttft_p95_s", beside_ttft_s, "s")
    results.add("large_organisation_ttft_p95_s", _ttft_p95_s(large), "s")
    served_ratio = sum(result.is_complete for result in large) / len(large)
    results.add("large_organisation_served_ratio", served_ratio, "ratio")


def _make_load_generator(deployment: Deployment, api_key: str) -> LoadGenerator:
    urls = [deployment.entry_url(0), deployment.entry_url(1)]
    return LoadGenerator(urls, {"Authorization": f"Bearer {api_key}"}, _DEADLINE_S)


def _make_schedule(rng: random.Random, rate_per_s: float) -> list[ScheduledRequest]:
    def _make_request(due_s: float) -> ScheduledRequest:
        return ScheduledRequest(
            due_s, sample_log_uniform(rng, 1_000, 2_500), 16, "short"
        )

    return poisson_schedule(rng, rate_per_s, _DURATION_S, _make_request)


def _ttft_p95_s(request_results: list[RequestResult]) -> float:
    return percentile_s(
        (item.ttft_s for item in request_results if item.is_complete), 95
    )
