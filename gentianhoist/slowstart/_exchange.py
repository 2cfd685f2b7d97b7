"""Shares the pace of servers that started with the other entries, and lends units."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import Any, NamedTuple, Protocol

from gentianhoist.clocks import Clock
from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.peers import MessageKind, Sender
from gentianhoist.slowstart._messages import (
    ColdUnitLent,
    ColdUnitRequested,
    PaceObserved,
    check_pace,
    check_unit,
)
from gentianhoist.slowstart._paced_server import PaceChange
from gentianhoist.slowstart._units import UnitLoan, UnitRequest
from gentianhoist.slowstart.core import SlowStarts
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = ["ListedServer", "SlowStartExchange", "SlowStartPublisher"]

# Reports of an entry per tick of 0.25 s, whatever the number of servers that start.
_MAX_REPORTS_PER_TICK = 6
# Entries that are asked for a unit at once. One of them is likely to have a free one,
# and more loans than are needed would be lost.
_MAX_ASKED = 3
_MIN_REQUEST_INTERVAL_S = 0.05
# An entry that hears less than this part of the others counts as cut off.
_MIN_HEARD_RATIO = 0.75


class ListedServer(NamedTuple):
    """A server of the directory with its server group."""

    server: BackendServer
    group: ServerGroup


class SlowStartPublisher(Protocol):
    """Sends messages to the other entries."""

    @property
    def live_hosts(self) -> Sequence[str]:
        """IP addresses of the other entries that were heard from recently."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send a message to all known entries."""
        ...

    def send(self, message: Any, hosts: Collection[str]) -> None:
        """Send a message to some entries, given by their addresses."""
        ...


class SlowStartExchange:
    """One entry's part in the slow starts of servers.

    Args:
        starts: The slow starts as this entry sees them.
        publisher: Sends to the other entries.
        find_server: Returns a usable server by its identifier, None if there is none.
        has_demand: Whether requests of this entry wait for servers.
        clock: The entry's clock.
        log: Receives one record for each change.
        metrics: Counters of the entry.
        rng: Source of randomness.
    """

    def __init__(
        self,
        starts: SlowStarts,
        publisher: SlowStartPublisher,
        find_server: Callable[[str, float], ListedServer | None],
        has_demand: Callable[[], bool],
        clock: Clock,
        log: DecisionLog,
        metrics: EntryMetrics,
        rng: random.Random,
    ) -> None:
        self._starts = starts
        self._publisher = publisher
        self._find_server = find_server
        self._has_demand = has_demand
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._requested_s = float("-inf")
        starts.set_on_lacking(self._request_unit)

    @property
    def kinds(self) -> tuple[MessageKind, ...]:
        """Kinds of the messages between entries."""
        return (
            MessageKind(
                PaceObserved,
                self._receive_pace,
                self._pace_messages,
                check=check_pace,
            ),
            MessageKind(ColdUnitRequested, self._receive_request, check=check_unit),
            MessageKind(ColdUnitLent, self._receive_loan, check=check_unit),
        )

    # Evidence of this entry.

    def begin(self, server: BackendServer, now_s: float) -> None:
        """Begin a slow start of a server that recovered after an ejection or a pause.

        It has no effect on a server whose group has no cold-start rate.

        Args:
            server: The server.
            now_s: Current time on the entry's clock, in seconds.
        """
        listed = self._find_server(server.id, now_s)
        if listed is not None and listed.group.cold_requests_per_s:
            self._starts.begin(listed.server, now_s)
            self._log_changes()

    def record_response(
        self, server: BackendServer, after_s: float, expected_s: float
    ) -> None:
        """Record a response.

        Args:
            server: The server.
            after_s: Seconds from the send to the first event.
            expected_s: Seconds that a healthy server would have taken.
        """
        now_s = self._clock.monotonic_s()
        self._starts.record_response(server, after_s, expected_s, now_s)
        self._log_changes()

    def record_refusal(self, server: BackendServer) -> None:
        """Record a refusal, or a request that was lost without a response."""
        self._starts.record_refusal(server, self._clock.monotonic_s())
        self._log_changes()

    def tick(
        self, hosts: Collection[str], assumed_entries: int, heard_entries: int
    ) -> None:
        """Take the present entries, tell them news and end what is over.

        Called every 0.25 s.

        Args:
            hosts: IP addresses of the other entries, heard from or only registered.
            assumed_entries: Number of entries that limits are divided by.
            heard_entries: Entries that are heard now, this one included.
        """
        now_s = self._clock.monotonic_s()
        self._starts.set_entries(hosts, assumed_entries, now_s)
        heard_ratio = heard_entries / (1 + len(hosts))
        self._starts.set_heard_ratio(
            1.0 if heard_ratio >= _MIN_HEARD_RATIO else heard_ratio
        )
        self._starts.expire(now_s)
        for server, report in self._starts.take_news(_MAX_REPORTS_PER_TICK, now_s):
            self._publisher.broadcast(PaceObserved.of(server, report, now_s))
        self._log_changes()
        self._metrics.set_slow_starts(len(self._starts))

    # Messages of other entries.

    def _pace_messages(self, host: str) -> list[PaceObserved]:
        now_s = self._clock.monotonic_s()
        return [
            PaceObserved.of(server, report, now_s)
            for server, report in self._starts.reports(now_s)
        ]

    def _receive_pace(
        self, message: PaceObserved, sender: Sender, now_s: float
    ) -> None:
        listed = self._find_server(message.server[0], now_s)
        if listed is not None:
            # Its first request goes by what the others found before.
            self._starts.begin_if_cold(*listed, now_s)
        report = message.report(now_s)
        self._starts.receive(message.server, sender.incarnation, report, now_s)
        self._log_changes()

    def _receive_request(
        self, message: ColdUnitRequested, sender: Sender, now_s: float
    ) -> None:
        listed = self._find_server(message.server_id, now_s)
        if listed is None or self._has_demand():
            return
        request = UnitRequest(message.server_id, message.number)
        loan = self._starts.lend(request, *listed, now_s)
        if loan is not None:
            self._publisher.send(ColdUnitLent(*loan), (sender.host,))
            self._record_unit("lent", loan.server_id, sender.host)

    def _receive_loan(
        self, message: ColdUnitLent, sender: Sender, now_s: float
    ) -> None:
        loan = UnitLoan(message.server_id, message.number)
        is_usable = self._starts.accept(sender.host, loan, now_s)
        event = "borrowed" if is_usable else "late"
        self._record_unit(event, loan.server_id, sender.host)

    # Internal.

    def _request_unit(
        self, server: BackendServer, group: ServerGroup, now_s: float
    ) -> None:
        """Ask some entries for a unit of a server that this entry lacks."""
        if now_s - self._requested_s < _MIN_REQUEST_INTERVAL_S:
            return
        if not self._has_demand():
            return
        live = set(self._publisher.live_hosts)
        hosts = [host for host in self._starts.lenders(server, group) if host in live]
        if not hosts:
            return
        hosts = self._rng.sample(hosts, min(len(hosts), _MAX_ASKED))
        self._requested_s = now_s
        request = self._starts.request_unit(server, hosts, now_s)
        self._publisher.send(ColdUnitRequested(*request), hosts)
        self._metrics.record_cold_unit("requested")

    def _record_unit(self, event: str, server_id: str, host: str) -> None:
        self._metrics.record_cold_unit(event)
        self._log.record("cold_unit", server=server_id, event=event, entry=host)

    def _log_changes(self) -> None:
        for change in self._starts.take_changes():
            self._metrics.record_pace_change(change.cause.value)
            self._log_change(change)

    def _log_change(self, change: PaceChange) -> None:
        self._log.record(
            "pace_changed",
            server=change.server_id,
            cause=change.cause.value,
            pace=change.pace,
            max_requests=change.max_requests,
            answered=change.answered,
            after_s=change.after_s,
        )
