"""Which servers a request may be sent to, after pauses and ejections."""

import itertools

from gentianhoist.dispatch._candidates import Candidates
from gentianhoist.fleet import Idempotency
from gentianhoist.serverhealth import Evidence, Report
from tests.dispatch.fakes import DispatcherHarness, call, configuration
from tests.virtual_time_loop import VirtualTimeLoop

PAUSE_S = 1.0


def _candidates(harness: DispatcherHarness, loop: VirtualTimeLoop) -> Candidates:
    current = configuration(Idempotency.IDEMPOTENT, streaming=False)
    harness.state.routing.update_if_newer(current)
    request = harness.context.match(call(loop), current)
    request.group_name = "g"
    return Candidates(harness.context, request)


def test_server_that_may_still_refuse_is_left_while_no_retry_can_be_paid(loop):
    """With many entries, each has few retries, and a refused request is lost."""
    harness = DispatcherHarness(loop, itertools.repeat(None))
    candidates = _candidates(harness, loop)
    paused = harness.servers[0]
    harness.state.pauses.begin(paused, PAUSE_S, -2 * PAUSE_S)
    assert paused in candidates.servers()
    while harness.state.retry_quota("g").try_withdraw():
        pass
    assert paused not in candidates.servers()


def _report_failing(harness: DispatcherHarness, server, now_s: float) -> None:
    for host in ("10.0.0.2", "10.0.0.3"):
        report = Report(host, "r", 1, Evidence(2.0, 2.0, 0.0, now_s))
        harness.state.server_health.receive(server.incarnation, report, now_s)


def test_server_that_fails_at_other_entries_is_no_candidate(loop):
    """An engine fails 40 % of its requests, and this entry seldom uses it."""
    harness = DispatcherHarness(loop, itertools.repeat(None))
    candidates = _candidates(harness, loop)
    _report_failing(harness, harness.servers[0], harness.context.clock.monotonic_s())
    assert candidates.servers() == harness.servers[1:]


def test_all_servers_are_candidates_if_all_fail_at_other_entries(loop):
    # Guards against: reports take the whole group from an entry.
    harness = DispatcherHarness(loop, itertools.repeat(None))
    candidates = _candidates(harness, loop)
    for server in harness.servers:
        _report_failing(harness, server, harness.context.clock.monotonic_s())
    assert candidates.servers() == harness.servers
