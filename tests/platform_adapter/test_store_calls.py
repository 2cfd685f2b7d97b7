"""Counts of the calls to the store, on a stand-in of the store."""

import asyncio
import socket

import aiohttp
import pytest

from gentianhoist.fleet import NO_VERSION, HistoryLost
from gentianhoist.store import (
    ConditionFailed,
    StoreCallCause,
    StoreInDoubt,
    StoreUnavailable,
    store_calls_caused_by,
)
from gentianhoist.telemetry import EntryMetrics
from gentianhoist_platform.standins import StoreStandin
from gentianhoist_platform.store import PlatformStore, PlatformTable
from gentianhoist_platform.store_rows import (
    QUARANTINE_TABLE,
    PlatformEntryRows,
    PlatformQuarantineRows,
)

NAME = "gentianhoist_store_calls_total"


def count(metrics: EntryMetrics, **labels: str) -> float:
    """Sum of the counts with these labels."""
    total = 0.0
    for line in metrics.render().decode().splitlines():
        if line.startswith(NAME + "{") and all(
            f'{name}="{value}"' in line for name, value in labels.items()
        ):
            total += float(line.rpartition(" ")[2])
    return total


@pytest.fixture
async def store():
    standin = StoreStandin()
    await standin.start()
    client = PlatformStore("127.0.0.1", standin.port)
    metrics = EntryMetrics()
    client.count_calls(metrics)
    yield standin, client, metrics
    await client.close()
    await standin.close()


class TestOutcomes:
    """Guards against: a call that is counted under another outcome, or not at all."""

    async def test_each_page_of_a_table_is_a_call(self, store):
        standin, client, metrics = store
        for number in range(1_100):
            standin.put("servers", f"i-{number:04}", b"{}")
        with store_calls_caused_by(StoreCallCause.SNAPSHOT):
            await PlatformTable(client, "servers").read(1.0)
        assert count(metrics, table="servers", cause="snapshot", outcome="ok") == 3
        assert count(metrics) == standin.calls == 3

    async def test_status_503_is_unavailable(self, store):
        standin, client, metrics = store
        standin.faults.down = True
        with pytest.raises(StoreUnavailable):
            await PlatformTable(client, "op").read(1.0)
        assert count(metrics, table="op", outcome="unavailable") == 1
        assert count(metrics) == 1

    async def test_timeout_is_no_response(self, store):
        standin, client, metrics = store
        standin.faults.silent = True
        with pytest.raises(StoreUnavailable):
            await PlatformTable(client, "op").read(0.1)
        assert count(metrics, table="op", outcome="no_response") == 1

    async def test_refused_connection_is_no_response(self):
        # Bound but not listening, so that connections to it are refused.
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            client = PlatformStore("127.0.0.1", unused.getsockname()[1])
            metrics = EntryMetrics()
            client.count_calls(metrics)
            with pytest.raises(StoreUnavailable):
                await PlatformTable(client, "op").read(0.5)
            await client.close()
        assert count(metrics, table="op", outcome="no_response") == 1

    async def test_lost_response_of_a_write_is_no_response(self, store):
        standin, client, metrics = store
        standin.faults.lose_answers = 1
        with pytest.raises(StoreInDoubt):
            await PlatformQuarantineRows(client).write("dd", b"1", NO_VERSION)
        assert count(metrics, table=QUARANTINE_TABLE, outcome="no_response") == 1

    async def test_failed_precondition_is_refused(self, store):
        _, client, metrics = store
        rows = PlatformQuarantineRows(client)
        await rows.write("dd", b"1", NO_VERSION)
        with pytest.raises(ConditionFailed):
            await rows.write("dd", b"2", NO_VERSION)
        assert count(metrics, table=QUARANTINE_TABLE, outcome="ok") == 1
        assert count(metrics, table=QUARANTINE_TABLE, outcome="refused") == 1

    async def test_lost_history_is_refused(self, store):
        standin, client, metrics = store
        standin.put("servers", "a", b"{}")
        table = PlatformTable(client, "servers")
        page = await table.read(1.0)
        standin.put("servers", "b", b"{}")
        standin.forget_history()
        with (
            pytest.raises(HistoryLost),
            store_calls_caused_by(StoreCallCause.LONG_POLL),
        ):
            await table.changes(page.version, 0.5, 1.0)
        assert count(metrics, cause="long_poll", outcome="refused") == 1

    async def test_poll_that_is_given_up_is_no_response(self, store):
        """The cause has to reach the task of its own in which a poll runs."""
        standin, client, metrics = store
        table = PlatformTable(client, "servers")
        page = await table.read(1.0)
        with store_calls_caused_by(StoreCallCause.LONG_POLL):
            poll = asyncio.ensure_future(table.changes(page.version, 5.0, 5.5))
        await asyncio.sleep(0.1)
        standin.restore(standin.backup())
        await PlatformTable(client, "op").read(1.0)
        with pytest.raises(HistoryLost):
            await asyncio.wait_for(poll, 2.0)
        # The task of the poll ends after the exception was raised.
        await asyncio.sleep(0.05)
        assert count(metrics, cause="long_poll", outcome="no_response") == 1

    async def test_calls_without_a_counter_are_made(self, store):
        standin, _, _ = store
        client = PlatformStore("127.0.0.1", standin.port)
        await PlatformEntryRows(client).hosts()
        await client.close()


class TestCausesOfAnEntry:
    """Guards against: calls of an entry whose cause is unknown or another one."""

    async def test_running_entry_counts_every_call(self, deployment):
        metrics = deployment.gateway._metrics
        for table in ("op", "servers", QUARANTINE_TABLE):
            await deployment.wait_until(
                lambda table=table: count(metrics, table=table, cause="snapshot")
            )
        await deployment.wait_until(
            lambda: count(metrics, table="servers", cause="long_poll", outcome="ok")
        )
        # Two reads and a write in the first round.
        await deployment.wait_until(
            lambda: count(metrics, table="entries", cause="registry") == 3
        )
        assert count(metrics, cause="other") == 0
        assert count(metrics, cause="snapshot_retry") == 0
        assert count(metrics, table="entries") == count(metrics, cause="registry")

    async def test_retries_are_counted_separately(self, deployment):
        """Of the quarantine, whose long poll waits at the store at any time."""
        metrics = deployment.gateway._metrics

        def retries(**labels: str) -> float:
            return count(
                metrics, table=QUARANTINE_TABLE, cause="snapshot_retry", **labels
            )

        await deployment.wait_until(
            lambda: count(metrics, table="servers", cause="long_poll")
        )
        deployment.store.faults.down = True
        deployment.store.cut_polls()
        await deployment.wait_until(lambda: retries(outcome="unavailable") >= 2)
        deployment.store.faults.down = False
        await deployment.wait_until(lambda: retries(outcome="ok") == 1)
        polls = count(metrics, table=QUARANTINE_TABLE, cause="long_poll")
        assert polls == count(metrics, table=QUARANTINE_TABLE, outcome="no_response")
        counted = retries()
        await asyncio.sleep(0.7)
        assert retries() == counted

    async def test_counts_are_on_the_metrics_address(self, deployment):
        url = f"http://127.0.0.1:{deployment.ports[3]}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            text = await response.text()
        assert f'{NAME}{{cause="snapshot",outcome="ok",table="op"}}' in text
