"""Logs as JSON lines and metrics by statsd."""

from gentianhoist.telemetry._logs import configure_logging, request_log
from gentianhoist.telemetry.core import METRICS, Metric, MetricKind, Metrics

__all__ = [
    "METRICS",
    "Metric",
    "MetricKind",
    "Metrics",
    "configure_logging",
    "request_log",
]
