"""Tables passed on between entries, over real sockets of one machine."""

import socket

import pytest

from gentianhoist.fleet import FeedPage, FeedRow, TableCopy
from gentianhoist.peers import PeerTableExchange

PAGE = FeedPage([FeedRow("config", b"\x00x", 7)], 9)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@pytest.fixture
async def pair():
    """One that has a table, and one that asks it."""
    port = _free_port()
    has = PeerTableExchange("127.0.0.1", port, list)
    asks = PeerTableExchange("127.0.0.1", port, lambda: ["127.0.0.1"])
    copy = TableCopy()
    copy.replace(PAGE)
    has.publish("operators", copy)
    await has.start()
    yield has, asks
    await has.close()
    await asks.close()


class TestPeerTables:
    async def test_newer_table_is_passed_on_whole(self, pair):
        _, asks = pair
        assert await asks.newer("operators", 8) == PAGE

    async def test_nothing_newer(self, pair):
        _, asks = pair
        assert await asks.newer("operators", 9) is None

    async def test_unknown_table(self, pair):
        _, asks = pair
        assert await asks.newer("others", 0) is None

    async def test_entry_that_is_gone(self, pair):
        has, asks = pair
        await has.close()
        assert await asks.newer("operators", 0) is None

    async def test_nobody_heard_of(self, pair):
        has, _ = pair
        assert await has.newer("operators", 0) is None
