"""Experiment: control plane overhead by number of peers, and routing decision time."""

from __future__ import annotations

import asyncio
import random
import time

from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults
from gentianhoist.capacity import WorkClass
from gentianhoist.fleet import BackendServer
from gentianhoist.routing import (
    MIN_TTFT_RULE,
    BackendView,
    LongPromptPool,
    Prompt,
    choose_backend,
    prefix_hashes,
)
from gentianhoist.wire import EngineLoad

_PEER_COUNTS = (10, 30, 100)
_OBSERVATION_S = 6.0
_SERVER_COUNTS = (20, 200, 2_000)
_DECISION_COUNT = 200
_MAX_CPU_RATIO = 0.024
_MAX_MEMORY_BYTES = 64_000_000
_MAX_BYTES_PER_S = 26_000


async def measure_control(results: BenchmarkResults) -> None:
    """Measure idle CPU, memory and traffic per peer count, and time per decision.

    Args:
        results: Collects the measurements.
    """
    for peers in _PEER_COUNTS:
        await _measure_peers(results, peers)
    for server_count in _SERVER_COUNTS:
        results.add(
            f"decision_s.{server_count}", _measure_decision_s(server_count), "s"
        )


async def _measure_peers(results: BenchmarkResults, peers: int) -> None:
    # With this subset size, every sidecar is a peer of the entry.
    shape = DeploymentShape(
        zones=3,
        entries=1,
        engines=peers,
        share_engine=True,
        limits={"subset_size": peers},
    )
    deployment = Deployment(shape)
    await deployment.start()
    try:
        await asyncio.sleep(1.0)
        before = {
            name: deployment.resource_usage(name) for name in ("entry-0", "engine-0")
        }
        await asyncio.sleep(_OBSERVATION_S)
        after = {name: deployment.resource_usage(name) for name in before}
    finally:
        await deployment.close()
    for name, role in (("entry-0", "entry"), ("engine-0", "sidecar")):
        old, new = before[name], after[name]
        cpu_ratio = (new.cpu_s - old.cpu_s) / _OBSERVATION_S
        bytes_per_s = (new.io_bytes - old.io_bytes) / _OBSERVATION_S
        suffix = f"{role}.{peers}"
        results.add_at_most(
            f"control_cpu_ratio.{suffix}", cpu_ratio, "cores", _MAX_CPU_RATIO
        )
        results.add_at_most(
            f"control_memory_bytes.{suffix}",
            new.memory_bytes,
            "bytes",
            _MAX_MEMORY_BYTES,
        )
        results.add_at_most(
            f"control_bytes_s.{suffix}", bytes_per_s, "bytes/s", _MAX_BYTES_PER_S
        )


def _measure_decision_s(server_count: int) -> float:
    rng = random.Random(11)
    # Boot id; limit, running and waiting streams; tokens to prefill before a new short
    # and a new long prompt; free KV cache in tokens; prefill tokens per second; decode
    # step in seconds; long streams.
    load = EngineLoad("boot", 64, 10, 0, 2_000, 9_000, 300_000, 25_000.0, 0.012, 0)
    servers = [
        BackendServer(f"engine-{index}", "engines", "127.0.0.1", 8000, "zone-a", 64)
        for index in range(server_count)
    ]
    views = [BackendView(server, load) for server in servers]
    prompt = Prompt(1_000, 50, WorkClass.SHORT, prefix_hashes("x" * 4_000))
    long_prompts = LongPromptPool("planner")
    start_s = time.perf_counter()
    for number in range(_DECISION_COUNT):
        members = long_prompts.select_members(views, float(number))
        choose_backend(MIN_TTFT_RULE, views, prompt, members, float(number), rng)
    return (time.perf_counter() - start_s) / _DECISION_COUNT
