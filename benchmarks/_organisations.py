"""A small organisation beside a large one at ten times its share."""

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
_SMALL_PER_S = 5.0
_LARGE_PER_S = 50.0
_DEADLINE_S = 4.0
_SLOWDOWN = 1.10


async def measure_organisations(results: BenchmarkResults) -> None:
    """Run the experiment.

    Args:
        results: Where the figures go.
    """
    rng = random.Random(11)
    deployment = Deployment(DeploymentShape(zones=2, entries=2, engines=4))
    await deployment.start()
    try:
        alone = await _load(deployment, "key-crew").run(_schedule(rng, _SMALL_PER_S))
        beside, large = await asyncio.gather(
            _load(deployment, "key-crew").run(_schedule(rng, _SMALL_PER_S)),
            _load(deployment, "key-club").run(_schedule(rng, _LARGE_PER_S)),
        )
    finally:
        await deployment.close()
    before_s, after_s = _first_s(alone), _first_s(beside)
    results.add_at_most(
        "small_organisation_slowdown_ratio", after_s / before_s, "ratio", _SLOWDOWN
    )
    results.add("small_organisation_ttft_p95_s", after_s, "s")
    results.add("large_organisation_ttft_p95_s", _first_s(large), "s")
    served = sum(answer.is_complete for answer in large) / len(large)
    results.add("large_organisation_served_ratio", served, "ratio")


def _load(deployment: Deployment, key: str) -> LoadGenerator:
    urls = [deployment.entry_url(0), deployment.entry_url(1)]
    return LoadGenerator(urls, {"Authorization": f"Bearer {key}"}, _DEADLINE_S)


def _schedule(rng: random.Random, rate_per_s: float) -> list[ScheduledRequest]:
    def _make(due_s: float) -> ScheduledRequest:
        return ScheduledRequest(
            due_s, sample_log_uniform(rng, 1_000, 2_500), 16, "short"
        )

    return poisson_schedule(rng, rate_per_s, _DURATION_S, _make)


def _first_s(answers: list[RequestResult]) -> float:
    return percentile_s((item.ttft_s for item in answers if item.is_complete), 95)
