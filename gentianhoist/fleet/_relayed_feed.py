"""Change feed of a table that an entry reads through other entries.

The store's clients share its rate of calls. So in a large fleet only some entries, the
readers, poll the store; the others poll the readers. An entry that gets no fresh answer
from its reader polls the store itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import nlargest
from typing import Protocol

from gentianhoist.clocks import Clock
from gentianhoist.fleet._table_copy import FeedPage
from gentianhoist.hashing import rendezvous_weight
from gentianhoist.store import StoreVersion

__all__ = ["DirectFeed", "FeedRelay", "RelayedFeed", "choose_readers"]

# Entries that poll the store for all, enough for some of them to be lost at once.
_READERS = 6
# Smaller fleets poll the store directly.
_MIN_RELAYED_ENTRIES = 12
# A reader's poll of the store ends after this time, which shows that it is reached.
_READER_POLL_S = 0.7
# A reader's answer is not fresh any more if the store confirmed it longer ago. An entry
# notices within this time and one more poll that its reader is cut off.
_MAX_AGE_S = _READER_POLL_S + 0.4
# A reader without a fresh answer isn't asked again for this time.
_READER_BACKOFF_S = 2.0


class FeedRelay(Protocol):
    """Asks other entries for their copies of tables."""

    @property
    def live_hosts(self) -> Iterable[str]:
        """IP addresses of the other entries that were heard from recently."""
        ...

    async def poll(
        self, host: str, table: str, since: StoreVersion, wait_s: float
    ) -> FeedPage | None:
        """Long-poll an entry for changes of a table.

        Args:
            host: IP address of the entry.
            table: Name of the table.
            since: Version after which changes are requested.
            wait_s: Seconds that the entry may hold the request.

        Returns:
            The changes, or None if the entry wasn't reached or doesn't have them.
        """
        ...

    async def fetch(self, host: str, table: str) -> FeedPage | None:
        """Request an entry's whole copy of a table; returns as `poll`."""
        ...


class DirectFeed(Protocol):
    """The store's own change feed; see `ChangeFeed`."""

    async def read(self, timeout_s: float) -> FeedPage:
        """Read a snapshot of the whole table."""
        ...

    async def changes(
        self, since: StoreVersion, wait_s: float, timeout_s: float
    ) -> FeedPage:
        """Long-poll for changes after a version."""
        ...


def choose_readers(table: str, hosts: Iterable[str]) -> list[str]:
    """Return the entries that poll the store, the same at all that know these hosts.

    Example:
        >>> len(choose_readers("servers", (f"10.0.0.{i}" for i in range(100))))
        6
    """
    return nlargest(_READERS, hosts, key=lambda host: rendezvous_weight(table, host))


class RelayedFeed:
    """Change feed that is read from the store or from another entry.

    Args:
        table: Name of the table.
        feed: The store's feed.
        host: IP address of this entry.
        relay: Asks other entries.
        clock: The entry's clock.
        on_source: Called with the reader that is asked from now on, None for the store.
    """

    def __init__(
        self,
        table: str,
        feed: DirectFeed,
        host: str,
        relay: FeedRelay,
        clock: Clock,
        on_source: Callable[[str | None], None] = lambda source: None,
    ) -> None:
        self._table = table
        self._feed = feed
        self._host = host
        self._relay = relay
        self._clock = clock
        self._on_source = on_source
        self._source: str | None = None
        self._avoided_until_s: dict[str, float] = {}
        # History of the store at its last answer, None if a reader has shown another
        # one since. A snapshot of another history is read from the store.
        self._history: int | None = None

    async def read(self, timeout_s: float) -> FeedPage:
        """Read a snapshot of the whole table; errors as those of the store."""
        reader = self._reader()
        if reader is not None and self._history is not None:
            relayed = await self._relay.fetch(reader, self._table)
            if (
                relayed is not None
                and relayed.age_s <= _MAX_AGE_S
                and relayed.version.history == self._history
            ):
                return self._take(relayed, reader)
            self._avoid(reader)
        return self._take(await self._feed.read(timeout_s), None)

    async def changes(
        self, since: StoreVersion, wait_s: float, timeout_s: float
    ) -> FeedPage:
        """Long-poll for changes after a version; errors as those of the store."""
        hosts = self._hosts()
        if len(hosts) < _MIN_RELAYED_ENTRIES:
            return self._take(await self._feed.changes(since, wait_s, timeout_s), None)
        reader = self._reader()
        if reader is not None:
            relayed = await self._relay.poll(reader, self._table, since, _READER_POLL_S)
            if relayed is not None and relayed.age_s <= _MAX_AGE_S:
                if relayed.version < since:
                    # It confirms no more than is known, but will soon.
                    relayed = FeedPage([], since, relayed.age_s)
                return self._take(relayed, reader)
            self._avoid(reader)
        # Readers answer others, and any entry may come to be one.
        poll_s = min(wait_s, _READER_POLL_S)
        page = await self._feed.changes(since, poll_s, timeout_s - wait_s + poll_s)
        return self._take(page, None)

    def _take(self, page: FeedPage, source: str | None) -> FeedPage:
        if source is None:
            # Later snapshots may come from readers, if they read this history too.
            self._history = page.version.history
        elif page.version.history != self._history:
            self._history = None
        if source != self._source:
            self._source = source
            self._on_source(source)
        return page

    def _hosts(self) -> set[str]:
        return {*self._relay.live_hosts, self._host}

    def _reader(self) -> str | None:
        """The entry to ask, or None if this one polls the store."""
        hosts = self._hosts()
        if len(hosts) < _MIN_RELAYED_ENTRIES:
            return None
        readers = choose_readers(self._table, hosts)
        if self._host in readers:
            return None
        now_s = self._clock.monotonic_s()
        usable = [
            host
            for host in readers
            if self._avoided_until_s.get(host, float("-inf")) <= now_s
        ]
        if not usable:
            return None
        return max(usable, key=lambda host: rendezvous_weight(self._host, host))

    def _avoid(self, reader: str) -> None:
        now_s = self._clock.monotonic_s()
        self._avoided_until_s = {
            host: until_s
            for host, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[reader] = now_s + _READER_BACKOFF_S
