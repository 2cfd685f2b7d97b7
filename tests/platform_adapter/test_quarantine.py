"""Prompts with a segment that crashes engines, and sound ones beside them."""

import asyncio
import itertools

import aiohttp
import pytest

from gentianhoist.quarantine import (
    QuarantinePolicy,
    QuarantineRecord,
    QuarantineState,
    is_request_key,
)

ENTRIES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
# This time after a segment has crashed so many engines, only a few prompts with it may
# still reach engines.
MAX_CRASHES = 5
HOLD_WITHIN_S = 3.0
MAX_LATER_PROMPTS = 3
CLEAN = "aa"
CRASHING = "dd"
HELD = QuarantineRecord(CRASHING, QuarantineState.HELD, 1, 0, int(4e12))

_numbers = itertools.count()


@pytest.fixture
async def fleet(deployment):
    """A deployment of three entries and six engines, which crash on `CRASHING`."""
    for host in ENTRIES[1:]:
        await deployment.add_entry(host)
    for number in range(2, 6):
        await deployment.add_server(f"e{number}", "engines")
    set_crashing(deployment, CRASHING)
    directory = deployment.gateway._state.directory
    await deployment.wait_until(lambda: len(directory.servers) == 8)
    return deployment


def set_crashing(fleet, *segments: str) -> None:
    for server in fleet.servers.values():
        server.faults.crash_segments = frozenset(segments)


async def send_prompt(
    fleet,
    *segments: str,
    entry: str = ENTRIES[0],
    path: str = "/brief/x",
    tokens: str = "5000,100",
) -> int:
    """Send a prompt of these segments and one of its own; returns the status."""
    number = next(_numbers)
    ids = [*segments, f"{number:x}"]
    prefix = ",".join(f"{id_}:100" for id_ in ids)
    try:
        status, _, _ = await fleet.send(
            path,
            f"q{number}",
            entry,
            body=b'{"prompt": %d}' % number,
            Token_Count=tokens,
            Prefix_Hash=prefix,
        )
    except aiohttp.ClientError:
        return 0
    return status


def arrivals(fleet, segment: str) -> int:
    """Number of requests with the segment that reached engines."""
    return sum(
        f"{segment}:" in request.get("Prefix-Hash", "")
        for server in fleet.servers.values()
        for request in server.received_requests
    )


def crashes(fleet) -> int:
    return sum(server.crashes for server in fleet.servers.values())


async def send_rounds(fleet, rounds: int, *segments: str, **prompt: str) -> list[int]:
    """Send a crashing and a clean prompt to each entry, a few rounds of them.

    Returns the statuses of the clean prompts.
    """
    clean_statuses = []
    for _ in range(rounds):
        statuses = await asyncio.gather(
            *(
                send_prompt(fleet, *prompt_segments, entry=entry, **prompt)
                for entry in ENTRIES
                for prompt_segments in ((CLEAN, *segments), (CLEAN,))
            )
        )
        clean_statuses += statuses[1::2]
        await asyncio.sleep(0.15)
    return clean_statuses


async def hold(fleet, segment: str, **prompt: str) -> None:
    """Send crashing prompts until all entries hold the segment, or for too long."""
    loop = asyncio.get_running_loop()
    fifth_crash_s = float("inf")
    while not all(is_held(gateway, segment) for gateway in entries(fleet)):
        await send_rounds(fleet, 1, segment, **prompt)
        if crashes(fleet) >= MAX_CRASHES:
            fifth_crash_s = min(fifth_crash_s, loop.time())
        assert loop.time() - fifth_crash_s < HOLD_WITHIN_S


def entries(fleet) -> list:
    return list(fleet.gateways.values())


def are_servers_back(fleet) -> bool:
    """Whether all servers run, and all entries know their present incarnations."""
    return all(server.is_running for server in fleet.servers.values()) and all(
        gateway._state.directory.servers[id_].started_ms == server.started_ms
        for gateway in entries(fleet)
        for id_, server in fleet.servers.items()
    )


def stored_segments(fleet) -> list[str]:
    """Segments with a record in the store; contents of requests may have one too."""
    keys = fleet.store.keys("quarantine")
    return [key for key in keys if not is_request_key(key)]


def is_held(gateway, *segments: str) -> bool:
    return all(gateway._quarantine.refusal((segment,)) for segment in segments)


class TestCrashingSegment:
    # Guards against: prompts that share a segment crash one engine after the other,
    # because every entry sends each of them, and again after a crash.
    @pytest.mark.parametrize("path", ["/brief/x", "/brief/long"])
    async def test_stops_reaching_engines(self, fleet, path):
        await send_rounds(fleet, 6, CRASHING, path=path)
        before = arrivals(fleet, CRASHING)
        assert await send_rounds(fleet, 8, CRASHING, path=path) == [200] * 24
        assert arrivals(fleet, CRASHING) - before <= MAX_LATER_PROMPTS

    # Guards against: the same, with prompts that several engines prefill.
    async def test_of_prompts_on_several_engines(self, fleet):
        # Two engines hold it, and it can wait for them for 0.7 s of its 2 s.
        tokens = "210000,100"
        await hold(fleet, CRASHING, tokens=tokens)
        before = arrivals(fleet, CRASHING)
        # Each takes two engines, so the clean prompts of a round need all six.
        await fleet.wait_until(lambda: are_servers_back(fleet))
        assert await send_rounds(fleet, 4, CRASHING, tokens=tokens) == [200] * 12
        assert arrivals(fleet, CRASHING) - before <= MAX_LATER_PROMPTS

    async def test_several_at_the_same_time(self, fleet):
        crashing = ("dd", "ee", "ff")
        set_crashing(fleet, *crashing)
        for _ in range(6):
            await asyncio.gather(*(send_rounds(fleet, 1, item) for item in crashing))
        before = [arrivals(fleet, item) for item in crashing]
        for _ in range(4):
            statuses = await asyncio.gather(
                *(send_rounds(fleet, 1, item) for item in crashing)
            )
            assert statuses == [[200] * 3] * 3
        for item, count in zip(crashing, before, strict=True):
            assert arrivals(fleet, item) - count <= MAX_LATER_PROMPTS

    async def test_refusal_says_that_the_prompt_has_not_run(self, fleet):
        await hold(fleet, CRASHING)
        before = arrivals(fleet, CRASHING)
        headers = {"Token_Count": "5000,100", "Prefix_Hash": f"{CRASHING}:1,ab:1"}
        status, received, body = await fleet.send("/brief/x", "r1", **headers)
        assert status == 503
        assert float(received["Retry-After"]) >= 1.0
        assert b"prompt_quarantined" in body
        assert b'"not_run":"true"' in body
        assert arrivals(fleet, CRASHING) == before


class TestSoundPrompts:
    # Guards against: engines that crash for other reasons make entries refuse prompts
    # that had nothing to do with it.
    async def test_are_served_while_engines_crash_for_other_reasons(self, fleet):
        set_crashing(fleet)
        engines = [server for id_, server in fleet.servers.items() if id_[0] == "e"]
        statuses = []
        for number in range(20):
            prompts = asyncio.gather(
                *(
                    send_prompt(fleet, CLEAN, f"c{n}", entry=entry)
                    for entry in ENTRIES
                    for n in range(3)
                )
            )
            await asyncio.sleep(0.012)
            await engines[number % len(engines)].crash()
            statuses += await prompts
            assert not any(is_held(gateway, CLEAN) for gateway in entries(fleet))
        assert 503 not in statuses
        assert statuses.count(200) >= 0.5 * len(statuses)


class TestEntries:
    async def test_an_entry_that_is_added_knows(self, fleet):
        await hold(fleet, CRASHING)
        gateway = await fleet.add_entry("127.0.0.4")
        await fleet.wait_until(lambda: is_held(gateway, CRASHING))

    # Guards against: all entries are killed, and each learns by crashes once more.
    async def test_entries_that_all_restart_know(self, fleet):
        await hold(fleet, CRASHING)
        await fleet.wait_until(lambda: stored_segments(fleet) == [CRASHING])
        for host in ENTRIES:
            await fleet.remove_entry(host)
        before = arrivals(fleet, CRASHING)
        for host in ENTRIES:
            await fleet.add_entry(host)
            assert await send_prompt(fleet, CLEAN, CRASHING, entry=host) == 503
        assert arrivals(fleet, CRASHING) == before

    # Guards against: an entry whose datagrams are lost never hears of it.
    async def test_an_entry_cut_off_from_the_others_learns_from_the_store(self, fleet):
        cut_off = fleet.gateways[ENTRIES[2]]
        cut_off._peers.datagram_received = lambda data, addr: None
        await hold(fleet, CRASHING)
        assert is_held(cut_off, CRASHING)

    async def test_the_others_know_while_the_store_is_away(self, fleet):
        fleet.store.faults.down = True
        await hold(fleet, CRASHING)
        before = arrivals(fleet, CRASHING)
        await send_rounds(fleet, 3, CRASHING)
        assert arrivals(fleet, CRASHING) == before
        fleet.store.faults.down = False
        await fleet.wait_until(lambda: stored_segments(fleet) == [CRASHING])

    async def test_a_lost_datagram_is_made_up_for(self, fleet):
        fleet.store.faults.down = True
        deaf = fleet.gateways[ENTRIES[2]]._peers
        receive, deaf.datagram_received = deaf.datagram_received, lambda data, addr: 0
        for gateway in entries(fleet)[:2]:
            gateway._quarantine.receive_record(HELD)
        deaf.datagram_received = receive
        await fleet.wait_until(lambda: is_held(fleet.gateways[ENTRIES[2]], CRASHING))


class TestTrial:
    async def test_segment_is_released_once_engines_answer_it(self, fleet):
        for gateway in entries(fleet):
            policy = QuarantinePolicy(first_hold_s=0.4, hold_ratio=1.0)
            gateway._quarantine._quarantine._policy = policy
        await hold(fleet, CRASHING)
        before = arrivals(fleet, CRASHING)
        await asyncio.sleep(0.6)
        await send_rounds(fleet, 1, CRASHING)
        assert arrivals(fleet, CRASHING) - before <= 1
        set_crashing(fleet)
        await asyncio.sleep(0.6)
        await send_rounds(fleet, 4, CRASHING)
        statuses = [
            await send_prompt(fleet, CLEAN, CRASHING, entry=host) for host in ENTRIES
        ]
        assert statuses == [200] * 3
