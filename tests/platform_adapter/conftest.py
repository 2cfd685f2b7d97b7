"""Fixture of a small platform with one entry, all in the test process."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
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
    """Store, backend servers and entries, all running.

    Attributes:
        ports: Ports of every entry: callers, readiness, peers and metrics.
        gateways: Entries by IP address.
    """

    store: StoreStandin
    session: aiohttp.ClientSession
    ports: list[int]
    servers: dict[str, ServerStandin] = field(default_factory=dict)
    gateways: dict[str, Gateway] = field(default_factory=dict)
    settings: PlatformSettings | None = None

    @property
    def gateway(self) -> Gateway:
        """The first entry."""
        return next(iter(self.gateways.values()))

    async def add_entry(self, host: str, store_port: int = 0) -> Gateway:
        """Start an entry on a loopback address, and wait until it is ready.

        Args:
            host: The loopback address.
            store_port: Port of the store that it uses, by default the first one.
        """
        self.settings, gateway = await _start_entry(
            store_port or self.store.port, host, self.ports
        )
        self.gateways[host] = gateway
        await self.wait_until(lambda: gateway.ready)
        return gateway

    async def remove_entry(self, host: str) -> None:
        """Stop an entry without a drain."""
        await self.gateways.pop(host).close()

    async def add_server(self, id_: str, service: str) -> ServerStandin:
        server = ServerStandin(
            id_, service, "z1", self.store, streaming=service == "engines"
        )
        await server.start()
        self.servers[id_] = server
        return server

    async def send(
        self,
        path: str,
        attempt_id: str,
        entry: str = "127.0.0.1",
        body: bytes = b"{}",
        **headers: str,
    ):
        """Send one POST request; returns status, headers and body.

        Header names are given as keywords with underscores instead of hyphens.
        """
        url = f"http://{entry}:{self.ports[0]}{path}"
        sent_headers = {
            "Host": "a.example",
            "Attempt-Id": attempt_id,
            "Deadline-Ms": "2000",
            "Key": "key-1",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        async with self.session.post(url, headers=sent_headers, data=body) as response:
            return response.status, response.headers, await response.read()

    async def wait_until(self, condition, within_s: float = 3.0) -> None:
        """Poll until the condition holds; raises TimeoutError after `within_s`."""
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.02)


async def _start_entry(
    store_port: int, host: str, ports: list[int]
) -> tuple[PlatformSettings, Gateway]:
    fields = {
        "node_name": f"edge-{host}",
        "ip": host,
        "zone": "z1",
        "listen.frontend": f"{host}:{ports[0]}",
        "listen.ready": f"{host}:{ports[1]}",
        "internal_ports": f"{ports[2]},{ports[2]}",
        "platform.address": f"127.0.0.1:{store_port}",
        "bounds.grace_s": "1.5",
        "metrics_port": str(ports[3]),
    }
    settings = decode_fields(fields, "node.conf")
    gateway = Gateway(
        gateway_settings(settings),
        PlatformAdapter(settings),
        DecisionLog({}),
    )
    await gateway.start()
    return settings, gateway


@asynccontextmanager
async def running_deployment(
    session: aiohttp.ClientSession,
    ports: list[int],
    configuration: dict,
    servers: int = 2,
) -> AsyncGenerator[Deployment, None]:
    """Run a store, servers and one entry on the running event loop.

    Args:
        session: HTTP client of the callers.
        ports: Ports of every entry, see `Deployment`.
        configuration: The operators' configuration.
        servers: Number of servers of each service.
    """
    store = StoreStandin()
    await store.start()
    deployment = Deployment(store, session, ports)
    store.put("op", "config", configuration)
    for number in range(servers):
        await deployment.add_server(f"e{number}", "engines")
        await deployment.add_server(f"d{number}", "desk")
    await deployment.add_entry("127.0.0.1")
    yield deployment
    for gateway in deployment.gateways.values():
        await gateway.close()
    for server in deployment.servers.values():
        await server.close()
    await store.close()


@pytest.fixture
async def deployment(unused_tcp_port_factory, session):
    ports = [unused_tcp_port_factory() for _ in range(4)]
    configuration = operator_configuration(7)
    async with running_deployment(session, ports, configuration) as deployment:
        yield deployment
