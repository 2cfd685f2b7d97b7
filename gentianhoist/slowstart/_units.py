"""Hard bound of a cold server: units that entries use once per window, and lend."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from gentianhoist.slowstart._shares import WINDOW_S, UnitShares

__all__ = ["LOAN_TTL_S", "StartUnits", "UnitLoan", "UnitRequest"]

# Time from a request for a unit to the latest use of the loan. It covers a round trip
# between two zones and the wait for a connection.
LOAN_TTL_S = 0.25
# Drift of two clocks over a loan, and the time from the check to the send.
_LOAN_MARGIN_S = 0.1
_MAX_FIRST_NUMBER = 2**31


class UnitRequest(NamedTuple):
    """An entry asks another one for a unit of a cold server.

    Attributes:
        server_id: Identifier of the server.
        number: Differs between all requests of the entry.
    """

    server_id: str
    number: int


class UnitLoan(NamedTuple):
    """An entry gives up one unit of a cold server in favour of another one.

    Attributes:
        server_id: Identifier of the server.
        number: Number of the request.
    """

    server_id: str
    number: int


@dataclass
class _Window:
    """Units of one server.

    Attributes:
        held_until_s: Ends of the times for which units are used or lent.
        borrowed_until_s: Ends of the loans that can be used.
        hold_s: Seconds that a use takes up.
        asked_hosts: Entries whose loan for the last request may be accepted.
        number: Number of that request.
        asked_s: When it was sent.
    """

    held_until_s: list[float] = field(default_factory=list)
    borrowed_until_s: list[float] = field(default_factory=list)
    hold_s: float = WINDOW_S
    asked_hosts: set[str] = field(default_factory=set)
    number: int = -1
    asked_s: float = float("-inf")

    def expire(self, now_s: float) -> None:
        if self.held_until_s:
            self.held_until_s = [end_s for end_s in self.held_until_s if end_s > now_s]
        if self.borrowed_until_s:
            self.borrowed_until_s = [
                end_s for end_s in self.borrowed_until_s if end_s > now_s
            ]

    def limit_holds(self, latest_s: float) -> None:
        """Keep the bound after a step back of the clock, without holding for long."""
        self.held_until_s = [min(end_s, latest_s) for end_s in self.held_until_s]
        self.borrowed_until_s.clear()
        self.asked_hosts.clear()
        self.asked_s = float("-inf")


class StartUnits:
    """Aggregate of one entry's units of all cold servers.

    A unit allows one request in any window of a second. It is held from its use until
    the window is over. A lent unit is held for the longest time in which the borrower
    may use it, and for a window more. So units are only moved: in no window do all
    entries use more units than their shares, whatever messages are lost, late or
    repeated. Times in messages aren't needed, since a borrower counts the life of a
    loan from its request, which is earlier than the loan.

    Args:
        shares: This entry's part of each server.
        rng: Source of randomness.
    """

    def __init__(self, shares: UnitShares, rng: random.Random) -> None:
        self._shares = shares
        self._windows: dict[str, _Window] = {}
        # A late loan to an earlier process of this entry must not match a request.
        self._next_number = int(rng.random() * _MAX_FIRST_NUMBER)
        self._now_s = float("-inf")

    def can_use(self, server_id: str, requests_per_s: float, now_s: float) -> bool:
        """Whether one more request may be sent to a cold server.

        Args:
            server_id: Identifier of the server.
            requests_per_s: Rate that it can take from all entries together.
            now_s: Current time on the entry's clock, in seconds.
        """
        window = self._window(server_id, now_s)
        return (
            bool(window.borrowed_until_s)
            or self._free_units(server_id, window, requests_per_s, now_s) > 0
        )

    def use(self, server_id: str, now_s: float) -> None:
        """Record a request that is being sent to a cold server."""
        # Not expired here: a loan that `can_use` counted on just before is used up.
        window = self._windows.get(server_id)
        if window is None:
            # `can_use` wasn't asked: the server has no limit.
            return
        if window.borrowed_until_s:
            window.borrowed_until_s.remove(min(window.borrowed_until_s))
        else:
            window.held_until_s.append(now_s + window.hold_s)

    def request(
        self, server_id: str, hosts: Iterable[str], now_s: float
    ) -> UnitRequest:
        """Create a request to some entries for a unit.

        Only loans for the last request are accepted, one of each entry.

        Args:
            server_id: Identifier of the server.
            hosts: IP addresses of the entries that are asked.
            now_s: Current time on the entry's clock, in seconds.
        """
        window = self._window(server_id, now_s)
        window.number = self._next_number
        window.asked_hosts = set(hosts)
        window.asked_s = now_s
        self._next_number += 1
        return UnitRequest(server_id, window.number)

    def lend(
        self, request: UnitRequest, requests_per_s: float, now_s: float
    ) -> UnitLoan | None:
        """Give up a unit of this entry's own, or return None if none is free.

        Args:
            request: What another entry asks for.
            requests_per_s: Rate that the server can take from all entries together.
            now_s: Current time on the entry's clock, in seconds.
        """
        window = self._window(request.server_id, now_s)
        free = self._free_units(request.server_id, window, requests_per_s, now_s)
        if free < 1:
            return None
        window.held_until_s.append(now_s + LOAN_TTL_S + _LOAN_MARGIN_S + window.hold_s)
        return UnitLoan(request.server_id, request.number)

    def accept(self, host: str, loan: UnitLoan, now_s: float) -> bool:
        """Take a loan; returns False for one that is late, or wasn't asked for.

        Args:
            host: IP address of the lender.
            loan: The loan.
            now_s: Current time on the entry's clock, in seconds.
        """
        if loan.server_id not in self._windows:
            return False
        window = self._window(loan.server_id, now_s)
        until_s = window.asked_s + LOAN_TTL_S
        if loan.number != window.number or host not in window.asked_hosts:
            return False
        window.asked_hosts.discard(host)
        if until_s <= now_s:
            return False
        window.borrowed_until_s.append(until_s)
        return True

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Remove all servers except the given ones.

        Units of a removed server stay held until their windows are over, since its row
        may come back at once.
        """
        for removed in self._windows.keys() - server_ids:
            window = self._windows[removed]
            if not any(end_s > self._now_s for end_s in window.held_until_s):
                del self._windows[removed]
        self._shares.keep_only(server_ids)

    def _free_units(
        self, server_id: str, window: _Window, requests_per_s: float, now_s: float
    ) -> int:
        share = self._shares.share(server_id, requests_per_s, now_s)
        window.hold_s = share.hold_s
        return share.units - len(window.held_until_s)

    def _window(self, server_id: str, now_s: float) -> _Window:
        if now_s < self._now_s:
            for window in self._windows.values():
                latest_s = now_s + LOAN_TTL_S + _LOAN_MARGIN_S + window.hold_s
                window.limit_holds(latest_s)
        self._now_s = now_s
        window = self._windows.setdefault(server_id, _Window())
        window.expire(now_s)
        return window
