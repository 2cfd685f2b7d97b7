"""What callers see while the fleet is in use by several organisations."""

import asyncio
import itertools
from typing import NamedTuple

import pytest

from gentianhoist.admission import OrganisationDemand
from gentianhoist.fleet import Idempotency
from gentianhoist.placement import Commitment
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)
from tests.virtual_time_loop import VirtualTimeLoop

_TOKENS = 2_000
_ENGINES = 3
_SLOTS = _ENGINES * 8
_KEYS = {"flood-key": "flood", "small-key": "small"}


class _Answer(NamedTuple):
    status: int
    after_s: float
    retry_after_s: float


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    yield loop
    loop.cancel_and_close()


class _Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def record(self, decision: str, request_id: str = "", **details) -> None:
        self.lines.append((decision, details))

    def of(self, decision: str) -> list[dict]:
        return [details for name, details in self.lines if name == decision]


def _harness(loop, keys=_KEYS, heard: int = 4) -> tuple[DispatcherHarness, _Log]:
    harness = DispatcherHarness(
        loop, itertools.repeat(ServerBehaviour.ANSWER), _ENGINES
    )
    harness.state.routing.update_if_newer(
        configuration(Idempotency.IDEMPOTENT, streaming=True, organisations=keys)
    )
    harness.state.set_heard_entries(heard, 4)
    log = _Log()
    harness.context.log = log
    harness.context.admission._log = log
    return harness, log


def _commit(harness, organisation: str, count: int, ends_s: float | None) -> None:
    """Let another entry take slots, spread over the engines, until a time."""
    now_s = harness.loop.time()
    for number in range(count):
        id_ = f"other.{organisation}.{number}"
        engine = harness.servers[number % _ENGINES]
        harness.state.ledger.add(
            Commitment(
                id_,
                engine.id,
                False,
                0.0,
                1.0,
                500,
                0.25,
                1.0,
                now_s + 0.2,
                now_s + 60.0,
                organisation,
            ),
            now_s,
        )
        harness.state.ledger.record_first_event(id_, now_s)
        if ends_s is not None:
            harness.loop.call_at(ends_s, harness.state.ledger.remove, id_)


def _report(harness, waiting: dict[str, int]) -> None:
    on_time = [(1, sum(waiting.values()))]
    message = OrganisationDemand(list(waiting.items()), 0, "g", on_time)
    harness.state.admission.receive("other", message, harness.loop.time())


async def _send(harness, key: str) -> _Answer:
    responder = FakeResponder()
    request = call(harness.loop, prompt_tokens=_TOKENS, api_key=key)
    await harness.dispatcher.handle(request, responder)
    retry_after_s = float(responder.headers.get(b"Retry-After", b"0"))
    after_s = harness.loop.time() - request.received_s
    return _Answer(responder.status, after_s, retry_after_s)


class TestFlood:
    def test_flood_is_refused_at_once_and_others_wait(self, loop):
        """A flood was held until its deadline, and others behind it."""
        harness, log = _harness(loop)

        async def run():
            _commit(harness, "flood", _SLOTS, ends_s=0.05)
            _report(harness, {"flood": 400})
            return await asyncio.gather(
                _send(harness, "flood-key"), _send(harness, "small-key")
            )

        flood, small = loop.run(run())
        assert flood.status == 429
        assert flood.after_s < 0.01
        assert flood.retry_after_s >= 0.2
        assert small.status == 200
        assert small.after_s < 0.2
        outcomes = {line["organisation"]: line for line in log.of("admission")}
        assert outcomes["flood"]["outcome"] == "refuse"
        assert outcomes["flood"]["in_use"] == _SLOTS
        assert outcomes["small"]["outcome"] == "wait"
        assert log.of("placed")[0]["organisation"] == "small"

    def test_freed_slots_are_left_to_requests_within_their_share(self, loop):
        """The entry that scanned first took them for a request of the flood."""
        harness, _ = _harness(loop)

        async def run():
            _commit(harness, "flood", _SLOTS - 1, ends_s=None)
            _report(harness, {"small": 3})
            flood = asyncio.ensure_future(_send(harness, "flood-key"))
            await asyncio.sleep(0.05)
            is_held = not flood.done()
            # The other entry has placed its requests, and reports nothing more.
            harness.state.admission.receive(
                "other", OrganisationDemand([], 0, "g"), loop.time()
            )
            return is_held, await flood

        is_held, flood = loop.run(run())
        assert is_held
        assert flood.status == 200


class TestOtherDeployments:
    @pytest.mark.parametrize(
        ("keys", "heard"),
        [({"flood-key": "flood", "second-key": "flood"}, 4), (_KEYS, 2)],
    )
    def test_serve_as_before(self, loop, keys, heard):
        """One organisation, or an entry that hears few others, must not be held."""
        harness, log = _harness(loop, keys, heard)

        async def run():
            _commit(harness, "flood", _SLOTS - 1, ends_s=None)
            _report(harness, {"small": 3})
            return await _send(harness, "flood-key")

        answer = loop.run(run())
        assert answer.status == 200
        assert answer.after_s < 0.05
        assert not log.of("admission")
        assert "share" not in log.of("placed")[0]


class TestSlots:
    def test_counts_those_of_engines_that_get_requests(self, loop):
        harness, _ = _harness(loop)
        group = harness.state.admission.group("g", 0.0)
        assert group.slots == _SLOTS
        harness.state.directory.mark_leaving(harness.servers[0].incarnation)
        _commit(harness, "flood", 3, ends_s=None)
        # One is in use on the engine that leaves, until its request ends.
        assert harness.state.admission.group("g", 1.0).slots == _SLOTS - 8 + 1

    def test_mode_is_logged_when_it_changes(self, loop):
        harness, log = _harness(loop)
        harness.context.admission.tick(0.0)
        harness.context.admission.tick(1.0)
        harness.state.set_heard_entries(1, 4)
        harness.context.admission.tick(2.0)
        assert [line["mode"] for line in log.of("admission_mode")] == [
            "fleet",
            "few_entries_heard",
        ]
        assert b"entry_fleet_admission 0.0" in harness.context.metrics.render()
