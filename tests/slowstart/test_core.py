"""Both bounds together, and what an entry tells of them."""

import random

import pytest

from gentianhoist.fleet import BackendServer, ServerGroup
from gentianhoist.slowstart import PaceCause, PaceReport, SlowStarts

GROUP = ServerGroup("g", 400, 3.0, 400.0)
WITHOUT_RATE = GROUP._replace(cold_requests_per_s=0.0)
COLD = BackendServer("s", "g", "10.0.0.1", 1, "z", 6, cold_until_s=3.0)
WARM = COLD._replace(cold_until_s=0.0)


def _starts(hosts: int = 1) -> SlowStarts:
    starts = SlowStarts("a", 0.9, 8, random.Random(1))
    starts.set_entries({f"e{number}" for number in range(1, hosts)}, hosts, 0.0)
    return starts


def _take(starts: SlowStarts) -> list[tuple[PaceCause, int]]:
    return [(item.cause, item.max_requests) for item in starts.take_changes()]


def test_server_without_a_cold_rate_is_served_as_before():
    starts = _starts()
    assert starts.may_start(COLD, WITHOUT_RATE, 100, 0.0)
    assert not starts.is_at_pace(COLD, WITHOUT_RATE, 100, 0.0)
    starts.record_sent(COLD, 0.0)
    starts.record_refusal(COLD, 0.0)
    assert len(starts) == 0
    assert not starts.take_changes()


def test_server_that_was_warm_all_the_time_is_served_as_before():
    starts = _starts()
    assert starts.may_start(WARM, GROUP, 100, 1.0)
    assert len(starts) == 0


def test_pace_of_a_cold_server_limits_its_requests_over_all_entries():
    starts = _starts()
    assert starts.may_start(COLD, GROUP, 1, 0.0)
    assert not starts.may_start(COLD, GROUP, 2, 0.0)
    starts.record_response(COLD, 0.1, 0.1, 0.1)
    assert starts.may_start(COLD, GROUP, 2, 0.1)
    assert _take(starts) == [(PaceCause.COLD, 2), (PaceCause.ON_TIME, 3)]


def test_pace_goes_on_after_the_cold_start():
    starts = _starts()
    starts.may_start(COLD, GROUP, 0, 0.0)
    starts.expire(3.5)
    assert not starts.may_start(COLD, GROUP, 2, 3.5)


def test_pace_ends_once_the_server_responds_as_expected():
    starts = _starts()
    starts.may_start(COLD, GROUP, 0, 0.0)
    for step in range(8):
        starts.record_response(COLD, 0.1, 0.1, 3.0 + 0.01 * step)
    starts.expire(3.1)
    assert starts.may_start(COLD, GROUP, 100, 3.1)
    assert len(starts) == 0
    assert _take(starts)[-1] == (PaceCause.ENDED, 6)


def test_server_that_recovered_begins_slowly():
    """It was ejected, or asked for a pause, and gets no burst at its return."""
    starts = _starts()
    starts.begin(WARM, 10.0)
    assert starts.may_start(WARM, GROUP, 1, 10.0)
    assert not starts.may_start(WARM, GROUP, 2, 10.0)
    assert _take(starts) == [(PaceCause.RECOVERED, 2)]


def test_hard_bound_holds_however_well_the_server_responds():
    starts = _starts()
    group = GROUP._replace(cold_requests_per_s=10.0)
    sent = 0
    for step in range(100):
        now_s = step / 100
        if starts.may_start(COLD, group, 0, now_s):
            starts.record_sent(COLD, now_s)
            starts.record_response(COLD, 0.01, 0.1, now_s)
            sent += 1
    assert 0 < sent <= 9


def test_entry_that_is_cut_off_uses_its_part_of_the_pace():
    """It doesn't know what the others send."""
    starts = _starts()
    starts.begin(WARM._replace(slots=20), 0.0)
    for _ in range(20):
        starts.record_response(WARM, 0.1, 0.1, 0.1)
    assert starts.may_start(WARM, GROUP, 10, 0.1)
    starts.set_heard_ratio(0.25)
    assert not starts.may_start(WARM, GROUP, 5, 0.1)
    assert starts.may_start(WARM, GROUP, 4, 0.1)


def test_few_of_many_entries_take_the_same_free_slot_at_once():
    """All of them see a slot as free, and hear 10 ms later that it is taken."""
    taken = 0
    for number in range(100):
        starts = SlowStarts(f"e{number}", 0.9, 100, random.Random(number))
        starts.set_entries({f"e{other}" for other in range(100)}, 125, 0.0)
        starts.begin(WARM, 0.0)
        taken += any(starts.may_start(WARM, GROUP, 0, at_s / 100) for at_s in (0, 1))
    assert 1 <= taken <= 8


def test_entry_takes_a_free_slot_after_a_short_time_in_any_case():
    """Nobody else may have a request for the server."""
    starts = _starts(hosts=100)
    starts.begin(WARM, 0.0)
    assert any(starts.may_start(WARM, GROUP, 0, at_s / 100) for at_s in range(8))


def test_a_turn_is_for_one_request():
    """Prompts that wait together are placed before the first of them is sent."""
    starts = _starts(hosts=100)
    server = WARM._replace(slots=64)
    starts.begin(server, 0.0)
    for _ in range(30):
        starts.record_response(server, 0.1, 0.1, 0.0)
    placed = 0
    for at_s in range(8):
        while starts.may_start(server, GROUP, placed, at_s / 100):
            placed += 1
    assert 1 <= placed <= 4


def test_requests_without_streaming_prefer_other_servers():
    """They don't wait, so the pace must not leave them without any server."""
    starts = _starts()
    assert not starts.is_at_pace(COLD, GROUP, 1, 0.0)
    assert starts.is_at_pace(COLD, GROUP, 2, 0.0)
    assert starts.has_unit(COLD, GROUP, 0.0)


class TestReports:
    def test_are_few_at_a_time_and_falls_first(self):
        """Half of a large fleet comes back at once."""
        starts = _starts()
        servers = [COLD._replace(id=f"s{number}") for number in range(50)]
        for server in servers:
            starts.may_start(server, GROUP, 0, 0.0)
            starts.record_response(server, 0.1, 0.1, 0.1)
        starts.record_refusal(servers[40], 0.2)
        news = starts.take_news(6, 0.2)
        assert len(news) == 6
        assert news[0][0] == servers[40].incarnation

    def test_are_not_repeated_without_a_change(self):
        starts = _starts()
        starts.may_start(COLD, GROUP, 0, 0.0)
        assert not starts.take_news(6, 0.0)
        starts.record_response(COLD, 0.1, 0.1, 0.1)
        assert len(starts.take_news(6, 0.1)) == 1
        assert not starts.take_news(6, 0.2)

    def test_are_repeated_while_they_are_valid(self):
        """A datagram may be lost."""
        starts = _starts()
        starts.may_start(COLD, GROUP, 0, 0.0)
        starts.record_response(COLD, 0.1, 0.1, 0.1)
        times_s = [0.25 * tick for tick in range(20)]
        sent_s = [at_s for at_s in times_s if starts.take_news(6, at_s)]
        assert sent_s == [0.0, 0.75, 1.5]

    def test_of_no_server_wait_for_ever(self):
        """The lowest paces must not take all reports while more servers start."""
        starts = _starts()
        servers = [COLD._replace(id=f"s{number}") for number in range(20)]
        reported = set()
        for tick in range(6):
            now_s = 0.25 * tick
            for number, server in enumerate(servers):
                starts.may_start(server, GROUP, 0, now_s)
                after_s = 0.1 if number % 2 else 5.0
                starts.record_response(server, after_s, 0.1, now_s)
            reported |= {item[0][0] for item in starts.take_news(6, now_s)}
        assert len(reported) == 20

    def test_of_servers_without_a_slow_start_are_ignored(self):
        """State must not grow with what other entries send."""
        starts = _starts()
        report = PaceReport(0.5, 1, 0.0)
        for number in range(100):
            starts.receive((f"s{number}", "a", 1), "e", report, 0.0)
        assert len(starts) == 0

    def test_change_of_the_pace_by_others_is_logged(self):
        starts = _starts()
        starts.may_start(COLD, GROUP, 0, 0.0)
        starts.receive(COLD.incarnation, "e", PaceReport(1.0, 5, 0.1), 0.1)
        starts.expire(2.2)
        assert _take(starts)[1:] == [
            (PaceCause.EVIDENCE, 6),
            (PaceCause.EVIDENCE, 2),
        ]


def test_removed_servers_are_forgotten():
    starts = _starts()
    starts.may_start(COLD, GROUP, 0, 0.0)
    starts.keep_only(set())
    assert len(starts) == 0


@pytest.mark.parametrize("slots", [0, 1, 2, 64])
def test_server_with_any_number_of_slots_gets_a_first_request(slots):
    starts = _starts()
    assert starts.may_start(COLD._replace(slots=slots), GROUP, 0, 0.0)
