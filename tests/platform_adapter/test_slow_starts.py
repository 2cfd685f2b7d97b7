"""Two entries, over real datagrams, with engines that come back cold."""

import asyncio

from gentianhoist.slowstart import PROBE_REQUESTS
from gentianhoist_platform.standins import operator_configuration

# The second loopback address; both entries use the same ports.
SECOND = "127.0.0.2"
COLD_MS = 60_000


async def _start_cold(deployment) -> None:
    """Let both engines be cold, for both entries, with 40 requests per second."""
    await deployment.add_entry(SECOND)
    configuration = operator_configuration(8)
    engines = configuration["services"][0]
    engines.update(cold_s=COLD_MS / 1000, cold_per_s=40.0)
    deployment.store.put("op", "config", configuration)
    for id_ in ("e0", "e1"):
        server = deployment.servers[id_]
        server.cold_left_ms = COLD_MS
        server.register(f"127.0.0.1:{server.port}")
    for gateway in deployment.gateways.values():
        state = gateway._state
        await deployment.wait_until(lambda state=state: state.routing.version == 8)
        warm_s = gateway._clock.monotonic_s() + 1.0
        await deployment.wait_until(
            lambda state=state, warm_s=warm_s: all(
                state.directory.servers[id_].cold_until_s > warm_s
                for id_ in ("e0", "e1")
            )
        )


def _max_requests(gateway) -> dict[str, int]:
    now_s = gateway._clock.monotonic_s()
    return {
        id_: paced.pace.max_requests(now_s)
        for id_, paced in gateway._state.slow_starts._paced.items()
    }


async def _stream(deployment, id_: str, entry: str) -> int:
    status, _, _ = await deployment.send(
        "/brief/x", id_, entry, Token_Count="500,9", Deadline_Ms="3000"
    )
    return status


async def test_entries_share_the_pace_of_engines_that_come_back_cold(deployment):
    """Thirty entries must not each find the pace of a server for themselves."""
    await _start_cold(deployment)
    first, second = deployment.gateways.values()
    for number in range(12):
        assert await _stream(deployment, f"w1-{number}", "127.0.0.1") == 200
        await asyncio.sleep(0.02)
    await deployment.wait_until(
        lambda: any(count > PROBE_REQUESTS for count in _max_requests(second).values())
    )
    text = first._metrics.render().decode()
    assert 'entry_pace_changes_total{cause="on_time"}' in text
    assert 'entry_pace_changes_total{cause="evidence"}' in (
        second._metrics.render().decode()
    )


async def test_burst_on_cold_engines_is_served_within_the_bound(deployment):
    await _start_cold(deployment)
    entries = ("127.0.0.1", SECOND)
    statuses = await asyncio.gather(
        *(_stream(deployment, f"b{number}", entries[number % 2]) for number in range(8))
    )
    assert set(statuses) == {200}
    for id_ in ("e0", "e1"):
        arrivals_s = deployment.servers[id_].arrivals_s
        for start_s in arrivals_s:
            window = sum(start_s <= at_s < start_s + 1.0 for at_s in arrivals_s)
            assert window <= 1.5 * 40.0 + 5
