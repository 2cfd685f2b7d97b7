"""An entry's replica of the directory of backend servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gentianhoist.fleet.core import BackendServer, ServerState

__all__ = ["Directory", "ServerListing"]

# Leases of live servers may expire during an outage of the store; the servers register
# again within this time after it.
_REREGISTER_TIMEOUT_S = 1.5
# Servers that leave, the latest ones; those that are removed are dropped anyway.
_MAX_LEAVING = 1024


class ServerListing(NamedTuple):
    """One record of the directory, or the removal of one.

    Attributes:
        id: Identifier of the server.
        server: The server, or None if its record was removed or can't be decoded.
    """

    id: str
    server: BackendServer | None


class Directory:
    """Backend servers, and the availability zones that operators took out of service.

    A server that has said itself that it is about to stop is not usable, whatever the
    store says of that incarnation.

    A server whose record disappears just after an outage of the store stays usable for
    a short time, because a live server registers again within that time. Every `now_s`
    is the current time on the entry's clock, in seconds.
    """

    def __init__(self) -> None:
        self._servers: dict[str, BackendServer] = {}
        self._missing_since_s: dict[str, float] = {}
        self._zones_out: frozenset[str] = frozenset()
        # In the order in which they were heard of.
        self._leaving: dict[tuple[str, str, int], None] = {}
        self._updated_s: float | None = None
        self._store_recovered_s = float("-inf")
        # Cache of the ready servers by group; cleared by every change.
        self._ready_by_group: dict[str, list[BackendServer]] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the directory has been read at least once."""
        return self._updated_s is not None

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """All known servers, by identifier."""
        return self._servers

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that get no new requests."""
        return self._zones_out

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last update; infinite before the first."""
        return float("inf") if self._updated_s is None else now_s - self._updated_s

    def on_store_recovered(self, now_s: float) -> None:
        """Record the end of a store outage, in which leases may have expired."""
        self._store_recovered_s = now_s

    def replace(self, listings: Iterable[ServerListing], now_s: float) -> None:
        """Replace the directory by a snapshot."""
        self._start_update(now_s)
        present = {item.id: item.server for item in listings if item.server is not None}
        for id_ in list(self._servers):
            if id_ not in present:
                self._remove(id_, now_s)
        for server in present.values():
            self._add(server)

    def apply_changes(self, listings: Iterable[ServerListing], now_s: float) -> None:
        """Apply changes of single records."""
        self._start_update(now_s)
        for item in listings:
            if item.server is None:
                self._remove(item.id, now_s)
            else:
                self._add(item.server)

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Set the availability zones that get no new requests."""
        self._zones_out = frozenset(zones)
        self._ready_by_group.clear()

    @property
    def leaving(self) -> list[tuple[str, str, int]]:
        """Incarnations of servers that have said that they are about to stop."""
        return list(self._leaving)

    def mark_leaving(self, incarnation: tuple[str, str, int]) -> bool:
        """Record that a server is about to stop, which the store may say later.

        Args:
            incarnation: The incarnation of the server, which may be listed later.

        Returns:
            Whether that is news.
        """
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > _MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._ready_by_group.clear()
        return True

    def find_usable(self, server_id: str, now_s: float) -> BackendServer | None:
        """Return a server if it may get new requests now, else None."""
        server = self._servers.get(server_id)
        if server is None or server.state is not ServerState.READY:
            return None
        if server.incarnation in self._leaving:
            return None
        if server.availability_zone in self._zones_out:
            return None
        missing_s = self._missing_since_s.get(server_id)
        if missing_s is not None and now_s - missing_s > _REREGISTER_TIMEOUT_S:
            return None
        return server

    def usable_members(self, group: str, now_s: float) -> list[BackendServer]:
        """Return the servers of a group that may get new requests now."""
        ready = self._ready_by_group.get(group)
        if ready is None:
            ready = self._ready_by_group[group] = [
                server
                for server in self._servers.values()
                if server.group == group
                and server.state is ServerState.READY
                and server.incarnation not in self._leaving
                and server.availability_zone not in self._zones_out
            ]
        if not self._missing_since_s:
            return list(ready)
        return [
            server for server in ready if self.find_usable(server.id, now_s) is not None
        ]

    def _start_update(self, now_s: float) -> None:
        self._updated_s = now_s
        for id_, since_s in list(self._missing_since_s.items()):
            if now_s - since_s > _REREGISTER_TIMEOUT_S:
                del self._missing_since_s[id_]
                self._drop(id_)

    def _add(self, server: BackendServer) -> None:
        self._missing_since_s.pop(server.id, None)
        previous = self._servers.get(server.id)
        if previous is server:
            return
        if previous is not None and previous.incarnation != server.incarnation:
            self._leaving.pop(previous.incarnation, None)
        self._servers[server.id] = server
        self._ready_by_group.clear()

    def _drop(self, id_: str) -> None:
        server = self._servers.pop(id_, None)
        if server is not None:
            self._leaving.pop(server.incarnation, None)
        self._ready_by_group.clear()

    def _remove(self, id_: str, now_s: float) -> None:
        if id_ not in self._servers:
            return
        if now_s - self._store_recovered_s > _REREGISTER_TIMEOUT_S:
            self._missing_since_s.pop(id_, None)
            self._drop(id_)
            return
        self._missing_since_s.setdefault(id_, now_s)
