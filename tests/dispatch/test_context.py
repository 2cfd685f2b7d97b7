"""Recheck of requests against the configuration right before they are sent."""

import itertools

from gentianhoist.fleet import Idempotency
from tests.dispatch.fakes import DispatcherHarness, call, configuration


def test_configuration_that_got_the_same_version_after_a_restore_is_checked(loop):
    """A request that waited must not go by a configuration that was superseded."""
    harness = DispatcherHarness(loop, itertools.repeat(None))
    first, other = (
        configuration(Idempotency.IDEMPOTENT, streaming=False, version=8, group=group)
        for group in ("g", "h")
    )
    request = harness.context.match(call(loop), first)
    harness.state.routing._current = first
    assert harness.context.recheck_configuration(request) is None
    harness.state.routing._current = other
    assert harness.context.recheck_configuration(request) is not None
    assert request.group_name == "h"
