"""Prompts larger than one engine's memory."""

import asyncio

import pytest_asyncio

from gentianhoist.demo import EmbeddedFleet, FleetPlan
from gentianhoist.standins import EngineProfile, expected_texts
from tests.callers import complete

_TOKENS = 40
_FAST = EngineProfile(
    kv_capacity_tokens=10_000,
    prefill_tokens_per_s=40_000.0,
    step_base_s=0.004,
)


@pytest_asyncio.fixture
async def small_engines():
    """A fleet whose engines hold 10,000 tokens each."""
    running = EmbeddedFleet(FleetPlan(engines=4, profile=_FAST))
    await running.start()
    yield running
    await running.close()


def _prompt(serial: int, tokens: int = 25_000) -> str:
    return (f"Season review {serial}. " + "Sheet log. " * tokens)[: tokens * 4]


async def _nothing_is_left(fleet: EmbeddedFleet) -> None:
    async with asyncio.timeout(5):
        while any(engine.model.stream_ids for engine in fleet.engines) or any(
            sidecar.engine and sidecar.engine.load_report().kv_free_tokens != 10_000
            for sidecar in fleet.sidecars
        ):
            await asyncio.sleep(0.05)
    assert fleet.platform._objects == {}


def _busy(fleet: EmbeddedFleet) -> list[int]:
    return [
        index for index, engine in enumerate(fleet.engines) if engine.model.stream_ids
    ]


async def test_whole_answer_and_nothing_left(small_engines):
    prompt = _prompt(1)
    assert await complete(small_engines, prompt) == (
        200,
        "".join(expected_texts(prompt, _TOKENS)),
    )
    await _nothing_is_left(small_engines)


async def test_two_gangs_never_wait_on_each_other(small_engines):
    """Four engines bear one gang of three at a time: the other ends or is refused."""
    async with asyncio.timeout(30):
        answers = await asyncio.gather(
            *(complete(small_engines, _prompt(n), n % 2) for n in range(4))
        )
    assert any(status == 200 for status, _ in answers)
    for number, (status, text) in enumerate(answers):
        if status == 200:
            assert text == "".join(expected_texts(_prompt(number), _TOKENS))
        else:
            assert (status, text) == (429, "overloaded")
    await _nothing_is_left(small_engines)


async def test_engine_that_dies_midway_is_replaced(small_engines):
    prompt = _prompt(5)
    task = asyncio.create_task(complete(small_engines, prompt))
    async with asyncio.timeout(10):
        while len(_busy(small_engines)) < 2:
            await asyncio.sleep(0.01)
    # The first part is ready and exported once the second engine works.
    first = _busy(small_engines)[0]
    small_engines.engines[first].crash()
    async with asyncio.timeout(30):
        assert await task == (200, "".join(expected_texts(prompt, _TOKENS)))
    await _nothing_is_left(small_engines)


async def test_dead_entry_frees_its_gang(small_engines):
    task = asyncio.create_task(complete(small_engines, _prompt(6)))
    async with asyncio.timeout(10):
        while not _busy(small_engines):
            await asyncio.sleep(0.01)
    # The entry's links break at once, and it says nothing more.
    dead = small_engines.entries[0]
    for link in dead.directory.sidecars:
        link._task.cancel()
        link.stream_channels.close()
        link.stream_channels._port = 1
        link._channel.close()
        link._open = lambda: None
        link._stub = None
    async with asyncio.timeout(15):
        while any(
            sidecar.engine and len(sidecar.engine.kv_reservations)
            for sidecar in small_engines.sidecars
        ):
            await asyncio.sleep(0.05)
    task.cancel()
