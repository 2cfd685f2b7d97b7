"""JSON-lines logging, and metrics for statsd and Prometheus."""

from gentianhoist.telemetry._decisions import DecisionLog, redirect_logging
from gentianhoist.telemetry._exposition import EntryMetrics
from gentianhoist.telemetry._logs import configure_logging, make_request_logger
from gentianhoist.telemetry._repeats import RepeatedDecisions
from gentianhoist.telemetry.core import METRICS, Metric, MetricKind, Metrics

__all__ = [
    "METRICS",
    "DecisionLog",
    "EntryMetrics",
    "Metric",
    "MetricKind",
    "Metrics",
    "RepeatedDecisions",
    "configure_logging",
    "redirect_logging",
    "make_request_logger",
]
