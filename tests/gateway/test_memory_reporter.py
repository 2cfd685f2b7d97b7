"""Log lines and metrics of the memory limit."""

import msgspec

from gentianhoist.gateway._memory_reporter import MemoryReporter
from gentianhoist.http1 import CutRecord, HttpServer
from gentianhoist.http1._receive_budget import CutReason, Pool
from gentianhoist.telemetry import EntryMetrics

_MIB = 1024 * 1024


class _Log:
    def __init__(self) -> None:
        self.lines: list[dict] = []

    def record(self, decision: str, request_id: str = "", **fields) -> None:
        self.lines.append({"decision": decision, **fields})


def _reporter(limit_bytes: int | None = 96 * _MIB):
    log = _Log()
    metrics = EntryMetrics()
    return MemoryReporter(limit_bytes, log, metrics), log, metrics  # type: ignore[arg-type]


def test_cut_is_logged_and_counted():
    reporter, log, metrics = _reporter()
    reporter.record_cut(CutRecord(Pool.LARGE, CutReason.NO_ROOM, 1240, 30))
    (line,) = log.lines
    assert msgspec.json.decode(msgspec.json.encode(line)) == {
        "decision": "cut_for_memory",
        "pool": "large",
        "reason": "no_room",
        "held_bytes": 1240,
        "waiting": 30,
    }
    counter = b'entry_cut_for_memory_total{pool="large",reason="no_room"} 1.0'
    assert counter in metrics.render()


def test_bodies_that_never_fit_are_logged_by_field():
    reporter, log, _ = _reporter()
    reporter.check_body_limit(4 * _MIB)
    assert log.lines == []
    reporter.check_body_limit(64 * _MIB)
    assert log.lines[0]["field"] == "max_body_bytes"


def test_shortage_is_logged_once_and_when_it_ends():
    reporter, log, metrics = _reporter()
    server = HttpServer(lambda request, responder: None, budget_limits=reporter.limits)
    budget = server.memory.budget
    holds = []
    for _ in range(6):
        hold = budget.open_request(lambda: None, lambda reason: None, 0.0)
        budget.announce(hold, 4 * _MIB, 0.0)
        holds.append(hold)
    reporter.update(server)
    reporter.update(server)
    for hold in holds:
        budget.close(hold)
    reporter.update(server)
    decisions = [line["decision"] for line in log.lines]
    assert decisions == ["memory_short", "memory_sufficient"]
    assert b'entry_reserved_bytes{pool="large"} 0.0' in metrics.render()


def test_nothing_is_reported_without_a_limit():
    reporter, log, _ = _reporter(None)
    assert reporter.limits is None
    reporter.update(HttpServer(lambda request, responder: None))
    reporter.check_body_limit(10**9)
    assert log.lines == []
