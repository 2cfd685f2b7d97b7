"""Pace of one server that came back: how it rises, falls, is shared and ends."""

import pytest

from gentianhoist.slowstart import (
    EVIDENCE_TTL_S,
    MAX_PACED_S,
    PROBE_REQUESTS,
    PaceCause,
    PaceReport,
    ServerPace,
)

SLOTS = 6
COLD_UNTIL_S = 3.0
EXPECTED_S = 0.1


def _pace(slots: int = SLOTS) -> ServerPace:
    return ServerPace(slots, COLD_UNTIL_S, 0.0)


def _answer(pace: ServerPace, count: int, now_s: float, after_s: float = 0.1) -> None:
    for _ in range(count):
        pace.record_response(after_s, EXPECTED_S, now_s)


class TestThePace:
    def test_allows_a_few_requests_before_the_first_response(self):
        """Without any request there would never be a response."""
        assert _pace().max_requests(0.0) == PROBE_REQUESTS
        assert _pace(slots=1).max_requests(0.0) == 1
        assert _pace(slots=0).max_requests(0.0) == 1

    def test_rises_by_a_slot_with_each_response_as_expected(self):
        pace = _pace()
        limits = []
        for _ in range(5):
            _answer(pace, 1, 1.0)
            limits.append(pace.max_requests(1.0))
        assert limits == [3, 4, 5, 6, 6]

    def test_falls_on_a_refusal(self):
        pace = _pace()
        _answer(pace, 4, 1.0)
        assert pace.record_refusal(1.1) is PaceCause.REFUSED
        assert pace.max_requests(1.1) == 3

    def test_falls_on_a_slow_response(self):
        pace = _pace()
        _answer(pace, 4, 1.0)
        assert pace.record_response(1.5, EXPECTED_S, 1.1) is PaceCause.SLOW
        assert pace.max_requests(1.1) == 4

    def test_never_falls_below_one_request(self):
        pace = _pace()
        for step in range(20):
            pace.record_refusal(step * 0.3)
        assert pace.max_requests(5.8) == 1

    def test_does_not_fall_below_probing_for_slow_responses(self):
        """They may be slow for another reason, as on the link or at the entry."""
        pace = _pace()
        for step in range(20):
            pace.record_response(2.0, EXPECTED_S, step * 0.3)
        assert pace.max_requests(5.8) == PROBE_REQUESTS

    def test_falls_once_for_requests_that_fail_together(self):
        pace = _pace()
        _answer(pace, 4, 1.0)
        for _ in range(6):
            pace.record_refusal(1.1)
        assert pace.max_requests(1.1) == 3

    def test_stays_for_a_response_that_is_neither_on_time_nor_slow(self):
        pace = _pace()
        assert pace.record_response(0.4, EXPECTED_S, 4.0) is None
        assert pace.max_requests(4.0) == PROBE_REQUESTS

    def test_allows_a_cold_server_to_be_slower_than_a_warm_one(self):
        """Cold engines are slower without being overloaded."""
        cold, warm = _pace(), _pace()
        assert cold.record_response(0.3, EXPECTED_S, 0.1) is PaceCause.ON_TIME
        assert warm.record_response(0.3, EXPECTED_S, 4.0) is None

    def test_does_not_take_the_noise_of_a_short_response_for_overload(self):
        assert _pace().record_response(0.07, 0.005, 4.0) is PaceCause.ON_TIME

    def test_falls_back_to_probing_without_responses(self):
        """The server may have changed while nobody asked it."""
        pace = _pace()
        _answer(pace, 4, 1.0)
        assert pace.max_requests(1.0 + EVIDENCE_TTL_S) == PROBE_REQUESTS


class TestEvidenceOfOtherEntries:
    def test_lets_an_entry_begin_where_the_others_are(self):
        """Thirty entries don't each find the pace anew."""
        pace = _pace()
        for number in range(3):
            pace.receive(f"e{number}", PaceReport(5 / 6, 3, 1.0), 1.0)
        assert pace.max_requests(1.0) == 5
        _answer(pace, 1, 1.0)
        assert pace.own_report(1.0).pace == pytest.approx(1.0)

    def test_expires(self):
        """An entry that is cut off doesn't go by what the others said before."""
        pace = _pace()
        pace.receive("e", PaceReport(1.0, 9, 1.0), 1.0)
        assert pace.max_requests(2.9) == SLOTS
        assert pace.max_requests(1.0 + EVIDENCE_TTL_S) == PROBE_REQUESTS

    def test_of_one_entry_neither_floods_nor_stops_the_server(self):
        """One entry has a bad link, or reports falsely."""
        for false_pace in (0.01, 1.0):
            pace = _pace()
            for number in range(4):
                pace.receive(f"e{number}", PaceReport(0.5, 2, 1.0), 1.0)
            pace.receive("false", PaceReport(false_pace, 99, 1.0), 1.0)
            assert pace.max_requests(1.0) == 3

    def test_does_not_outweigh_refusals_that_this_entry_gets(self):
        pace = _pace()
        pace.record_refusal(1.0)
        for number in range(4):
            pace.receive(f"e{number}", PaceReport(1.0, 9, 1.0), 1.0)
        assert pace.max_requests(1.0) == 1

    def test_lets_an_entry_rise_beyond_what_it_saw_itself(self):
        """An entry with few requests must not stay at its last response."""
        pace = _pace()
        _answer(pace, 1, 1.0)
        for number in range(4):
            pace.receive(f"e{number}", PaceReport(1.0, 9, 1.1), 1.1)
        assert pace.max_requests(1.1) == SLOTS

    def test_of_two_entries_counts_by_the_lower_one(self):
        pace = _pace()
        pace.receive("a", PaceReport(1.0, 9, 1.0), 1.0)
        pace.receive("b", PaceReport(0.5, 2, 1.0), 1.0)
        assert pace.max_requests(1.0) == 3

    def test_that_arrives_late_does_not_replace_newer_evidence(self):
        pace = _pace()
        pace.receive("e", PaceReport(0.5, 2, 1.0), 1.0)
        pace.receive("e", PaceReport(1.0, 9, 0.5), 1.1)
        assert pace.max_requests(1.1) == 3

    def test_is_kept_of_entries_with_fresh_evidence_only(self):
        pace = _pace()
        for number in range(300):
            pace.receive(f"e{number}", PaceReport(0.5, 2, 0.1 * number), 0.1 * number)
        assert len(pace._others) <= 20


class TestTheEnd:
    def test_waits_for_the_end_of_the_cold_start(self):
        pace = _pace()
        _answer(pace, 12, 2.9)
        assert pace.end_cause(2.9) is None
        assert pace.end_cause(COLD_UNTIL_S) is PaceCause.ENDED

    def test_waits_until_the_server_responds_as_expected(self):
        """The step from the cold part to the full share flooded cold engines."""
        pace = _pace()
        _answer(pace, 12, 2.5)
        pace.record_refusal(2.9)
        assert pace.end_cause(COLD_UNTIL_S) is None
        _answer(pace, 2, 3.5)
        assert pace.end_cause(3.5) is None

    def test_counts_the_responses_of_all_entries(self):
        pace = _pace()
        pace.receive("a", PaceReport(1.0, 4, 3.5), 3.5)
        pace.receive("b", PaceReport(1.0, 4, 3.5), 3.5)
        assert pace.end_cause(3.5) is PaceCause.ENDED

    def test_comes_without_traffic_too(self):
        pace = _pace()
        assert pace.end_cause(COLD_UNTIL_S + MAX_PACED_S - 0.1) is None
        assert pace.end_cause(COLD_UNTIL_S + MAX_PACED_S) is PaceCause.TIMED_OUT

    def test_does_not_come_by_time_while_the_server_refuses(self):
        pace = _pace()
        pace.record_refusal(10.0)
        assert pace.end_cause(COLD_UNTIL_S + MAX_PACED_S) is None
