"""Entries discover each other, in whatever order they start."""

import asyncio

from gentianhoist.fleet import EntryRegistry
from gentianhoist.store import StoreUnavailable, current_store_call_cause
from gentianhoist.telemetry import DecisionLog

# An entry reads the rows before and after its first write.
_FIRST_ROUND_READS = 2


class FakeEntryRows:
    """Rows of a store that answers each call after 1 ms."""

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.failures = 0
        self.reads = 0
        self.causes: list[str] = []

    async def renew(self, host: str) -> None:
        await self._answer()
        self.rows.append(host)

    async def wait_for_restore(self) -> None:
        await asyncio.Event().wait()

    async def hosts(self) -> list[str]:
        await self._answer()
        self.reads += 1
        return list(self.rows)

    async def _answer(self) -> None:
        self.causes.append(current_store_call_cause())
        await asyncio.sleep(0.001)
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("test")


async def _start(rows: FakeEntryRows, hosts: list[str]) -> dict[str, set[str]]:
    seen: dict[str, set[str]] = {host: set() for host in hosts}
    registries = [
        EntryRegistry(rows, host, seen[host].update, DecisionLog({})) for host in hosts
    ]
    reads_in_first_rounds = rows.reads + _FIRST_ROUND_READS * len(hosts)
    for registry in registries:
        registry.start()
    async with asyncio.timeout(5.0):
        while rows.reads < reads_in_first_rounds:
            await asyncio.sleep(0.001)
    for registry in registries:
        await registry.close()
    return seen


class TestEntryRegistry:
    async def test_of_two_that_start_together_one_discovers_the_other(self):
        seen = await _start(FakeEntryRows(), ["a", "b"])
        assert "b" in seen["a"] or "a" in seen["b"]

    async def test_late_entry_discovers_all(self):
        rows = FakeEntryRows()
        await _start(rows, ["a", "b"])
        seen = await _start(rows, ["c"])
        assert {"a", "b"} <= seen["c"]

    # Guards against: the calls of an outage are counted as ordinary ones.
    async def test_round_after_a_failure_is_a_retry(self):
        rows = FakeEntryRows()
        rows.failures = 1
        await _start(rows, ["a"])
        assert rows.causes == ["registry", *["registry_retry"] * 3]
