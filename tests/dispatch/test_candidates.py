"""Which servers a request may be sent to, after servers have named pauses."""

import itertools

from gentianhoist.dispatch._candidates import Candidates
from gentianhoist.fleet import Idempotency
from tests.dispatch.fakes import DispatcherHarness, call, configuration
from tests.virtual_time_loop import VirtualTimeLoop

PAUSE_S = 1.0


def _candidates(harness: DispatcherHarness, loop: VirtualTimeLoop) -> Candidates:
    current = configuration(Idempotency.IDEMPOTENT, streaming=False)
    harness.state.routing.update_if_newer(current)
    request = harness.context.match(call(loop), current)
    request.group_name = "g"
    return Candidates(harness.context, request)


def test_server_that_may_still_refuse_is_left_while_no_retry_can_be_paid(loop):
    """With many entries, each has few retries, and a refused request is lost."""
    harness = DispatcherHarness(loop, itertools.repeat(None))
    candidates = _candidates(harness, loop)
    paused = harness.servers[0]
    harness.state.pauses.begin(paused, PAUSE_S, -2 * PAUSE_S)
    assert paused in candidates.servers()
    while harness.state.retry_quota("g").try_withdraw():
        pass
    assert paused not in candidates.servers()
