"""Entries as processes of their own, the store, and the settings of a small site."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import time
from pathlib import Path

from gentianhoist_platform.standins import StoreStandin
from review.harness2.servers import ServerSpec

__all__ = [
    "HOST",
    "KEY",
    "Entry",
    "configuration",
    "free_port",
    "put_server",
    "response_status",
]

HOST = "a.example"
KEY = "key-1"
_REPOSITORY = Path(__file__).parent.parent.parent
# As the deploy file gives it.
_RUN_COMMAND = ["python3", "-S", "-m", "gentianhoist_platform.start"]
_READY_TIMEOUT_S = 15.0
_ENGINE = {
    "slots": 8,
    "kv_capacity": 232_000,
    "stride": 43,
    "step_ms": 1.02,
    "per_seq_ms": 0.0045,
    "context_per_k": 0.0043,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
}

_given_ports: set[int] = set()


def free_port(host: str = "127.0.0.1") -> int:
    """Find a free TCP port that this function has not returned before."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = int(sock.getsockname()[1])
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def configuration(version: int) -> dict:
    """Routes, services and limits as on the page of the wire."""
    common = {"host": HOST, "priority": 1, "max_attempts": 2}
    return {
        "version": version,
        "routes": [
            common
            | {"name": "brief", "prefix": "/brief/", "route_kind": "streaming"}
            | {"service": "engines", "goal_ms": 300, "gap_goal_ms": 250}
            | {"timeout_ms": 10_000, "resumable": True, "sticky": True},
            common
            | {"name": "press", "prefix": "/press/", "route_kind": "non_idempotent"}
            | {"service": "desk", "goal_ms": 125, "timeout_ms": 2_000}
            | {"max_attempts": 1},
        ],
        "services": [
            {"name": "engines", "max_conns": 424, "engine": _ENGINE},
            {"name": "desk", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "club", "api_keys": [KEY]}],
    }


def put_server(store: StoreStandin, spec: ServerSpec) -> None:
    """Write the row of a server, as the server would."""
    row = {
        "service": spec.service,
        "address": f"127.0.0.1:{spec.port}",
        "zone": "z1",
        "version": "v1",
        "slots": spec.slots,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    store.put("servers", spec.id, row)


class Entry:
    """An entry, started as the deploy file says.

    Args:
        number: Number of the machine, which gives its loopback address.
        store_port: Port of the store.
        peers_port: First internal port, the same on all machines.
        folder: Folder for the settings file and the log.
        memory_mb: Memory of the machine.

    Attributes:
        host: Its address.
        port: Port for callers.
    """

    def __init__(
        self,
        number: int,
        store_port: int,
        peers_port: int,
        folder: Path,
        memory_mb: int = 300,
    ) -> None:
        self.host = f"127.0.1.{number + 1}"
        self.port = free_port(self.host)
        self.name = f"edge-{number + 1}"
        self._ready_port = free_port(self.host)
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        settings = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge",
            "ip": self.host,
            "zone": "z1",
            "region": "r1",
            "zones.z1": "r1",
            "listen.frontend": f"{self.host}:{self.port}",
            "listen.ready": f"{self.host}:{self._ready_port}",
            "internal_ports": f"{peers_port},{peers_port + 15}",
            "limits.cores": 1,
            "limits.memory_mb": memory_mb,
            "limits.max_fds": 4200,
            "heartbeat_ms": 1200,
            "bounds.contact_ms": 3000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.retry_ratio": 0.2,
            "bounds.retry_slack": 102,
            "platform.address": f"127.0.0.1:{store_port}",
            "platform.form": "table",
            "metrics_port": free_port(self.host),
        }
        text = "".join(f"{name}={value}\n" for name, value in settings.items())
        self._settings.write_text(text, encoding="utf-8")

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["GENTIANHOIST_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = "target/deps"
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                _RUN_COMMAND, cwd=_REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def wait(self) -> int:
        """Wait for the end of the process; returns its exit status."""
        assert self._process is not None
        return self._process.wait()

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.is_running:
            assert self._process is not None
            self._process.kill()
            self._process.wait()

    def resident_mb(self) -> float:
        """Resident memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Ask the readiness address once, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self._ready_port
                )
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
                status = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in status

    async def wait_ready(self) -> None:
        """Wait until it reports itself ready.

        Raises:
            TimeoutError: If it doesn't.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


async def response_status(reader: asyncio.StreamReader) -> int:
    """Read a whole response; returns its status.

    Raises:
        asyncio.IncompleteReadError: If it ends early.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lower_head = head.lower()
    if b"content-length:" in lower_head:
        length = lower_head.split(b"content-length:")[1].split(b"\r\n")[0]
        await reader.readexactly(int(length))
    else:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    return int(head.split()[1])
