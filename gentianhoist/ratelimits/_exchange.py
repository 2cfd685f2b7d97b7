"""Keeps the rate limits of servers together with the other entries."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

from gentianhoist.clocks import Clock
from gentianhoist.fleet import BackendServer
from gentianhoist.ratelimits._limited_server import LimitChange
from gentianhoist.ratelimits._notice import LimitNotice, LimitUnreadable
from gentianhoist.ratelimits._permit import SendPermit
from gentianhoist.ratelimits._reports import RateLimitReport
from gentianhoist.ratelimits.core import RateLimits
from gentianhoist.telemetry import DecisionLog

__all__ = ["RateLimitExchange", "RateLimitPublisher"]

_MAX_LOGGED_TEXT = 40


class RateLimitPublisher(Protocol):
    """Publishes reports about rate limits to other entries."""

    def publish_rate_limit(
        self, report: RateLimitReport, hosts: Collection[str]
    ) -> None:
        """Publish a report to the entries with these IP addresses."""
        ...


class RateLimitExchange:
    """One entry's part in keeping the rate limits of servers.

    Args:
        limits: The limits as this entry sees them.
        publisher: Publishes to the other entries.
        clock: The entry's clock.
        log: Receives one record for each change of a limit.
        on_change: Called when a limit has changed.
    """

    def __init__(
        self,
        limits: RateLimits,
        publisher: RateLimitPublisher,
        clock: Clock,
        log: DecisionLog,
        on_change: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._publisher = publisher
        self._clock = clock
        self._log = log
        self._on_change = on_change

    # Requests.

    def permit(self, servers: Sequence[BackendServer]) -> SendPermit:
        """Take the tokens for one request to these servers."""
        return SendPermit(self, servers)

    def take(self, server: BackendServer) -> bool:
        """Take a token of a server; returns whether it has a limit."""
        self._publish(self._limits.take(server, self._clock.monotonic_s()))
        return self._limits.limit_per_s(server) is not None

    def give_back(self, server: BackendServer) -> None:
        """Give back a token that was not spent."""
        self._publish(self._limits.give_back(server, self._clock.monotonic_s()))

    def observe(
        self,
        request_id: str,
        server: BackendServer,
        notice: LimitNotice,
        sent_s: float,
    ) -> None:
        """Take what a response says about the limit of its server.

        Args:
            request_id: Id of the request, for the log.
            server: The server.
            notice: What the response says.
            sent_s: When the request was sent, on the entry's clock.
        """
        if isinstance(notice, LimitUnreadable):
            text = notice.text[:_MAX_LOGGED_TEXT]
            self._log.record(
                "rate_limit_unreadable", request_id, server=server.id, text=text
            )
        now_s = self._clock.monotonic_s()
        change = self._limits.observe(server, notice, sent_s, now_s)
        if change is not None:
            self._publish(self._limits.report(server.incarnation), change)
            self._record_change(server.id, change, "response", 0.0, request_id)

    # Messages of other entries.

    def receive(self, entry: str, report: RateLimitReport) -> None:
        """Take the report of another entry.

        Args:
            entry: Incarnation of the entry.
            report: Its report, with times on this entry's clock.
        """
        now_s = self._clock.monotonic_s()
        change = self._limits.receive(entry, report, now_s)
        if change is not None:
            age_s = now_s - report.observed_s
            self._record_change(report.server[0], change, "entry", age_s)

    def reports_for(self, host: str) -> list[RateLimitReport]:
        """Reports for an entry that has just started."""
        return self._limits.reports_for(host)

    def tick(self, known: Iterable[str], live: Iterable[str], min_entries: int) -> None:
        """Take the present entries, repeat reports and drop what is out of date.

        Args:
            known: IP addresses of the other entries, heard from or only registered.
            live: IP addresses of the other entries that were heard from recently.
            min_entries: Smallest number of entries to assume.
        """
        now_s = self._clock.monotonic_s()
        self._limits.set_entries(known, live, now_s, min_entries)
        self._limits.expire(now_s)
        for report in self._limits.reports_to_repeat(now_s):
            self._publish(report)

    def _publish(
        self, report: RateLimitReport | None, change: LimitChange | None = None
    ) -> None:
        if report is not None:
            recipients = self._limits.recipients(report, change)
            self._publisher.publish_rate_limit(report, recipients)

    def _record_change(
        self,
        server_id: str,
        change: LimitChange,
        source: str,
        age_s: float,
        request_id: str = "",
    ) -> None:
        self._log.record(
            "rate_limit_changed",
            request_id,
            server=server_id,
            before_per_s=change.before_per_s,
            after_per_s=change.after_per_s,
            source=source,
            age_s=round(age_s, 3),
        )
        self._on_change()
