"""Fleet of a soak: entry processes, stand-in backend servers, store, faulty links."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

import msgspec

from gentianhoist_platform.standins import (
    ServerStandin,
    StoreStandin,
    operator_configuration,
)
from soak._proxy import FaultyProxy

__all__ = ["EntryProcess", "SoakFleet"]

_REPOSITORY = Path(__file__).parent.parent
_ENGINE_COUNT = 4
_NON_STREAMING_SERVER_COUNT = 3
_STOP_TIMEOUT_S = 5.0
_RESTART_POLL_INTERVAL_S = 0.3
_HOSTS_PER_BLOCK = 200


_allocated_ports: set[int] = set()


def _allocate_port(host: str = "127.0.0.1") -> int:
    """Find a free TCP port that this function has not returned before.

    The system may offer a port again while its first user has not bound it yet.
    """
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = int(sock.getsockname()[1])
        if port not in _allocated_ports:
            _allocated_ports.add(port)
            return port


def _loopback_host(number: int) -> str:
    """Loopback address of an entry.

    Entries share one port for peer traffic, so that each needs an address of its own.
    """
    block, offset = divmod(number, _HOSTS_PER_BLOCK)
    return f"127.0.{block + 1}.{offset + 1}"


class EntryProcess:
    """Entry that runs as a process of its own and can be restarted.

    Args:
        number: Index of the entry; determines its address.
        store_port: Port of its proxied link to the store.
        peers_port: Port for traffic between entries, the same for all.
        folder: Folder for its settings file and its log.

    Attributes:
        address: Host and port for callers.
        is_paused: Whether the last SIGSTOP was not followed by SIGCONT.
    """

    def __init__(
        self, number: int, store_port: int, peers_port: int, folder: Path
    ) -> None:
        host = _loopback_host(number)
        self.address = f"{host}:{_allocate_port(host)}"
        self.is_paused = False
        self._log_path = folder / f"entry-{number}.log"
        self._settings_path = folder / f"entry-{number}.conf"
        self._process: asyncio.subprocess.Process | None = None
        settings = {
            "node_name": f"edge-{number}",
            "ip": host,
            "zone": "z1",
            "listen.frontend": self.address,
            "listen.ready": f"{host}:{_allocate_port(host)}",
            "internal_ports": f"{peers_port},{peers_port}",
            "platform.address": f"127.0.0.1:{store_port}",
            "bounds.grace_s": "4",
            "metrics_port": str(_allocate_port(host)),
        }
        text = "".join(f"{name}={value}\n" for name, value in settings.items())
        self._settings_path.write_text(text, encoding="utf-8")

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process unless it is running.

        Raises:
            OSError: If the process can't be started.
        """
        if self.is_running:
            return
        exit_status = None if self._process is None else self._process.returncode
        python_path = os.pathsep.join([str(_REPOSITORY), str(_REPOSITORY / "platform")])
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gentianhoist_platform",
                "entry",
                str(self._settings_path),
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": python_path},
            )
        self.log("process_started", pid=self._process.pid, exit_status=exit_status)

    def log(self, decision: str, **details: object) -> None:
        """Add a line to the entry's log, which the time lines of a report show."""
        line = {"time_s": round(time.time(), 3), "decision": decision, **details}
        with self._log_path.open("ab") as log:
            log.write(msgspec.json.encode(line) + b"\n")

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running.

        Args:
            signal_number: Signal to send.
        """
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(signal_number)
            if signal_number in {signal.SIGSTOP, signal.SIGCONT}:
                self.is_paused = signal_number is signal.SIGSTOP

    async def close(self) -> None:
        """Stop the process with SIGTERM, or SIGKILL if it exceeds the timeout."""
        if not self.is_running:
            return
        assert self._process is not None
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), _STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()


class SoakFleet:
    """Store, backend servers and entries of a soak, with the links between them.

    Args:
        entries: Number of entries.
        folder: Folder for the settings and logs of the entries.

    Attributes:
        store: Stand-in of the store.
        servers: Stand-ins of the backend servers.
        links: Proxies in front of each server, and of the store for each entry.
        entries: Entry processes.
        version: Version of the last published configuration; 1 before the first.
    """

    def __init__(self, entries: int, folder: Path) -> None:
        self.store = StoreStandin()
        self.servers: list[ServerStandin] = []
        self.links: list[FaultyProxy] = []
        self.entries: list[EntryProcess] = []
        self.version = 1
        self._supervisor: asyncio.Task[None] | None = None
        self._entry_count = entries
        self._folder = folder

    async def start(self) -> None:
        """Start the store, the servers behind proxied links, and the entries."""
        await self.store.start()
        self.publish_configuration()
        for number in range(_ENGINE_COUNT + _NON_STREAMING_SERVER_COUNT):
            await self._add_server(number)
        peers_port = _allocate_port()
        for number in range(self._entry_count):
            # Each entry has its own link to the store, so that a fault can isolate one.
            store_link = FaultyProxy(self.store.port)
            await store_link.start()
            self.links.append(store_link)
            entry = EntryProcess(number, store_link.port, peers_port, self._folder)
            self.entries.append(entry)
            await entry.start()
        self._supervisor = asyncio.ensure_future(self._supervise())

    async def _supervise(self) -> None:
        """Look for exited entries at a fixed interval and restart them."""
        while True:
            await asyncio.sleep(_RESTART_POLL_INTERVAL_S)
            for entry in self.entries:
                try:
                    await entry.start()
                except OSError as error:
                    entry.log("process_not_started", cause=repr(error))

    def publish_configuration(self) -> None:
        """Write the routing configuration to the store under a newer version."""
        # Entries apply any higher version; versions need not be consecutive.
        self.version += 3
        self.store.put("op", "config", operator_configuration(self.version))

    def count_executions(self, request_id: str) -> int:
        """Count the executions of a request on all servers."""
        return sum(server.runs[request_id] for server in self.servers)

    async def close(self) -> None:
        """Stop the entries, links, servers and the store."""
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
        service = "engines" if number < _ENGINE_COUNT else "desk"
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
