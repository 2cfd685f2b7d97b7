"""Counters and latency histograms of an entry, as text for a collector."""

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
    """The metrics of one entry."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        registry = self._registry
        self._answers = Histogram(
            "entry_answer_seconds",
            "Time from a request to the end of its answer, by outcome.",
            ["outcome"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._first_events = Histogram(
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
        self._version = Gauge(
            "entry_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self._servers = Gauge(
            "entry_backend_servers", "Backend servers known.", registry=registry
        )
        self._dropped = Gauge(
            "entry_log_lines_dropped", "Log lines dropped.", registry=registry
        )

    def record_response(self, outcome: str, elapsed_s: float) -> None:
        """A request has its answer, or has lost its caller."""
        self._answers.labels(outcome).observe(elapsed_s)

    def record_first_event(self, elapsed_s: float) -> None:
        """A stream's first event was passed on."""
        self._first_events.observe(elapsed_s)

    def record_failed_send(self, execution: str) -> None:
        """A send brought no answer."""
        self._failed_sends.labels(execution).inc()

    def record_store_call(self, call: str, outcome: str) -> None:
        """A call to the store has ended."""
        self._store_calls.labels(call, outcome).inc()

    def set_gauges(
        self, configuration_version: int, server_count: int, dropped_lines: int
    ) -> None:
        """Set the gauges."""
        self._version.set(configuration_version)
        self._servers.set(server_count)
        self._dropped.set(dropped_lines)

    def render(self) -> bytes:
        """All metrics as text."""
        return generate_latest(self._registry)
