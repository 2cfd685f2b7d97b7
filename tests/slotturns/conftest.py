"""Fixtures of the tests of slot turns."""

import pytest

from gentianhoist.placement import Commitment


@pytest.fixture
def make_commitment():
    """Return a function that creates a commitment on one engine by its id."""

    def make(id_: str) -> Commitment:
        return Commitment(
            id_, "engine-1", False, 0.1, 1.0, 6_000, 0.25, 1.5, 0.3, 60.0, "org-1"
        )

    return make
