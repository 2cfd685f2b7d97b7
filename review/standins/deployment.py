"""A small deployment: a store, servers, and entries as processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType

from standins.client import HOST, KEY
from standins.entry import Entry, free_port
from standins.record import Record
from standins.server import Server
from standins.store import Store

__all__ = ["BROKEN", "HELD", "Deployment", "has_trouble", "main"]

HELD = 0
BROKEN = 1
_NOT_RUN = 2
_TIME_LIMIT_S = 115.0
_CONTACT_S = 3.2
_ZONES = ("lautoka-a", "nadi-b", "ba-c")
_ENGINE = {
    "slots": 8,
    "kv_capacity": 232_000,
    "stride": 43,
    "step_ms": 1.02,
    "per_seq_ms": 0.00226,
    "context_per_k": 0.00431,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.138,
    "chunk": 2048,
    "usual": {"prompt": 5000, "answer": 1360},
    "delays": {},
    "report_lag_ms": 300,
}


def has_trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """Store, servers and entries; an asynchronous context manager.

    Args:
        folder: Folder of the case, for its record.
        entries: Number of entries.
    """

    def __init__(self, folder: Path, entries: int = 2) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.servers: dict[str, Server] = {}
        self.entries: list[Entry] = []
        self._entry_count = entries
        self._temporary = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> Deployment:
        try:
            await self.store.start()
        except BaseException:
            await self.close()
            raise
        self.configure(100)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def add_server(self, server: Server) -> Server:
        """Start a server."""
        self.servers[server.id] = server
        await server.start()
        return server

    async def add_servers(self, engines: int, desks: int) -> None:
        """Start sound servers of both services."""
        for number in range(engines):
            await self.add_server(self.engine(number))
        for number in range(desks):
            await self.add_server(self.desk(number))

    def engine(self, number: int) -> Server:
        """Create a model server."""
        zone = _ZONES[number % len(_ZONES)]
        return Server(
            f"i-e{number:07x}",
            "flight-assist",
            zone,
            self.store,
            self.record,
            streaming=True,
        )

    def desk(self, number: int) -> Server:
        """Create a server of the plain service."""
        zone = _ZONES[number % len(_ZONES)]
        return Server(
            f"i-d{number:07x}",
            "press-desk",
            zone,
            self.store,
            self.record,
            streaming=False,
        )

    async def start_entries(self) -> None:
        """Start the entries and wait until they are ready."""
        peers_port = free_port("127.0.1.1")
        folder = Path(self._temporary.name)
        for number in range(self._entry_count):
            entry = Entry(number, self.store.port, peers_port, folder)
            self.entries.append(entry)
            await entry.start()
        started_s = asyncio.get_running_loop().time()
        for entry in self.entries:
            await entry.wait_ready()
        # Machines are in touch contact_ms after their start.
        elapsed_s = asyncio.get_running_loop().time() - started_s
        await asyncio.sleep(max(0.0, _CONTACT_S - elapsed_s))
        self.record.write(f"{len(self.entries)} entries are ready")

    def configure(self, version: int) -> None:
        """Write the routing configuration to the store."""
        common = {"host": HOST, "anonymous": False}
        stream = {
            "service": "flight-assist",
            "route_kind": "streaming",
            "resumable": True,
            "sticky": True,
            "timeout_ms": 10_000,
            "goal_ms": 300,
            "gap_goal_ms": 250,
            "priority": 1,
            "max_attempts": 2,
        }
        audit = stream | {"timeout_ms": 15_000, "goal_ms": 2500, "gap_goal_ms": 1000}
        desk = {"service": "press-desk", "goal_ms": 100, "priority": 2}
        queue = {"route_kind": "non_idempotent", "max_attempts": 1, "timeout_ms": 3000}
        lookup = {"route_kind": "idempotent", "max_attempts": 2, "timeout_ms": 3000}
        routes = [
            common | stream | {"name": "artwork-brief", "prefix": "/brief/"},
            common | audit | {"name": "season-audit", "prefix": "/audit/"},
            common | desk | queue | {"name": "press-queue", "prefix": "/press/"},
            common | desk | lookup | {"name": "proof-lookup", "prefix": "/proof/"},
        ]
        services = [
            {"name": "flight-assist", "max_conns": 424, "engine": _ENGINE},
            {"name": "press-desk", "max_conns": 100},
        ]
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4 * 1024 * 1024,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 10_000,
        }
        configuration = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
        }
        self.store.put("op", "config", configuration)

    def entry_log(self, number: int) -> str:
        """What an entry has printed so far."""
        return self.entries[number].log.read_text(encoding="utf-8", errors="replace")

    async def close(self) -> None:
        """End all processes and servers."""
        for entry in self.entries:
            await entry.kill()
        for server in self.servers.values():
            server.close()
        self.store.close()
        self._temporary.cleanup()


def main(folder: Path, run: Callable[[Path], Awaitable[int]]) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 could not run."""

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        # The entries must end with the case, also if it is stopped.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(_TIME_LIMIT_S):
            return await run(folder)

    try:
        code = asyncio.run(limited())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = _NOT_RUN
    print({HELD: "held", BROKEN: "BROKEN", _NOT_RUN: "could not run"}[code])
    sys.exit(code)
