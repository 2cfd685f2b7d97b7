"""Records traces of decisions on a running fleet, for replay in the tests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp

from benchmarks._load import text_of
from gentianhoist.demo import EmbeddedFleet, FleetPlan
from gentianhoist.replay import Recorder
from gentianhoist.replay.core import AllowanceSetup, GateSetup

_TRACES = Path(__file__).parents[1] / "tests" / "traces"
_SHORTS = 60
_ALLOWANCE = 40
_COLD = 2
_MOST = 64


async def record_traces() -> None:
    """Record a cold start under a burst, and an allowance under overload."""
    await _record_cold_start()
    await _record_overload()


async def _record_cold_start() -> None:
    fleet = EmbeddedFleet(FleetPlan(engines=2, warm=False, cold_streams=_COLD))
    await fleet.start()
    runner = fleet.sidecars[0].engine
    setup = GateSetup(runner._gate.policy, _COLD, _MOST, 25_000.0, 0.012, 40, True)
    recorder = Recorder(runner._gate)
    runner._gate = recorder
    runner._holds._gate = recorder
    tasks = [_ask(fleet, 800, number) for number in range(_SHORTS)]
    tasks.append(_ask(fleet, 40_000, _SHORTS))
    await asyncio.gather(*tasks)
    assert fleet.engines[0].crashes == 0
    recorder.save(
        _TRACES / "gate-cold-start.jsonl",
        "60 short requests and a long one on two engines that have just started",
        setup,
    )
    await fleet.close()


async def _record_overload() -> None:
    plan = FleetPlan(engines=2, requests_per_minute=_ALLOWANCE)
    fleet = EmbeddedFleet(plan)
    await fleet.start()
    keeper = fleet.entries[0].allowance
    recorder = Recorder(keeper._allowance)
    keeper._allowance = recorder
    for number in range(80):
        await _ask(fleet, 20, number)
    recorder.save(
        _TRACES / "allowance-overload.jsonl",
        "80 requests at one of two entries that share 40 a minute",
        AllowanceSetup(fleet.deployment_settings().timing.loan_s, _ALLOWANCE // 2),
    )
    await fleet.close()


async def _ask(fleet: EmbeddedFleet, tokens: int, serial: int) -> int:
    headers = {"Authorization": f"Bearer {fleet.organisation_api_key}"}
    body = {"model": "planner", "prompt": text_of(tokens, serial), "max_tokens": 8}
    async with aiohttp.ClientSession() as session:
        async with session.post(
            f"{fleet.entry_url()}/v1/completions", json=body, headers=headers
        ) as response:
            await response.read()
            return response.status
