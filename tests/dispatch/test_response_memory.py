"""A response without room ends with an error that doesn't say it hasn't run."""

import itertools

import msgspec
import pytest

from gentianhoist.fleet import Idempotency
from gentianhoist.http1 import ResponseCut
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)
from tests.virtual_time_loop import VirtualTimeLoop


class FullResponder(FakeResponder):
    """Responder of a connection whose server has no room for a response."""

    async def reserve(self, count: int) -> None:
        raise ResponseCut("no_room")


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_request_that_ran_is_not_refused_and_not_repeated(idempotency):
    """It ran, so 503 would be wrong, and another attempt needs the same room."""
    loop = VirtualTimeLoop()
    harness = DispatcherHarness(loop, itertools.cycle([ServerBehaviour.ANSWER]))
    harness.state.routing.update_if_newer(configuration(idempotency, streaming=False))
    responder = FullResponder()
    loop.run(harness.dispatcher.handle(call(loop), responder))  # type: ignore[arg-type]
    loop.cancel_and_close()
    assert responder.status == 502
    assert msgspec.json.decode(responder.body)["not_run"] == "unknown"
    assert len(harness.server_state.runs) == 1
    assert not any(harness.state.outstanding.values())
