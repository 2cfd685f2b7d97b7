"""A deployment as real processes on loopback, started by the product's commands."""

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
_START_S = 60.0
_POLL_S = 0.1
_STOP_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Shape(NamedTuple):
    """What a deployment consists of.

    Attributes:
        zones: Availability zones.
        entries: Entries.
        engines: Model engines.
        services: Plain services.
        warm: Whether the engines start warm.
        cold_streams: First limit of a sidecar.
        requests_per_minute: Allowance of the ordinary preset.
        tokens_per_minute: Allowance of the ordinary preset.
        share_engine: Whether all sidecars stand before one engine, to measure idling.
        routing: Items of the routing settings.
        timing: Items of the timing settings.
        limits: Items of the limit settings.
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


class Usage(NamedTuple):
    """What a process has used.

    Attributes:
        cpu_s: Processor seconds.
        memory_bytes: Resident memory.
        moved_bytes: Bytes read and written, on sockets too.
    """

    cpu_s: float
    memory_bytes: int
    moved_bytes: int


def _hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """Processes of one deployment.

    Args:
        shape: What it consists of.
    """

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self._directory = tempfile.TemporaryDirectory(prefix="hoist")
        self._path = Path(self._directory.name)
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
        """Headers of a caller."""
        return {"Authorization": "Bearer key-club"}

    @property
    def operator_headers(self) -> dict[str, str]:
        """Headers of an operator."""
        return {"Authorization": "Bearer key-operator"}

    def zone_of(self, index: int) -> str:
        """Zone of the instance with an index."""
        return self.zones[index % len(self.zones)]

    def url(self, name: str) -> str:
        """Base URL of a process."""
        return f"http://{_HOST}:{self._ports[name]}"

    def entry_url(self, index: int) -> str:
        """Base URL of an entry, for callers."""
        return self.url(f"http-{index % self.shape.entries}")

    def usage(self, name: str) -> Usage:
        """What a process has used so far."""
        number = self._processes[name].pid
        fields = Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(Path(f"/proc/{number}/statm").read_text().split()[1])
        io = dict(
            line.split(": ")
            for line in Path(f"/proc/{number}/io").read_text().splitlines()
        )
        moved = int(io["rchar"]) + int(io["wchar"])
        return Usage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES, moved)

    async def start(self) -> None:
        """Start all processes, and wait until every entry serves."""
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
        self._run(name, role, str(self._path / f"{name}.yaml"))

    def stop_process(self, name: str, *, kill: bool = False) -> None:
        """Ask a process to stop, or kill it."""
        self._processes[name].send_signal(signal.SIGKILL if kill else signal.SIGTERM)

    def wait_process(self, name: str) -> int:
        """Wait for a stopped process; its exit code."""
        return self._processes[name].wait(timeout=_STOP_S)

    async def close(self) -> None:
        """Stop all processes."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._directory.cleanup()

    def _run(self, name: str, *arguments: str) -> None:
        log = (self._path / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "gentianhoist", *arguments]
        self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def log(self, name: str) -> str:
        """What a process has logged."""
        return (self._path / f"{name}.log").read_text()

    def _port(self, name: str) -> str:
        return str(self._ports[name])

    def _sidecar_names(self) -> list[str]:
        services = [f"service-{index}" for index in range(self.shape.services)]
        return [*self.sidecars, *services]

    async def _wait_until_ready(self) -> None:
        expected = len(self._sidecar_names()) + self.shape.entries - 1
        async with asyncio.timeout(_START_S), aiohttp.ClientSession() as session:
            for index in range(self.shape.entries):
                while not await self._is_ready(session, index, expected):
                    await asyncio.sleep(_POLL_S)

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
        self._write("deployment", self._deployment())
        for index in range(self.shape.entries):
            self._write(
                f"entry-{index}",
                {
                    "instance": f"entry-{index}",
                    "availability_zone": self.zone_of(index),
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
                    "availability_zone": self.zone_of(int(index)),
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
        path = self._path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content), encoding="utf-8")

    def _address(self, name: str) -> dict[str, Any]:
        return {"host": _HOST, "port": self._ports[name]}

    def _deployment(self) -> dict[str, Any]:
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
                {"name": "club", "api_key_sha256": _hash("key-club")},
                {"name": "crew", "api_key_sha256": _hash("key-crew")},
            ],
            "operators": [
                {"name": "operator", "api_key_sha256": _hash("key-operator")}
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
                        "availability_zone": self.zone_of(index),
                        **self._address(f"entry-{index}"),
                    }
                    for index in range(shape.entries)
                ),
                *(
                    {
                        "name": name,
                        "role": "sidecar",
                        "availability_zone": self.zone_of(int(name.split("-")[1])),
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
