"""Fixtures and Hypothesis profiles shared by all tests."""

import os
from collections.abc import AsyncIterator

import aiohttp
import pytest_asyncio
from hypothesis import HealthCheck, settings

from gentianhoist.demo import EmbeddedFleet

_SUPPRESSED_CHECKS = [HealthCheck.too_slow, HealthCheck.function_scoped_fixture]

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=_SUPPRESSED_CHECKS,
)
settings.register_profile(
    "fuzz",
    max_examples=5_000,
    deadline=None,
    database=None,
    suppress_health_check=_SUPPRESSED_CHECKS,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest_asyncio.fixture(scope="session", loop_scope="session")
async def fleet() -> AsyncIterator[EmbeddedFleet]:
    """A running fleet shared by all tests; a test must restore what it changes."""
    embedded_fleet = EmbeddedFleet()
    await embedded_fleet.start()
    yield embedded_fleet
    await embedded_fleet.close()


@pytest_asyncio.fixture(scope="session", loop_scope="session")
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """An HTTP client session shared by all tests."""
    async with aiohttp.ClientSession() as client:
        yield client
