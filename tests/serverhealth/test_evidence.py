"""Assessment of a server by one entry's evidence, and how it loses its weight."""

import pytest

from gentianhoist.serverhealth import Evidence, OwnEvidence, Verdict
from gentianhoist.serverhealth._evidence import HALF_LIFE_S, VALIDITY_S


def _measured(*ratios: float) -> Evidence:
    own = OwnEvidence()
    for number, ratio in enumerate(ratios):
        own.record_success(0.1 * number, ratio)
    assert own.evidence is not None
    return own.evidence


def test_one_slow_response_of_a_sound_engine_is_not_reported():
    # Guards against: scatter of short prompts uses up the bound on reports.
    assert _measured(2.4).verdict is Verdict.HEALTHY
    assert _measured(1.0, 2.4).verdict is Verdict.HEALTHY


def test_engine_that_is_four_times_slower_is_slow_at_the_first_response():
    assert _measured(4.0).verdict is Verdict.SLOW
    assert _measured(2.4, 2.4).verdict is Verdict.SLOW


def test_single_outlier_is_bounded():
    assert _measured(1_000.0).ratio == 8.0


def test_engine_that_responds_in_time_again_is_healthy():
    assert _measured(6.0, 6.0, 1.0, 1.0, 1.0).verdict is Verdict.HEALTHY


def test_failure_counts_for_one_half_life():
    own = OwnEvidence()
    own.record_failure(0.0)
    assert own.evidence.decayed(HALF_LIFE_S - 0.1).verdict is Verdict.FAILING
    assert own.evidence.decayed(HALF_LIFE_S + 0.1).verdict is Verdict.HEALTHY


def test_evidence_ends_with_its_validity():
    own = OwnEvidence()
    own.record_failure(0.0)
    assert not own.evidence.is_valid(VALIDITY_S)
    own.record_success(VALIDITY_S, 1.0)
    assert own.evidence == Evidence(1.0, 0.0, pytest.approx(1.0), VALIDITY_S)
