"""Rate at which slots become free, and the retries that are spread over it."""

import random

import pytest

from gentianhoist.admission._drain import DrainRate
from gentianhoist.admission._retries import RetrySchedule


class TestDrainRate:
    def test_measures_what_ends_while_slots_are_in_use(self):
        drain = DrainRate()
        for step in range(400):
            drain.update(step, 1.0, step * 0.02)
        assert drain.per_s(100, 7.0) == pytest.approx(50.0, rel=0.05)

    def test_goes_by_the_expected_duration_before(self):
        """On an idle fleet, few requests end because few arrive."""
        drain = DrainRate()
        for step in range(400):
            drain.update(step // 100, 0.1, step * 0.02)
        assert drain.per_s(100, 0.5) == 200.0
        assert drain.per_s(0, 0.0) == 0.0

    def test_ignores_what_ended_while_it_wasnt_updated(self):
        """Endings of minutes in one interval would show a huge rate."""
        drain = DrainRate()
        drain.update(0, 1.0, 0.0)
        for step in range(100):
            drain.update(10_000 + step, 1.0, 300.0 + step * 0.02)
        assert drain.per_s(100, 1.0) < 100.0


class TestRetrySchedule:
    def test_retries_follow_the_slots_that_become_free(self):
        schedule = RetrySchedule(random.Random(1))
        retries_s = [schedule.next_after_s(0.5, 0.1, 10.0) for _ in range(40)]
        assert 0.5 <= retries_s[0] <= 0.6
        assert 4.4 <= retries_s[-1] <= 5.4

    def test_is_bounded_when_the_time_is_full(self):
        schedule = RetrySchedule(random.Random(1))
        retries_s = [schedule.next_after_s(0.5, 0.1, 10.0) for _ in range(1_000)]
        assert all(0.5 <= retry_s <= 12.0 for retry_s in retries_s)
        last = sorted(retries_s[500:])
        assert last[100] < 4.0 < 8.0 < last[400]

    def test_callers_of_an_idle_fleet_return_soon(self):
        schedule = RetrySchedule(random.Random(1))
        assert schedule.next_after_s(0.0, 0.0, 10.0) <= 0.25
