"""Slow start of servers that started or recovered, without any I/O.

Two bounds hold a server back. While it is cold, all entries together send it at most a
fixed number of requests in any window of a second, whatever they hear of each other.
And until it responds as expected, the number of its concurrent requests is a fraction
of its slots that is found from its responses.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection

from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.slowstart._pace import PaceCause, PaceReport
from gentianhoist.slowstart._paced_server import PaceChange, PacedServer
from gentianhoist.slowstart._shares import UnitShares
from gentianhoist.slowstart._units import StartUnits, UnitLoan, UnitRequest

__all__ = ["Incarnation", "SlowStarts"]

Incarnation = tuple[str, str, int]
OnLacking = Callable[[BackendServer, ServerGroup, float], None]


class SlowStarts:
    """Aggregate of the slow starts of all servers, as one entry sees them.

    It acts only on servers whose group has a cold-start rate. Every `now_s` is the
    current time on the entry's clock, in seconds.

    Args:
        host: IP address of this entry.
        rate_ratio: Fraction of a cold server's request rate that is used.
        assumed_entries: Number of entries to assume until they are set.
        rng: Source of randomness.
    """

    def __init__(
        self, host: str, rate_ratio: float, assumed_entries: int, rng: random.Random
    ) -> None:
        self._rate_ratio = rate_ratio
        self._rng = rng
        self._shares = UnitShares(host, assumed_entries)
        self._units = StartUnits(self._shares, rng)
        self._heard_ratio = 1.0
        self._entries = assumed_entries
        # By identifiers, as incarnations are slow to compare for each prompt.
        self._paced: dict[str, PacedServer] = {}
        self._changes: list[PaceChange] = []
        self._on_lacking: OnLacking | None = None

    def __len__(self) -> int:
        return len(self._paced)

    # The entries.

    def set_entries(self, hosts: Collection[str], assumed: int, now_s: float) -> None:
        """Set the known entries.

        Args:
            hosts: IP addresses of the other entries.
            assumed: Number of entries to divide by, set above the known number.
        """
        self._entries = 1 + len(hosts)
        self._shares.set_entries(hosts, assumed, now_s)

    def set_heard_ratio(self, ratio: float) -> None:
        """Set the fraction of the known entries that this one hears.

        An entry that is cut off doesn't know the requests of the others, so it uses no
        more than this fraction of a pace.
        """
        self._heard_ratio = min(1.0, max(0.0, ratio))

    def set_on_lacking(self, on_lacking: OnLacking) -> None:
        """Call a function when only a unit is missing for a request."""
        self._on_lacking = on_lacking

    # Requests.

    def may_start(
        self, server: BackendServer, group: ServerGroup, requests: int, now_s: float
    ) -> bool:
        """Whether both bounds allow one more request to a server.

        Args:
            server: The server.
            group: Its server group.
            requests: Concurrent requests on it, over all entries.
        """
        if not group.cold_requests_per_s:
            return True
        paced = self._get_paced(server, now_s)
        if paced is None:
            return True
        paced.turn.see_requests(requests)
        if requests >= self._max_requests(paced, now_s):
            paced.turn.end()
            return False
        if not paced.turn.has_come(self._entries, self._rng, now_s):
            return False
        if self.has_unit(server, group, now_s):
            return True
        if self._on_lacking is not None:
            self._on_lacking(server, group, now_s)
        return False

    def is_at_pace(
        self, server: BackendServer, group: ServerGroup, requests: int, now_s: float
    ) -> bool:
        """Whether this entry has its part of what the pace of a server allows.

        For servers whose requests from other entries aren't known.

        Args:
            server: The server.
            group: Its server group.
            requests: Concurrent requests on it, of this entry only.
        """
        if not group.cold_requests_per_s:
            return False
        paced = self._get_paced(server, now_s)
        if paced is None:
            return False
        return requests * self._entries >= self._max_requests(paced, now_s)

    def has_unit(self, server: BackendServer, group: ServerGroup, now_s: float) -> bool:
        """Whether the hard bound allows one more request to a server."""
        rate = self.cold_rate(server, group, now_s)
        return not rate or self._units.can_use(server.id, rate, now_s)

    def cold_rate(
        self, server: BackendServer, group: ServerGroup, now_s: float
    ) -> float:
        """Requests per second that all entries send to a server, 0 if unlimited."""
        if not group.cold_requests_per_s or now_s >= server.cold_until_s:
            return 0.0
        return group.cold_requests_per_s * self._rate_ratio

    def record_sent(self, server: BackendServer, now_s: float) -> None:
        """Record a request that is being sent to a server."""
        paced = self._find(server)
        if paced is not None:
            paced.turn.end()
        if now_s < server.cold_until_s:
            self._units.use(server.id, now_s)

    # Evidence.

    def begin_if_cold(
        self, server: BackendServer, group: ServerGroup, now_s: float
    ) -> None:
        """Begin the slow start of a server that this entry has no request for yet."""
        if group.cold_requests_per_s:
            self._get_paced(server, now_s)

    def begin(self, server: BackendServer, now_s: float) -> None:
        """Begin a slow start of a server that recovered, or begin it anew."""
        self._begin(server, PaceCause.RECOVERED, now_s)

    def record_response(
        self, server: BackendServer, after_s: float, expected_s: float, now_s: float
    ) -> None:
        """Record a response.

        Args:
            server: The server.
            after_s: Seconds from the send to the first event.
            expected_s: Seconds that a healthy server would have taken.
        """
        paced = self._find(server)
        if paced is not None:
            cause = paced.pace.record_response(after_s, expected_s, now_s)
            self._note_change(paced, cause, now_s)

    def record_refusal(self, server: BackendServer, now_s: float) -> None:
        """Record a refusal, or a request that was lost without a response."""
        paced = self._find(server)
        if paced is not None:
            cause = paced.pace.record_refusal(now_s)
            self._note_change(paced, cause, now_s)

    def receive(
        self, incarnation: Incarnation, entry: str, report: PaceReport, now_s: float
    ) -> None:
        """Take what another entry found.

        Args:
            incarnation: The server; one without a slow start is ignored.
            entry: Incarnation of the entry.
            report: Its report, with its time on this entry's clock.
        """
        paced = self._paced.get(incarnation[0])
        if paced is not None and paced.incarnation == incarnation:
            paced.pace.receive(entry, report, now_s)
            self._note_change(paced, PaceCause.EVIDENCE, now_s)

    # Loans of units.

    def request_unit(
        self, server: BackendServer, hosts: Collection[str], now_s: float
    ) -> UnitRequest:
        """Create a request for a unit to entries that are given by their addresses."""
        return self._units.request(server.id, hosts, now_s)

    def lenders(self, server: BackendServer, group: ServerGroup) -> list[str]:
        """Addresses of the other entries that have a unit of a server."""
        rate = group.cold_requests_per_s * self._rate_ratio
        return self._shares.holders(server.id, rate)

    def lend(
        self,
        request: UnitRequest,
        server: BackendServer,
        group: ServerGroup,
        now_s: float,
    ) -> UnitLoan | None:
        """Give up a unit in favour of another entry, or return None."""
        rate = self.cold_rate(server, group, now_s)
        return self._units.lend(request, rate, now_s) if rate else None

    def accept(self, host: str, loan: UnitLoan, now_s: float) -> bool:
        """Take a unit of another entry; returns whether it can be used."""
        return self._units.accept(host, loan, now_s)

    # Upkeep.

    def expire(self, now_s: float) -> None:
        """End the slow starts that are over."""
        for server_id, paced in list(self._paced.items()):
            cause = paced.pace.end_cause(now_s)
            if cause is not None:
                self._add_change(paced, cause, now_s)
                del self._paced[server_id]
            else:
                # Evidence that has expired changes the pace as well.
                self._note_change(paced, PaceCause.EVIDENCE, now_s)

    def reports(self, now_s: float) -> list[tuple[Incarnation, PaceReport]]:
        """What this entry found and is still valid."""
        return [
            (paced.incarnation, report)
            for paced in self._paced.values()
            if (report := paced.pace.own_report(now_s)) is not None
        ]

    def take_news(
        self, limit: int, now_s: float
    ) -> list[tuple[Incarnation, PaceReport]]:
        """Take some of the reports that the other entries lack, the most urgent first.

        Args:
            limit: Maximum number of reports.
        """
        news = [
            (self._paced[incarnation[0]], report)
            for incarnation, report in self.reports(now_s)
        ]
        news = [item for item in news if item[0].is_news(now_s)]
        news.sort(key=lambda item: item[0].rank_news(item[1]))
        for paced, report in news[:limit]:
            paced.mark_reported(report, now_s)
        return [(paced.incarnation, report) for paced, report in news[:limit]]

    def take_changes(self) -> list[PaceChange]:
        """Take the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def keep_only(self, incarnations: Collection[Incarnation]) -> None:
        """Remove all servers except the given incarnations."""
        for paced in list(self._paced.values()):
            if paced.incarnation not in incarnations:
                del self._paced[paced.server.id]
        self._units.keep_only({incarnation[0] for incarnation in incarnations})

    def _find(self, server: BackendServer) -> PacedServer | None:
        paced = self._paced.get(server.id)
        if paced is None or paced.server is server:
            return paced
        return paced if paced.incarnation == server.incarnation else None

    def _get_paced(self, server: BackendServer, now_s: float) -> PacedServer | None:
        paced = self._find(server)
        if paced is None and now_s < server.cold_until_s:
            return self._begin(server, PaceCause.COLD, now_s)
        return paced

    def _begin(
        self, server: BackendServer, cause: PaceCause, now_s: float
    ) -> PacedServer:
        paced = self._paced[server.id] = PacedServer(server, now_s)
        self._add_change(paced, cause, now_s)
        return paced

    def _max_requests(self, paced: PacedServer, now_s: float) -> int:
        requests = paced.pace.max_requests(now_s)
        if self._heard_ratio == 1.0:
            return requests
        return max(1, math.ceil(requests * self._heard_ratio))

    def _note_change(
        self, paced: PacedServer, cause: PaceCause | None, now_s: float
    ) -> None:
        """Keep a change for the log if it allows another number of requests."""
        if cause is not None and paced.is_change(now_s):
            self._add_change(paced, cause, now_s)

    def _add_change(self, paced: PacedServer, cause: PaceCause, now_s: float) -> None:
        self._changes.append(paced.take_change(cause, now_s))
