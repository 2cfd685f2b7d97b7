"""One server in its slow start, with what was logged and reported of it."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.fleet import BackendServer
from gentianhoist.slowstart._pace import PaceCause, PaceReport, ServerPace
from gentianhoist.slowstart._turn import SlotTurn

__all__ = ["PaceChange", "PacedServer"]

# Change of the pace in slots from which on the other entries are told.
_MIN_REPORTED_SLOTS = 0.5
# Evidence that is still valid is repeated after this time, as datagrams are lost.
_REPORT_REPEAT_S = 0.75


class PaceChange(NamedTuple):
    """A change of what this entry assumes of a server's start.

    Attributes:
        server_id: Identifier of the server.
        cause: Why it changed.
        pace: Fraction of its slots that may be in use, over all entries.
        max_requests: The same as a number of requests.
        answered: Responses as expected, over all entries.
        after_s: Seconds since the slow start began.
    """

    server_id: str
    cause: PaceCause
    pace: float
    max_requests: int
    answered: int
    after_s: float


class PacedServer:
    """One incarnation of a server in its slow start.

    Args:
        server: The server.
        now_s: When the slow start begins, on the entry's clock.

    Attributes:
        server: The server.
        incarnation: Its incarnation, which is slow to build for each prompt.
        pace: Its pace.
        turn: When this entry may place a request on it.
    """

    def __init__(self, server: BackendServer, now_s: float) -> None:
        self.server = server
        self.incarnation = server.incarnation
        self.pace = ServerPace(server.slots, server.cold_until_s, now_s)
        self.turn = SlotTurn()
        self._logged_requests = self.pace.max_requests(now_s)
        self._reported_pace = self.pace.pace(now_s)
        self._reported_s = float("-inf")

    def is_news(self, now_s: float) -> bool:
        """Whether the other entries don't know what this one found."""
        own = self.pace.own_report(now_s)
        if own is None:
            return False
        if not 0.0 <= now_s - self._reported_s < _REPORT_REPEAT_S:
            return True
        change = abs(own.pace - self._reported_pace) * max(1, self.server.slots)
        return change >= _MIN_REPORTED_SLOTS

    def rank_news(self, report: PaceReport) -> tuple[bool, float]:
        """Order in which reports are sent: falls of the pace first, then the oldest."""
        return report.pace >= self._reported_pace, self._reported_s

    def mark_reported(self, report: PaceReport, now_s: float) -> None:
        """Record a report that is being sent to the other entries."""
        self._reported_pace = report.pace
        self._reported_s = now_s

    def is_change(self, now_s: float) -> bool:
        """Whether another number of requests is allowed than was logged last."""
        return self.pace.max_requests(now_s) != self._logged_requests

    def take_change(self, cause: PaceCause, now_s: float) -> PaceChange:
        """Return the present pace for the log."""
        self._logged_requests = self.pace.max_requests(now_s)
        return PaceChange(
            self.server.id,
            cause,
            round(self.pace.pace(now_s), 3),
            self._logged_requests,
            self.pace.answered(now_s),
            round(now_s - self.pace.began_s, 3),
        )
