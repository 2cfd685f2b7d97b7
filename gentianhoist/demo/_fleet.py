"""A fleet in one process: stand-ins, sidecars and entries on the loopback address."""

from __future__ import annotations

import asyncio
import hashlib
import socket
from contextlib import ExitStack
from typing import Any, NamedTuple

from gentianhoist.entry import Entry
from gentianhoist.settings import (
    DeploymentSettings,
    EntrySettings,
    SidecarSettings,
)
from gentianhoist.sidecar import Sidecar
from gentianhoist.standins import EngineProfile, EngineStandin
from gentianhoist.standins.platform import PlatformStandin
from gentianhoist.standins.service import ServiceStandin

_HOST = "127.0.0.1"
_START_TIMEOUT_S = 10.0
_READY_POLL_S = 0.02


class FleetPlan(NamedTuple):
    """Size and settings of a fleet.

    Attributes:
        zones: Number of availability zones, at most 10.
        entries: Number of entries, spread over the zones.
        engines: Number of engines, spread over the zones.
        services: Number of plain services, spread over the zones.
        profile: Speed and capacity of the simulated engines.
        warm: Whether the engines are warm at the start.
        cold_streams: Stream limit of a sidecar whose backend server is cold.
        max_streams: Stream limit of a sidecar whose backend server is warm.
        requests_per_minute: Request limit of the ordinary preset.
        tokens_per_minute: Token limit of the ordinary preset.
        timing: Values of the timing settings that differ from the defaults.
        limits: Values of the limit settings that differ from the defaults.
        routing: Values of the routing settings that differ from the defaults.
    """

    zones: int = 2
    entries: int = 2
    engines: int = 4
    services: int = 2
    profile: EngineProfile = EngineProfile()
    warm: bool = True
    cold_streams: int = 16
    max_streams: int = 64
    requests_per_minute: int = 60_000
    tokens_per_minute: int = 600_000_000
    timing: dict[str, float] = {"heartbeat_s": 0.25}
    limits: dict[str, float] = {}
    routing: dict[str, object] = {}


def find_free_ports(count: int) -> list[int]:
    """Find TCP ports that are free on the loopback address at this moment.

    Args:
        count: Number of ports.

    Returns:
        Distinct port numbers.
    """
    with ExitStack() as exit_stack:
        sockets = [
            exit_stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            for _ in range(count)
        ]
        for opened in sockets:
            opened.bind((_HOST, 0))
        return [opened.getsockname()[1] for opened in sockets]


def _sha256_hex(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


class EmbeddedFleet:
    """Stand-ins, sidecars and entries in one event loop, each with its own sockets.

    Args:
        plan: Size and settings of the fleet; by default a `FleetPlan` without changes.

    Attributes:
        plan: Size and settings of the fleet.
        platform: Stand-in for the platform's services.
        engines: Stand-ins for the model engines.
        services: Stand-ins for the plain services.
        entries: The entries, once started.
        sidecars: The sidecars, once started: those of the engines, then those of the
            services.
    """

    def __init__(self, plan: FleetPlan | None = None) -> None:
        self.plan = plan or FleetPlan()
        self.platform = PlatformStandin()
        self.engines = [
            EngineStandin(profile=self.plan.profile, warm=self.plan.warm)
            for _ in range(self.plan.engines)
        ]
        self.services = [ServiceStandin() for _ in range(self.plan.services)]
        self.entries: list[Entry] = []
        self.sidecars: list[Sidecar] = []
        self._ports: dict[str, int] = {}

    @property
    def zones(self) -> list[str]:
        """Names of the availability zones."""
        return [f"zone-{letter}" for letter in "abcdefghij"[: self.plan.zones]]

    @property
    def organisation_api_key(self) -> str:
        """API key of the organisation with the largest weight."""
        return "key-club"

    @property
    def operator_api_key(self) -> str:
        """API key of the operator."""
        return "key-operator"

    def entry_url(self, index: int = 0) -> str:
        """Base URL of the entry with an index."""
        return f"http://{_HOST}:{self._ports[f'http-{index}']}"

    def zone_of(self, index: int) -> str:
        """Availability zone of the entry, engine or service with an index."""
        return self.zones[index % len(self.zones)]

    async def start(self) -> None:
        """Start all components, and wait until the entries can serve requests.

        Raises:
            TimeoutError: If the entries aren't ready within 10 s.
        """
        await self._start_standins()
        self._assign_ports()
        deployment = self.deployment_settings()
        for name, url, group, zone in self._backend_servers():
            self.sidecars.append(
                self._build_sidecar(deployment, name, url, group, zone)
            )
        for index in range(self.plan.entries):
            self.entries.append(self.make_entry(index, deployment))
        for sidecar in self.sidecars:
            await sidecar.start()
        for entry in self.entries:
            await entry.start()
        await self._wait_until_ready()

    async def close(self) -> None:
        """Stop all components without draining."""
        for process in (*self.entries, *self.sidecars):
            await process.close()
        for standin in (*self.engines, *self.services, self.platform):
            await standin.close()

    def deployment_settings(self) -> DeploymentSettings:
        """Settings of the deployment, valid once ports are assigned by the start."""
        return DeploymentSettings.model_validate(self._deployment_content())

    def make_entry(self, index: int, deployment: DeploymentSettings) -> Entry:
        """Create the entry with an index, without starting it."""
        settings = EntrySettings.model_validate({
            "instance": f"entry-{index}",
            "availability_zone": self.zone_of(index),
            "http": {"host": _HOST, "port": self._ports[f"http-{index}"]},
            "grpc": {"host": _HOST, "port": self._ports[f"entry-{index}"]},
        })
        return Entry(settings, deployment)

    def make_sidecar(self, index: int) -> Sidecar:
        """Create the sidecar with an index in ``sidecars``, without starting it."""
        name, url, group, zone = self._backend_servers()[index]
        return self._build_sidecar(self.deployment_settings(), name, url, group, zone)

    async def _start_standins(self) -> None:
        for standin in (self.platform, *self.engines, *self.services):
            await standin.start()

    def _assign_ports(self) -> None:
        names = [f"http-{index}" for index in range(self.plan.entries)]
        names += [f"entry-{index}" for index in range(self.plan.entries)]
        names += [name for name, *_ in self._backend_servers()]
        self._ports = dict(zip(names, find_free_ports(len(names)), strict=True))

    def _backend_servers(self) -> list[tuple[str, str, str, str]]:
        servers = [
            (f"engine-{index}", engine.url, "engines", self.zone_of(index))
            for index, engine in enumerate(self.engines)
        ]
        servers += [
            (f"service-{index}", service.url, "valves", self.zone_of(index))
            for index, service in enumerate(self.services)
        ]
        return servers

    def _build_sidecar(
        self, deployment: DeploymentSettings, name: str, url: str, group: str, zone: str
    ) -> Sidecar:
        settings = SidecarSettings.model_validate({
            "instance": name,
            "availability_zone": zone,
            "grpc": {"host": _HOST, "port": self._ports[name]},
            "group": group,
            "backend_server_url": url,
        })
        return Sidecar(settings, deployment)

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not all(self._is_ready(entry) for entry in self.entries):
                await asyncio.sleep(_READY_POLL_S)

    def _is_ready(self, entry: Entry) -> bool:
        usable = entry.directory.find_usable
        return (
            entry.configuration.current is not None
            and entry.configuration_manager.is_confirmed
            and entry.allowance.share_ppm > 0
            and len(usable("engines")) == len(self.engines)
            and len(usable("valves")) == len(self.services)
        )

    def _deployment_content(self) -> dict[str, Any]:
        plan = self.plan
        return {
            "name": "demo",
            "availability_zones": self.zones,
            "platform": {"url": self.platform.url},
            "models": [{"name": "planner", "context_tokens": 1_100_000}],
            "groups": [
                {
                    "name": "engines",
                    "kind": "engine",
                    "models": ["planner"],
                    "kv_capacity_tokens": plan.profile.kv_capacity_tokens,
                    "cold_streams": plan.cold_streams,
                    "max_streams": plan.max_streams,
                },
                {
                    "name": "valves",
                    "kind": "service",
                    "service": "valve-control",
                    "operations": [
                        {"name": "flood"},
                        {"name": "status", "idempotent": True},
                    ],
                    "cold_streams": plan.cold_streams,
                },
            ],
            "organisations": [
                {
                    "name": "club",
                    "api_key_sha256": _sha256_hex("key-club"),
                    "weight": 4,
                },
                {"name": "crew", "api_key_sha256": _sha256_hex("key-crew")},
            ],
            "operators": [
                {
                    "name": "operator",
                    "api_key_sha256": _sha256_hex(self.operator_api_key),
                }
            ],
            "presets": [
                {
                    "name": "ordinary",
                    "requests_per_minute": plan.requests_per_minute,
                    "tokens_per_minute": plan.tokens_per_minute,
                },
                {
                    "name": "maintenance",
                    "requests_per_minute": max(1, plan.requests_per_minute // 4),
                    "tokens_per_minute": max(1, plan.tokens_per_minute // 4),
                },
            ],
            "preset_in_force": "ordinary",
            "instances": [
                *(
                    self._instance_content(
                        f"entry-{index}", "entry", self.zone_of(index), ""
                    )
                    for index in range(plan.entries)
                ),
                *(
                    self._instance_content(name, "sidecar", zone, group)
                    for name, _, group, zone in self._backend_servers()
                ),
            ],
            "timing": plan.timing,
            "limits": plan.limits,
            "routing": plan.routing,
        }

    def _instance_content(
        self, name: str, role: str, zone: str, group: str
    ) -> dict[str, Any]:
        return {
            "name": name,
            "role": role,
            "availability_zone": zone,
            "host": _HOST,
            "port": self._ports[name],
            "group": group,
        }
