"""One entry's part in the quarantine: probes, messages, the store and trials."""

import asyncio

import pytest

from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import NO_VERSION, BackendServer, FeedRow
from gentianhoist.quarantine import (
    EngineLoss,
    KeyQuarantine,
    QuarantineRecord,
    QuarantineState,
    RequestQuarantine,
    TrialResult,
    encode_record,
)
from gentianhoist.store import (
    ConditionFailed,
    StoreCallCause,
    StoreUnavailable,
    StoreVersion,
    current_store_call_cause,
)
from gentianhoist.telemetry import DecisionLog, EntryMetrics
from tests.virtual_time_loop import VirtualTimeLoop

HELD = QuarantineRecord("dd", QuarantineState.HELD, 1, 0, 10_000)


class FakePublisher:
    def __init__(self) -> None:
        self.losses: list[EngineLoss] = []
        self.completed: list[str] = []
        self.records: list[QuarantineRecord] = []

    def publish_loss(self, loss: EngineLoss) -> None:
        self.losses.append(loss)

    def publish_completed(self, segments, sent_s: float) -> None:
        self.completed += segments

    def publish_record(self, record: QuarantineRecord) -> None:
        self.records.append(record)


class FakeRows:
    """The store's rows; `available` may be turned off."""

    def __init__(self) -> None:
        self.rows: dict[str, FeedRow] = {}
        self.available = True
        self.calls = 0
        self.causes: list[StoreCallCause] = []

    async def write(self, key: str, value: bytes, version: StoreVersion) -> None:
        self._check(key, version)
        self.rows[key] = FeedRow(key, value, StoreVersion(1, self.calls))

    async def remove(self, key: str, version: StoreVersion) -> None:
        self._check(key, version)
        del self.rows[key]

    def _check(self, key: str, version: StoreVersion) -> None:
        self.calls += 1
        self.causes.append(current_store_call_cause())
        if not self.available:
            raise StoreUnavailable("down")
        if (self.rows[key].version if key in self.rows else NO_VERSION) != version:
            raise ConditionFailed(())


class FakeProbe:
    def __init__(self) -> None:
        self.is_server_down = True
        self.probes = 0

    async def is_down(self, server: BackendServer) -> bool:
        self.probes += 1
        await asyncio.sleep(0.003)
        return self.is_server_down


class Entry:
    """One entry's quarantine on fakes, in virtual time."""

    def __init__(self, loop: VirtualTimeLoop, rows: FakeRows) -> None:
        self.rows = rows
        self.publisher = FakePublisher()
        self.probe = FakeProbe()
        self.quarantine = RequestQuarantine(
            KeyQuarantine(),
            self.publisher,
            rows,
            self.probe,
            loop,
            DecisionLog({}),
            EntryMetrics(),
            lambda: None,
        )
        self.quarantine.start()

    async def lose(
        self,
        number: int,
        *prompts: tuple[str, ...],
        sent_s: float = -1.0,
        may_repeat: bool = True,
    ) -> None:
        server = BackendServer(f"s{number}", "g", "10.0.0.1", 80, "z", 8)
        await asyncio.gather(
            *(
                self.quarantine.report_lost_connection(
                    server, prompt, sent_s, may_repeat=may_repeat
                )
                for prompt in prompts
            )
        )

    def is_refused(self, *segments: str) -> bool:
        return self.quarantine.refusal(segments) is not None

    def read_store(self) -> None:
        self.quarantine.replace_rows(self.rows.rows.values())


def run(loop: VirtualTimeLoop, scenario, entries: int = 1) -> None:
    async def main() -> None:
        rows = FakeRows()
        await scenario(*(Entry(loop, rows) for _ in range(entries)))

    loop.run(main())


class TestEvidence:
    def test_one_probe_for_all_prompts_of_a_lost_engine(self, loop):
        async def scenario(entry: Entry) -> None:
            await entry.lose(1, ("aa", "dd"), ("aa",))
            await asyncio.sleep(0.1)
            assert entry.probe.probes == 1
            (loss,) = entry.publisher.losses
            assert loss.prompts == {("aa", "dd"), ("aa",)}

        run(loop, scenario)

    def test_lost_connection_to_a_running_engine_is_no_loss(self, loop):
        # Guards against: connections that are reset, or answers that are broken off,
        # count as crashes, and sound prompts are refused.
        async def scenario(entry: Entry) -> None:
            entry.probe.is_server_down = False
            for number in range(9):
                await entry.lose(number, ("dd",))
                await asyncio.sleep(1.0)
            assert not entry.publisher.losses
            assert not entry.is_refused("dd")

        run(loop, scenario)

    def test_engine_that_is_lost_again_counts_again(self, loop):
        # Guards against: while the store is away the directory doesn't tell that an
        # engine has restarted, and its next losses are taken for the first one.
        async def scenario(entry: Entry) -> None:
            for _ in range(3):
                await entry.lose(1, ("dd",), sent_s=loop.time() - 0.02)
                await asyncio.sleep(0.6)
            assert entry.probe.probes == 3
            assert entry.is_refused("dd")

        run(loop, scenario)

    def test_waits_for_the_decision_but_not_long(self, loop):
        async def scenario(entry: Entry) -> None:
            await entry.lose(0, ("dd",))
            await asyncio.sleep(1.0)
            began_s = loop.time()
            await entry.lose(1, ("dd",))
            assert loop.time() - began_s == pytest.approx(0.053)
            entry.probe.is_down = lambda server: asyncio.sleep(0.4, False)
            await entry.lose(2, ("dd",))
            assert loop.time() - began_s == pytest.approx(0.203)

        run(loop, scenario)

    # Guards against: sound requests that lost a server are late, since their repeat
    # waits for a decision that can't concern them.
    @pytest.mark.parametrize("may_repeat", [True, False])
    def test_does_not_wait_where_no_decision_matters(self, loop, may_repeat):
        async def scenario(entry: Entry) -> None:
            if not may_repeat:
                await entry.lose(0, ("dd",))
                await asyncio.sleep(1.0)
            began_s = loop.time()
            await entry.lose(1, ("dd",), may_repeat=may_repeat)
            assert loop.time() == began_s

        run(loop, scenario)

    def test_only_entries_that_saw_the_loss_announce_the_record(self, loop):
        # Guards against: a thousand entries publish and write the same record at once.
        async def scenario(first: Entry, second: Entry) -> None:
            for number in range(3):
                await first.lose(number, ("dd",))
                await asyncio.sleep(0.02)
                second.quarantine.receive_loss(first.publisher.losses[-1])
                await asyncio.sleep(0.2)
            assert first.is_refused("dd")
            assert second.is_refused("dd")
            assert len(first.publisher.records) == 1
            assert not second.publisher.records
            second.read_store()
            await asyncio.sleep(9.0)
            assert first.rows.calls == 1

        run(loop, scenario, entries=2)

    def test_completed_prompt_is_published_only_if_it_refutes(self, loop):
        async def scenario(entry: Entry) -> None:
            entry.quarantine.report_completed(("aa",), loop.time(), is_trial=False)
            assert not entry.publisher.completed
            await asyncio.sleep(1.0)
            await entry.lose(1, ("aa",), ("bb",))
            await asyncio.sleep(0.1)
            sent_s = loop.time() + 0.1
            entry.quarantine.report_completed(("cc",), sent_s, is_trial=False)
            assert not entry.publisher.completed
            entry.quarantine.report_completed(("aa", "cc"), sent_s, is_trial=False)
            assert entry.publisher.completed == ["aa", "cc"]

        run(loop, scenario)


class TestStore:
    def test_record_is_written_once_the_store_is_back(self, loop):
        async def scenario(entry: Entry) -> None:
            entry.rows.available = False
            for number in range(3):
                await entry.lose(number, ("dd",))
                await asyncio.sleep(0.2)
            assert entry.is_refused("dd")
            await asyncio.sleep(5.0)
            assert not entry.rows.rows
            assert 5 < entry.rows.calls < 25
            entry.rows.available = True
            await asyncio.sleep(1.0)
            assert "dd" in entry.rows.rows
            # Guards against: retries that are counted as first calls.
            assert entry.rows.causes[0] is StoreCallCause.QUARANTINE
            assert set(entry.rows.causes[1:]) == {StoreCallCause.QUARANTINE_RETRY}

        run(loop, scenario)

    def test_record_of_an_entry_that_was_killed_is_written_by_another(self, loop):
        async def scenario(entry: Entry) -> None:
            entry.quarantine.receive_record(HELD)
            await asyncio.sleep(5.0)
            assert entry.rows.rows["dd"].value == encode_record(HELD)

        run(loop, scenario)

    def test_new_entry_learns_from_the_store(self, loop):
        async def scenario(first: Entry, second: Entry) -> None:
            first.quarantine.receive_record(HELD)
            await asyncio.sleep(5.0)
            second.read_store()
            assert second.is_refused("aa", "dd")
            assert not second.is_refused("aa")

        run(loop, scenario, entries=2)

    def test_invalid_row_is_ignored(self, loop):
        async def scenario(entry: Entry) -> None:
            rows = [
                FeedRow("ee", b"{", StoreVersion(1, 1)),
                FeedRow("dd", encode_record(HELD), StoreVersion(1, 2)),
            ]
            entry.quarantine.replace_rows(rows)
            assert entry.is_refused("dd")
            assert not entry.is_refused("ee")

        run(loop, scenario)

    def test_forgotten_record_is_removed(self, loop):
        async def scenario(entry: Entry) -> None:
            entry.quarantine.receive_record(HELD)
            await asyncio.sleep(5.0)
            entry.read_store()
            await asyncio.sleep(3700.0)
            assert not entry.rows.rows
            assert not entry.is_refused("dd")

        run(loop, scenario)


class TestTrial:
    @staticmethod
    async def _hold(*entries: Entry) -> None:
        """Hold "dd" at all entries and in the store until its trial is due."""
        entries[0].quarantine.receive_record(HELD)
        await asyncio.sleep(11.0)
        for entry in entries:
            entry.read_store()

    def test_one_entry_claims_it(self, loop):
        # Guards against: every entry tries a crashing segment when its hold ends.
        async def scenario(*entries: Entry) -> None:
            await self._hold(*entries)
            results = await asyncio.gather(
                *(entry.quarantine.admit("q", ("dd",)) for entry in entries),
                return_exceptions=True,
            )
            refused = [item for item in results if isinstance(item, HoistError)]
            assert len(refused) == len(entries) - 1
            assert {error.kind for error in refused} == {ErrorKind.PROMPT_QUARANTINED}

        run(loop, scenario, entries=5)

    def test_none_without_the_store(self, loop):
        async def scenario(entry: Entry) -> None:
            await self._hold(entry)
            entry.rows.available = False
            with pytest.raises(HoistError) as caught:
                await entry.quarantine.admit("q", ("dd",))
            assert caught.value.retry_after_s >= 1.0
            assert entry.is_refused("dd")

        run(loop, scenario)

    def test_none_while_the_store_lacks_the_record(self, loop):
        async def scenario(entry: Entry) -> None:
            await self._hold(entry)
            entry.quarantine.receive_record(HELD._replace(sequence=5))
            with pytest.raises(HoistError):
                await entry.quarantine.admit("q", ("dd",))

        run(loop, scenario)

    @pytest.mark.parametrize("result", [TrialResult.PASSED, TrialResult.FAILED])
    def test_result_reaches_the_others_and_the_store(self, loop, result):
        async def scenario(first: Entry, second: Entry) -> None:
            await self._hold(first, second)
            trial = await first.quarantine.admit("q", ("dd",))
            first.read_store()
            first.quarantine.end_trial(trial, result)
            for record in first.publisher.records:
                second.quarantine.receive_record(record)
            await asyncio.sleep(1.0)
            state = first.publisher.records[-1].state
            assert state is (
                QuarantineState.RELEASED
                if result is TrialResult.PASSED
                else QuarantineState.HELD
            )
            assert second.is_refused("dd") is (state is QuarantineState.HELD)
            assert b'"%b"' % state.value.encode() in first.rows.rows["dd"].value

        run(loop, scenario, entries=2)
