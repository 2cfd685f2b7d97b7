"""Prometheus counters, gauges and latency histograms of an entry."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

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
            "entry_store_calls",
            "Calls to the platform's store, by call and outcome.",
            ["call", "outcome"],
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

    def record_pause(self) -> None:
        """Count a refusal in which a backend server named a pause."""
        self._server_pauses.inc()

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

    def record_store_call(self, call: str, outcome: str) -> None:
        """Count a finished call to the platform's store.

        Args:
            call: Name of the call.
            outcome: Outcome of the call.
        """
        self._store_calls.labels(call, outcome).inc()

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
