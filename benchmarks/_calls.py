"""Experiment: cost of non-idempotent calls, and calls that ran more than once."""

from __future__ import annotations

import asyncio
import time

import aiohttp

from benchmarks._load_generator import percentile_s
from benchmarks._operations import OperatorClient
from benchmarks._processes import Deployment, DeploymentShape
from benchmarks._results import BenchmarkResults
from gentianhoist.calls import new_idempotency_key

_RATES_PER_S = (10, 100, 400)
_DURATION_S = 3.0
_SERVICE_COUNT = 3


async def measure_calls(results: BenchmarkResults) -> None:
    """Measure store writes, duplicates and added latency of calls, by rate.

    The added latency is that of non-idempotent calls above that of idempotent ones.

    Args:
        results: Collects the measurements.
    """
    deployment = Deployment(
        DeploymentShape(zones=3, entries=2, engines=1, services=_SERVICE_COUNT)
    )
    await deployment.start()
    try:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            operator = OperatorClient(session, deployment)
            for rate_per_s in _RATES_PER_S:
                await _measure_rate(results, session, deployment, operator, rate_per_s)
            duplicates = 0
            for index in range(_SERVICE_COUNT):
                url = f"{deployment.url(f'service-server-{index}')}/executions"
                async with session.get(url) as response:
                    executions = await response.json()
                duplicates += sum(count > 1 for key, count in executions.items() if key)
            results.add_at_most("doubled_calls", duplicates, "calls", 0)
    finally:
        await deployment.close()


async def _measure_rate(
    results: BenchmarkResults,
    session: aiohttp.ClientSession,
    deployment: Deployment,
    operator: OperatorClient,
    rate_per_s: int,
) -> None:
    before = await operator.fetch_counts()
    non_idempotent_latencies_s = await _run_calls(
        session, deployment, "flood", rate_per_s
    )
    after = await operator.fetch_counts()
    idempotent_latencies_s = await _run_calls(session, deployment, "status", rate_per_s)
    calls = len(non_idempotent_latencies_s)
    writes = max(1, after["writes"] - before["writes"])
    results.add(f"calls_per_store_write.{rate_per_s}", calls / writes, "calls")
    for percentile in (50, 95):
        added_s = percentile_s(non_idempotent_latencies_s, percentile) - percentile_s(
            idempotent_latencies_s, percentile
        )
        results.add(f"call_added_latency_s.p{percentile}.{rate_per_s}", added_s, "s")
    served_ratio = calls / (rate_per_s * _DURATION_S)
    results.add_at_least(f"calls_served_ratio.{rate_per_s}", served_ratio, "ratio", 1.0)


async def _run_calls(
    session: aiohttp.ClientSession,
    deployment: Deployment,
    operation: str,
    rate_per_s: int,
) -> list[float]:
    """Send calls of one operation at a constant rate.

    Returns:
        Seconds from the scheduled time to the response, of each call with status 200.
    """
    start_s = time.monotonic()

    async def _send(number: int) -> float:
        due_s = start_s + number / rate_per_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        base_url = deployment.entry_url(number)
        headers = {
            **deployment.caller_headers,
            "Idempotency-Key": new_idempotency_key(),
        }
        async with session.post(
            f"{base_url}/v1/services/valve-control/{operation}",
            data=b"x",
            headers=headers,
        ) as response:
            await response.read()
            return time.monotonic() - due_s if response.status == 200 else 0.0

    numbers = range(int(rate_per_s * _DURATION_S))
    latencies_s = await asyncio.gather(*(_send(number) for number in numbers))
    return [latency_s for latency_s in latencies_s if latency_s > 0]
