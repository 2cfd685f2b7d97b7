"""Servers that have ended while the directory still lists them.

Load that this answers: half of the servers crash at once. The directory lists them
until their leases expire, and without work they look idle to every entry.
"""

import socket

# More than the attempts at one request that reach servers.
_DEAD_SERVERS = 20


def _unused_ports(count: int) -> list[int]:
    """Ports at which nothing listens, all different."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def _list_dead(deployment, service: str) -> None:
    for number, port in enumerate(_unused_ports(_DEAD_SERVERS)):
        row = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "z1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        deployment.store.put("servers", f"dead-{number}", row)


class TestUnreachableServers:
    async def test_request_reaches_the_server_that_is_left(self, deployment):
        # Guards against: a request is refused after a number of refused connections,
        # though a server is there that could run it.
        directory = deployment.gateway._state.directory
        _list_dead(deployment, "desk")
        for id_ in ("d0", "d1"):
            await deployment.servers[id_].close()
        await deployment.add_server("d9", "desk")
        await deployment.wait_until(
            lambda: (
                len(directory.servers) >= _DEAD_SERVERS and "d9" in directory.servers
            )
        )
        answers = [await deployment.send("/press/x", f"u{n}") for n in range(4)]
        assert [status for status, _, _ in answers] == [200] * 4
        runs = deployment.servers["d9"].runs
        assert [runs[f"u{n}"] for n in range(4)] == [1] * 4

    async def test_prompt_reaches_the_engine_that_is_left(self, deployment):
        directory = deployment.gateway._state.directory
        _list_dead(deployment, "engines")
        await deployment.servers["e0"].close()
        await deployment.wait_until(lambda: len(directory.servers) >= _DEAD_SERVERS)
        status, _, _ = await deployment.send("/brief/x", "u9", Token_Count="5000,100")
        assert status == 200


class TestReplacedServer:
    async def test_other_entries_hear_of_it(self, deployment):
        # Guards against: each entry sends its own requests to the address, and each of
        # them takes one of the retries that all entries share.
        other = await deployment.add_entry("127.0.0.2")
        peers = deployment.gateway._peers
        await deployment.wait_until(lambda: peers.live_count == 1)
        replaced = deployment.servers["d0"]
        replaced.id = "d0-replacement"
        directory = deployment.gateway._state.directory
        number = 0
        while not directory.leaving:
            number += 1
            status, _, _ = await deployment.send("/look/", f"r{number}")
            assert status == 200
            assert number < 100
        await deployment.wait_until(lambda: other._state.directory.leaving)
        arrivals = len(replaced.received_requests)
        for number in range(8):
            status, _, _ = await deployment.send(
                "/look/", f"o{number}", entry="127.0.0.2"
            )
            assert status == 200
        assert len(replaced.received_requests) == arrivals
