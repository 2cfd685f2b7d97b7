"""A process that was busy itself takes nobody for silent."""

import asyncio
import time

from gentianhoist.clocks import ManualClock
from gentianhoist.entry._silence import SilenceWatch
from gentianhoist.membership import Member, Membership, MemberState
from gentianhoist.settings import Role

_SILENCE_S = 1.0


def _member() -> Member:
    return Member("s0", Role.SIDECAR, "zone-a", "127.0.0.1", 1, "engines")


async def _silent(clock: ManualClock, watch: SilenceWatch) -> bool:
    """Whether a stream is ended within a few ticks."""
    try:
        async with asyncio.timeout(None) as timeout:
            watch.open(timeout)
            for _ in range(15):
                await asyncio.sleep(0.1)
                clock.advance(0.1)
    except TimeoutError:
        return True
    return False


async def test_silent_stream_is_ended():
    clock = ManualClock()
    watch = SilenceWatch(clock, _SILENCE_S, lambda _late_s: None)
    await watch.start()
    assert await _silent(clock, watch)
    await watch.close()


async def test_stall_is_forgiven_to_streams_and_members():
    clock = ManualClock()
    members = Membership("entry-0", [_member()], suspicion_s=2.5)
    members.record_heartbeat("s0", clock.elapsed_s(), leaving=False)
    watch = SilenceWatch(clock, _SILENCE_S, members.credit_local_pause)
    async with asyncio.timeout(None) as timeout:
        stream = watch.open(timeout)
        clock.advance(5.0)
        watch.check()
        assert clock.elapsed_s() - stream.heard_s < 2 * _SILENCE_S / 10
    assert members.state("s0", clock.elapsed_s()) is MemberState.LIVE
    assert watch.stalled_since(4.0)
    clock.advance(0.1)
    assert not watch.stalled_since(5.05)


async def test_stalled_process_replaces_no_connection(fleet, session):
    """Found by opening 1,000 streams at once, which stalled the entry for 2.5 s."""
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
