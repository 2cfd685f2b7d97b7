"""Reports of what waits, between entries, and the fallback while few are heard."""

import asyncio
import random

from gentianhoist.admission import AdmissionMode, DemandExchange, FleetAdmission
from gentianhoist.clocks import ManualClock
from gentianhoist.peers import Sender
from gentianhoist.placement import Demand, QueuedRequest, UnplacedReason
from tests.admission.fleet import FakeFleet

_SENDER = Sender("10.0.0.2", "b-1")


class _Entry:
    def __init__(self, clock: ManualClock) -> None:
        self.fleet = FakeFleet(2, 4)
        self.admission = FleetAdmission(self.fleet, random.Random(1))
        self.admission.set_heard_entries(4, 4)
        self.sent: list = []
        self.exchange = DemandExchange(
            self.admission, self.sent.append, clock.monotonic_s
        )

    def queue(self, organisation: str) -> QueuedRequest:
        request = QueuedRequest(
            Demand(1_000, 100, 0.2, 0.25, 1.0),
            99.0,
            1,
            lambda: UnplacedReason.NO_CAPACITY,
            asyncio.get_running_loop().create_future(),
            organisation,
            "g",
        )
        self.admission.add(request)
        return request


class TestDemandExchange:
    async def test_reports_at_most_four_times_a_second(self):
        """The messages of a burst must not grow with its requests."""
        clock = ManualClock()
        entry = _Entry(clock)
        for _ in range(100):
            entry.queue("a")
            entry.exchange.publish()
            clock.advance(0.01)
        assert len(entry.sent) <= 4

    async def test_reports_only_while_something_waits(self):
        clock = ManualClock()
        entry = _Entry(clock)
        request = entry.queue("a")
        entry.exchange.publish()
        entry.admission.remove(request)
        for _ in range(5):
            clock.advance(0.3)
            entry.exchange.publish()
        assert [message.waiting for message in entry.sent] == [[("a", 1)], []]

    async def test_other_entry_counts_what_is_reported(self):
        clock = ManualClock()
        sender, receiver = _Entry(clock), _Entry(clock)
        sender.queue("a")
        sender.queue("a")
        sender.exchange.publish()
        kind = receiver.exchange.kind
        kind.receive(sender.sent[0], _SENDER, clock.monotonic_s())
        usage = receiver.admission.group("g", clock.monotonic_s()).usage
        assert usage.all_waiting == {"a": 2}
        receiver.exchange.forget(_SENDER)
        assert not usage.all_waiting

    async def test_report_for_an_unknown_group_is_ignored(self):
        """Names of groups from messages must not make the state grow."""
        clock = ManualClock()
        entry = _Entry(clock)
        request = entry.queue("a")
        entry.exchange.publish()
        message = entry.sent[0]
        message.group = "unknown"
        entry.exchange.kind.receive(message, _SENDER, clock.monotonic_s())
        assert set(entry.admission.groups) == {request.group}


class TestMode:
    def test_decides_only_with_several_organisations(self):
        entry = _Entry(ManualClock())
        assert entry.admission.mode is AdmissionMode.FLEET
        entry.fleet.has_several_organisations = False
        assert entry.admission.mode is AdmissionMode.ONE_ORGANISATION

    async def test_falls_back_while_few_entries_are_heard(self):
        """A partitioned entry knows nothing of the use by the others."""
        clock = ManualClock()
        entry = _Entry(clock)
        request = entry.queue("a")
        entry.admission.set_heard_entries(2, 4)
        assert entry.admission.mode is AdmissionMode.FEW_ENTRIES_HEARD
        assert entry.admission.over_share(0.0) is None
        assert not entry.admission.holds(request, 0.0)
        entry.exchange.publish()
        assert not entry.sent
        entry.admission.set_heard_entries(3, 4)
        assert entry.admission.mode is AdmissionMode.FLEET
