"""Tests of prompts that exceed the KV cache of one engine."""

import asyncio

import pytest_asyncio

from gentianhoist.demo import EmbeddedFleet, FleetPlan
from gentianhoist.standins import EngineProfile, expected_texts
from tests.callers import complete

_TOKENS = 40
_ENGINE_PROFILE = EngineProfile(
    kv_capacity_tokens=10_000,
    prefill_tokens_per_s=40_000.0,
    step_base_s=0.004,
)


@pytest_asyncio.fixture
async def small_fleet():
    """A fleet whose engines have KV cache for 10,000 tokens each."""
    running = EmbeddedFleet(FleetPlan(engines=4, profile=_ENGINE_PROFILE))
    await running.start()
    yield running
    await running.close()


def _prompt(number: int, tokens: int = 25_000) -> str:
    return (f"Season review {number}. " + "Sheet log. " * tokens)[: tokens * 4]


async def _assert_all_released(fleet: EmbeddedFleet) -> None:
    async with asyncio.timeout(5):
        while any(engine.simulator.stream_ids for engine in fleet.engines) or any(
            sidecar.engine and sidecar.engine.load_report().kv_free_tokens != 10_000
            for sidecar in fleet.sidecars
        ):
            await asyncio.sleep(0.05)
    assert fleet.platform._objects == {}


def _busy_engine_indexes(fleet: EmbeddedFleet) -> list[int]:
    return [
        index
        for index, engine in enumerate(fleet.engines)
        if engine.simulator.stream_ids
    ]


async def test_gang_completes_and_releases_everything(small_fleet):
    prompt = _prompt(1)
    assert await complete(small_fleet, prompt) == (
        200,
        "".join(expected_texts(prompt, _TOKENS)),
    )
    await _assert_all_released(small_fleet)


async def test_concurrent_gangs_do_not_deadlock(small_fleet):
    """Four engines fit one gang of three at a time; others run later or are refused."""
    async with asyncio.timeout(30):
        responses = await asyncio.gather(
            *(complete(small_fleet, _prompt(n), n % 2) for n in range(4))
        )
    assert any(status == 200 for status, _ in responses)
    for number, (status, text) in enumerate(responses):
        if status == 200:
            assert text == "".join(expected_texts(_prompt(number), _TOKENS))
        else:
            assert (status, text) == (429, "overloaded")
    await _assert_all_released(small_fleet)


async def test_crashed_engine_is_replaced(small_fleet):
    prompt = _prompt(5)
    task = asyncio.create_task(complete(small_fleet, prompt))
    async with asyncio.timeout(10):
        while len(_busy_engine_indexes(small_fleet)) < 2:
            await asyncio.sleep(0.01)
    # Once the second engine is busy, the first part has been prefilled and exported.
    first_index = _busy_engine_indexes(small_fleet)[0]
    small_fleet.engines[first_index].crash()
    async with asyncio.timeout(30):
        assert await task == (200, "".join(expected_texts(prompt, _TOKENS)))
    await _assert_all_released(small_fleet)


async def test_gang_of_dead_entry_is_freed(small_fleet):
    task = asyncio.create_task(complete(small_fleet, _prompt(6)))
    async with asyncio.timeout(10):
        while not _busy_engine_indexes(small_fleet):
            await asyncio.sleep(0.01)
    # The entry loses all connections at once and can't open new ones.
    dead_entry = small_fleet.entries[0]
    for link in dead_entry.directory.sidecars:
        link._task.cancel()
        link.stream_channels.close()
        link.stream_channels._port = 1
        link._channel.close()
        link._open = lambda: None
        link._stub = None
    async with asyncio.timeout(15):
        while any(
            sidecar.engine and len(sidecar.engine.kv_reservations)
            for sidecar in small_fleet.sidecars
        ):
            await asyncio.sleep(0.05)
    task.cancel()
