"""Exchange of table copies between entries, over loopback sockets."""

import asyncio
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


class TestPolls:
    """Entries that read a table through another entry."""

    @pytest.fixture
    def copy(self, pair):
        server, _ = pair
        return server._copies["operators"]

    async def test_changes_since_a_version(self, pair, copy):
        _, client = pair
        changed = FeedRow("config", None, StoreVersion(2, 10))
        copy.apply_changes([changed], StoreVersion(2, 10))
        page = await client.poll("127.0.0.1", "operators", StoreVersion(2, 9), 1.0)
        assert page.rows == [changed]
        assert page.version == StoreVersion(2, 10)

    async def test_table_of_a_store_that_names_no_history(self, pair):
        """All its versions have the history 0, which the first snapshot has too."""
        server, client = pair
        copy = TableCopy()
        copy.replace(FeedPage([], StoreVersion(0, 4)), 0.0)
        server.publish("operators", copy)
        page = await client.poll("127.0.0.1", "operators", StoreVersion(0, 4), 0.01)
        assert page.version == StoreVersion(0, 4)

    async def test_request_is_held_until_there_is_a_change(self, pair, copy):
        server, client = pair
        poll = asyncio.create_task(
            client.poll("127.0.0.1", "operators", StoreVersion(2, 9), 1.5)
        )
        await asyncio.sleep(0.05)
        assert not poll.done()
        copy.apply_changes([], StoreVersion(2, 11))
        server.notify_changed("operators")
        assert (await poll).version == StoreVersion(2, 11)

    async def test_without_a_change_the_age_tells_when_the_store_confirmed(
        self, pair, copy
    ):
        _, client = pair
        copy.confirm(3.0, SystemClock().monotonic_s())
        page = await client.poll("127.0.0.1", "operators", StoreVersion(2, 9), 0.01)
        assert page.rows == []
        assert 3.0 <= page.age_s < 4.0

    async def test_changes_that_are_not_known_any_more(self, pair):
        _, client = pair
        poll = client.poll("127.0.0.1", "operators", StoreVersion(2, 8), 0.01)
        assert await poll is None

    async def test_heartbeats_that_a_snapshot_shows_are_no_changes(self, pair, copy):
        """All rows after each snapshot would fill the links of small entries."""
        _, client = pair
        rewritten = FeedRow("config", b"\x00y", StoreVersion(2, 10))
        added = FeedRow("new", b"z", StoreVersion(2, 11))
        copy.replace(FeedPage([rewritten, added], StoreVersion(2, 12)), 0.0)
        page = await client.poll("127.0.0.1", "operators", StoreVersion(2, 9), 1.0)
        assert page.rows == [added]

    async def test_whole_table(self, pair):
        _, client = pair
        assert (await client.fetch("127.0.0.1", "operators")).rows == PAGE.rows
