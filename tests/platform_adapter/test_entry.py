"""One entry before stand-ins of the platform: rules kept end to end."""

import asyncio

import aiohttp
import msgspec
import pytest

from gentianhoist.fleet import FeedRow
from gentianhoist_platform.configuration import decode_operators
from gentianhoist_platform.standins import operator_configuration

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (i, i) for i in range(1, 6))


def _runs(deployment, attempt: str) -> int:
    return sum(server.runs[attempt] for server in deployment.servers.values())


class TestServing:
    async def test_plain_call_is_passed_on_unchanged(self, deployment):
        status, headers, body = await deployment.ask("/press/a%2Fb?q=1", "p1")
        assert (status, body) == (200, b"done")
        assert headers["Attempt-Id"] == "p1"
        server = next(s for s in deployment.servers.values() if s.runs["p1"])
        assert headers["Server-Seal"] == f"seal-{server.id}"
        (arrival,) = server.arrivals
        assert arrival["target"] == "/press/a%2Fb?q=1"
        assert arrival["Tenant"] == "club"
        assert "Key" not in arrival
        assert 0 < int(arrival["Deadline-Ms"]) <= 2000
        assert arrival["Expect-Instance"] == server.id

    async def test_stream_is_whole(self, deployment):
        status, _, body = await deployment.ask("/brief/x", "s1", Token_Count="5000,100")
        assert (status, body) == (200, STREAM)

    async def test_a_cut_stream_is_resumed(self, deployment):
        for server in deployment.servers.values():
            server.faults.cut_after_events = 2
        task = asyncio.ensure_future(
            deployment.ask("/brief/x", "s2", Token_Count="5000,100")
        )
        await deployment.until(lambda: _runs(deployment, "s2"))
        await asyncio.sleep(0.01)
        status, _, body = await task
        assert (status, body) == (200, STREAM)

    async def test_prompt_larger_than_an_engine_reserves_and_releases(self, deployment):
        tokens = "300000,100"
        status, _, body = await deployment.ask("/brief/x", "s3", Token_Count=tokens)
        assert (status, body) == (200, STREAM)
        first = next(s for s in deployment.servers.values() if s.runs["s3"])
        listed = first.arrivals[-1]["Helpers"].split(",")
        assert listed[0].startswith(f"127.0.0.1:{first.port}/")
        assert len(listed) == 2
        engines = [s for s in deployment.servers.values() if s.id.startswith("e")]
        await deployment.until(lambda: not any(s.tickets for s in engines))


class TestRefusals:
    async def test_unknown_path_key_and_fields(self, deployment):
        assert (await deployment.ask("/nowhere/", "x1"))[0] == 404
        assert (await deployment.ask("/press/", "x2", Key="other"))[0] == 401
        status, _, body = await deployment.ask("/brief/", "x3", Token_Count="many")
        assert status == 400
        assert b"Token-Count" in body
        assert all(_runs(deployment, f"x{i}") == 0 for i in (1, 2, 3))

    async def test_full_servers_are_a_true_refusal_with_a_time(self, deployment):
        for server in deployment.servers.values():
            server.faults.full = True
        status, headers, _ = await deployment.ask("/press/", "x4")
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0
        assert _runs(deployment, "x4") == 0

    async def test_lost_answer_of_a_call_that_may_not_repeat(self, deployment):
        for server in deployment.servers.values():
            server.faults.reset_after = True
        status, _, _ = await deployment.ask("/press/", "x5")
        assert status == 502
        assert _runs(deployment, "x5") == 1

    async def test_silence_ends_at_the_routes_timeout(self, deployment):
        for server in deployment.servers.values():
            server.faults.silent = True
        status, _, _ = await deployment.ask("/press/", "x6", Deadline_Ms="300")
        assert status == 504
        assert _runs(deployment, "x6") == 1


class TestOperators:
    async def test_newer_configuration_applies_and_older_does_not(self, deployment):
        newer = operator_configuration(12)
        newer["tenants"] = [{"name": "club", "api_keys": ["key-2"]}]
        deployment.store.put("op", "config", newer)
        replica = deployment.gateway._state.replica
        await deployment.until(lambda: replica.version == 12)
        assert (await deployment.ask("/look/", "o1"))[0] == 401
        assert (await deployment.ask("/look/", "o2", Key="key-2"))[0] == 200
        deployment.store.put("op", "config", operator_configuration(11))
        deployment.store.put("op", "config", b"{not json")
        await asyncio.sleep(0.3)
        assert replica.version == 12
        assert (await deployment.ask("/look/", "o3", Key="key-2"))[0] == 200

    async def test_a_stream_is_resumed_though_its_key_was_revoked(self, deployment):
        for server in deployment.servers.values():
            server.faults.cut_after_events = 2
        revoked = operator_configuration(13)
        revoked["tenants"] = [{"name": "club", "api_keys": ["key-2"]}]
        taken = deployment.gateway._state.replica.take_newer
        forward = deployment.gateway._peers.publish_first_event

        def revoke_at_the_first_event(id_: str) -> None:
            forward(id_)
            rows = {"config": FeedRow("config", msgspec.json.encode(revoked), 99)}
            taken(decode_operators(rows).configuration)

        deployment.gateway._peers.publish_first_event = revoke_at_the_first_event
        status, _, body = await deployment.ask("/brief/x", "o7", Token_Count="5000,9")
        assert (status, body) == (200, STREAM)
        assert deployment.gateway._state.replica.version == 13
        assert (await deployment.ask("/brief/x", "o8", Token_Count="50,9"))[0] == 401

    async def test_zone_out_and_back(self, deployment):
        deployment.store.put("op", "evacuate/z1", {})
        directory = deployment.gateway._state.directory
        await deployment.until(lambda: directory.zones_out == {"z1"})
        assert (await deployment.ask("/look/", "o4"))[0] == 503
        deployment.store.remove("op", "evacuate/z1")
        await deployment.until(lambda: not directory.zones_out)
        assert (await deployment.ask("/look/", "o5"))[0] == 200

    async def test_draining_server_gets_nothing_more(self, deployment):
        server = deployment.servers["d0"]
        server.register(f"127.0.0.1:{server.port}", state="draining")
        directory = deployment.gateway._state.directory
        await deployment.until(lambda: directory.usable("d0", 0.0) is None)
        for number in range(6):
            await deployment.ask("/look/", f"o6-{number}")
        assert not server.arrivals

    async def test_entries_of_other_writers_name_no_server(self, deployment):
        deployment.store.put("servers", "odd-1", b"\xff")
        deployment.store.put("servers", "odd-2", {"service": "desk"})
        deployment.store.put(
            "servers", "odd-3", {"service": "desk", "address": 3, "zone": "z"}
        )
        server = await deployment.add_server("d9", "desk")
        directory = deployment.gateway._state.directory
        await deployment.until(lambda: "d9" in directory.servers)
        assert {"d0", "d1", "d9", "e0", "e1"} == set(directory.servers)
        await server.close()


class TestStore:
    async def test_serves_while_the_store_is_silent(self, deployment):
        deployment.store.faults.silent = True
        await asyncio.sleep(1.0)
        assert (await deployment.ask("/look/", "t1"))[0] == 200
        assert deployment.gateway.ready

    async def test_catches_up_after_lost_history(self, deployment):
        deployment.store.faults.down = True
        await asyncio.sleep(0.3)
        deployment.store.put("op", "config", operator_configuration(20))
        deployment.store.forget_history()
        deployment.store.faults.down = False
        replica = deployment.gateway._state.replica
        await deployment.until(lambda: replica.version == 20)

    async def test_a_lost_answer_costs_one_more_question(self, deployment):
        deployment.store.faults.lose_answers = 2
        deployment.store.put("op", "config", operator_configuration(21))
        replica = deployment.gateway._state.replica
        await deployment.until(lambda: replica.version == 21, within_s=1.5)


class TestStopping:
    async def test_requests_in_progress_are_finished(self, deployment):
        for server in deployment.servers.values():
            server._work_s = 0.5
        task = asyncio.ensure_future(deployment.ask("/press/", "g1"))
        await deployment.until(lambda: _runs(deployment, "g1"))
        drain = asyncio.ensure_future(deployment.gateway.drain())
        await asyncio.sleep(0.05)
        assert not deployment.gateway.ready
        assert (await task)[0] == 200
        # Callers that the balancer still sends here are served, and told to go.
        status, headers, _ = await deployment.ask("/look/", "g2")
        assert status == 200
        assert headers["Connection"] == "close"
        await drain

    async def test_nothing_new_is_taken_late_in_the_grace(self, deployment):
        """A request that could not end any more must find no listener."""
        gateway = deployment.gateway
        gateway._settings = gateway._settings._replace(grace_s=8.0, listen_on_s=0.2)
        for server in deployment.servers.values():
            server._work_s = 1.2
        task = asyncio.ensure_future(deployment.ask("/press/", "g3"))
        await deployment.until(lambda: _runs(deployment, "g3"))
        drain = asyncio.ensure_future(gateway.drain())
        await asyncio.sleep(0.5)
        with pytest.raises(aiohttp.ClientConnectionError):
            await deployment.ask("/look/", "g4")
        assert (await task)[0] == 200
        await drain
