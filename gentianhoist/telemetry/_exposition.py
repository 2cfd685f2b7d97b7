"""Prometheus counters, gauges and latency histograms of an entry."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from gentianhoist.store import StoreCallCause, StoreCallOutcome

__all__ = ["EntryMetrics"]

_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0)


class EntryMetrics:
    """Prometheus metrics of one entry, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        registry = self._registry
        self._response_times = Histogram(
            "entry_answer_seconds",
            "Time from a request to the end of its answer, by outcome.",
            ["outcome"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._first_event_times = Histogram(
            "entry_first_event_seconds",
            "Time from a request to its first event.",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._failed_sends = Counter(
            "entry_failed_sends",
            "Sends without an answer, by what is known of their execution.",
            ["execution"],
            registry=registry,
        )
        self._store_calls = Counter(
            "gentianhoist_store_calls",
            "Calls to the platform's store, by table, cause and outcome.",
            ["table", "cause", "outcome"],
            registry=registry,
        )
        self._configuration_version = Gauge(
            "entry_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self._server_count = Gauge(
            "entry_backend_servers", "Backend servers known.", registry=registry
        )
        self._lost_engines = Counter(
            "entry_lost_engines",
            "Probes of engines after a connection was lost at the beginning of an "
            "answer, by whether the engine was down.",
            ["down"],
            registry=registry,
        )
        self._held_segments = Gauge(
            "entry_held_segments",
            "Prompt segments that are held or tried because they crash engines.",
            registry=registry,
        )
        self._limited_servers = Gauge(
            "entry_rate_limited_servers",
            "Backend servers that name a rate limit.",
            registry=registry,
        )
        self._server_pauses = Counter(
            "entry_server_pauses",
            "Refusals in which backend servers named a pause.",
            registry=registry,
        )
        self._ejections = Counter(
            "entry_server_ejections",
            "Ejections of backend servers, by this entry's own evidence or that of "
            "several entries.",
            ["source"],
            registry=registry,
        )
        self._server_reports = Counter(
            "entry_server_reports",
            "Evidence about backend servers exchanged with other entries: sent, "
            "repeated, taken, or ignored as outdated or known.",
            ["action"],
            registry=registry,
        )
        self._ejected_servers = Gauge(
            "entry_ejected_servers",
            "Backend servers that get no requests from this entry since they fail.",
            registry=registry,
        )
        self._slow_servers = Gauge(
            "entry_slow_servers",
            "Backend servers that are slow by the evidence of several entries.",
            registry=registry,
        )
        self._held_requests = Gauge(
            "entry_held_requests",
            "Contents of requests that are held or tried because they crash servers.",
            registry=registry,
        )
        self._dropped_responses = Counter(
            "entry_dropped_responses",
            "Responses of servers that no request reads, by their position on the "
            "connection and whether they name the request that was sent last.",
            ["position", "names_request"],
            registry=registry,
        )
        self._slow_starts = Gauge(
            "entry_slow_starts",
            "Backend servers that started or recovered and are not at full pace yet.",
            registry=registry,
        )
        self._pace_changes = Counter(
            "entry_pace_changes",
            "Changes of the pace of a server that started or recovered, by cause.",
            ["cause"],
            registry=registry,
        )
        self._cold_units = Counter(
            "entry_cold_units",
            "Units of cold servers, requested from other entries, borrowed from them, "
            "lent to them, or received too late.",
            ["event"],
            registry=registry,
        )
        self._reserved_bytes = Gauge(
            "entry_reserved_bytes",
            "Bytes of requests and responses that are held or reserved, by pool.",
            ["pool"],
            registry=registry,
        )
        self._cuts = Counter(
            "entry_cut_for_memory",
            "Requests and responses given up for the memory limit, by pool and reason.",
            ["pool", "reason"],
            registry=registry,
        )
        self._admissions = Counter(
            "entry_admission_decisions",
            "Prompts by the decision at their arrival, by the use of the whole fleet.",
            ["decision"],
            registry=registry,
        )
        self._fleet_admission = Gauge(
            "entry_fleet_admission",
            "Whether admission is by the use of the whole fleet.",
            registry=registry,
        )
        self._occupied = Gauge(
            "entry_occupied_slots_ratio",
            "Fraction of the slots of a server group that all entries have in use.",
            ["group"],
            registry=registry,
        )
        self._dropped_lines = Gauge(
            "entry_log_lines_dropped", "Log lines dropped.", registry=registry
        )

    def record_response(self, outcome: str, elapsed_s: float) -> None:
        """Record the end of a request.

        Args:
            outcome: Outcome of the request, also if its caller disconnected.
            elapsed_s: Seconds since the request was received.
        """
        self._response_times.labels(outcome).observe(elapsed_s)

    def record_first_event(self, elapsed_s: float) -> None:
        """Record that the first event of a stream was forwarded to the caller.

        Args:
            elapsed_s: Seconds since the request was received.
        """
        self._first_event_times.observe(elapsed_s)

    def record_failed_send(self, execution: str) -> None:
        """Count a request to a backend server that got no response.

        Args:
            execution: What is known about the execution of the request there.
        """
        self._failed_sends.labels(execution).inc()

    def record_lost_engine(self, is_down: bool) -> None:
        """Count a probe of an engine whose connection was lost.

        Args:
            is_down: Whether nothing listened at its address any more.
        """
        self._lost_engines.labels(str(is_down).lower()).inc()

    def record_dropped_response(self, position: str, *, names_request: bool) -> None:
        """Count a response of a backend server that is not passed on.

        Args:
            position: Where it was on its connection.
            names_request: Whether it names the request that was sent last.
        """
        self._dropped_responses.labels(position, str(names_request).lower()).inc()

    def record_cut(self, pool: str, reason: str) -> None:
        """Count a request or response that was given up for the memory limit.

        Args:
            pool: Pool of its bytes.
            reason: Why it was given up.
        """
        self._cuts.labels(pool, reason).inc()

    def set_reserved_bytes(self, pool: str, count: int) -> None:
        """Set the bytes that requests and responses hold or reserve in a pool."""
        self._reserved_bytes.labels(pool).set(count)

    def record_pause(self) -> None:
        """Count a refusal in which a backend server named a pause."""
        self._server_pauses.inc()

    def record_ejection(self, source: str) -> None:
        """Count an ejection of a backend server.

        Args:
            source: Whose evidence led to it.
        """
        self._ejections.labels(source).inc()

    def record_server_report(self, action: str) -> None:
        """Count evidence about a backend server, by what was done with it."""
        self._server_reports.labels(action).inc()

    def set_server_health(self, *, ejected: int, slow: int) -> None:
        """Set the numbers of backend servers that are ejected, and that are slow."""
        self._ejected_servers.set(ejected)
        self._slow_servers.set(slow)

    def record_pace_change(self, cause: str) -> None:
        """Count a change of the pace of a server that started or recovered."""
        self._pace_changes.labels(cause).inc()

    def record_cold_unit(self, event: str) -> None:
        """Count a unit of a cold server that was requested, lent or received."""
        self._cold_units.labels(event).inc()

    def set_slow_starts(self, count: int) -> None:
        """Set the number of servers that are not at full pace yet."""
        self._slow_starts.set(count)

    def record_admission(self, decision: str) -> None:
        """Count a decision on a prompt at its arrival."""
        self._admissions.labels(decision).inc()

    def set_fleet_admission(self, is_active: bool) -> None:
        """Set whether admission is by the use of the whole fleet."""
        self._fleet_admission.set(is_active)

    def set_occupied(self, group: str, ratio: float) -> None:
        """Set the fraction of the slots of a server group that is in use."""
        self._occupied.labels(group).set(ratio)

    def set_held(self, *, segments: int, requests: int) -> None:
        """Set the numbers of prompt segments and requests that are held or tried."""
        self._held_segments.set(segments)
        self._held_requests.set(requests)

    def record_store_call(
        self, table: str, cause: StoreCallCause, outcome: StoreCallOutcome
    ) -> None:
        """Count a call to the platform's store; see `StoreCallCounter`."""
        self._store_calls.labels(table, cause.value, outcome.value).inc()

    def set_gauges(
        self,
        configuration_version: int,
        server_count: int,
        dropped_lines: int,
        limited_servers: int = 0,
    ) -> None:
        """Set all gauges.

        Args:
            configuration_version: Version of the configuration in force.
            server_count: Number of known backend servers.
            dropped_lines: Number of log lines dropped since the start.
            limited_servers: Number of servers that name a rate limit.
        """
        self._configuration_version.set(configuration_version)
        self._server_count.set(server_count)
        self._dropped_lines.set(dropped_lines)
        self._limited_servers.set(limited_servers)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
