"""Deployment of real processes on loopback, started with the gentianhoist command."""

from __future__ import annotations

import asyncio
import hashlib
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import yaml

from gentianhoist.demo import find_free_ports

_HOST = "127.0.0.1"
_START_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.1
_STOP_TIMEOUT_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class DeploymentShape(NamedTuple):
    """Size and settings of a deployment.

    Attributes:
        zones: Number of availability zones.
        entries: Number of entries.
        engines: Number of model engines, each with a sidecar.
        services: Number of plain services, each with a sidecar.
        warm: Whether the engines start warmed up.
        cold_streams: Concurrency limit of a sidecar after a cold start.
        requests_per_minute: Request allowance of the ordinary preset.
        tokens_per_minute: Token allowance of the ordinary preset.
        share_engine: Whether all sidecars share one engine, to measure idle overhead.
        routing: Overrides of the routing settings.
        timing: Overrides of the timing settings.
        limits: Overrides of the limit settings.
    """

    zones: int = 3
    entries: int = 2
    engines: int = 6
    services: int = 0
    warm: bool = True
    cold_streams: int = 16
    requests_per_minute: int = 600_000
    tokens_per_minute: int = 2_000_000_000
    share_engine: bool = False
    routing: dict[str, Any] = {}
    timing: dict[str, Any] = {}
    limits: dict[str, Any] = {}


class ResourceUsage(NamedTuple):
    """Resources that a process has used since its start.

    Attributes:
        cpu_s: CPU time in seconds.
        memory_bytes: Current resident memory.
        io_bytes: Bytes read and written, including sockets.
    """

    cpu_s: float
    memory_bytes: int
    io_bytes: int


def _sha256(api_key: str) -> str:
    return hashlib.sha256(api_key.encode()).hexdigest()


class Deployment:
    """Processes of one deployment.

    Processes go by their instance names: ``entry-0``, ``engine-0`` and ``service-0``
    (sidecars), ``engine-server-0`` and ``service-server-0`` (stand-ins), ``platform``.
    The name of an entry or a sidecar also stands for its gRPC address; ``http-0`` is
    no process but stands for the address of the HTTP API of ``entry-0``.

    Args:
        shape: Size and settings.

    Attributes:
        shape: Size and settings.
    """

    def __init__(self, shape: DeploymentShape) -> None:
        self.shape = shape
        self._directory = tempfile.TemporaryDirectory(prefix="hoist")
        self._folder = Path(self._directory.name)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        names = [f"http-{index}" for index in range(shape.entries)]
        names += [f"entry-{index}" for index in range(shape.entries)]
        for kind, count in (("engine", shape.engines), ("service", shape.services)):
            names += [f"{kind}-{index}" for index in range(count)]
            names += [f"{kind}-server-{index}" for index in range(count)]
        names.append("platform")
        self._ports = dict(zip(names, find_free_ports(len(names)), strict=True))

    @property
    def zones(self) -> list[str]:
        """Names of the availability zones."""
        return [f"zone-{letter}" for letter in "abcdefghij"[: self.shape.zones]]

    @property
    def sidecars(self) -> list[str]:
        """Names of the engines' sidecars."""
        return [f"engine-{index}" for index in range(self.shape.engines)]

    @property
    def caller_headers(self) -> dict[str, str]:
        """HTTP headers that authenticate a caller."""
        return {"Authorization": "Bearer key-club"}

    @property
    def operator_headers(self) -> dict[str, str]:
        """HTTP headers that authenticate an operator."""
        return {"Authorization": "Bearer key-operator"}

    def instance_zone(self, index: int) -> str:
        """Availability zone of the instance with an index."""
        return self.zones[index % len(self.zones)]

    def url(self, name: str) -> str:
        """HTTP base URL of a stand-in, or of an entry under its name ``http-N``."""
        return f"http://{_HOST}:{self._ports[name]}"

    def entry_url(self, index: int) -> str:
        """Base URL of an entry's HTTP API; the index wraps around."""
        return self.url(f"http-{index % self.shape.entries}")

    def resource_usage(self, name: str) -> ResourceUsage:
        """Read the resources that a process has used so far."""
        pid = self._processes[name].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        io_counters = dict(
            line.split(": ")
            for line in Path(f"/proc/{pid}/io").read_text().splitlines()
        )
        io_bytes = int(io_counters["rchar"]) + int(io_counters["wchar"])
        return ResourceUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES, io_bytes)

    async def start(self) -> None:
        """Start all processes and wait until every entry is ready to serve.

        Raises:
            TimeoutError: An entry is not ready in time.
        """
        self._write_settings()
        self._run("platform", "standin", "platform", "--port", self._port("platform"))
        for index in range(1 if self.shape.share_engine else self.shape.engines):
            warm = ["--warm"] if self.shape.warm else []
            port = self._port(f"engine-server-{index}")
            self._run(
                f"engine-server-{index}", "standin", "engine", "--port", port, *warm
            )
        for index in range(self.shape.services):
            port = self._port(f"service-server-{index}")
            self._run(f"service-server-{index}", "standin", "service", "--port", port)
        for name in self._sidecar_names():
            self.start_process(name)
        for index in range(self.shape.entries):
            self.start_process(f"entry-{index}")
        await self._wait_until_ready()

    def start_process(self, name: str) -> None:
        """Start an entry or a sidecar."""
        role = "entry" if name.startswith("entry") else "sidecar"
        self._run(name, role, str(self._folder / f"{name}.yaml"))

    def stop_process(self, name: str, *, kill: bool = False) -> None:
        """Send SIGTERM to a process, or SIGKILL.

        Args:
            name: Name of the process.
            kill: Whether to send SIGKILL.
        """
        self._processes[name].send_signal(signal.SIGKILL if kill else signal.SIGTERM)

    def wait_process(self, name: str) -> int:
        """Wait until a stopped process exits.

        Returns:
            Its exit code.

        Raises:
            subprocess.TimeoutExpired: The process does not exit in time.
        """
        return self._processes[name].wait(timeout=_STOP_TIMEOUT_S)

    async def close(self) -> None:
        """Kill all processes and remove their settings and logs."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._directory.cleanup()

    def _run(self, name: str, *arguments: str) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "gentianhoist", *arguments]
        self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def read_log(self, name: str) -> str:
        """Read the log of a process."""
        return (self._folder / f"{name}.log").read_text()

    def _port(self, name: str) -> str:
        return str(self._ports[name])

    def _sidecar_names(self) -> list[str]:
        services = [f"service-{index}" for index in range(self.shape.services)]
        return [*self.sidecars, *services]

    async def _wait_until_ready(self) -> None:
        expected = len(self._sidecar_names()) + self.shape.entries - 1
        async with (
            asyncio.timeout(_START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            for index in range(self.shape.entries):
                while not await self._is_ready(session, index, expected):
                    await asyncio.sleep(_POLL_INTERVAL_S)

    async def _is_ready(
        self, session: aiohttp.ClientSession, index: int, expected: int
    ) -> bool:
        url = f"{self.entry_url(index)}/operators/v1/status"
        try:
            async with session.get(url, headers=self.operator_headers) as response:
                status = await response.json()
        except aiohttp.ClientError:
            return False
        if response.status != 200 or not status["confirmed"]:
            return False
        live = [
            member
            for member in status["members"]
            if member["state"] == "live"
            and not member["leaving"]
            and member["configuration_version"]
        ]
        return len(live) == expected and status["share_ppm"] > 0

    def _write_settings(self) -> None:
        self._write("deployment", self._deployment_settings())
        for index in range(self.shape.entries):
            self._write(
                f"entry-{index}",
                {
                    "instance": f"entry-{index}",
                    "availability_zone": self.instance_zone(index),
                    "http": self._address(f"http-{index}"),
                    "grpc": self._address(f"entry-{index}"),
                    "log_level": "warning",
                },
            )
        for name in self._sidecar_names():
            kind, _, index = name.partition("-")
            self._write(
                name,
                {
                    "instance": name,
                    "availability_zone": self.instance_zone(int(index)),
                    "grpc": self._address(name),
                    "group": f"{kind}s",
                    "backend_server_url": self._server_url(kind, index),
                    "log_level": "warning",
                },
            )

    def _server_url(self, kind: str, index: str) -> str:
        shared = self.shape.share_engine and kind == "engine"
        return self.url(f"{kind}-server-{0 if shared else index}")

    def _write(self, name: str, content: dict[str, Any]) -> None:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content), encoding="utf-8")

    def _address(self, name: str) -> dict[str, Any]:
        return {"host": _HOST, "port": self._ports[name]}

    def _deployment_settings(self) -> dict[str, Any]:
        shape = self.shape
        groups: list[dict[str, Any]] = [
            {
                "name": "engines",
                "kind": "engine",
                "models": ["planner"],
                "cold_streams": shape.cold_streams,
            }
        ]
        if shape.services:
            groups.append({
                "name": "services",
                "kind": "service",
                "service": "valve-control",
                "operations": [
                    {"name": "flood"},
                    {"name": "status", "idempotent": True},
                ],
                "cold_streams": 64,
                "max_streams": 512,
            })
        return {
            "name": "bench",
            "availability_zones": self.zones,
            "platform": {"url": self.url("platform")},
            "models": [{"name": "planner", "context_tokens": 1_100_000}],
            "groups": groups,
            "organisations": [
                {"name": "club", "api_key_sha256": _sha256("key-club")},
                {"name": "crew", "api_key_sha256": _sha256("key-crew")},
            ],
            "operators": [
                {"name": "operator", "api_key_sha256": _sha256("key-operator")}
            ],
            "presets": [
                {
                    "name": "ordinary",
                    "requests_per_minute": shape.requests_per_minute,
                    "tokens_per_minute": shape.tokens_per_minute,
                },
                {
                    "name": "maintenance",
                    "requests_per_minute": max(1, shape.requests_per_minute // 4),
                    "tokens_per_minute": max(1, shape.tokens_per_minute // 4),
                },
            ],
            "preset_in_force": "ordinary",
            "instances": [
                *(
                    {
                        "name": f"entry-{index}",
                        "role": "entry",
                        "availability_zone": self.instance_zone(index),
                        **self._address(f"entry-{index}"),
                    }
                    for index in range(shape.entries)
                ),
                *(
                    {
                        "name": name,
                        "role": "sidecar",
                        "availability_zone": self.instance_zone(
                            int(name.split("-")[1])
                        ),
                        "group": f"{name.split('-')[0]}s",
                        **self._address(name),
                    }
                    for name in self._sidecar_names()
                ),
            ],
            "routing": shape.routing,
            "timing": shape.timing,
            "limits": shape.limits,
        }
