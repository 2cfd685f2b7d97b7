"""Exchange of commitments between entries, and their removal when one is silent."""

import asyncio

import pytest

from gentianhoist.clocks import ManualClock
from gentianhoist.peers import PeerLink
from gentianhoist.placement import Commitment, CommitmentLedger
from gentianhoist.quarantine import EngineLoss, QuarantineRecord, QuarantineState


def _commitment(id_: str, server_id: str = "engine-1") -> Commitment:
    return Commitment(id_, server_id, False, 0.1, 1.0, 6_000, 0.25, 1.5, 0.3, 60.0)


class _FakeTransport:
    """Replaces the socket of an entry: holds sent datagrams until `_deliver`."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, str]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address[0]))

    def close(self) -> None:
        self.sent.clear()


def _make_link(
    entry: str, host: str, clock: ManualClock
) -> tuple[PeerLink, _FakeTransport]:
    link = PeerLink(entry, host, 7340, CommitmentLedger(), clock, lambda: None)
    transport = _FakeTransport()
    link.connection_made(transport)  # type: ignore[arg-type]
    return link, transport


def _deliver(
    transport: _FakeTransport, sender: str, links: dict[str, PeerLink]
) -> None:
    sent, transport.sent = transport.sent, []
    for data, host in sent:
        links[host].datagram_received(data, (sender, 7340))


class TestPeerLink:
    async def _make_pair(self, clock: ManualClock):
        first, first_transport = _make_link("a-1", "10.0.0.1", clock)
        second, second_transport = _make_link("b-1", "10.0.0.2", clock)
        links = {"10.0.0.1": first, "10.0.0.2": second}
        first.set_peers(links)
        second.set_peers(links)
        _deliver(first_transport, "10.0.0.1", links)
        _deliver(second_transport, "10.0.0.2", links)
        return first, first_transport, second, links

    async def test_publishes_commitments(self):
        clock = ManualClock()
        first, transport, second, links = await self._make_pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.monotonic_s())
        await asyncio.sleep(0.01)
        _deliver(transport, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 1
        first.publish_ended("a-1.1")
        await asyncio.sleep(0.01)
        _deliver(transport, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 0

    async def test_drops_commitments_of_a_silent_entry(self):
        """Commitments of a killed entry must not occupy slots until they expire."""
        clock = ManualClock()
        first, transport, second, links = await self._make_pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.monotonic_s())
        await asyncio.sleep(0.01)
        _deliver(transport, "10.0.0.1", links)
        clock.advance(1.5)
        second.tick(clock.monotonic_s())
        assert second._ledger.load("engine-1").requests == 1
        clock.advance(1.0)
        second.tick(clock.monotonic_s())
        assert second._ledger.load("engine-1").requests == 0

    async def test_heartbeats_keep_commitments_of_an_idle_entry(self):
        clock = ManualClock()
        first, transport, second, links = await self._make_pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.monotonic_s())
        await asyncio.sleep(0.01)
        for _ in range(12):
            clock.advance(0.5)
            first.tick(clock.monotonic_s())
            _deliver(transport, "10.0.0.1", links)
            second.tick(clock.monotonic_s())
        assert second._ledger.load("engine-1").requests == 1

    async def test_restart_ends_commitments_of_the_previous_incarnation(self):
        clock = ManualClock()
        first, transport, second, links = await self._make_pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.monotonic_s())
        await asyncio.sleep(0.01)
        _deliver(transport, "10.0.0.1", links)
        restarted, restarted_transport = _make_link("a-2", "10.0.0.1", clock)
        restarted.set_peers(links)
        _deliver(restarted_transport, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 0

    async def test_new_entry_receives_all_commitments(self):
        clock = ManualClock()
        first, transport, _, links = await self._make_pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.monotonic_s())
        first.publish_first_event("a-1.1")
        await asyncio.sleep(0.01)
        transport.sent.clear()
        third, third_transport = _make_link("c-1", "10.0.0.3", clock)
        third.set_peers([*links, "10.0.0.3"])
        _deliver(third_transport, "10.0.0.3", links)
        _deliver(transport, "10.0.0.1", links | {"10.0.0.3": third})
        load = third._ledger.load("engine-1")
        assert load.ids == ["a-1.1"]
        assert len(load.decoding) == 1

    async def test_outdated_registry_read_removes_no_live_entry(self):
        clock = ManualClock()
        first, first_transport = _make_link("a-1", "10.0.0.1", clock)
        second, second_transport = _make_link("b-1", "10.0.0.2", clock)
        links = {"10.0.0.1": first, "10.0.0.2": second}
        second.set_peers(["10.0.0.1"])
        _deliver(second_transport, "10.0.0.2", links)
        first.set_peers([])
        first.publish_added(_commitment("a-1.1"), clock.monotonic_s())
        await asyncio.sleep(0.01)
        _deliver(first_transport, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 1

    async def test_invalid_datagram_is_ignored(self):
        first, _, _, _ = await self._make_pair(ManualClock())
        first.datagram_received(b"\xff\x00", ("10.0.0.9", 7340))
        assert "10.0.0.9" not in first.peers


class _FakeQuarantine:
    """Holds records, and notes what arrives from other entries."""

    def __init__(self, *records: QuarantineRecord) -> None:
        self.records = list(records)
        self.losses: list[EngineLoss] = []
        self.completed: list[tuple[list[str], float]] = []

    def receive_loss(self, loss: EngineLoss) -> None:
        self.losses.append(loss)

    def receive_completed(self, segments, sent_s: float) -> None:
        self.completed.append((list(segments), sent_s))

    def receive_record(self, record: QuarantineRecord) -> None:
        self.records.append(record)


def _record(number: int) -> QuarantineRecord:
    return QuarantineRecord(f"{number:x}", QuarantineState.HELD, 1, 0, 10_000)


class TestQuarantineMessages:
    def _make_pair(self, *records: QuarantineRecord):
        """Two links whose clocks differ by 100 s, with a quarantine each."""
        clocks = ManualClock(5.0), ManualClock(105.0)
        first, transport = _make_link("a-1", "10.0.0.1", clocks[0])
        second, second_transport = _make_link("b-1", "10.0.0.2", clocks[1])
        quarantines = _FakeQuarantine(*records), _FakeQuarantine()
        first.set_quarantine(quarantines[0])
        second.set_quarantine(quarantines[1])
        links = {"10.0.0.1": first, "10.0.0.2": second}
        return first, second, (transport, second_transport), quarantines[1], links

    async def test_evidence_arrives_with_its_age(self):
        first, _, transports, quarantine, links = self._make_pair()
        first.set_peers(links)
        loss = EngineLoss("e1/7", 4.0, frozenset({("aa", "dd"), ("aa",)}))
        first.publish_loss(loss)
        first.publish_completed(("aa",), 4.5)
        await asyncio.sleep(0.01)
        _deliver(transports[0], "10.0.0.1", links)
        (received,) = quarantine.losses
        assert received.prompts == loss.prompts
        assert received.lost_s == pytest.approx(104.0)
        assert quarantine.completed == [(["aa"], pytest.approx(104.5))]

    async def test_records_are_repeated_in_turn(self):
        # Guards against: the one datagram that told of a record is lost.
        records = [_record(number) for number in range(30)]
        first, _, transports, quarantine, links = self._make_pair(*records)
        first.set_peers(links)
        transports[0].sent.clear()
        for _ in range(5):
            first._clock.advance(1.1)
            first.tick(first._clock.monotonic_s())
            _deliver(transports[0], "10.0.0.1", links)
        assert set(quarantine.records) == set(records)

    async def test_new_entry_receives_all_records(self):
        records = [_record(number) for number in range(30)]
        _, second, transports, quarantine, links = self._make_pair(*records)
        second.set_peers(links)
        _deliver(transports[1], "10.0.0.2", links)
        _deliver(transports[0], "10.0.0.1", links)
        assert set(quarantine.records) == set(records)
