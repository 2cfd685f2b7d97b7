"""Experiment: cost of keeping the rate limits that servers name, in a large fleet."""

from __future__ import annotations

import random

import msgspec

from benchmarks._results import BenchmarkResults, measure_median_s
from gentianhoist.fleet import BackendServer
from gentianhoist.peers import Batch, RateLimitUsed
from gentianhoist.ratelimits import LimitNamed, RateLimits

__all__ = ["measure_rate_limits"]

_US_PER_S = 1e6
_LIMIT_PER_S = 9.0
_HOST = "10.0.0.1"


async def measure_rate_limits(results: BenchmarkResults) -> None:
    """Measure decisions, reports and upkeep, by the size of the fleet.

    Args:
        results: Collects the measurements.
    """
    for entries, servers in ((27, 78), (100, 1_000), (1_000, 10_000)):
        limits = _make_limits(entries, servers, results.seed)
        known = [_host(number) for number in range(entries)]
        sample = [_make_server(number) for number in range(1_000)]
        name = f"{entries}.{servers}"
        check_s = measure_median_s(
            lambda limits=limits, sample=sample: [
                limits.can_send(server, 2.0) for server in sample
            ]
        )
        check_us = check_s / len(sample) * _US_PER_S
        results.add(f"rate_limit_check_us.{name}", check_us, "us")
        upkeep_s = measure_median_s(
            lambda limits=limits, known=known: _keep_up(limits, known)
        )
        results.add(f"rate_limit_upkeep_us.{name}", upkeep_s * _US_PER_S, "us")
        report = limits.report(sample[0].incarnation)
        assert report is not None
        recipients = len(limits.recipients(report))
        results.add(f"rate_limit_recipients.{name}", recipients, "entries")
        receive_s = measure_median_s(
            lambda limits=limits, report=report: limits.receive("b", report, 4.0)
        )
        results.add(f"rate_limit_received_us.{name}", receive_s * _US_PER_S, "us")
        message = Batch("10.0.0.2-abcdef", [RateLimitUsed.of(report, 5.0)])
        size_bytes = len(msgspec.msgpack.encode(message))
        results.add(f"rate_limit_report_bytes.{name}", size_bytes, "bytes")


def _make_limits(entries: int, servers: int, seed: int) -> RateLimits:
    limits = RateLimits(_HOST, random.Random(seed))
    hosts = [_host(number) for number in range(entries)]
    limits.set_entries(hosts, hosts, 0.0)
    for number in range(servers):
        limits.observe(_make_server(number), LimitNamed(_LIMIT_PER_S), 0.5, 1.0)
    limits.set_entries(hosts, hosts, 1.5)
    return limits


def _keep_up(limits: RateLimits, known: list[str]) -> None:
    """Do what an entry does four times a second."""
    limits.set_entries(known, known, 3.0)
    limits.expire(3.0)
    limits.reports_to_repeat(3.0)


def _host(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}"


def _make_server(number: int) -> BackendServer:
    return BackendServer(f"i-{number:010}", "g", "10.1.0.1", number, "z", 8)
