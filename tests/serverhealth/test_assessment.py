"""What the evidence of several entries says together about one server."""

import pytest

from gentianhoist.serverhealth._assessment import assess_slowness, is_failing
from gentianhoist.serverhealth._evidence import VALIDITY_S, Evidence

NOW_S = 100.0
MIN_FAILURES = 2.5


def _slow(ratio: float, age_s: float = 0.0) -> Evidence:
    return Evidence(2.0, 0.0, ratio, NOW_S - age_s)


def _failing(failures: float, requests: float | None = None) -> Evidence:
    return Evidence(requests or failures, failures, 0.0, NOW_S)


class TestSlowness:
    """A fifth of the engines is 4 to 8 times slower while their health check passes."""

    def test_is_the_median_of_the_entries(self):
        slowness = assess_slowness([_slow(5.0), _slow(8.0), _slow(6.0)], NOW_S)
        assert slowness.at(NOW_S) == pytest.approx(6.0)

    def test_one_entry_makes_no_server_slow(self):
        # Guards against: an entry with a bad link takes engines from all others.
        assert assess_slowness([_slow(8.0)], NOW_S).at(NOW_S) == 1.0

    def test_one_false_report_beside_a_normal_measurement_counts_as_none(self):
        assert assess_slowness([_slow(8.0), _slow(1.0)], NOW_S).at(NOW_S) == 1.0

    def test_one_false_report_beside_two_true_ones_raises_nothing(self):
        slowness = assess_slowness([_slow(1e9), _slow(5.0), _slow(4.0)], NOW_S)
        assert slowness.at(NOW_S) == pytest.approx(5.0)

    def test_evidence_without_a_measurement_is_no_vote(self):
        slowness = assess_slowness([_slow(6.0), _failing(1.0), _slow(6.0)], NOW_S)
        assert slowness.at(NOW_S) == pytest.approx(6.0)

    def test_decays_and_ends_with_the_validity_of_the_second_report(self):
        slowness = assess_slowness([_slow(7.0), _slow(7.0, age_s=1.0)], NOW_S)
        values = [slowness.at(NOW_S + 0.5 * step) for step in range(10)]
        assert values == sorted(values, reverse=True)
        assert slowness.at(NOW_S + VALIDITY_S - 1.01) > 1.0
        assert slowness.at(NOW_S + VALIDITY_S - 1.0) == 1.0


class TestFailures:
    """A fifth of the engines fails 40 % of its requests."""

    def test_failures_of_two_entries_add_up(self):
        assert is_failing([_failing(2.0), _failing(1.2)], NOW_S, MIN_FAILURES)

    def test_single_failures_of_two_entries_are_too_few(self):
        # Guards against: a server that loses one request of a hundred is ejected.
        assert not is_failing([_failing(1.0), _failing(1.0)], NOW_S, MIN_FAILURES)

    def test_one_entry_with_many_failures_is_not_enough(self):
        assert not is_failing([_failing(1_000.0)], NOW_S, MIN_FAILURES)

    def test_false_report_and_one_failure_of_another_entry_are_not_enough(self):
        evidence = [_failing(1_000.0), _failing(1.0)]
        assert not is_failing(evidence, NOW_S, MIN_FAILURES)

    def test_entries_without_failures_outvote_those_with_bad_links(self):
        healthy = [Evidence(3.0, 0.0, 1.0, NOW_S)] * 2
        failing = [_failing(2.0), _failing(2.0)]
        assert not is_failing([*failing, *healthy], NOW_S, MIN_FAILURES)

    def test_small_fraction_of_many_requests_is_no_failing_server(self):
        evidence = [_failing(2.0, 30.0), _failing(2.0, 30.0)]
        assert not is_failing(evidence, NOW_S, MIN_FAILURES)
