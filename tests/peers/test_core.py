"""What entries tell each other, and what is forgotten when one is silent."""

import asyncio

from gentianhoist.clocks import ManualClock
from gentianhoist.peers import PeerLink
from gentianhoist.placement import Commitment, CommitmentLedger


def _commitment(id_: str, server_id: str = "engine-1") -> Commitment:
    return Commitment(id_, server_id, False, 0.1, 1.0, 6_000, 0.25, 1.5, 0.3, 60.0)


class _Wire:
    """Stands for the sockets of two entries: keeps datagrams until delivered."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, str]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address[0]))

    def close(self) -> None:
        self.sent.clear()


def _link(entry: str, host: str, clock: ManualClock) -> tuple[PeerLink, _Wire]:
    link = PeerLink(entry, host, 7340, CommitmentLedger(), clock, lambda: None)
    wire = _Wire()
    link.connection_made(wire)  # type: ignore[arg-type]
    return link, wire


def _deliver(wire: _Wire, sender: str, links: dict[str, PeerLink]) -> None:
    sent, wire.sent = wire.sent, []
    for data, host in sent:
        links[host].datagram_received(data, (sender, 7340))


class TestPeerLink:
    async def _pair(self, clock: ManualClock):
        first, first_wire = _link("a-1", "10.0.0.1", clock)
        second, second_wire = _link("b-1", "10.0.0.2", clock)
        links = {"10.0.0.1": first, "10.0.0.2": second}
        first.set_peers(links)
        second.set_peers(links)
        _deliver(first_wire, "10.0.0.1", links)
        _deliver(second_wire, "10.0.0.2", links)
        return first, first_wire, second, links

    async def test_tells_of_commitments(self):
        clock = ManualClock()
        first, wire, second, links = await self._pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.elapsed_s())
        await asyncio.sleep(0.01)
        _deliver(wire, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 1
        first.publish_ended("a-1.1")
        await asyncio.sleep(0.01)
        _deliver(wire, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 0

    async def test_forgets_work_of_a_silent_entry(self):
        """A killed entry's streams must not take slots until their deadlines."""
        clock = ManualClock()
        first, wire, second, links = await self._pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.elapsed_s())
        await asyncio.sleep(0.01)
        _deliver(wire, "10.0.0.1", links)
        clock.advance(1.5)
        second.tick(clock.elapsed_s())
        assert second._ledger.load("engine-1").requests == 1
        clock.advance(1.0)
        second.tick(clock.elapsed_s())
        assert second._ledger.load("engine-1").requests == 0

    async def test_keeps_work_of_an_entry_with_nothing_to_tell(self):
        clock = ManualClock()
        first, wire, second, links = await self._pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.elapsed_s())
        await asyncio.sleep(0.01)
        for _ in range(12):
            clock.advance(0.5)
            first.tick(clock.elapsed_s())
            _deliver(wire, "10.0.0.1", links)
            second.tick(clock.elapsed_s())
        assert second._ledger.load("engine-1").requests == 1

    async def test_another_start_ends_the_work_of_the_last(self):
        clock = ManualClock()
        first, wire, second, links = await self._pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.elapsed_s())
        await asyncio.sleep(0.01)
        _deliver(wire, "10.0.0.1", links)
        again, again_wire = _link("a-2", "10.0.0.1", clock)
        again.set_peers(links)
        _deliver(again_wire, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 0

    async def test_a_new_entry_is_told_everything(self):
        clock = ManualClock()
        first, wire, _, links = await self._pair(clock)
        first.publish_added(_commitment("a-1.1"), clock.elapsed_s())
        first.publish_first_event("a-1.1")
        await asyncio.sleep(0.01)
        wire.sent.clear()
        third, third_wire = _link("c-1", "10.0.0.3", clock)
        third.set_peers([*links, "10.0.0.3"])
        _deliver(third_wire, "10.0.0.3", links)
        _deliver(wire, "10.0.0.1", links | {"10.0.0.3": third})
        load = third._ledger.load("engine-1")
        assert load.ids == ["a-1.1"]
        assert len(load.writers) == 1

    async def test_a_registry_read_before_a_hello_drops_nobody(self):
        clock = ManualClock()
        first, first_wire = _link("a-1", "10.0.0.1", clock)
        second, second_wire = _link("b-1", "10.0.0.2", clock)
        links = {"10.0.0.1": first, "10.0.0.2": second}
        second.set_peers(["10.0.0.1"])
        _deliver(second_wire, "10.0.0.2", links)
        first.set_peers([])
        first.publish_added(_commitment("a-1.1"), clock.elapsed_s())
        await asyncio.sleep(0.01)
        _deliver(first_wire, "10.0.0.1", links)
        assert second._ledger.load("engine-1").requests == 1

    async def test_unreadable_datagram_changes_nothing(self):
        first, _, _, _ = await self._pair(ManualClock())
        first.datagram_received(b"\xff\x00", ("10.0.0.9", 7340))
        assert "10.0.0.9" not in first.peers
