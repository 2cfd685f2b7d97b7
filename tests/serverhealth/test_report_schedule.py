"""When evidence is reported, so that it costs little whatever the fleet does."""

import random

import pytest

from gentianhoist.serverhealth import Evidence, ResultPhase
from gentianhoist.serverhealth._report_schedule import ReportSchedule

SERVER = ("s1", "10.1.0.1:8000", 1)
ENTRIES = 36


def _observe(
    schedule: ReportSchedule,
    now_s: float,
    *,
    failures: float = 0.0,
    ratio: float = 1.0,
    server=SERVER,
    phase: ResultPhase = ResultPhase.ORDINARY,
) -> int:
    """Take evidence and send what is due; returns the number of reports."""
    schedule.observe(server, Evidence(2.0, failures, ratio, now_s), now_s, phase)
    return len(schedule.take_due(now_s, ENTRIES))


def test_healthy_server_is_not_reported():
    """The fleet is well: no message for each engine or entry."""
    schedule = ReportSchedule()
    assert not any(_observe(schedule, 0.1 * step) for step in range(100))


def test_first_failure_is_reported_at_once_and_recovery_later():
    schedule = ReportSchedule()
    assert _observe(schedule, 10.0, failures=1.0) == 1
    assert _observe(schedule, 12.5) == 1


def test_report_is_repeated_once_since_datagrams_are_lost():
    schedule = ReportSchedule()
    _observe(schedule, 10.0, ratio=6.0)
    assert schedule.take_due(10.9, ENTRIES) == []
    (repeat,) = schedule.take_due(11.1, ENTRIES)
    assert repeat.is_repeat
    assert repeat.evidence.observed_s == 10.0
    assert schedule.take_due(12.5, ENTRIES) == []


def test_server_that_stays_slow_is_reported_before_the_report_expires():
    # Guards against: the fact ends at the other entries while the engine is still slow.
    schedule = ReportSchedule()
    sent_s = [
        0.25 * step for step in range(80) if _observe(schedule, 0.25 * step, ratio=6.0)
    ]
    gaps = [later - before for before, later in zip(sent_s, sent_s[1:], strict=False)]
    assert max(gaps) < 6.0


def test_server_is_reported_at_most_once_a_second():
    """An engine that goes down and up by turns."""
    schedule = ReportSchedule()
    sent = sum(
        _observe(schedule, 0.1 * step, failures=float(step % 2)) for step in range(100)
    )
    assert 5 <= sent <= 10


def test_results_of_probes_are_reported():
    schedule = ReportSchedule()
    assert _observe(schedule, 10.0, phase=ResultPhase.PROBE) == 1
    assert _observe(schedule, 12.1, failures=1.0, phase=ResultPhase.PROBE) == 1


def test_failure_right_after_an_ejection_is_news():
    schedule = ReportSchedule()
    _observe(schedule, 10.0, failures=1.0)
    phase = ResultPhase.AFTER_EJECTION
    assert _observe(schedule, 11.5, failures=1.0, phase=phase) == 1


@pytest.mark.parametrize("entries", [1, 36, 200])
def test_all_entries_together_send_a_bounded_number(entries):
    """All 200 engines change all the time, as each of many entries sees it."""
    schedule, rng, sent = ReportSchedule(), random.Random(1), 0
    for step in range(1_000):
        now_s = 0.01 * step
        server = (f"s{rng.randrange(200)}", "", 1)
        evidence = Evidence(2.0, 2.0 * rng.randrange(2), 1.0, now_s)
        schedule.observe(server, evidence, now_s, ResultPhase.ORDINARY)
        sent += len(schedule.take_due(now_s, entries))
    assert sent <= 8 + 10 * 100 / entries + 1


def test_newly_started_entry_gets_the_newest_bad_evidence():
    schedule = ReportSchedule()
    for number in range(40):
        _observe(schedule, 0.1 * number, ratio=6.0, server=(f"s{number}", "", 1))
    _observe(schedule, 4.0, server=("s39", "", 1))
    snapshot = schedule.snapshot(4.0)
    assert [item.incarnation[0] for item in snapshot] == [
        f"s{number}" for number in range(38, 22, -1)
    ]
    assert schedule.snapshot(20.0) == []
