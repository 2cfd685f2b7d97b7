"""Rate limits that many entries keep together."""

import pytest

from gentianhoist.ratelimits import (
    LimitNamed,
    LimitUnreadable,
    NoLimitNamed,
    RateLimits,
    parse_rate_limit,
)
from tests.ratelimits.fleet import (
    SETTLE_S,
    SimulatedFleet,
    allowed,
    make_server,
)

# Smallest part of a limit that entries with enough callers have to use.
MIN_USE_RATIO = 0.85
SERVER = make_server(0)


def assert_used(fleet: SimulatedFleet, limit_per_s: float, from_s: float) -> None:
    duration_s = fleet.now_s - from_s
    wanted = int(MIN_USE_RATIO * limit_per_s * duration_s)
    assert fleet.count(SERVER, from_s) >= wanted


def assert_kept(fleet: SimulatedFleet, limit_per_s: float, from_s: float) -> None:
    for server in fleet.servers:
        assert fleet.busiest_window(server, from_s) <= allowed(limit_per_s)


class TestSharing:
    # Guards against: entries that each keep to the limit, and together overrun it.
    @pytest.mark.parametrize("loss", [0.0, 0.1])
    @pytest.mark.parametrize("limit", [0.0, 0.4, 1.3, 6.0, 40.0])
    @pytest.mark.parametrize("entries", [1, 4, 27])
    def test_entries_keep_a_limit_and_use_it(self, entries, limit, loss):
        fleet = SimulatedFleet(entries, loss=loss)
        fleet.limit_per_s = limit
        fleet.run(SETTLE_S)
        from_s = fleet.now_s
        fleet.run(12.0)
        assert_kept(fleet, limit, from_s)
        assert_used(fleet, limit, from_s)

    # Guards against: parts of entries without callers that nobody uses.
    def test_an_entry_with_callers_uses_the_whole_limit(self):
        fleet = SimulatedFleet(27)
        fleet.demand = fleet.hosts[:1]
        fleet.limit_per_s = 2.0
        fleet.run(SETTLE_S)
        from_s = fleet.now_s
        fleet.run(12.0)
        assert_kept(fleet, 2.0, from_s)
        assert_used(fleet, 2.0, from_s)

    def test_no_entry_is_left_without_a_part(self):
        fleet = SimulatedFleet(4)
        fleet.limit_per_s = 4.0
        fleet.run(1.0)
        own = {host: limits for host, limits in fleet.limits.items()}
        fleet.run(20.0)
        sent = [limits.report(SERVER.incarnation).sent for limits in own.values()]
        assert min(sent) >= 0.5 * 20.0 * 4.0 / 4


class TestALargeFleet:
    # Guards against: a thousand entries that want the same token at the same moment.
    @pytest.mark.parametrize(("entries", "servers"), [(1000, 1), (80, 40)])
    def test_keeps_the_limits(self, entries, servers):
        fleet = SimulatedFleet(entries, servers)
        fleet.limit_per_s = 1.3
        fleet.run(SETTLE_S)
        from_s = fleet.now_s
        fleet.run(4.5)
        assert_kept(fleet, 1.3, from_s)

    def test_sends_reports_to_some_entries_only(self):
        limits = RateLimits("10.0.0.1")
        limits.set_entries([f"10.0.1.{n}" for n in range(200)], [], 0.0)
        for number in range(500):
            limits.observe(make_server(number), LimitNamed(1.0), 0.0, 1.0)
        report = limits.report(make_server(3).incarnation)
        assert len(limits.recipients(report)) <= 32
        ended = report._replace(limit_per_s=None)
        assert len(limits.recipients(ended)) == 200


class TestChanges:
    def test_a_smaller_limit_binds(self):
        fleet = SimulatedFleet(4)
        fleet.limit_per_s = 10.0
        fleet.run(6.0)
        fleet.limit_per_s = 1.0
        fleet.run(SETTLE_S)
        from_s = fleet.now_s
        fleet.run(10.0)
        assert_kept(fleet, 1.0, from_s)

    # Guards against: a limit that has ended and still keeps entries from a server.
    def test_an_end_is_known_to_all_entries_at_once(self):
        fleet = SimulatedFleet(27)
        fleet.limit_per_s = 1.0
        fleet.run(6.0)
        fleet.limit_per_s = None
        fleet.run(3.0)
        assert [limits.limit_per_s(SERVER) for limits in fleet.limits.values()] == (
            [None] * 27
        )

    def test_a_limit_that_comes_back_binds(self):
        fleet = SimulatedFleet(4)
        for limit in (1.0, None, 2.0, None, 1.0):
            fleet.limit_per_s = limit
            fleet.run(4.0)
        fleet.run(SETTLE_S)
        from_s = fleet.now_s
        fleet.run(8.0)
        assert_kept(fleet, 1.0, from_s)


class TestEntries:
    # Guards against: an entry that starts sends as if nobody else did.
    def test_entries_that_start_again_in_turn_keep_the_limit(self):
        fleet = SimulatedFleet(4)
        fleet.limit_per_s = 1.3
        fleet.run(SETTLE_S)
        from_s = fleet.now_s
        for host in fleet.hosts:
            fleet.start(host)
            fleet.run(2.0)
        assert_kept(fleet, 1.3, from_s)

    def test_an_entry_that_stops_leaves_its_part(self):
        fleet = SimulatedFleet(3)
        fleet.limit_per_s = 4.0
        fleet.run(SETTLE_S)
        del fleet.limits[fleet.hosts[0]]
        fleet.demand = fleet.hosts[1:]
        from_s = fleet.now_s
        fleet.run(10.0)
        assert_used(fleet, 4.0, from_s)

    # Guards against: groups of entries that don't hear each other and each use the
    # whole limit.
    @pytest.mark.parametrize("cut_off", [1, 2])
    def test_entries_cut_off_from_each_other_keep_it(self, cut_off):
        fleet = SimulatedFleet(4)
        fleet.limit_per_s = 6.0
        fleet.run(SETTLE_S)
        fleet.isolated = set(fleet.hosts[:cut_off])
        fleet.run(1.0)
        from_s = fleet.now_s
        fleet.run(10.0)
        assert_kept(fleet, 6.0, from_s)

    def test_an_entry_that_knows_no_other_yet_takes_a_small_part(self):
        limits = RateLimits("10.0.0.1")
        limits.set_entries([], [], 0.0, min_entries=8)
        limits.observe(SERVER, LimitNamed(8.0), 0.0, 1.0)
        assert limits.next_send_s(SERVER, 1.0) >= 1.5
        limits.set_entries([], [], 1.0)
        assert limits.next_send_s(SERVER, 1.0) < 1.2

    def test_an_entry_that_starts_is_told(self):
        first, second = RateLimits("10.0.0.1"), RateLimits("10.0.0.2")
        first.set_entries([], [], 0.0)
        first.observe(SERVER, LimitNamed(2.0), 0.0, 1.0)
        for report in first.reports_for("10.0.0.2"):
            second.receive("a", report, 1.0)
        assert second.limit_per_s(SERVER) == 2.0


class TestResponses:
    def test_only_a_later_request_shows_that_a_limit_has_ended(self):
        limits = RateLimits("10.0.0.1")
        limits.observe(SERVER, LimitNamed(2.0), 1.0, 2.0)
        assert limits.observe(SERVER, NoLimitNamed(), 1.5, 2.5) is None
        assert limits.limit_per_s(SERVER) == 2.0
        assert limits.observe(SERVER, NoLimitNamed(), 2.2, 2.6).after_per_s is None
        assert limits.limit_per_s(SERVER) is None

    def test_a_late_report_does_not_bring_a_limit_back(self):
        limits = RateLimits("10.0.0.1")
        limits.observe(SERVER, LimitNamed(2.0), 1.0, 2.0)
        report = limits.report(SERVER.incarnation)
        limits.observe(SERVER, NoLimitNamed(), 2.2, 2.6)
        assert limits.receive("b", report, 2.7) is None
        assert limits.limit_per_s(SERVER) is None

    def test_an_unreadable_limit_changes_nothing(self):
        limits = RateLimits("10.0.0.1")
        limits.observe(SERVER, LimitNamed(2.0), 1.0, 2.0)
        assert limits.observe(SERVER, LimitUnreadable("x"), 2.2, 2.6) is None
        assert limits.limit_per_s(SERVER) == 2.0

    @pytest.mark.parametrize("text", ["", "x", "-1", "nan", "inf", "1,5"])
    def test_what_is_no_limit_is_unreadable(self, text):
        assert parse_rate_limit(text) == LimitUnreadable(text)

    # Guards against: log lines of any length.
    def test_long_text_is_shortened(self):
        assert len(parse_rate_limit("x" * 60_000).text) < 100

    def test_a_server_that_starts_again_has_no_limit(self):
        limits = RateLimits("10.0.0.1")
        limits.observe(SERVER, LimitNamed(2.0), 1.0, 2.0)
        assert limits.limit_per_s(SERVER._replace(started_ms=7)) is None

    def test_a_token_that_is_given_back_can_be_taken_again(self):
        limits = RateLimits("10.0.0.1")
        limits.observe(SERVER, LimitNamed(1.0), 1.0, 2.0)
        assert limits.can_send(SERVER, 3.5)
        limits.take(SERVER, 3.5)
        assert not limits.can_send(SERVER, 3.5)
        limits.give_back(SERVER, 3.5)
        assert limits.can_send(SERVER, 3.5)


class TestBounds:
    def test_what_is_kept_of_many_servers_and_entries_is_bounded(self):
        limits = RateLimits("10.0.0.1")
        limits.observe(SERVER, LimitNamed(2.0), 1.0, 2.0)
        report = limits.report(SERVER.incarnation)
        for number in range(3000):
            limits.receive(f"e{number}", report._replace(sent=1), 2.0)
        (kept,) = limits._servers.values()
        assert len(kept.sent_by_others) <= 1024
        limits.expire(60.0)
        assert not limits._last_use_s
