"""Several entries before a server that fails their requests."""

import asyncio
import itertools

USED, UNUSED = ("127.0.0.1", "127.0.0.2"), "127.0.0.3"
BURST, BURST_INTERVAL_S = 8, 0.2
# Far longer than reports take, since the machine of the tests may be busy.
WITHIN_S = 10.0

_numbers = itertools.count()


async def _send_until_cancelled(deployment) -> None:
    """Send bursts: after one failure an entry by itself leaves the server."""
    while True:
        await asyncio.gather(
            *(
                deployment.send("/look/", f"h{next(_numbers)}", entry)
                for entry in USED
                for _ in range(BURST)
            )
        )
        await asyncio.sleep(BURST_INTERVAL_S)


async def test_entry_learns_from_the_others_that_a_server_fails(deployment):
    """One server resets its connections, and one entry sent it nothing yet.

    Guards against: reports that aren't registered, sent or taken by the entry process.
    """
    for host in (USED[1], UNUSED):
        await deployment.add_entry(host)
    state = deployment.gateways[UNUSED]._state
    await deployment.wait_until(
        lambda: all(
            len(item._peers.live_hosts) == 2 for item in deployment.gateways.values()
        )
    )
    faulty = state.directory.servers["d0"].incarnation
    deployment.servers["d0"].faults.reset_before = True
    sending = asyncio.ensure_future(_send_until_cancelled(deployment))
    try:
        await deployment.wait_until(
            lambda: state.server_health.ejection_ended_s(faulty) is not None, WITHIN_S
        )
    finally:
        sending.cancel()
    assert state.server_health.get(faulty).own.evidence is None
    url = f"http://{UNUSED}:{deployment.ports[3]}/metrics"
    async with deployment.session.get(url) as response:
        metrics = await response.text()
    assert 'entry_server_ejections_total{source="entries"}' in metrics
