"""Tests that stalls of the process itself don't expire idle timeouts."""

import asyncio
import time

from gentianhoist.clocks import ManualClock
from gentianhoist.entry._idle_monitor import IdleStreamMonitor
from gentianhoist.membership import Member, Membership, MemberState
from gentianhoist.settings import Role

_IDLE_TIMEOUT_S = 1.0


def _member() -> Member:
    return Member("s0", Role.SIDECAR, "zone-a", "127.0.0.1", 1, "engines")


async def _times_out(clock: ManualClock, monitor: IdleStreamMonitor) -> bool:
    """Return whether a stream without activity is ended within 15 checks."""
    try:
        async with asyncio.timeout(None) as timeout:
            monitor.add(timeout)
            for _ in range(15):
                await asyncio.sleep(0.1)
                clock.advance(0.1)
    except TimeoutError:
        return True
    return False


async def test_idle_stream_is_ended():
    clock = ManualClock()
    monitor = IdleStreamMonitor(clock, _IDLE_TIMEOUT_S, lambda _stall_s: None)
    await monitor.start()
    assert await _times_out(clock, monitor)
    await monitor.close()


async def test_stall_extends_timeouts_of_streams_and_members():
    clock = ManualClock()
    membership = Membership("entry-0", [_member()], suspicion_s=2.5)
    membership.record_heartbeat("s0", clock.monotonic_s(), is_leaving=False)
    monitor = IdleStreamMonitor(clock, _IDLE_TIMEOUT_S, membership.exclude_local_pause)
    async with asyncio.timeout(None) as timeout:
        stream = monitor.add(timeout)
        clock.advance(5.0)
        monitor.check_stall()
        # The bound is two check intervals, each a tenth of the idle timeout.
        assert clock.monotonic_s() - stream.last_activity_s < 2 * _IDLE_TIMEOUT_S / 10
    assert membership.state("s0", clock.monotonic_s()) is MemberState.LIVE
    assert monitor.has_stalled_since(4.0)
    clock.advance(0.1)
    assert not monitor.has_stalled_since(5.05)


async def test_stalled_process_replaces_no_connection(fleet, session):
    """While this process is stalled, no heartbeat reply is read.

    After a stall, the entry must not replace connections or suspect members. Opening
    1,000 streams at once stalled the entry for 2.5 s.
    """
    before = len(fleet.entries[0].events.snapshot())
    headers = {"Authorization": f"Bearer {fleet.organisation_api_key}"}
    body = {"model": "planner", "prompt": "Ice log", "max_tokens": 200}
    url = f"{fleet.entry_url()}/v1/completions"
    task = asyncio.create_task(session.post(url, json=body, headers=headers))
    await asyncio.sleep(0.3)
    time.sleep(3.0)
    async with await task as response:
        assert response.status == 200
    kinds = [event.kind for event in fleet.entries[0].events.snapshot()[before:]]
    assert "connection_replaced" not in kinds
    assert "member_suspected" not in kinds
