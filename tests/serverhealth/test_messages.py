"""Messages with evidence about servers, also of other versions or with odd figures."""

import math

import msgspec
import pytest

from gentianhoist.serverhealth import Evidence, ServerObserved
from gentianhoist.serverhealth._messages import check_observed

SERVER = ("s1", "10.1.0.1:8000", 1_700_000_000_000)


def _message(**changes) -> ServerObserved:
    message = ServerObserved(SERVER, 3.0, 1.0, 1.2, 40, 7)
    return msgspec.structs.replace(message, **changes)


def test_evidence_arrives_with_its_age():
    """The clocks of the two entries differ by 1,000 s."""
    evidence = Evidence(3.0, 1.0, 5.5, 10.0)
    sent = msgspec.msgpack.encode(ServerObserved.of(SERVER, evidence, 7, 10.25))
    report = msgspec.msgpack.decode(sent, type=ServerObserved).report(
        "10.0.0.1", "a-1", 1010.25
    )
    assert report.evidence == Evidence(3.0, 1.0, 5.5, pytest.approx(1010.0))
    assert (report.host, report.run, report.number) == ("10.0.0.1", "a-1", 7)


def test_a_version_without_numbers_is_understood():
    sent = msgspec.msgpack.encode(["w", SERVER, 3.0, 1.0, 1.2, 40])
    assert msgspec.msgpack.decode(sent, type=ServerObserved).number == 0


def test_possible_figures_pass():
    assert check_observed(_message()) is None
    assert check_observed(_message(failures=3.0, ratio=0.0, age_ms=0)) is None


@pytest.mark.parametrize("value", [-0.1, math.nan, math.inf])
@pytest.mark.parametrize("field", ["requests", "failures", "ratio"])
def test_impossible_figures_are_named(field, value):
    assert check_observed(_message(**{field: value})) == field


def test_other_impossible_values_are_named():
    assert check_observed(_message(requests=0.0)) == "requests"
    assert check_observed(_message(failures=3.1)) == "failures"
    assert check_observed(_message(age_ms=-1)) == "age_ms"
    assert check_observed(_message(number=-1)) == "number"
