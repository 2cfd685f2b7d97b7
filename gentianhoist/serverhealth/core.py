"""Health of all backend servers, by incarnation."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from gentianhoist.fleet import BackendServer
from gentianhoist.serverhealth._evidence import (
    SLOW_RATIO,
    Evidence,
    Incarnation,
    ResultPhase,
)
from gentianhoist.serverhealth._reports import Report
from gentianhoist.serverhealth._server_health import ServerHealth

__all__ = [
    "Ejected",
    "HealthChange",
    "HealthListener",
    "Returned",
    "ServerHealthRegistry",
    "SlownessChanged",
]

# Evidence of others is kept for at most this many servers, also while the directory of
# servers isn't loaded yet.
_MAX_SERVERS = 1024
# Part of the servers that may be chosen which stays available whatever others report.
_MIN_AVAILABLE_RATIO = 0.5


@dataclass(frozen=True)
class Ejected:
    """A server gets no requests for a while.

    Attributes:
        is_shared: Whether by the evidence of several entries, or by this entry's own.
        until_s: End of the ejection.
        is_prober: Whether this entry sends the first requests after it.
        hosts: IP addresses of the other entries that report it as failing.
    """

    is_shared: bool
    until_s: float
    is_prober: bool
    hosts: tuple[str, ...] = ()


@dataclass(frozen=True)
class Returned:
    """A server gets requests again.

    Attributes:
        is_probe: Whether no entry has reported a success since its ejection.
    """

    is_probe: bool


@dataclass(frozen=True)
class SlownessChanged:
    """Several entries measured that a server became slow, or it is no longer so.

    Attributes:
        slowness: Ratio of measured to expected time to first token.
    """

    slowness: float


HealthChange = Ejected | Returned | SlownessChanged


class HealthListener(Protocol):
    """What the registry calls when it learns something."""

    def is_prober(self, incarnation: Incarnation) -> bool:
        """Whether this entry probes a server after an ejection."""
        ...

    def on_result(
        self,
        incarnation: Incarnation,
        evidence: Evidence,
        now_s: float,
        phase: ResultPhase,
    ) -> None:
        """Take this entry's evidence after the result of a request.

        Args:
            incarnation: The server.
            evidence: This entry's evidence.
            now_s: Current time.
            phase: When the result arrived.
        """
        ...

    def on_change(
        self, incarnation: Incarnation, change: HealthChange, now_s: float
    ) -> None:
        """Take a change of what this entry does with a server."""
        ...


class _NullListener:
    """Listener of an entry without others: it probes all servers itself."""

    def is_prober(self, incarnation: Incarnation) -> bool:
        return True

    def on_result(
        self,
        incarnation: Incarnation,
        evidence: Evidence,
        now_s: float,
        phase: ResultPhase,
    ) -> None:
        """Do nothing."""

    def on_change(
        self, incarnation: Incarnation, change: HealthChange, now_s: float
    ) -> None:
        """Do nothing."""


class ServerHealthRegistry:
    """Health of all backend servers, by incarnation (id, address and start time)."""

    def __init__(self) -> None:
        self._by_incarnation: dict[Incarnation, ServerHealth] = {}
        self._listener: HealthListener = _NullListener()
        # Servers that are excluded, that have reports, and that are slow by these.
        self._excluded: dict[Incarnation, ServerHealth] = {}
        self._reported: dict[Incarnation, ServerHealth] = {}
        self._slow: set[Incarnation] = set()

    @property
    def excluded_count(self) -> int:
        """Number of servers that this entry excludes."""
        return len(self._excluded)

    @property
    def slow_count(self) -> int:
        """Number of servers that are slow by the evidence of several entries."""
        return len(self._slow)

    def set_listener(self, listener: HealthListener) -> None:
        """Set what is called when the registry learns something."""
        self._listener = listener

    def get(self, incarnation: Incarnation) -> ServerHealth:
        """Return the health of one incarnation; a new one starts healthy."""
        health = self._by_incarnation.get(incarnation)
        if health is None:
            health = self._by_incarnation[incarnation] = ServerHealth()
        return health

    def ejection_ended_s(self, incarnation: Incarnation) -> float | None:
        """When the last ejection of a server ended, on the entry's clock in seconds.

        Returns:
            The time, which is in the future during an ejection; None without any.
        """
        health = self._by_incarnation.get(incarnation)
        return None if health is None else health.ejection_ended_s

    def record_success(
        self, incarnation: Incarnation, now_s: float, ratio: float | None = None
    ) -> None:
        """Record a successful request of this entry.

        Args:
            incarnation: The server.
            now_s: Current time.
            ratio: Ratio of measured to expected processing time, or None if unknown.
        """
        health = self.get(incarnation)
        phase = health.record_success(now_s, ratio)
        self._handle_result(incarnation, health, now_s, phase)

    def record_failure(
        self, incarnation: Incarnation, now_s: float, weight: float = 1.0
    ) -> None:
        """Record a failure that the server itself caused.

        Args:
            incarnation: The server.
            now_s: Current time.
            weight: Weight of the failure; 1 for one lost request. A larger weight
                ejects the server at once.
        """
        health = self.get(incarnation)
        ejected_until_s = health.own.ejected_until_s
        phase = health.record_failure(now_s, weight)
        if health.own.ejected_until_s != ejected_until_s:
            self._handle_own_ejection(incarnation, health, now_s)
        if phase is not None:
            self._handle_result(incarnation, health, now_s, phase)

    def receive(self, incarnation: Incarnation, report: Report, now_s: float) -> bool:
        """Take the evidence of another entry.

        Args:
            incarnation: The server.
            report: The evidence.
            now_s: Current time.

        Returns:
            False if it is outdated, known, or about one server too many.
        """
        is_new = incarnation not in self._by_incarnation
        if is_new and len(self._by_incarnation) >= _MAX_SERVERS:
            return False
        health = self.get(incarnation)
        if not health.receive(report, now_s):
            return False
        self._reported[incarnation] = health
        self._combine(incarnation, health, now_s)
        return True

    def tick(self, now_s: float) -> None:
        """Combine evidence anew that has become older, and end exclusions."""
        for incarnation, health in list(self._reported.items()):
            self._combine(incarnation, health, now_s)
            if not health.has_reports:
                del self._reported[incarnation]
        for incarnation, health in list(self._excluded.items()):
            if not health.is_excluded(now_s):
                del self._excluded[incarnation]
                change = Returned(is_probe=not health.ejection.is_released)
                self._listener.on_change(incarnation, change, now_s)

    def available(
        self, servers: list[BackendServer], now_s: float
    ) -> list[BackendServer]:
        """Return the servers that may be chosen now.

        Servers that this entry's evidence ejects are returned only if there are no
        others. Those that the evidence of others ejects are returned as well if fewer
        than half of the servers would be left.

        Args:
            servers: Servers of one group.
            now_s: Current time.
        """
        if not self._excluded:
            return servers
        by_own = [
            server
            for server in servers
            if not self._is_ejected_by_own(server.incarnation, now_s)
        ] or servers
        by_all = [
            server
            for server in by_own
            if not self._is_excluded_by_others(server.incarnation, now_s)
        ]
        if not by_all or len(by_all) < _MIN_AVAILABLE_RATIO * len(servers):
            return by_own
        return by_all

    def suspects(self, now_s: float) -> set[Incarnation]:
        """Return the incarnations that failed recently or have turned slow."""
        suspects = {
            incarnation
            for incarnation, health in self._by_incarnation.items()
            if health.own.is_suspect(now_s)
        }
        if self._slow:
            suspects.update(
                incarnation
                for incarnation in self._slow
                if self._by_incarnation[incarnation].shared_slowness(now_s) > 1.0
            )
        return suspects

    def keep_only(self, incarnations: Collection[Incarnation]) -> None:
        """Remove all other incarnations."""
        for removed in self._by_incarnation.keys() - incarnations:
            del self._by_incarnation[removed]
            self._excluded.pop(removed, None)
            self._reported.pop(removed, None)
            self._slow.discard(removed)

    def _is_ejected_by_own(self, incarnation: Incarnation, now_s: float) -> bool:
        health = self._excluded.get(incarnation)
        return health is not None and health.own.is_ejected(now_s)

    def _is_excluded_by_others(self, incarnation: Incarnation, now_s: float) -> bool:
        health = self._excluded.get(incarnation)
        return health is not None and health.ejection.is_excluded(now_s)

    def _handle_own_ejection(
        self, incarnation: Incarnation, health: ServerHealth, now_s: float
    ) -> None:
        self._excluded[incarnation] = health
        change = Ejected(False, health.own.ejected_until_s, True)
        self._listener.on_change(incarnation, change, now_s)

    def _handle_result(
        self,
        incarnation: Incarnation,
        health: ServerHealth,
        now_s: float,
        phase: ResultPhase,
    ) -> None:
        assert health.own.evidence is not None
        self._listener.on_result(incarnation, health.own.evidence, now_s, phase)
        if health.has_reports:
            self._combine(incarnation, health, now_s)

    def _combine(
        self, incarnation: Incarnation, health: ServerHealth, now_s: float
    ) -> None:
        if health.combine(now_s):
            is_prober = self._listener.is_prober(incarnation)
            health.eject(now_s, is_prober=is_prober)
            self._excluded[incarnation] = health
            hosts = tuple(health.failing_hosts(now_s))
            change = Ejected(True, health.ejection.until_s, is_prober, hosts)
            self._listener.on_change(incarnation, change, now_s)
        self._update_slow(incarnation, health.shared_slowness(now_s), now_s)

    def _update_slow(
        self, incarnation: Incarnation, slowness: float, now_s: float
    ) -> None:
        is_slow = slowness >= SLOW_RATIO
        if is_slow == (incarnation in self._slow):
            return
        if is_slow:
            self._slow.add(incarnation)
        else:
            self._slow.discard(incarnation)
        change = SlownessChanged(round(slowness, 2))
        self._listener.on_change(incarnation, change, now_s)
