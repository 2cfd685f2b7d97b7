"""Exchange of evidence about servers with the other entries, with its log lines."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from gentianhoist.clocks import Clock
from gentianhoist.peers import MessageKind, Sender
from gentianhoist.serverhealth._evidence import Evidence, Incarnation, ResultPhase
from gentianhoist.serverhealth._messages import ServerObserved, check_observed
from gentianhoist.serverhealth._probing import is_prober
from gentianhoist.serverhealth._report_schedule import DueReport, ReportSchedule
from gentianhoist.serverhealth.core import (
    Ejected,
    HealthChange,
    Returned,
    ServerHealthRegistry,
    SlownessChanged,
)
from gentianhoist.telemetry import DecisionLog, EntryMetrics

__all__ = ["HealthExchange", "HealthPeers"]


class HealthPeers(Protocol):
    """The other entries."""

    @property
    def live_hosts(self) -> Sequence[str]:
        """IP addresses of the other entries that were heard from recently."""
        ...

    @property
    def peers(self) -> frozenset[str]:
        """IP addresses of the other entries, live or only registered."""
        ...

    def register(self, *kinds: MessageKind) -> None:
        """Add kinds of messages."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send a message to all known entries."""
        ...


class HealthExchange:
    """Reports this entry's evidence about servers, and takes that of other entries.

    Args:
        registry: Health of the servers.
        peers: The other entries; the message kind is registered with them.
        host: IP address of this entry.
        clock: The entry's clock.
        log: Receives one record for each report and each change.
        metrics: Counters and gauges of the entry.
        on_available: Called when a server gets requests again.
    """

    def __init__(
        self,
        registry: ServerHealthRegistry,
        peers: HealthPeers,
        host: str,
        clock: Clock,
        log: DecisionLog,
        metrics: EntryMetrics,
        on_available: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._host = host
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_available = on_available
        self._schedule = ReportSchedule()
        self._numbers = itertools.count(1)
        registry.set_listener(self)
        peers.register(
            MessageKind(
                ServerObserved, self.receive, self.messages_for, check=check_observed
            )
        )

    def tick(self, now_s: float) -> None:
        """Send what is due, and end what is over; call it several times a second.

        Args:
            now_s: Current time on the entry's clock, in seconds.
        """
        self._registry.tick(now_s)
        self._send_due(now_s)
        self._metrics.set_server_health(
            ejected=self._registry.excluded_count, slow=self._registry.slow_count
        )

    def receive(self, message: ServerObserved, sender: Sender, now_s: float) -> None:
        """Take the evidence of another entry."""
        report = message.report(sender.host, sender.incarnation, now_s)
        is_taken = self._registry.receive(message.server, report, now_s)
        self._metrics.record_server_report("taken" if is_taken else "ignored")

    def messages_for(self, host: str) -> list[ServerObserved]:
        """Evidence for an entry that has just started, given by its IP address."""
        now_s = self._clock.monotonic_s()
        return [self._message(due, now_s) for due in self._schedule.snapshot(now_s)]

    # Calls of the registry.

    def is_prober(self, incarnation: Incarnation) -> bool:
        """Whether this entry probes a server after an ejection."""
        return is_prober(incarnation, self._host, self._peers.live_hosts)

    def on_result(
        self,
        incarnation: Incarnation,
        evidence: Evidence,
        now_s: float,
        phase: ResultPhase,
    ) -> None:
        """Report this entry's evidence if the others need it."""
        self._schedule.observe(incarnation, evidence, now_s, phase)
        if self._schedule.has_due:
            self._send_due(now_s)

    def on_change(
        self, incarnation: Incarnation, change: HealthChange, now_s: float
    ) -> None:
        """Log and count what this entry does with a server from now on."""
        match change:
            case Ejected():
                source = "entries" if change.is_shared else "own"
                self._metrics.record_ejection(source)
                self._log.record(
                    "server_ejected",
                    server=incarnation[0],
                    source=source,
                    ejected_s=round(change.until_s - now_s, 3),
                    probes=change.is_prober,
                    entries=change.hosts,
                )
            case Returned():
                self._log.record(
                    "server_returned", server=incarnation[0], probe=change.is_probe
                )
                self._on_available()
            case SlownessChanged():
                self._log.record(
                    "server_slowness", server=incarnation[0], slowness=change.slowness
                )

    def _send_due(self, now_s: float) -> None:
        entries = 1 + len(self._peers.peers)
        for due in self._schedule.take_due(now_s, entries):
            self._peers.broadcast(self._message(due, now_s))
            self._metrics.record_server_report("repeated" if due.is_repeat else "sent")
            if not due.is_repeat:
                self._log_report(due)

    def _message(self, due: DueReport, now_s: float) -> ServerObserved:
        number = next(self._numbers)
        return ServerObserved.of(due.incarnation, due.evidence, number, now_s)

    def _log_report(self, due: DueReport) -> None:
        evidence = due.evidence
        self._log.record(
            "server_assessed",
            server=due.incarnation[0],
            verdict=evidence.verdict.value,
            requests=round(evidence.requests, 2),
            failures=round(evidence.failures, 2),
            slowness=round(evidence.ratio, 2),
        )
