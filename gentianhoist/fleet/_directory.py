"""The directory of backend servers, as an entry last heard of it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gentianhoist.fleet.core import BackendServer, ServerState

__all__ = ["Directory", "ServerListing"]

# After an outage of the store, servers that are alive write their entries again
# within this time.
_RETURN_AFTER_OUTAGE_S = 1.5


class ServerListing(NamedTuple):
    """A change of one entry of the directory.

    Attributes:
        id: The server.
        server: What it is, or nothing if the entry is gone or can't be read.
    """

    id: str
    server: BackendServer | None


class Directory:
    """Backend servers, and availability zones that operators have taken out."""

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._missing_since_s: dict[str, float] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._heard_s: float | None = None
        self._regained_s = float("-inf")
        # Servers by group that say they are ready, until something changes.
        self._ready: dict[str, list[BackendServer]] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the directory was read at least once."""
        return self._heard_s is not None

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """All servers known, by id."""
        return self._servers

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that get no new requests."""
        return self._zones_out

    def age_s(self, now_s: float) -> float:
        """Seconds since the directory was last heard of."""
        return float("inf") if self._heard_s is None else now_s - self._heard_s

    def on_store_recovered(self, now_s: float) -> None:
        """The store answers after an outage, in which entries may have expired."""
        self._regained_s = now_s

    def replace(self, listings: Iterable[ServerListing], now_s: float) -> None:
        """Take the whole directory."""
        self._hear(now_s)
        present = {item.id: item.server for item in listings if item.server is not None}
        for id_ in list(self._servers):
            if id_ not in present:
                self._lose(id_, now_s)
        for server in present.values():
            self._add(server)

    def apply_changes(self, listings: Iterable[ServerListing], now_s: float) -> None:
        """Take changes of single entries."""
        self._hear(now_s)
        for item in listings:
            if item.server is None:
                self._lose(item.id, now_s)
            else:
                self._add(item.server)

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Set the availability zones that get no new requests."""
        self._zones_out = frozenset(zones)
        self._ready.clear()

    def find_usable(self, server_id: str, now_s: float) -> BackendServer | None:
        """The server if new requests may be sent to it at this moment."""
        server = self._servers.get(server_id)
        if server is None or server.state is not ServerState.READY:
            return None
        if server.availability_zone in self._zones_out:
            return None
        missing_s = self._missing_since_s.get(server_id)
        if missing_s is not None and now_s - missing_s > _RETURN_AFTER_OUTAGE_S:
            return None
        return server

    def usable_members(self, group: str, now_s: float) -> list[BackendServer]:
        """Servers of a group that new requests may be sent to."""
        ready = self._ready.get(group)
        if ready is None:
            ready = self._ready[group] = [
                server
                for server in self._servers.values()
                if server.group == group
                and server.state is ServerState.READY
                and server.availability_zone not in self._zones_out
            ]
        if not self._missing_since_s:
            return list(ready)
        return [
            server for server in ready if self.find_usable(server.id, now_s) is not None
        ]

    def _hear(self, now_s: float) -> None:
        self._heard_s = now_s
        for id_, since_s in list(self._missing_since_s.items()):
            if now_s - since_s > _RETURN_AFTER_OUTAGE_S:
                del self._missing_since_s[id_]
                self._servers.pop(id_, None)
                self._ready.clear()

    def _add(self, server: BackendServer) -> None:
        self._missing_since_s.pop(server.id, None)
        if self._servers.get(server.id) is not server:
            self._servers[server.id] = server
            self._ready.clear()

    def _lose(self, id_: str, now_s: float) -> None:
        if id_ not in self._servers:
            return
        if now_s - self._regained_s > _RETURN_AFTER_OUTAGE_S:
            self._missing_since_s.pop(id_, None)
            del self._servers[id_]
            self._ready.clear()
            return
        self._missing_since_s.setdefault(id_, now_s)
