"""What control costs a node, by the number of its peers; and what a decision costs."""

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

_PEERS = (10, 30, 100)
_OBSERVED_S = 6.0
_KNOWN = (20, 200, 2_000)
_DECISIONS = 200
_CPU_RATIO = 0.024
_MEMORY_BYTES = 64_000_000
_BYTES_PER_S = 26_000


async def measure_control(results: BenchmarkResults) -> None:
    """Run the experiment at each number of peers.

    Args:
        results: Where the figures go.
    """
    for peers in _PEERS:
        await _measure_peers(results, peers)
    for known in _KNOWN:
        results.add(f"decision_s.{known}", _decision_s(known), "s")


async def _measure_peers(results: BenchmarkResults, peers: int) -> None:
    # The subset is widened, so that every sidecar is a peer.
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
        await asyncio.sleep(_OBSERVED_S)
        after = {name: deployment.resource_usage(name) for name in before}
    finally:
        await deployment.close()
    for name, role in (("entry-0", "entry"), ("engine-0", "sidecar")):
        old, new = before[name], after[name]
        cpu = (new.cpu_s - old.cpu_s) / _OBSERVED_S
        moved = (new.io_bytes - old.io_bytes) / _OBSERVED_S
        where = f"{role}.{peers}"
        results.add_at_most(f"control_cpu_ratio.{where}", cpu, "cores", _CPU_RATIO)
        results.add_at_most(
            f"control_memory_bytes.{where}", new.memory_bytes, "bytes", _MEMORY_BYTES
        )
        results.add_at_most(f"control_bytes_s.{where}", moved, "bytes/s", _BYTES_PER_S)


def _decision_s(known: int) -> float:
    rng = random.Random(11)
    load = EngineLoad("boot", 64, 10, 0, 2_000, 9_000, 300_000, 25_000.0, 0.012, 0)
    servers = [
        BackendServer(f"engine-{index}", "engines", "127.0.0.1", 8000, "zone-a", 64)
        for index in range(known)
    ]
    views = [BackendView(server, load) for server in servers]
    prompt = Prompt(1_000, 50, WorkClass.SHORT, prefix_hashes("x" * 4_000))
    lane = LongPromptPool("planner")
    begun_s = time.perf_counter()
    for number in range(_DECISIONS):
        members = lane.select_members(views, float(number))
        choose_backend(MIN_TTFT_RULE, views, prompt, members, float(number), rng)
    return (time.perf_counter() - begun_s) / _DECISIONS
