"""Tests that every metric is documented and every error kind has a response."""

from pathlib import Path

import pytest

from gentianhoist.exceptions import ERROR_RESPONSES, ErrorKind
from gentianhoist.telemetry import METRICS

_DOCS = Path(__file__).parents[1] / "docs"


@pytest.mark.parametrize("name", sorted(METRICS))
def test_every_metric_is_documented_with_its_unit(name):
    metric = METRICS[name]
    page = (_DOCS / "operators" / "metrics.md").read_text()
    assert f"| `{name}` | {metric.kind} | {metric.unit} |" in page


def test_every_error_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
