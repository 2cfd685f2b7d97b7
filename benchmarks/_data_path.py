"""Experiment: data path overhead in latency, throughput per core, and memory."""

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

_PAIR_COUNT = 40
_PROMPT_TOKENS = 1_000
_SMALL_PROMPT_TOKENS = 40
_REQUEST_COUNT = 400
_REQUESTS_PER_S = 100.0
_STREAM_COUNT = 150
_STREAM_TOKENS = 150
_OPEN_STREAM_COUNT = 1_000
# Few enough that most open streams queue in the sidecars: the tokens of all of them
# would exceed what an entry can forward on one core.
_ENGINE_COUNT = 5
_MAX_IDLE_MEMORY_BYTES = 64_000_000


async def measure_data_path(results: BenchmarkResults) -> None:
    """Measure added TTFT, requests and tokens per core second, and resident memory.

    Args:
        results: Collects the measurements.
    """
    shape = DeploymentShape(zones=1, entries=1, engines=_ENGINE_COUNT, cold_streams=64)
    deployment = Deployment(shape)
    await deployment.start()
    try:
        for instance in ("entry-0", "engine-0"):
            idle_bytes = deployment.resource_usage(instance).memory_bytes
            name = f"memory_bytes.{instance.split('-')[0].replace('engine', 'sidecar')}"
            results.add_at_most(
                f"{name}.idle", idle_bytes, "bytes", _MAX_IDLE_MEMORY_BYTES
            )
        await _measure_added_ttft(results, deployment)
        await _measure_request_rate(results, deployment)
        await _measure_token_rate(results, deployment)
        await _measure_open_streams(results, deployment)
    finally:
        await deployment.close()


async def _measure_added_ttft(
    results: BenchmarkResults, deployment: Deployment
) -> None:
    direct_s: list[float] = []
    entry_s: list[float] = []
    async with aiohttp.ClientSession() as session:
        for serial in range(_PAIR_COUNT):
            direct_s.append(await _measure_engine_ttft_s(session, deployment, serial))
            entry_s.append(
                await _measure_entry_ttft_s(session, deployment, _PAIR_COUNT + serial)
            )
    for percentile in (50, 95):
        added_s = percentile_s(entry_s, percentile) - percentile_s(direct_s, percentile)
        results.add(f"entry_added_ttft_s.p{percentile}", added_s, "s")


async def _measure_engine_ttft_s(
    session: aiohttp.ClientSession, deployment: Deployment, serial: int
) -> float:
    body = {
        "stream_id": f"direct-{serial}",
        "prompt": make_prompt_text(_PROMPT_TOKENS, serial),
        "prompt_tokens": _PROMPT_TOKENS,
        "max_tokens": 2,
    }
    start_s = time.monotonic()
    url = f"{deployment.url('engine-server-0')}/v1/streams"
    async with session.post(url, data=msgspec.json.encode(body)) as response:
        await response.content.readline()
        ttft_s = time.monotonic() - start_s
        await response.read()
    return ttft_s


async def _measure_entry_ttft_s(
    session: aiohttp.ClientSession, deployment: Deployment, serial: int
) -> float:
    body = {
        "model": "planner",
        "prompt": make_prompt_text(_PROMPT_TOKENS, serial),
        "max_tokens": 2,
        "stream": True,
    }
    start_s = time.monotonic()
    url = f"{deployment.entry_url(0)}/v1/completions"
    async with session.post(
        url, json=body, headers=deployment.caller_headers
    ) as response:
        await response.content.readline()
        ttft_s = time.monotonic() - start_s
        await response.read()
    return ttft_s


async def _measure_request_rate(
    results: BenchmarkResults, deployment: Deployment
) -> None:
    load = LoadGenerator([deployment.entry_url(0)], deployment.caller_headers)
    cpu_before_s = deployment.resource_usage("entry-0").cpu_s
    request_results = await load.run(
        ScheduledRequest(number / _REQUESTS_PER_S, _SMALL_PROMPT_TOKENS, 2, "small")
        for number in range(_REQUEST_COUNT)
    )
    used_s = deployment.resource_usage("entry-0").cpu_s - cpu_before_s
    served = sum(result.is_complete for result in request_results)
    results.add("entry_requests_per_core_s", served / used_s, "requests/s")


async def _measure_token_rate(
    results: BenchmarkResults, deployment: Deployment
) -> None:
    load = LoadGenerator([deployment.entry_url(0)], deployment.caller_headers)
    names = ["entry-0", *deployment.sidecars]
    before = {name: deployment.resource_usage(name).cpu_s for name in names}
    request_results = await load.run(
        ScheduledRequest(0.0, _SMALL_PROMPT_TOKENS, _STREAM_TOKENS, "stream")
        for _ in range(_STREAM_COUNT)
    )
    used = {
        name: deployment.resource_usage(name).cpu_s - before[name] for name in names
    }
    # The engine stand-in starts the text of each token with its only space.
    tokens = sum(result.text.count(" ") for result in request_results)
    results.add(
        "stream_tokens_per_core_s.entry", tokens / used.pop("entry-0"), "tokens/s"
    )
    results.add(
        "stream_tokens_per_core_s.sidecar", tokens / sum(used.values()), "tokens/s"
    )


async def _measure_open_streams(
    results: BenchmarkResults, deployment: Deployment
) -> None:
    load = LoadGenerator([deployment.entry_url(0)], deployment.caller_headers)
    task = asyncio.create_task(
        load.run(
            ScheduledRequest(0.0, _SMALL_PROMPT_TOKENS, 300, "open")
            for _ in range(_OPEN_STREAM_COUNT)
        )
    )
    peak_bytes = 0
    while not task.done():
        await asyncio.sleep(0.25)
        peak_bytes = max(peak_bytes, deployment.resource_usage("entry-0").memory_bytes)
    request_results = await task
    complete = sum(result.is_complete for result in request_results)
    codes = Counter(
        result.error_code or str(result.status) for result in request_results
    )
    if complete < _OPEN_STREAM_COUNT:
        print(
            f"incomplete streams; requests by error code or status: {dict(codes)}",
            file=sys.stderr,
        )
    results.add("memory_bytes.entry.1000_streams", peak_bytes, "bytes")
    results.add_at_least("open_streams_whole", complete, "streams", _OPEN_STREAM_COUNT)
