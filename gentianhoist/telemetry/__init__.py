"""Logs as JSON lines; metrics by statsd, or as text for a collector."""

from gentianhoist.telemetry._decisions import DecisionLog, log_to
from gentianhoist.telemetry._exposition import EntryMetrics
from gentianhoist.telemetry._logs import configure_logging, request_log
from gentianhoist.telemetry.core import METRICS, Metric, MetricKind, Metrics

__all__ = [
    "METRICS",
    "DecisionLog",
    "EntryMetrics",
    "Metric",
    "MetricKind",
    "Metrics",
    "configure_logging",
    "log_to",
    "request_log",
]
