"""What entries of the product's own interface tell each other of crashing requests."""

import asyncio

from gentianhoist.clocks import HybridClock
from gentianhoist.entry._jobs import CompletionJob
from gentianhoist.entry._quarantine import JobQuarantine, call_keys, job_keys
from gentianhoist.events import EventRing
from gentianhoist.fleet import BackendServer
from gentianhoist.routing import prefix_hashes
from gentianhoist.store import ConditionFailed, Row, StoreUnavailable
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import CallRequest, Stamp

KEYS = ("p1", "request:c1")


class FakeTable:
    """A table of rows in memory, which may be away."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.available = True

    async def transact(self, transaction) -> None:
        if not self.available:
            raise StoreUnavailable("down")
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                raise ConditionFailed(())
        for put in transaction.puts:
            row = self.rows.get(put.key)
            version = row.version + 1 if row else 1
            self.rows[put.key] = Row(put.key, version, transaction.id, put.value)
        for key in transaction.deletes:
            self.rows.pop(key, None)

    async def scan(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        if not self.available:
            raise StoreUnavailable("down")
        return [row for key, row in self.rows.items() if key.startswith(prefix)]


def make_entry(loop, table: FakeTable) -> JobQuarantine:
    events = EventRing(HybridClock(loop), "entry", "zone-a")
    return JobQuarantine(table, loop, events, Metrics(), lambda: None)


async def crash(entry: JobQuarantine, number: int) -> None:
    server = BackendServer(f"s{number}", "g", "10.0.0.1", 80, "z", 8)
    await entry.requests.report_lost_connection(server, KEYS, -1.0, may_repeat=False)
    await asyncio.sleep(0.5)


def exchange(*entries: JobQuarantine) -> None:
    """Deliver one heartbeat of each entry to every other."""
    for sender in entries:
        update = sender.update()
        for receiver in entries:
            if receiver is not sender and update is not None:
                receiver.apply(update)


class TestEntries:
    def test_losses_seen_by_two_entries_count_together(self, loop):
        async def scenario() -> None:
            table = FakeTable()
            first, second = make_entry(loop, table), make_entry(loop, table)
            await crash(first, 1)
            exchange(first, second)
            await crash(second, 2)
            exchange(first, second)
            await asyncio.sleep(0.5)
            assert first.requests.refusal(KEYS)
            assert second.requests.refusal(KEYS)

        loop.run(scenario())

    # Guards against: heartbeats repeat a loss, and it counts again each time.
    def test_a_loss_that_is_told_again_counts_once(self, loop):
        async def scenario() -> None:
            table = FakeTable()
            first, second = make_entry(loop, table), make_entry(loop, table)
            await crash(first, 1)
            for _ in range(8):
                exchange(first, second)
                await asyncio.sleep(0.5)
            assert second.requests.refusal(KEYS) is None

        loop.run(scenario())

    def test_an_entry_that_starts_learns_from_the_table(self, loop):
        async def scenario() -> None:
            table = FakeTable()
            first, second = make_entry(loop, table), make_entry(loop, table)
            await first.start()
            for number in range(2):
                await crash(first, number)
            await asyncio.sleep(3.0)
            await second.start()
            await asyncio.sleep(0.1)
            assert second.requests.refusal(KEYS)
            await first.close()
            await second.close()

        loop.run(scenario())

    def test_the_table_away_costs_no_request(self, loop):
        async def scenario() -> None:
            table = FakeTable()
            table.available = False
            entry = make_entry(loop, table)
            await entry.start()
            assert await entry.requests.admit("r1", KEYS) is None
            for number in range(2):
                await crash(entry, number)
            assert entry.requests.refusal(KEYS)
            table.available = True
            await asyncio.sleep(3.0)
            assert len(table.rows) == 1
            await entry.close()

        loop.run(scenario())

    def test_nothing_is_told_while_there_is_nothing(self, loop):
        assert make_entry(loop, FakeTable()).update() is None


class TestKeys:
    def test_prompts_share_the_keys_of_their_beginning(self):
        beginning = "x" * 4096

        def job(end: str) -> CompletionJob:
            prompt = beginning + end
            hashes = prefix_hashes(prompt)
            return CompletionJob("r", "m", "o", prompt, 1, hashes, 1, 0.0)

        first, second = job_keys(job("a" * 2048)), job_keys(job("b" * 2048))
        assert len(set(first) & set(second)) == 4
        assert first[-1] != second[-1]
        assert job_keys(job("a" * 2048)) == first

    def test_a_call_keeps_its_key_under_another_idempotency_key(self):
        def call(key: str, body: bytes) -> CallRequest:
            stamp = Stamp("e", "i", 1, (0, 0))
            return CallRequest(stamp, "r", "o", "s", "op", False, key, 0, body, 1.0)

        assert call_keys(call("k1", b"x")) == call_keys(call("k2", b"x"))
        assert call_keys(call("k1", b"x")) != call_keys(call("k1", b"y"))
