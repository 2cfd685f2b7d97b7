"""How the request rate of a cold server is divided among the entries, in units."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Sequence
from typing import NamedTuple

from gentianhoist.hashing import rendezvous_weight

__all__ = ["GROWTH_DELAY_S", "Share", "UnitShares", "WINDOW_S"]

WINDOW_S = 1.0
# A unit that moves to another entry when entries come or go is used by the new holder
# after this time. Until then the old holder has heard of the change, and its last use
# of the unit is out of the window.
GROWTH_DELAY_S = 2.0
# The entries are set every 0.25 s, so that no more memberships end within the delay.
_MAX_PAST_MEMBERSHIPS = 8


class Share(NamedTuple):
    """One entry's part of what a cold server can take.

    Attributes:
        units: Requests that the entry may send within any `hold_s`.
        hold_s: Seconds for which a used unit can't be used again.
    """

    units: int
    hold_s: float


class _Division(NamedTuple):
    """How the rate of one server is divided.

    Attributes:
        requests_per_s: The rate.
        share: The part of this entry.
        holders: Entries that have a unit.
    """

    requests_per_s: float
    share: Share
    holders: Sequence[str]


class _Membership:
    """Entries that are known at a time, and the shares that follow from them."""

    def __init__(self, host: str, hosts: frozenset[str], assumed: int) -> None:
        self.key = (hosts, assumed)
        self._host = host
        self._hosts = hosts
        self._assumed = max(assumed, len(hosts))
        self._divisions: dict[str, _Division] = {}

    def division(self, server_id: str, requests_per_s: float) -> _Division:
        """Return how the rate of a server is divided; computed once."""
        division = self._divisions.get(server_id)
        if division is None or division.requests_per_s != requests_per_s:
            division = self._divide(server_id, requests_per_s)
            self._divisions[server_id] = division
        return division

    def forget_others(self, server_ids: Collection[str]) -> None:
        for removed in self._divisions.keys() - server_ids:
            del self._divisions[removed]

    def _divide(self, server_id: str, requests_per_s: float) -> _Division:
        total, hold_s = self._total(requests_per_s)
        base, remainder = divmod(total, len(self._hosts))
        ranked = self._ranked(server_id)
        units = base + (self._host in ranked[:remainder])
        return _Division(requests_per_s, Share(units, hold_s), ranked[:total])

    def _total(self, requests_per_s: float) -> tuple[int, float]:
        """Units of all known entries, and the seconds that each use takes up.

        Entries that may just be starting have their part too, so that they can use it
        before the others hear of them.
        """
        known_part = requests_per_s * WINDOW_S * len(self._hosts) / self._assumed
        if known_part < 1.0:
            # Less than one request per window becomes one per longer window.
            return 1, WINDOW_S / known_part
        return int(known_part), WINDOW_S

    def _ranked(self, server_id: str) -> list[str]:
        return sorted(
            self._hosts,
            key=lambda host: rendezvous_weight(server_id, host),
            reverse=True,
        )


class UnitShares:
    """Divides the rate of each cold server among the known entries.

    All entries divide it alike, without messages: each has the same number of units,
    and the remainder goes to the first entries in the rendezvous order of the server.
    So a rate that is less than one request per entry is used by some entries only, and
    the sum holds in every window, not only on average.

    Args:
        host: IP address of this entry.
        assumed: Number of entries to assume until the entries are set.
    """

    def __init__(self, host: str, assumed: int) -> None:
        self._host = host
        self._current = _Membership(host, frozenset({host}), assumed)
        # Memberships that ended recently, with the time of their end.
        self._past: deque[tuple[float, _Membership]] = deque(
            maxlen=_MAX_PAST_MEMBERSHIPS
        )

    def set_entries(self, hosts: Collection[str], assumed: int, now_s: float) -> None:
        """Set the known entries.

        A share that becomes smaller does so at once; one that grows, after a delay.

        Args:
            hosts: IP addresses of the other entries.
            assumed: Number of entries to divide by, set above the known number.
            now_s: Current time on the entry's clock, in seconds.
        """
        key = (frozenset(hosts) | {self._host}, assumed)
        if key == self._current.key:
            return
        self._past.append((now_s, self._current))
        self._current = _Membership(self._host, *key)

    def share(self, server_id: str, requests_per_s: float, now_s: float) -> Share:
        """Return this entry's part of what a cold server can take.

        Args:
            server_id: Identifier of the server.
            requests_per_s: Rate that it can take from all entries together.
            now_s: Current time on the entry's clock, in seconds.
        """
        while self._past and self._past[0][0] <= now_s - GROWTH_DELAY_S:
            self._past.popleft()
        share = self._current.division(server_id, requests_per_s).share
        for _, membership in self._past:
            past = membership.division(server_id, requests_per_s).share
            share = Share(min(share.units, past.units), max(share.hold_s, past.hold_s))
        return share

    def holders(self, server_id: str, requests_per_s: float) -> list[str]:
        """Return the other entries that have a unit of a server."""
        holders = self._current.division(server_id, requests_per_s).holders
        return [host for host in holders if host != self._host]

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Remove all servers except the given ones."""
        self._current.forget_others(server_ids)
        for _, membership in self._past:
            membership.forget_others(server_ids)
