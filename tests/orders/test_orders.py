"""Orders under fencing: an old holder's order never follows a newer one's."""

import asyncio

import aiohttp
import pytest
import pytest_asyncio
from hypothesis import given
from hypothesis import strategies as st

from gentianhoist.clocks import ManualClock
from gentianhoist.demo import EmbeddedFleet, FleetPlan
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.orders import FencingGuard, OrderLeaseClient
from gentianhoist.standins import MemoryTable, TableModel
from gentianhoist.wire import OrderKind, OrderRequest, Stamp

_SKEW_S = 0.25


@given(
    numbers=st.lists(st.integers(1, 6), max_size=12),
    restart_at=st.integers(0, 12),
)
def test_admitted_numbers_never_fall(numbers, restart_at):
    """A new life learns the highest number from the store, then goes on."""
    guard = FencingGuard()
    guard.observe(0)
    highest_taken = 0
    admitted = []
    for place, number in enumerate(numbers):
        highest_taken = max(highest_taken, number)
        if place == restart_at:
            guard = FencingGuard()
            with pytest.raises(HoistError):
                guard.admit(number)
            guard.observe(highest_taken)
        try:
            guard.admit(number)
        except HoistError as error:
            assert error.kind is ErrorKind.FENCED
        else:
            admitted.append(number)
    assert admitted == sorted(admitted)


def _desks() -> tuple[MemoryTable, ManualClock, OrderLeaseClient, OrderLeaseClient]:
    table = MemoryTable(TableModel())
    clock = ManualClock(1_000.0)
    desks = [OrderLeaseClient(table, clock, name, _SKEW_S) for name in ("a", "b")]
    return table, clock, desks[0], desks[1]


async def test_new_holder_waits_the_old_lease_out():
    _, clock, first, second = _desks()
    lease = await first.acquire("engine-0")
    with pytest.raises(HoistError) as caught:
        await second.acquire("engine-0")
    assert caught.value.kind is ErrorKind.CONFIGURATION_CONFLICT
    clock.advance(lease.expires_s - clock.wall_s() + _SKEW_S)
    assert (await second.acquire("engine-0")).fencing > lease.fencing


@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_answer_still_gives_a_number_of_ones_own(lost):
    table, clock, first, second = _desks()
    table.lose_answers = lost
    lease = await first.acquire("engine-0")
    clock.advance(100.0)
    assert (await second.acquire("engine-0")).fencing > lease.fencing


async def test_store_out_gives_no_lease():
    table, _, first, _ = _desks()
    table.down = True
    with pytest.raises(HoistError) as caught:
        await first.acquire("engine-0")
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE


@pytest_asyncio.fixture
async def fleet_with_weights():
    running = EmbeddedFleet(FleetPlan(engines=3, services=0))
    await running.start()
    yield running
    await running.close()


async def _order(fleet: EmbeddedFleet, instance: str, entry: int) -> tuple[int, dict]:
    async with aiohttp.ClientSession() as session:
        async with session.post(
            f"{fleet.entry_url(entry)}/operators/v1/orders",
            json={"instance": instance, "order": "load_model", "target": "planner"},
            headers={"Authorization": f"Bearer {fleet.operator_key}"},
        ) as response:
            return response.status, await response.json()


async def test_orders_reach_the_engines_and_a_paused_holder_is_fenced(
    fleet_with_weights,
):
    fleet = fleet_with_weights
    answers = await asyncio.gather(
        *(_order(fleet, f"engine-{index}", 0) for index in range(3))
    )
    assert [status for status, _ in answers] == [200] * 3
    assert all(len(engine.orders) == 1 for engine in fleet.engines)
    status, content = await _order(fleet, "engine-0", 1)
    assert (status, content["error"]["code"]) == (409, "configuration_conflict")
    # The first entry gives a second order; a message of its first then comes late.
    assert (await _order(fleet, "engine-0", 0))[0] == 200
    link = fleet.entries[0].directory.find("engine-0")
    late = OrderRequest(
        Stamp("entry-0", "x", 1, (0, 0)), OrderKind.UNLOAD_MODEL, "planner", 1, 5.0
    )
    reply = await link.stub.order(late)
    assert (reply.done, reply.kind) == (False, ErrorKind.FENCED)
    assert [order.order for order in fleet.engines[0].orders] == ["load_model"] * 2
