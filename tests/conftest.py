"""Fixtures and Hypothesis profiles shared by all tests."""

import gc
import os
import random
import socket
from collections.abc import AsyncIterator, Callable, Iterator

import aiohttp
import pytest
import pytest_asyncio
from hypothesis import HealthCheck, settings

from gentianhoist.demo import EmbeddedFleet
from tests.virtual_time_loop import VirtualTimeLoop

# Below the ports that the system gives to outgoing connections, which could take one of
# these before a test binds it.
_PORTS = range(20_000, 32_000)

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


@pytest.fixture
def loop() -> Iterator[VirtualTimeLoop]:
    """An event loop whose clock advances without waiting."""
    virtual_time_loop = VirtualTimeLoop()
    yield virtual_time_loop
    virtual_time_loop.cancel_and_close()


@pytest.fixture
def heap_of_its_own() -> Iterator[None]:
    """Keep the objects of earlier tests from the garbage collector.

    To visit them all takes longer than what some tests measure, and no entry has them.
    """
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


@pytest.fixture
def unused_tcp_port_factory() -> Callable[[], int]:
    """Return a function that gives a TCP port which no process listens on."""
    given_ports: set[int] = set()

    def find_port() -> int:
        while True:
            port = random.choice(_PORTS)
            if port not in given_ports and _is_free(port):
                given_ports.add(port)
                return port

    return find_port


@pytest.fixture
def unused_tcp_port(unused_tcp_port_factory: Callable[[], int]) -> int:
    """Return a TCP port which no process listens on."""
    return unused_tcp_port_factory()


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("", port))
        except OSError:
            return False
    return True
