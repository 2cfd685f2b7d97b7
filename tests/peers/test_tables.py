"""Exchange of table copies between entries, over loopback sockets."""

import socket

import pytest

from gentianhoist.clocks import SystemClock
from gentianhoist.fleet import FeedPage, FeedRow, TableCopy, TableState
from gentianhoist.peers import PeerTableExchange
from gentianhoist.store import StoreVersion

PAGE = FeedPage([FeedRow("config", b"\x00x", StoreVersion(2, 7))], StoreVersion(2, 9))


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@pytest.fixture
async def pair():
    """An entry that serves a table, and an entry that fetches it."""
    port = _free_port()
    server = PeerTableExchange("127.0.0.1", port, list, SystemClock())
    client = PeerTableExchange("127.0.0.1", port, lambda: ["127.0.0.1"], SystemClock())
    copy = TableCopy()
    copy.replace(PAGE, 0.0)
    server.publish("operators", copy)
    await server.start()
    yield server, client
    await server.close()
    await client.close()


class TestPeerTables:
    async def test_newer_table_is_returned_whole(self, pair):
        _, client = pair
        assert await client.fetch_newer("operators", StoreVersion(2, 8)) == TableState(
            PAGE
        )

    async def test_no_newer_version(self, pair):
        _, client = pair
        assert await client.fetch_newer("operators", StoreVersion(2, 9)) is None

    async def test_later_history_is_newer_though_its_number_is_lower(self, pair):
        _, client = pair
        assert await client.fetch_newer("operators", StoreVersion(1, 30)) == TableState(
            PAGE
        )
        assert await client.fetch_newer("operators", StoreVersion(3, 1)) is None

    async def test_unknown_table(self, pair):
        _, client = pair
        assert await client.fetch_newer("others", StoreVersion(2, 0)) is None

    async def test_closed_entry(self, pair):
        server, client = pair
        await server.close()
        assert await client.fetch_newer("operators", StoreVersion(2, 0)) is None

    async def test_no_live_entry(self, pair):
        server, _ = pair
        assert await server.fetch_newer("operators", StoreVersion(2, 0)) is None
