"""Fixture of a small platform with one entry, all in the test process."""

import asyncio
from dataclasses import dataclass, field

import aiohttp
import pytest

from gentianhoist.gateway import Gateway
from gentianhoist.telemetry import DecisionLog
from gentianhoist_platform.entry import PlatformAdapter
from gentianhoist_platform.settings import (
    PlatformSettings,
    decode_fields,
    gateway_settings,
)
from gentianhoist_platform.standins import (
    ServerStandin,
    StoreStandin,
    operator_configuration,
)


@dataclass
class Deployment:
    """Store, backend servers and one entry, all running."""

    store: StoreStandin
    settings: PlatformSettings
    gateway: Gateway
    log: DecisionLog
    session: aiohttp.ClientSession
    servers: dict[str, ServerStandin] = field(default_factory=dict)

    async def add_server(self, id_: str, service: str) -> ServerStandin:
        server = ServerStandin(
            id_, service, "z1", self.store, streaming=service == "engines"
        )
        await server.start()
        self.servers[id_] = server
        return server

    async def send(self, path: str, attempt_id: str, **headers: str):
        """Send one POST request; returns status, headers and body.

        Header names are given as keywords with underscores instead of hyphens.
        """
        url = f"http://127.0.0.1:{self.settings.callers.port}{path}"
        sent_headers = {
            "Host": "a.example",
            "Attempt-Id": attempt_id,
            "Deadline-Ms": "2000",
            "Key": "key-1",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        async with self.session.post(url, headers=sent_headers, data=b"{}") as response:
            return response.status, response.headers, await response.read()

    async def wait_until(self, condition, within_s: float = 3.0) -> None:
        """Poll until the condition holds; raises TimeoutError after `within_s`."""
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.02)


@pytest.fixture
async def deployment(unused_tcp_port_factory, session):
    store = StoreStandin()
    store_port = await store.start()
    ports = [unused_tcp_port_factory() for _ in range(4)]
    fields = {
        "node_name": "edge-1",
        "ip": "127.0.0.1",
        "zone": "z1",
        "listen.frontend": f"127.0.0.1:{ports[0]}",
        "listen.ready": f"127.0.0.1:{ports[1]}",
        "internal_ports": f"{ports[2]},{ports[2]}",
        "platform.address": f"127.0.0.1:{store_port}",
        "bounds.grace_s": "1.5",
        "metrics_port": str(ports[3]),
    }
    settings = decode_fields(fields, "node.conf")
    log = DecisionLog({})
    gateway = Gateway(
        gateway_settings(settings),
        PlatformAdapter(settings),
        log,
    )
    running_deployment = Deployment(store, settings, gateway, log, session)
    store.put("op", "config", operator_configuration(7))
    for number in range(2):
        await running_deployment.add_server(f"e{number}", "engines")
        await running_deployment.add_server(f"d{number}", "desk")
    await gateway.start()
    await running_deployment.wait_until(lambda: gateway.ready)
    yield running_deployment
    await gateway.close()
    for server in running_deployment.servers.values():
        await server.close()
    await store.close()
