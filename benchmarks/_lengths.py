"""Experiment: short requests under load with long ones, for each routing policy.

Each policy runs short requests alone, then short and long requests together.
"""

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

_EXPERIMENT_PATH = Path(__file__).parent / "experiments" / "lengths.yaml"
_SAMPLES_PATH = RESULTS_PATH.parent / "lengths.json"
_DEADLINE_S = 110.0
_MAX_SHORT_TTFT_S = 0.32
_MAX_INTER_TOKEN_S = 0.074
_MAX_SLOWDOWN_RATIO = 1.10


async def measure_lengths(results: BenchmarkResults) -> None:
    """Measure latencies for each policy, and save the samples for the plot.

    Args:
        results: Collects the measurements.
    """
    experiment = yaml.safe_load(_EXPERIMENT_PATH.read_text())
    samples = {}
    for policy, routing in experiment["policies"].items():
        alone, mixed = await _run_policy(experiment, routing)
        _add_results(results, policy, alone, mixed)
        samples[policy] = [
            (result.request.prompt_tokens, result.ttft_s)
            for result in mixed
            if result.is_complete
        ]
    _SAMPLES_PATH.write_bytes(msgspec.json.encode(samples))


async def _run_policy(
    experiment: dict[str, Any], routing: dict[str, Any]
) -> tuple[list[RequestResult], list[RequestResult]]:
    rng = random.Random(experiment["seed"])
    deployment = Deployment(DeploymentShape(**experiment["shape"], routing=routing))
    await deployment.start()
    try:
        urls = [deployment.entry_url(index) for index in range(2)]
        load = LoadGenerator(urls, deployment.caller_headers, _DEADLINE_S)
        alone = await load.run(_make_schedule(rng, experiment, "alone_s", ["short"]))
        mixed = await load.run(
            _make_schedule(rng, experiment, "mixed_s", ["short", "long"])
        )
    finally:
        await deployment.close()
    return alone, mixed


def _make_schedule(
    rng: random.Random, experiment: dict[str, Any], duration_key: str, labels: list[str]
) -> list[ScheduledRequest]:
    schedule = []
    for label in labels:
        load_spec = experiment[label]
        low, high = load_spec["tokens"]

        def _make_request(
            due_s: float, label: str = label, low: int = low, high: int = high
        ):
            tokens = sample_log_uniform(rng, low, high)
            return ScheduledRequest(
                due_s, tokens, experiment[label]["answer_tokens"], label
            )

        schedule += poisson_schedule(
            rng, load_spec["rate_per_s"], experiment[duration_key], _make_request
        )
    return schedule


def _complete_results(
    request_results: list[RequestResult], label: str
) -> list[RequestResult]:
    return [
        item
        for item in request_results
        if item.is_complete and item.request.label == label
    ]


def _add_results(
    results: BenchmarkResults,
    policy: str,
    alone: list[RequestResult],
    mixed: list[RequestResult],
) -> None:
    # Only the policy "ours" has targets.
    has_targets = policy == "ours"
    alone_ttft_s = percentile_s(
        (item.ttft_s for item in _complete_results(alone, "short")), 95
    )
    shorts = _complete_results(mixed, "short")
    mixed_ttft_s = percentile_s((item.ttft_s for item in shorts), 95)
    longs = _complete_results(mixed, "long")
    admitted = [item for item in mixed if item.status == 200]
    latencies_s = [latency_s for item in mixed for latency_s in item.inter_token_s]
    add_at_most = (
        results.add_at_most if has_targets else _make_add_without_bound(results)
    )
    add_at_most(
        f"short_slowdown_p95_ratio.{policy}",
        mixed_ttft_s / alone_ttft_s,
        "ratio",
        _MAX_SLOWDOWN_RATIO,
    )
    add_at_most(f"ttft_p95_s.short.{policy}", mixed_ttft_s, "s", _MAX_SHORT_TTFT_S)
    add_at_most(
        f"inter_token_p95_s.{policy}",
        percentile_s(latencies_s, 95),
        "s",
        _MAX_INTER_TOKEN_S,
    )
    results.add(f"ttft_p95_s.short_alone.{policy}", alone_ttft_s, "s")
    results.add(
        f"ttft_p95_s.long.{policy}",
        percentile_s((item.ttft_s for item in longs), 95),
        "s",
    )
    finished_ratio = sum(item.is_complete for item in admitted) / len(admitted)
    offered_longs = [item for item in mixed if item.request.label == "long"]
    results.add(
        f"long_served_ratio.{policy}", len(longs) / max(1, len(offered_longs)), "ratio"
    )
    if has_targets:
        results.add_at_least("admitted_finished_ratio", finished_ratio, "ratio", 1.0)
        late_count = sum(item.latency_s > _DEADLINE_S for item in admitted)
        results.add_at_most("admitted_late", late_count, "requests", 0)


def _make_add_without_bound(results: BenchmarkResults):
    def _add(name: str, value: float, unit: str, _bound: float) -> None:
        results.add(name, value, unit)

    return _add
