"""Entries as processes of their own, before stand-ins behind faulty links."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

from gentianhoist_platform.standins import (
    ServerStandin,
    StoreStandin,
    operator_configuration,
)
from soak._proxy import FaultyProxy

__all__ = ["EntryProcess", "SoakFleet"]

_ROOT = Path(__file__).parent.parent
_ENGINES = 4
_DESKS = 3
_STOP_S = 5.0
_RESTART_S = 0.3
_HOSTS_A_BLOCK = 200


_ports_given: set[int] = set()


def _free_port(host: str = "127.0.0.1") -> int:
    """A port that nobody has, and that was not given before."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = int(sock.getsockname()[1])
        if port not in _ports_given:
            _ports_given.add(port)
            return port


def _host(number: int) -> str:
    """An address of this machine for each entry, so that they find each other."""
    block, place = divmod(number, _HOSTS_A_BLOCK)
    return f"127.0.{block + 1}.{place + 1}"


class EntryProcess:
    """One entry, started and ended by its own id.

    Args:
        number: Its number; decides its address.
        store_port: Port of its link to the store.
        peers_port: Port on which entries speak to each other.
        folder: For its settings and its log.
    """

    def __init__(
        self, number: int, store_port: int, peers_port: int, folder: Path
    ) -> None:
        host = _host(number)
        self.address = f"{host}:{_free_port(host)}"
        self.is_paused = False
        self._log = folder / f"entry-{number}.log"
        self._settings = folder / f"entry-{number}.conf"
        self._process: asyncio.subprocess.Process | None = None
        lines = {
            "node_name": f"edge-{number}",
            "ip": host,
            "zone": "z1",
            "listen.frontend": self.address,
            "listen.ready": f"{host}:{_free_port(host)}",
            "internal_ports": f"{peers_port},{peers_port}",
            "platform.address": f"127.0.0.1:{store_port}",
            "bounds.grace_s": "4",
            "metrics_port": str(_free_port(host)),
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self._settings.write_text(text, encoding="utf-8")

    @property
    def is_running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, unless it runs."""
        if self.is_running:
            return
        path = os.pathsep.join([str(_ROOT), str(_ROOT / "platform")])
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gentianhoist_platform",
                "entry",
                str(self._settings),
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": path},
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send it a signal, if it runs."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(signal_number)
            if signal_number in {signal.SIGSTOP, signal.SIGCONT}:
                self.is_paused = signal_number is signal.SIGSTOP

    async def close(self) -> None:
        """End it, gracefully if it can."""
        if not self.is_running:
            return
        assert self._process is not None
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), _STOP_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()


class SoakFleet:
    """Everything that a soak runs.

    Args:
        entries: How many entries.
        folder: For settings and logs.
    """

    def __init__(self, entries: int, folder: Path) -> None:
        self.store = StoreStandin()
        self.servers: list[ServerStandin] = []
        self.links: list[FaultyProxy] = []
        self.entries: list[EntryProcess] = []
        self.version = 1
        self._supervisor: asyncio.Task[None] | None = None
        self._wanted = entries
        self._folder = folder

    async def start(self) -> None:
        """Start the store, the servers behind links, and the entries."""
        await self.store.start()
        self.publish_configuration()
        for number in range(_ENGINES + _DESKS):
            await self._add_server(number)
        peers_port = _free_port()
        for number in range(self._wanted):
            # Each has a link of its own to the store, so that one may be cut off.
            store_link = FaultyProxy(self.store.port)
            await store_link.start()
            self.links.append(store_link)
            entry = EntryProcess(number, store_link.port, peers_port, self._folder)
            self.entries.append(entry)
            await entry.start()
        self._supervisor = asyncio.ensure_future(self._supervise())

    async def _supervise(self) -> None:
        """Start every process again a short time after its end."""
        while True:
            await asyncio.sleep(_RESTART_S)
            for entry in self.entries:
                await entry.start()

    def publish_configuration(self) -> None:
        """Write a newer configuration."""
        self.version += 3
        self.store.put("op", "config", operator_configuration(self.version))

    def count_executions(self, request_id: str) -> int:
        """How often servers ran a request."""
        return sum(server.runs[request_id] for server in self.servers)

    async def close(self) -> None:
        """End what was started, by its id."""
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.gather(self._supervisor, return_exceptions=True)
        await asyncio.gather(*(entry.close() for entry in self.entries))
        for link in self.links:
            await link.close()
        for server in self.servers:
            await server.close()
        await self.store.close()

    async def _add_server(self, number: int) -> None:
        service = "engines" if number < _ENGINES else "desk"
        server = ServerStandin(
            f"s{number}",
            service,
            f"z{number % 3}",
            self.store,
            streaming=service == "engines",
        )
        await server.start(register=False)
        link = FaultyProxy(server.port)
        await link.start()
        server.register(f"127.0.0.1:{link.port}")
        self.servers.append(server)
        self.links.append(link)
