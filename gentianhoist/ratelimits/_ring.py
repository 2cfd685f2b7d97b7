"""Chooses the entries that share the rate limit of a server."""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Iterable
from functools import lru_cache

__all__ = ["EntryRing"]

_HASH_BYTES = 8
_MAX_CACHED_HASHES = 16_384


@lru_cache(_MAX_CACHED_HASHES)
def _position(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest)


class EntryRing:
    """Entries in the order of the hashes of their addresses.

    The members of a server are the entries that follow its own hash. Entries that know
    the same entries choose the same members, whatever they know of other servers.

    Args:
        hosts: IP addresses of the entries.

    Example:
        >>> ring = EntryRing(["10.0.0.1", "10.0.0.2", "10.0.0.3"])
        >>> len(ring.members("server-1", 2))
        2
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self._hosts = sorted(set(hosts), key=lambda host: (_position(host), host))
        self._positions = [_position(host) for host in self._hosts]
        self._index = {host: index for index, host in enumerate(self._hosts)}

    def __len__(self) -> int:
        return len(self._hosts)

    @property
    def hosts(self) -> frozenset[str]:
        """IP addresses of all entries."""
        return frozenset(self._hosts)

    def members(self, server_id: str, count: int) -> list[str]:
        """The entries that share a server's limit, the first in its order first.

        Args:
            server_id: Identifier of the server.
            count: Number of members; all entries if there are no more.
        """
        start = self._start(server_id)
        size = len(self._hosts)
        return [self._hosts[(start + i) % size] for i in range(min(count, size))]

    def rank(self, host: str, server_id: str) -> int:
        """Position of an entry in the order of a server, 0 for the first.

        Raises:
            KeyError: If the entry isn't known.
        """
        return (self._index[host] - self._start(server_id)) % len(self._hosts)

    def _start(self, server_id: str) -> int:
        return bisect_left(self._positions, _position(server_id)) % len(self._hosts)
