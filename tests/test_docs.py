"""The operators' pages name what the code has."""

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


def test_every_kind_of_error_has_an_answer():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
