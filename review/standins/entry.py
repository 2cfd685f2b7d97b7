"""Starts entries as processes, with the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from pathlib import Path

from standins.client import is_ready

__all__ = ["Entry", "free_port"]

_REPOSITORY = Path(__file__).resolve().parent.parent.parent
_KEPT_VARIABLES = ("PATH", "HOME", "LANG")
_ZONES = ("lautoka-a", "nadi-b", "ba-c")


def free_port(host: str = "127.0.0.1") -> int:
    """Return a TCP port of an address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Entry:
    """An entry that runs as a process of its own.

    Args:
        number: Number of the entry, from 0; gives its address and zone.
        store_port: Port of the store.
        peers_port: Port for traffic between entries, the same for all.
        folder: Folder for its settings and its log.
    """

    def __init__(
        self, number: int, store_port: int, peers_port: int, folder: Path
    ) -> None:
        self.host = f"127.0.1.{number + 1}"
        self.address = (self.host, free_port(self.host))
        self.readiness = (self.host, free_port(self.host))
        self.log = folder / f"entry-{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"entry-{number}.conf"
        control = f"{self.host}:{free_port(self.host)}"
        zone = _ZONES[number % len(_ZONES)]
        fields = {
            "node_name": f"edge-{zone}-{number + 1}",
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge",
            "ip": self.host,
            "zone": zone,
            "region": "viti-west",
            **{f"zones.{name}": "viti-west" for name in _ZONES},
            "listen.frontend": f"{self.host}:{self.address[1]}",
            "listen.ready": f"{self.host}:{self.readiness[1]}",
            "listen.control": control,
            "internal_ports": f"{peers_port},{peers_port + 15}",
            "seeds": control,
            "bootstrap": "true",
            "limits.cpu_share": "0.817",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4200",
            "heartbeat_ms": "1200",
            "bounds.contact_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_ratio": "0.2",
            "bounds.retry_slack": "102",
            "platform.address": f"127.0.0.1:{store_port}",
            "platform.form": "table",
            # Entries on one machine can't share the port of the deploy file.
            "metrics_port": str(free_port(self.host)),
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._settings.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((_REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        variables = {
            name: os.environ[name] for name in _KEPT_VARIABLES if name in os.environ
        }
        variables["GENTIANHOIST_SETTINGS"] = str(self._settings)
        variables["PYTHONPATH"] = "target/deps"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=_REPOSITORY, env=variables, stdout=log, stderr=log
            )

    async def wait_ready(self, within_s: float = 15.0) -> None:
        """Wait until the entry says that it is ready.

        Raises:
            TimeoutError: If it doesn't.
        """
        async with asyncio.timeout(within_s):
            while not await is_ready(self.readiness):
                await asyncio.sleep(0.1)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
