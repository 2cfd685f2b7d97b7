"""Fixtures and Hypothesis profiles that all tests share."""

import os
from collections.abc import AsyncIterator

import aiohttp
import pytest_asyncio
from hypothesis import HealthCheck, settings

from gentianhoist.demo import EmbeddedFleet

_CHECKS = [HealthCheck.too_slow, HealthCheck.function_scoped_fixture]

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=_CHECKS,
)
settings.register_profile(
    "fuzz",
    max_examples=5_000,
    deadline=None,
    database=None,
    suppress_health_check=_CHECKS,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest_asyncio.fixture(scope="session", loop_scope="session")
async def fleet() -> AsyncIterator[EmbeddedFleet]:
    """A running fleet that tests must leave as they found it."""
    running = EmbeddedFleet()
    await running.start()
    yield running
    await running.close()


@pytest_asyncio.fixture(scope="session", loop_scope="session")
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """An HTTP client."""
    async with aiohttp.ClientSession() as client:
        yield client
