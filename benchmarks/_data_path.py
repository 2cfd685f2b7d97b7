"""What the path costs: added time to first token, requests and tokens a core."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter

import aiohttp
import msgspec

from benchmarks._load_generator import (
    LoadGenerator,
    ScheduledRequest,
    make_prompt_text,
    percentile_s,
)
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults

_PAIRS = 40
_PROMPT_TOKENS = 1_000
_SMALL_TOKENS = 40
_REQUESTS = 400
_REQUESTS_PER_S = 100.0
_STREAMS = 150
_STREAM_TOKENS = 150
_OPEN_STREAMS = 1_000
# Most of the open streams wait in the sidecars: their tokens alone would be more
# than one entry's core can pass on.
_ENGINES = 5
_CONTROL_BYTES = 64_000_000


async def measure_data_path(results: BenchmarkResults) -> None:
    """Run the experiment.

    Args:
        results: Where the figures go.
    """
    shape = DeploymentShape(zones=1, entries=1, engines=_ENGINES, cold_streams=64)
    deployment = Deployment(shape)
    await deployment.start()
    try:
        for role in ("entry-0", "engine-0"):
            idle = deployment.resource_usage(role).memory_bytes
            name = f"memory_bytes.{role.split('-')[0].replace('engine', 'sidecar')}"
            results.add_at_most(f"{name}.idle", idle, "bytes", _CONTROL_BYTES)
        await _measure_added(results, deployment)
        await _measure_requests(results, deployment)
        await _measure_tokens(results, deployment)
        await _measure_open(results, deployment)
    finally:
        await deployment.close()


async def _measure_added(results: BenchmarkResults, deployment: Deployment) -> None:
    direct: list[float] = []
    through: list[float] = []
    async with aiohttp.ClientSession() as session:
        for serial in range(_PAIRS):
            direct.append(await _ask_directly(session, deployment, serial))
            through.append(await _ask_entry(session, deployment, _PAIRS + serial))
    for percentile in (50, 95):
        added = percentile_s(through, percentile) - percentile_s(direct, percentile)
        results.add(f"entry_added_ttft_s.p{percentile}", added, "s")


async def _ask_directly(
    session: aiohttp.ClientSession, deployment: Deployment, serial: int
) -> float:
    body = {
        "stream_id": f"direct-{serial}",
        "prompt": make_prompt_text(_PROMPT_TOKENS, serial),
        "prompt_tokens": _PROMPT_TOKENS,
        "max_tokens": 2,
    }
    begun_s = time.monotonic()
    url = f"{deployment.url('engine-server-0')}/v1/streams"
    async with session.post(url, data=msgspec.json.encode(body)) as response:
        await response.content.readline()
        first_s = time.monotonic() - begun_s
        await response.read()
    return first_s


async def _ask_entry(
    session: aiohttp.ClientSession, deployment: Deployment, serial: int
) -> float:
    body = {
        "model": "planner",
        "prompt": make_prompt_text(_PROMPT_TOKENS, serial),
        "max_tokens": 2,
        "stream": True,
    }
    begun_s = time.monotonic()
    url = f"{deployment.entry_url(0)}/v1/completions"
    async with session.post(
        url, json=body, headers=deployment.caller_headers
    ) as response:
        await response.content.readline()
        first_s = time.monotonic() - begun_s
        await response.read()
    return first_s


async def _measure_requests(results: BenchmarkResults, deployment: Deployment) -> None:
    load = LoadGenerator([deployment.entry_url(0)], deployment.caller_headers)
    before = deployment.resource_usage("entry-0").cpu_s
    answers = await load.run(
        ScheduledRequest(number / _REQUESTS_PER_S, _SMALL_TOKENS, 2, "small")
        for number in range(_REQUESTS)
    )
    used_s = deployment.resource_usage("entry-0").cpu_s - before
    served = sum(answer.is_complete for answer in answers)
    results.add("entry_requests_per_core_s", served / used_s, "requests/s")


async def _measure_tokens(results: BenchmarkResults, deployment: Deployment) -> None:
    load = LoadGenerator([deployment.entry_url(0)], deployment.caller_headers)
    names = ["entry-0", *deployment.sidecars]
    before = {name: deployment.resource_usage(name).cpu_s for name in names}
    answers = await load.run(
        ScheduledRequest(0.0, _SMALL_TOKENS, _STREAM_TOKENS, "stream")
        for _ in range(_STREAMS)
    )
    used = {
        name: deployment.resource_usage(name).cpu_s - before[name] for name in names
    }
    tokens = sum(answer.text.count(" ") for answer in answers)
    results.add(
        "stream_tokens_per_core_s.entry", tokens / used.pop("entry-0"), "tokens/s"
    )
    results.add(
        "stream_tokens_per_core_s.sidecar", tokens / sum(used.values()), "tokens/s"
    )


async def _measure_open(results: BenchmarkResults, deployment: Deployment) -> None:
    load = LoadGenerator([deployment.entry_url(0)], deployment.caller_headers)
    task = asyncio.create_task(
        load.run(
            ScheduledRequest(0.0, _SMALL_TOKENS, 300, "open")
            for _ in range(_OPEN_STREAMS)
        )
    )
    highest = 0
    while not task.done():
        await asyncio.sleep(0.25)
        highest = max(highest, deployment.resource_usage("entry-0").memory_bytes)
    answers = await task
    whole = sum(answer.is_complete for answer in answers)
    failed = Counter(answer.error_code or str(answer.status) for answer in answers)
    if whole < _OPEN_STREAMS:
        print(f"not whole, by code: {dict(failed)}", file=sys.stderr)
    results.add("memory_bytes.entry.1000_streams", highest, "bytes")
    results.add_at_least("open_streams_whole", whole, "streams", _OPEN_STREAMS)
