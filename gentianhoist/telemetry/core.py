"""Metrics sent to statsd, each declared with its kind, unit and description."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from statsd import StatsClient

__all__ = ["METRICS", "Metric", "MetricKind", "Metrics"]

_MILLISECONDS_PER_S = 1000.0


class MetricKind(StrEnum):
    """Type of a statsd metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(NamedTuple):
    """Declaration of one metric.

    Attributes:
        name: Name without the prefix that `Metrics` adds.
        kind: Type of the metric in statsd.
        unit: Unit of its values.
        description: What it measures.
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
        Metric("first_token", MetricKind.TIMER, "ms", "Time to first token."),
        Metric("streams", MetricKind.GAUGE, "streams", "Streams in progress."),
        Metric(
            "frames_dropped",
            MetricKind.COUNTER,
            "frames",
            "Stream frames dropped: duplicate, out of order or of an old attempt.",
        ),
        Metric("resumes", MetricKind.COUNTER, "streams", "Streams resumed."),
        Metric("calls", MetricKind.COUNTER, "calls", "Service calls received."),
        Metric(
            "store_writes", MetricKind.COUNTER, "writes", "Table transactions sent."
        ),
        Metric(
            "configuration_version",
            MetricKind.GAUGE,
            "version",
            "Version of the configuration in force.",
        ),
        Metric(
            "work_limit",
            MetricKind.GAUGE,
            "streams",
            "Concurrency limit of the backend server.",
        ),
        Metric(
            "lost_engines",
            MetricKind.COUNTER,
            "crashes",
            "Engines that crashed while they began an answer.",
        ),
        Metric(
            "held_keys",
            MetricKind.GAUGE,
            "keys",
            "Prompt prefixes and requests that are held since they crash engines.",
        ),
        Metric(
            "allowance_ppm", MetricKind.GAUGE, "ppm", "Entry's share of the rate limit."
        ),
    )
}


def _make_statsd_client(host: str, port: int, prefix: str) -> StatsClient:
    # Imported on first use: processes that send no metrics start faster when they
    # don't import statsd.
    from statsd import StatsClient

    return StatsClient(host, port, prefix=prefix)


class Metrics:
    """Keeps the values of the metrics in `METRICS` and sends them to statsd by UDP.

    Methods identify a metric by its name, a key of `METRICS`.

    Args:
        host: IP address of the statsd daemon; empty to send nothing.
        port: UDP port of the statsd daemon.
        prefix: Prefix of every metric's name.
    """

    def __init__(self, host: str = "", port: int = 8125, prefix: str = "") -> None:
        self._statsd = _make_statsd_client(host, port, prefix) if host else None
        self._values: dict[str, int] = dict.fromkeys(METRICS, 0)

    def increment(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        Args:
            name: Name of the counter.
            amount: Amount to add.
        """
        self._values[name] += amount
        if self._statsd:
            self._statsd.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        Args:
            name: Name of the gauge.
            value: New value; `Metrics.value` returns its integer part.
        """
        self._values[name] = int(value)
        if self._statsd:
            self._statsd.gauge(name, value)

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record a duration, which statsd receives in milliseconds.

        Args:
            name: Name of the timer.
            duration_s: Duration in seconds.
        """
        self._values[name] += 1
        if self._statsd:
            self._statsd.timing(name, duration_s * _MILLISECONDS_PER_S)

    def value(self, name: str) -> int:
        """Return the current value of a metric in this process.

        Args:
            name: Name of the metric.

        Returns:
            The sum of a counter, the last value of a gauge, or the number of durations
            recorded for a timer.
        """
        return self._values[name]
