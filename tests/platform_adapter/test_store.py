"""Client of the platform's store, on a stand-in of the store."""

import time

import pytest

from gentianhoist.store import ConditionFailed, StoreInDoubt
from gentianhoist_platform.standins import StoreStandin
from gentianhoist_platform.store import (
    QUARANTINE_TABLE,
    PlatformEntryRows,
    PlatformQuarantineRows,
    PlatformStore,
    PlatformTable,
)

_NOW_MS = time.monotonic() * 1000.0
_STALE = b"%d" % (_NOW_MS - 600_000)


@pytest.fixture
async def store(unused_tcp_port):
    standin = StoreStandin()
    await standin.start(unused_tcp_port)
    client = PlatformStore("127.0.0.1", unused_tcp_port)
    yield standin, client
    await client.close()
    await standin.close()


class TestStaleEntryRows:
    """Each replaced entry leaves a row; after a day the live ones must still be found.

    The stale rows fill more than one page, so a client that reads only the first page
    misses the live entries.
    """

    async def test_fresh_rows_are_found_after_many_stale_ones(self, store):
        standin, client = store
        for number in range(1_200):
            standin.put("entries", f"10.0.{number // 250}.{number % 250}", _STALE)
        rows = PlatformEntryRows(client)
        await rows.hosts()
        await rows.renew("10.9.0.1")
        assert await rows.hosts() == ["10.9.0.1"]

    async def test_stale_rows_are_removed_in_batches(self, store):
        standin, client = store
        for number in range(60):
            standin.put("entries", f"10.0.0.{number}", _STALE)
        rows = PlatformEntryRows(client)
        for _ in range(4):
            await rows.hosts()
            await rows.renew("10.9.0.1")
        assert standin.keys("entries") == ["10.9.0.1"]

    async def test_row_renewed_since_it_was_read_stays(self, store):
        standin, client = store
        standin.put("entries", "10.0.0.1", _STALE)
        rows = PlatformEntryRows(client)
        await rows.hosts()
        standin.put("entries", "10.0.0.1", b"%d" % (time.monotonic() * 1000.0))
        await rows.renew("10.9.0.1")
        assert standin.keys("entries") == ["10.0.0.1", "10.9.0.1"]


async def test_whole_table_is_read_page_by_page(store):
    standin, client = store
    for number in range(1_100):
        standin.put("servers", f"i-{number:04}", b"{}")
    page = await PlatformTable(client, "servers").read(1.0)
    assert len({row.key for row in page.rows}) == 1_100


class TestQuarantineRows:
    async def test_only_one_of_two_writers_replaces_a_row(self, store):
        _, client = store
        rows = PlatformQuarantineRows(client)
        await rows.write("dd", b"1", 0)
        with pytest.raises(ConditionFailed):
            await rows.write("dd", b"2", 0)
        (row,) = (await PlatformTable(client, QUARANTINE_TABLE).read(1.0)).rows
        await rows.write("dd", b"3", row.version)
        with pytest.raises(ConditionFailed):
            await rows.write("dd", b"4", row.version)
        with pytest.raises(ConditionFailed):
            await rows.remove("dd", row.version)
        (row,) = (await PlatformTable(client, QUARANTINE_TABLE).read(1.0)).rows
        assert row.value == b"3"
        await rows.remove("dd", row.version)
        assert not (await PlatformTable(client, QUARANTINE_TABLE).read(1.0)).rows

    async def test_lost_answer_leaves_it_in_doubt(self, store):
        standin, client = store
        standin.faults.lose_answers = 1
        with pytest.raises(StoreInDoubt):
            await PlatformQuarantineRows(client).write("dd", b"1", 0)
        assert standin.keys(QUARANTINE_TABLE) == ["dd"]
