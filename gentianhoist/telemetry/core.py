"""Metrics: each declared once, with kind, unit and description."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from statsd import StatsClient

__all__ = ["METRICS", "Metric", "MetricKind", "Metrics"]

_MILLISECONDS_PER_S = 1000.0


class MetricKind(StrEnum):
    """How statsd treats a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(NamedTuple):
    """Declaration of one metric.

    Attributes:
        name: Name without the deployment's prefix.
        kind: How statsd treats it.
        unit: Its unit.
        description: What it tells an operator.
    """

    name: str
    kind: MetricKind
    unit: str
    description: str


METRICS = {
    metric.name: metric
    for metric in (
        Metric("requests", MetricKind.COUNTER, "requests", "Requests received."),
        Metric("refusals", MetricKind.COUNTER, "requests", "Requests refused."),
        Metric("retries", MetricKind.COUNTER, "attempts", "Attempts after the first."),
        Metric("first_token", MetricKind.TIMER, "ms", "Time to the first token."),
        Metric("streams", MetricKind.GAUGE, "streams", "Streams in progress."),
        Metric("frames_dropped", MetricKind.COUNTER, "frames", "Late or crossed."),
        Metric("resumes", MetricKind.COUNTER, "streams", "Streams resumed."),
        Metric("calls", MetricKind.COUNTER, "calls", "Service calls received."),
        Metric("store_writes", MetricKind.COUNTER, "writes", "Table transactions."),
        Metric("configuration_version", MetricKind.GAUGE, "version", "In force."),
        Metric("work_limit", MetricKind.GAUGE, "streams", "Limit of the server."),
        Metric("allowance_ppm", MetricKind.GAUGE, "ppm", "Share of the allowance."),
    )
}


def _client(host: str, port: int, prefix: str) -> StatsClient:
    # Processes without a daemon to send to start faster without its library.
    from statsd import StatsClient

    return StatsClient(host, port, prefix=prefix)


class Metrics:
    """Sends declared metrics to statsd by UDP; without an address it counts only.

    Args:
        host: IP number of the statsd daemon, empty for none.
        port: Its UDP port.
        prefix: Put before every name.
    """

    def __init__(self, host: str = "", port: int = 8125, prefix: str = "") -> None:
        self._client = _client(host, port, prefix) if host else None
        self._counts: dict[str, int] = dict.fromkeys(METRICS, 0)

    def increment(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._counts[name] = int(value)
        if self._client:
            self._client.gauge(name, value)

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record a duration, given in seconds and sent in milliseconds."""
        self._counts[name] += 1
        if self._client:
            self._client.timing(name, duration_s * _MILLISECONDS_PER_S)

    def value(self, name: str) -> int:
        """The count so far, or the last gauge."""
        return self._counts[name]
