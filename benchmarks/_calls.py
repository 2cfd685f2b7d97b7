"""Non-idempotent calls: store writes, added latency, doubled calls."""

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
_SERVICES = 3


async def measure_calls(results: BenchmarkResults) -> None:
    """Run the experiment.

    Args:
        results: Where the figures go.
    """
    deployment = Deployment(
        DeploymentShape(zones=3, entries=2, engines=1, services=_SERVICES)
    )
    await deployment.start()
    try:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            operator = OperatorClient(session, deployment)
            for rate in _RATES_PER_S:
                await _measure_rate(results, session, deployment, operator, rate)
            doubled = 0
            for index in range(_SERVICES):
                url = f"{deployment.url(f'service-server-{index}')}/executions"
                async with session.get(url) as response:
                    runs = await response.json()
                doubled += sum(count > 1 for key, count in runs.items() if key)
            results.add_at_most("doubled_calls", doubled, "calls", 0)
    finally:
        await deployment.close()


async def _measure_rate(
    results: BenchmarkResults,
    session: aiohttp.ClientSession,
    deployment: Deployment,
    operator: OperatorClient,
    rate: int,
) -> None:
    before = await operator.fetch_counts()
    once = await _run(session, deployment, "flood", rate)
    after = await operator.fetch_counts()
    repeated = await _run(session, deployment, "status", rate)
    calls = len(once)
    writes = max(1, after["writes"] - before["writes"])
    results.add(f"calls_per_store_write.{rate}", calls / writes, "calls")
    for percentile in (50, 95):
        added = percentile_s(once, percentile) - percentile_s(repeated, percentile)
        results.add(f"call_added_latency_s.p{percentile}.{rate}", added, "s")
    served = calls / (rate * _DURATION_S)
    results.add_at_least(f"calls_served_ratio.{rate}", served, "ratio", 1.0)


async def _run(
    session: aiohttp.ClientSession, deployment: Deployment, operation: str, rate: int
) -> list[float]:
    """Seconds that each served call took, from when it was due."""
    begun_s = time.monotonic()

    async def _send(number: int) -> float:
        due_s = begun_s + number / rate
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        base = deployment.entry_url(number)
        headers = {
            **deployment.caller_headers,
            "Idempotency-Key": new_idempotency_key(),
        }
        async with session.post(
            f"{base}/v1/services/valve-control/{operation}", data=b"x", headers=headers
        ) as response:
            await response.read()
            return time.monotonic() - due_s if response.status == 200 else 0.0

    numbers = range(int(rate * _DURATION_S))
    took = await asyncio.gather(*(_send(number) for number in numbers))
    return [item for item in took if item > 0]
