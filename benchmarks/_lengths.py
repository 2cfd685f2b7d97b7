"""Short requests beside long ones: ours against baselines, in one run."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec
import yaml

from benchmarks._load_generator import (
    LoadGenerator,
    RequestResult,
    ScheduledRequest,
    percentile_s,
    poisson_schedule,
    sample_log_uniform,
)
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import RESULTS_PATH, BenchmarkResults

_EXPERIMENT = Path(__file__).parent / "experiments" / "lengths.yaml"
_SAMPLES = RESULTS_PATH.parent / "lengths.json"
_DEADLINE_S = 110.0
_FIRST_TOKEN_S = 0.32
_INTER_TOKEN_S = 0.074
_SLOWDOWN = 1.10


async def measure_lengths(results: BenchmarkResults) -> None:
    """Run the experiment for each policy.

    Args:
        results: Where the figures go.
    """
    experiment = yaml.safe_load(_EXPERIMENT.read_text())
    samples = {}
    for policy, routing in experiment["policies"].items():
        alone, mixed = await _run(experiment, routing)
        _report(results, policy, alone, mixed)
        samples[policy] = [
            (answer.request.prompt_tokens, answer.ttft_s)
            for answer in mixed
            if answer.is_complete
        ]
    _SAMPLES.write_bytes(msgspec.json.encode(samples))


async def _run(
    experiment: dict[str, Any], routing: dict[str, Any]
) -> tuple[list[RequestResult], list[RequestResult]]:
    rng = random.Random(experiment["seed"])
    deployment = Deployment(DeploymentShape(**experiment["shape"], routing=routing))
    await deployment.start()
    try:
        urls = [deployment.entry_url(index) for index in range(2)]
        load = LoadGenerator(urls, deployment.caller_headers, _DEADLINE_S)
        alone = await load.run(_schedule(rng, experiment, "alone_s", ["short"]))
        mixed = await load.run(_schedule(rng, experiment, "mixed_s", ["short", "long"]))
    finally:
        await deployment.close()
    return alone, mixed


def _schedule(
    rng: random.Random, experiment: dict[str, Any], phase: str, labels: list[str]
) -> list[ScheduledRequest]:
    schedule = []
    for label in labels:
        part = experiment[label]
        low, high = part["tokens"]

        def _make(due_s: float, label: str = label, low: int = low, high: int = high):
            tokens = sample_log_uniform(rng, low, high)
            return ScheduledRequest(
                due_s, tokens, experiment[label]["answer_tokens"], label
            )

        schedule += poisson_schedule(rng, part["rate_per_s"], experiment[phase], _make)
    return schedule


def _whole(answers: list[RequestResult], label: str) -> list[RequestResult]:
    return [
        item for item in answers if item.is_complete and item.request.label == label
    ]


def _report(
    results: BenchmarkResults,
    policy: str,
    alone: list[RequestResult],
    mixed: list[RequestResult],
) -> None:
    ours = policy == "ours"
    before_s = percentile_s((item.ttft_s for item in _whole(alone, "short")), 95)
    shorts = _whole(mixed, "short")
    after_s = percentile_s((item.ttft_s for item in shorts), 95)
    longs = _whole(mixed, "long")
    admitted = [item for item in mixed if item.status == 200]
    gaps = [gap for item in mixed for gap in item.inter_token_s]
    note = results.add_at_most if ours else _without_bound(results)
    note(f"short_slowdown_p95_ratio.{policy}", after_s / before_s, "ratio", _SLOWDOWN)
    note(f"ttft_p95_s.short.{policy}", after_s, "s", _FIRST_TOKEN_S)
    note(
        f"inter_token_p95_s.{policy}",
        percentile_s(gaps, 95),
        "s",
        _INTER_TOKEN_S,
    )
    results.add(f"ttft_p95_s.short_alone.{policy}", before_s, "s")
    results.add(
        f"ttft_p95_s.long.{policy}",
        percentile_s((item.ttft_s for item in longs), 95),
        "s",
    )
    finished = sum(item.is_complete for item in admitted) / len(admitted)
    offered = [item for item in mixed if item.request.label == "long"]
    results.add(
        f"long_served_ratio.{policy}", len(longs) / max(1, len(offered)), "ratio"
    )
    if ours:
        results.add_at_least("admitted_finished_ratio", finished, "ratio", 1.0)
        late = sum(item.latency_s > _DEADLINE_S for item in admitted)
        results.add_at_most("admitted_late", late, "requests", 0)


def _without_bound(results: BenchmarkResults):
    def _note(name: str, value: float, unit: str, _bound: float) -> None:
        results.add(name, value, unit)

    return _note
