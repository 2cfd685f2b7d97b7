"""Failures on the whole path: processes that die, turn cold, fall silent or leave."""

import asyncio

import aiohttp
import pytest_asyncio

from gentianhoist.calls import new_idempotency_key
from gentianhoist.demo import EmbeddedFleet, FleetPlan
from gentianhoist.standins import expected_texts
from tests.callers import call, complete
from tests.cutting_proxy import CuttingProxy

_TOKENS = 150


@pytest_asyncio.fixture
async def own_fleet():
    """A fleet that a test may break."""
    running = EmbeddedFleet(FleetPlan())
    await running.start()
    yield running
    await running.close()


async def _begun(fleet: EmbeddedFleet, count: int) -> list[asyncio.Task]:
    """Start answers, and wait until all of them are in progress."""
    tasks = [
        asyncio.create_task(complete(fleet, f"Ice log {number}", number % 2, _TOKENS))
        for number in range(count)
    ]
    async with asyncio.timeout(5):
        while sum(len(engine.model.stream_ids) for engine in fleet.engines) < count:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    return tasks


async def _whole(tasks: list[asyncio.Task]) -> None:
    async with asyncio.timeout(20):
        answers = await asyncio.gather(*tasks)
    for number, (status, text) in enumerate(answers):
        assert status == 200, text
        assert text == "".join(expected_texts(f"Ice log {number}", _TOKENS))


async def test_answers_survive_an_engine_that_falls_over(own_fleet):
    tasks = await _begun(own_fleet, 8)
    own_fleet.engines[0].crash()
    await _whole(tasks)


async def test_answers_survive_a_sidecar_that_dies(own_fleet):
    tasks = await _begun(own_fleet, 8)
    await own_fleet.sidecars[1].close()
    await _whole(tasks)
    # What the dead sidecar ran is freed by its next life.
    replacement = own_fleet.make_sidecar(1)
    await replacement.start()
    own_fleet.sidecars[1] = replacement
    async with asyncio.timeout(5):
        while own_fleet.engines[1].model.stream_ids:
            await asyncio.sleep(0.05)


async def test_planned_stop_of_a_sidecar_cuts_nothing(own_fleet):
    tasks = await _begun(own_fleet, 8)
    await own_fleet.sidecars[0].drain()
    await _whole(tasks)
    status, _ = await complete(own_fleet, "After the stop", tokens=5)
    assert status == 200
    assert own_fleet.sidecars[0].engine.in_progress == 0


async def test_planned_stop_of_an_entry_cuts_nothing(own_fleet):
    tasks = await _begun(own_fleet, 8)
    draining = asyncio.create_task(own_fleet.entries[0].drain())
    await asyncio.sleep(0.05)
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{own_fleet.entry_url(0)}/readyz") as response:
            assert response.status == 503
    assert await complete(own_fleet, "Late", 0) == (503, "leaving")
    await _whole(tasks)
    await draining


async def test_silent_connection_is_replaced_and_the_stream_resumed(own_fleet):
    """Something between the two ends loses track of an open connection."""
    proxies = []
    for entry in own_fleet.entries:
        for link in entry.directory.sidecars:
            proxy = CuttingProxy(link.member.host, link.member.port)
            await proxy.start()
            link._member = link.member._replace(port=proxy.port)
            link.streams._port = proxy.port
            link.replace("test")
            proxies.append(proxy)
    await asyncio.sleep(0.5)
    tasks = await _begun(own_fleet, 6)
    for proxy in proxies:
        proxy.silence_open_connections()
    await _whole(tasks)
    resumes = sum(entry.metrics.value("resumes") for entry in own_fleet.entries)
    assert resumes > 0
    for proxy in proxies:
        await proxy.close()


async def test_leak_of_a_lost_cancel_is_settled(own_fleet):
    """An engine that ignores a cancel is told again until its memory is free."""
    for engine in own_fleet.engines:
        engine.faults.ignore_cancels = True
    task = asyncio.create_task(complete(own_fleet, "Long", tokens=5_000))
    await asyncio.sleep(0.3)
    task.cancel()
    await asyncio.sleep(1.0)
    assert any(engine.model.stream_ids for engine in own_fleet.engines)
    for engine in own_fleet.engines:
        engine.faults.ignore_cancels = False
    async with asyncio.timeout(5):
        while any(engine.model.stream_ids for engine in own_fleet.engines):
            await asyncio.sleep(0.05)


async def test_zone_out_gets_no_new_work_and_cuts_nothing(own_fleet):
    tasks = await _begun(own_fleet, 8)
    url = f"{own_fleet.entry_url(1)}/operators/v1/changes"
    headers = {"Authorization": f"Bearer {own_fleet.operator_api_key}"}
    change = {"type": "set_zone", "availability_zone": "zone-b", "out": True}
    async with aiohttp.ClientSession() as session:
        async with session.post(
            url, json={"changes": [change]}, headers=headers
        ) as response:
            assert response.status == 200
    async with asyncio.timeout(3):
        while any(sidecar.configuration.version < 2 for sidecar in own_fleet.sidecars):
            await asyncio.sleep(0.02)
    before = [engine.model._arrivals for engine in own_fleet.engines]
    for number in range(12):
        status, _ = await complete(own_fleet, f"New {number}", number % 2, 5)
        assert status == 200
    after = [engine.model._arrivals for engine in own_fleet.engines]
    assert after[1] == before[1]
    assert after[3] == before[3]
    await _whole(tasks)


async def test_store_out_costs_idempotent_traffic_nothing(own_fleet):
    own_fleet.platform.faults.down = True
    await asyncio.sleep(2.0)
    for number in range(10):
        status, text = await complete(own_fleet, f"Out {number}", number % 2, 5)
        assert status == 200, text


async def test_store_out_refuses_calls_with_the_truth(own_fleet):
    own_fleet.platform.faults.down = True
    key = new_idempotency_key()
    status, content = await call(own_fleet, key)
    assert status in (503, 504)
    # The key may have been sent before, and nobody can look.
    assert content["error"]["not_run"] == "unknown"
    own_fleet.platform.faults.down = False
    status, content = await call(own_fleet, key, 1)
    assert (status, content.get("executions")) == (200, 1), content


async def test_call_that_is_never_answered_runs_once(own_fleet):
    for service in own_fleet.services:
        service.faults.silent = True
    key = new_idempotency_key()
    status, content = await call(own_fleet, key)
    assert (status, content["error"]["code"]) == (504, "outcome_unknown")
    for service in own_fleet.services:
        service.faults.silent = False
    status, content = await call(own_fleet, key, 1)
    assert (status, content["error"]["code"]) == (504, "outcome_unknown")
    assert sum(service.executions[key] for service in own_fleet.services) == 1


async def test_sidecar_that_dies_after_the_call_leaves_the_key_unknown(own_fleet):
    for service in own_fleet.services:
        service.faults.delay_s = 1.0
    key = new_idempotency_key()
    task = asyncio.create_task(call(own_fleet, key))
    async with asyncio.timeout(3):
        while not sum(service.executions[key] for service in own_fleet.services):
            await asyncio.sleep(0.01)
    ran = next(i for i, s in enumerate(own_fleet.services) if s.executions[key])
    index = len(own_fleet.engines) + ran
    sidecar = own_fleet.sidecars[index]
    for pending in list(sidecar.service.executor._tasks):
        pending.cancel()
    await sidecar.close()
    status, content = await task
    assert (status, content["error"]["code"]) == (504, "outcome_unknown")
    own_fleet.sidecars[index] = own_fleet.make_sidecar(index)
    await own_fleet.sidecars[index].start()
    await asyncio.sleep(0.6)
    for entry in (0, 1):
        status, content = await call(own_fleet, key, entry)
        assert content["error"]["not_run"] == "unknown"
    assert sum(service.executions[key] for service in own_fleet.services) == 1


async def test_first_message_lost_is_sent_again_and_runs_once(own_fleet):
    """The sidecar takes the work, but its first frame never reaches the entry."""
    runs = []
    for sidecar in own_fleet.sidecars[: len(own_fleet.engines)]:
        runner = sidecar.engine
        original = runner.frames

        def _silent_once(attempt, offset, runner=runner, original=original):
            runs.append(attempt.stream_id)
            if runs.count(attempt.stream_id) == 1:
                return _says_nothing()
            return original(attempt, offset)

        runner.frames = _silent_once
    status, text = await complete(own_fleet, "Lost", tokens=20)
    assert (status, text) == (200, "".join(expected_texts("Lost", 20)))
    assert len(runs) == 2
    assert runs[0] == runs[1]


async def _says_nothing():
    await asyncio.sleep(30)
    yield None
