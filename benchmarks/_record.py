"""Records traces of decisions on a running fleet for the replay tests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp

from benchmarks._load_generator import make_prompt_text
from gentianhoist.demo import EmbeddedFleet, FleetPlan
from gentianhoist.replay import Recorder
from gentianhoist.replay.core import AdmissionControllerSetup, AllowanceSetup

_TRACES_FOLDER = Path(__file__).parents[1] / "tests" / "traces"
_SHORT_REQUESTS = 60
_REQUESTS_PER_MINUTE = 40
_COLD_STREAMS = 2
_MAX_STREAMS = 64


async def record_traces() -> None:
    """Record admission during a cold start, and an allowance under overload."""
    await _record_cold_start()
    await _record_overload()


async def _record_cold_start() -> None:
    fleet = EmbeddedFleet(FleetPlan(engines=2, warm=False, cold_streams=_COLD_STREAMS))
    await fleet.start()
    runner = fleet.sidecars[0].engine
    # The last four: prefill tokens per second, decode step in seconds, most running
    # streams, and whether all KV cache is released at the end.
    setup = AdmissionControllerSetup(
        runner._admission.policy, _COLD_STREAMS, _MAX_STREAMS, 25_000.0, 0.012, 40, True
    )
    recorder = Recorder(runner._admission)
    runner._admission = recorder
    runner._kv_reservations._admission = recorder
    tasks = [_send_completion(fleet, 800, number) for number in range(_SHORT_REQUESTS)]
    tasks.append(_send_completion(fleet, 40_000, _SHORT_REQUESTS))
    await asyncio.gather(*tasks)
    assert fleet.engines[0].crashes == 0
    recorder.save(
        _TRACES_FOLDER / "gate-cold-start.jsonl",
        "60 short requests and a long one on two engines that have just started",
        setup,
    )
    await fleet.close()


async def _record_overload() -> None:
    plan = FleetPlan(engines=2, requests_per_minute=_REQUESTS_PER_MINUTE)
    fleet = EmbeddedFleet(plan)
    await fleet.start()
    allowance_manager = fleet.entries[0].allowance
    recorder = Recorder(allowance_manager._allowance)
    allowance_manager._allowance = recorder
    for number in range(80):
        await _send_completion(fleet, 20, number)
    recorder.save(
        _TRACES_FOLDER / "allowance-overload.jsonl",
        "80 requests at one of two entries that share 40 a minute",
        AllowanceSetup(
            fleet.deployment_settings().timing.loan_s, _REQUESTS_PER_MINUTE // 2
        ),
    )
    await fleet.close()


async def _send_completion(fleet: EmbeddedFleet, tokens: int, serial: int) -> int:
    headers = {"Authorization": f"Bearer {fleet.organisation_api_key}"}
    body = {
        "model": "planner",
        "prompt": make_prompt_text(tokens, serial),
        "max_tokens": 8,
    }
    async with aiohttp.ClientSession() as session:
        async with session.post(
            f"{fleet.entry_url()}/v1/completions", json=body, headers=headers
        ) as response:
            await response.read()
            return response.status
