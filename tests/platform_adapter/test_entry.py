"""End-to-end tests of one entry on stand-ins of the platform's services."""

import asyncio
import socket

import aiohttp
import msgspec
import pytest

from gentianhoist.fleet import FeedRow
from gentianhoist.store import StoreVersion
from gentianhoist_platform.configuration import decode_operators
from gentianhoist_platform.standins import RawResponse, operator_configuration

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (i, i) for i in range(1, 6))


def _run_count(deployment, attempt_id: str) -> int:
    return sum(server.runs[attempt_id] for server in deployment.servers.values())


def _raw_request(path: str, attempt_id: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt_id}\r\n"
        "Deadline-Ms: 2000\r\nKey: key-1\r\nContent-Length: 2\r\n\r\n{}"
    ).encode()


class TestServing:
    async def test_plain_request_is_forwarded_unchanged(self, deployment):
        status, headers, body = await deployment.send("/press/a%2Fb?q=1", "p1")
        assert (status, body) == (200, b"done")
        assert headers["Attempt-Id"] == "p1"
        server = next(s for s in deployment.servers.values() if s.runs["p1"])
        assert headers["Server-Seal"] == f"seal-{server.id}"
        (received,) = server.received_requests
        assert received["target"] == "/press/a%2Fb?q=1"
        assert received["Tenant"] == "club"
        assert "Key" not in received
        assert 0 < int(received["Deadline-Ms"]) <= 2000
        assert received["Expect-Instance"] == server.id

    async def test_stream_arrives_complete(self, deployment):
        status, _, body = await deployment.send(
            "/brief/x", "s1", Token_Count="5000,100"
        )
        assert (status, body) == (200, STREAM)

    async def test_interrupted_stream_is_resumed(self, deployment):
        for server in deployment.servers.values():
            server.faults.cut_after_events = 2
        task = asyncio.ensure_future(
            deployment.send("/brief/x", "s2", Token_Count="5000,100")
        )
        await deployment.wait_until(lambda: _run_count(deployment, "s2"))
        await asyncio.sleep(0.01)
        status, _, body = await task
        assert (status, body) == (200, STREAM)

    async def test_prompt_larger_than_an_engine_reserves_and_releases(self, deployment):
        tokens = "300000,100"
        status, _, body = await deployment.send("/brief/x", "s3", Token_Count=tokens)
        assert (status, body) == (200, STREAM)
        first = next(s for s in deployment.servers.values() if s.runs["s3"])
        helpers = first.received_requests[-1]["Helpers"].split(",")
        assert helpers[0].startswith(f"127.0.0.1:{first.port}/")
        assert len(helpers) == 2
        engines = [s for s in deployment.servers.values() if s.id.startswith("e")]
        await deployment.wait_until(lambda: not any(s.reserved_tokens for s in engines))


class TestRefusals:
    async def test_unknown_path_unknown_key_and_invalid_header(self, deployment):
        assert (await deployment.send("/nowhere/", "x1"))[0] == 404
        assert (await deployment.send("/press/", "x2", Key="other"))[0] == 401
        status, _, body = await deployment.send("/brief/", "x3", Token_Count="many")
        assert status == 400
        assert b"Token-Count" in body
        assert all(_run_count(deployment, f"x{i}") == 0 for i in (1, 2, 3))

    async def test_full_servers_give_503_with_retry_after(self, deployment):
        for server in deployment.servers.values():
            server.faults.full = True
        status, headers, _ = await deployment.send("/press/", "x4")
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0
        assert _run_count(deployment, "x4") == 0

    async def test_non_idempotent_request_is_not_retried_after_lost_response(
        self, deployment
    ):
        for server in deployment.servers.values():
            server.faults.reset_after = True
        status, _, _ = await deployment.send("/press/", "x5")
        assert status == 502
        assert _run_count(deployment, "x5") == 1

    async def test_silent_server_gives_504_at_the_deadline(self, deployment):
        for server in deployment.servers.values():
            server.faults.silent = True
        status, _, _ = await deployment.send("/press/", "x6", Deadline_Ms="300")
        assert status == 504
        assert _run_count(deployment, "x6") == 1


class TestOperators:
    async def test_newer_configuration_applies_and_older_does_not(self, deployment):
        newer = operator_configuration(12)
        newer["tenants"] = [{"name": "club", "api_keys": ["key-2"]}]
        deployment.store.put("op", "config", newer)
        replica = deployment.gateway._state.routing
        await deployment.wait_until(lambda: replica.version == 12)
        assert (await deployment.send("/look/", "o1"))[0] == 401
        assert (await deployment.send("/look/", "o2", Key="key-2"))[0] == 200
        deployment.store.put("op", "config", operator_configuration(11))
        deployment.store.put("op", "config", b"{not json")
        await asyncio.sleep(0.3)
        assert replica.version == 12
        assert (await deployment.send("/look/", "o3", Key="key-2"))[0] == 200

    async def test_stream_is_resumed_after_its_key_was_revoked(self, deployment):
        for server in deployment.servers.values():
            server.faults.cut_after_events = 2
        revoked = operator_configuration(13)
        revoked["tenants"] = [{"name": "club", "api_keys": ["key-2"]}]
        apply_configuration = deployment.gateway._state.routing.update_if_newer
        forward = deployment.gateway._peers.publish_first_event

        def revoke_at_first_event(id_: str) -> None:
            forward(id_)
            rows = {
                "config": FeedRow(
                    "config", msgspec.json.encode(revoked), StoreVersion(1, 99)
                )
            }
            apply_configuration(decode_operators(rows).configuration)

        deployment.gateway._peers.publish_first_event = revoke_at_first_event
        status, _, body = await deployment.send("/brief/x", "o7", Token_Count="5000,9")
        assert (status, body) == (200, STREAM)
        assert deployment.gateway._state.routing.version == 13
        assert (await deployment.send("/brief/x", "o8", Token_Count="50,9"))[0] == 401

    async def test_zone_is_taken_out_and_returned(self, deployment):
        deployment.store.put("op", "evacuate/z1", {})
        directory = deployment.gateway._state.directory
        await deployment.wait_until(lambda: directory.zones_out == {"z1"})
        assert (await deployment.send("/look/", "o4"))[0] == 503
        deployment.store.remove("op", "evacuate/z1")
        await deployment.wait_until(lambda: not directory.zones_out)
        assert (await deployment.send("/look/", "o5"))[0] == 200

    async def test_draining_server_gets_no_new_requests(self, deployment):
        server = deployment.servers["d0"]
        server.register(f"127.0.0.1:{server.port}", state="draining")
        directory = deployment.gateway._state.directory
        await deployment.wait_until(lambda: directory.find_usable("d0", 0.0) is None)
        for number in range(6):
            await deployment.send("/look/", f"o6-{number}")
        assert not server.received_requests

    async def test_invalid_directory_rows_are_ignored(self, deployment):
        deployment.store.put("servers", "odd-1", b"\xff")
        deployment.store.put("servers", "odd-2", {"service": "desk"})
        deployment.store.put(
            "servers", "odd-3", {"service": "desk", "address": 3, "zone": "z"}
        )
        server = await deployment.add_server("d9", "desk")
        directory = deployment.gateway._state.directory
        await deployment.wait_until(lambda: "d9" in directory.servers)
        assert {"d0", "d1", "d9", "e0", "e1"} == set(directory.servers)
        await server.close()


class TestStore:
    async def test_serves_while_the_store_is_silent(self, deployment):
        deployment.store.faults.silent = True
        await asyncio.sleep(1.0)
        assert (await deployment.send("/look/", "t1"))[0] == 200
        assert deployment.gateway.ready

    async def test_catches_up_after_lost_history(self, deployment):
        deployment.store.faults.down = True
        await asyncio.sleep(0.3)
        deployment.store.put("op", "config", operator_configuration(20))
        deployment.store.forget_history()
        deployment.store.faults.down = False
        replica = deployment.gateway._state.routing
        await deployment.wait_until(lambda: replica.version == 20)

    async def test_read_is_repeated_after_a_lost_response(self, deployment):
        deployment.store.faults.lose_answers = 2
        deployment.store.put("op", "config", operator_configuration(21))
        replica = deployment.gateway._state.routing
        await deployment.wait_until(lambda: replica.version == 21, within_s=1.5)


class TestStopping:
    async def test_requests_in_progress_are_finished(self, deployment):
        gateway = deployment.gateway
        # Two requests of 0.5 s after each other, one of them with a retry, must fit.
        gateway._settings = gateway._settings._replace(grace_s=3.0)
        for server in deployment.servers.values():
            server._work_s = 0.5
        task = asyncio.ensure_future(deployment.send("/press/", "g1"))
        await deployment.wait_until(lambda: _run_count(deployment, "g1"))
        drain = asyncio.ensure_future(deployment.gateway.drain())
        await asyncio.sleep(0.05)
        assert not deployment.gateway.ready
        assert (await task)[0] == 200
        # Requests that the load balancer still sends are served, and the connection is
        # closed so that the caller reconnects elsewhere.
        status, headers, _ = await deployment.send("/look/", "g2")
        assert status == 200
        assert headers["Connection"] == "close"
        await drain

    async def test_listener_closes_after_drain_listen_s(self, deployment):
        """After that time new connections are refused, and running requests finish."""
        gateway = deployment.gateway
        gateway._settings = gateway._settings._replace(grace_s=8.0, drain_listen_s=0.2)
        for server in deployment.servers.values():
            server._work_s = 1.2
        task = asyncio.ensure_future(deployment.send("/press/", "g3"))
        await deployment.wait_until(lambda: _run_count(deployment, "g3"))
        drain = asyncio.ensure_future(gateway.drain())
        await asyncio.sleep(0.5)
        with pytest.raises(aiohttp.ClientConnectionError):
            await deployment.send("/look/", "g4")
        assert (await task)[0] == 200
        await drain

    # Guards against: prompts that wait for an engine are dropped when an entry stops.
    async def test_waiting_prompts_are_refused_before_the_entry_ends(self, deployment):
        for server in deployment.servers.values():
            server.faults.silent = True
        tasks = [
            asyncio.ensure_future(
                deployment.send("/brief/x", f"w{number}", Token_Count="5000,100")
            )
            for number in range(24)
        ]
        queue = deployment.gateway._state.queue
        await deployment.wait_until(lambda: len(queue))
        await deployment.gateway.drain()
        await deployment.gateway.close()
        statuses = [(await task)[0] for task in tasks]
        assert set(statuses) <= {502, 503, 504}
        assert 503 in statuses
        for number, status in enumerate(statuses):
            assert bool(_run_count(deployment, f"w{number}")) == (status != 503)

    # Guards against: the next request of a connection is dropped when an entry stops.
    async def test_requests_behind_another_one_are_answered(self, deployment):
        for server in deployment.servers.values():
            server._work_s = 0.4
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.ports[0])
        for number in range(3):
            writer.write(_raw_request("/press/", f"q{number}"))
        await deployment.wait_until(lambda: _run_count(deployment, "q0"))
        await deployment.gateway.drain()
        await deployment.gateway.close()
        data = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        assert data.count(b"HTTP/1.1 ") == 3
        assert data.count(b"Connection: close") == 1

    # Guards against: the end of a response that is ready isn't delivered.
    async def test_responses_are_delivered_before_the_entry_ends(self, deployment):
        body = b"x" * 6_000_000
        for server in deployment.servers.values():
            server.faults.raw_response = RawResponse(body)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        caller.setblocking(False)
        address = ("127.0.0.1", deployment.ports[0])
        await asyncio.get_running_loop().sock_connect(caller, address)
        reader, writer = await asyncio.open_connection(sock=caller)
        writer.write(_raw_request("/press/", "v1"))
        await deployment.wait_until(lambda: _run_count(deployment, "v1"))
        await asyncio.sleep(0.2)
        drain = asyncio.ensure_future(deployment.gateway.drain())
        await asyncio.sleep(0.95)
        assert not drain.done()
        data = await asyncio.wait_for(reader.read(), 2.0)
        await drain
        writer.close()
        assert len(data) > len(body)
