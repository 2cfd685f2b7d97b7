"""The configuration log: races, lost responses, and replicas that never regress."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gentianhoist.configuration import (
    ChangeRecord,
    Configuration,
    ConfigurationLog,
    ConfigurationReplica,
    Confirmation,
    DeletePreset,
    PeerVersionReport,
    Preset,
    PresetSwitch,
    PutPreset,
    SetInstance,
    SetWeight,
    SetZone,
    SwitchPreset,
    apply_record,
)
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.standins import MemoryTable, TableModel
from gentianhoist.store import StoreInDoubt, StoreUnavailable
from tests.virtual_time_loop import VirtualTimeLoop

_PROCESSES = 3


def _make_initial() -> Configuration:
    return Configuration(
        1,
        ("zone-a", "zone-b"),
        {
            "ordinary": Preset("ordinary", 100, 1_000),
            "peak": Preset("peak", 400, 4_000),
            "spare": Preset("spare", 5, 50),
        },
        (PresetSwitch("ordinary", 0.0),),
        frozenset(),
        frozenset(),
        {"club": 1.0},
    )


def _make_record(change_id: str, *changes) -> ChangeRecord:
    return ChangeRecord(0, change_id, f"op-{change_id}", 10.0, changes)


@pytest.fixture
def table() -> MemoryTable:
    return MemoryTable()


@pytest.fixture
async def log(table: MemoryTable) -> ConfigurationLog:
    configuration_log = ConfigurationLog(table)
    await configuration_log.create(_make_initial())
    return configuration_log


async def test_conflict_names_the_operator_whose_change_was_accepted(log):
    change = SetZone("zone-a", True)
    await log.accept(_make_record("x", change), expected_version=1)
    with pytest.raises(HoistError) as caught:
        await log.accept(_make_record("y", change), expected_version=1)
    assert caught.value.kind is ErrorKind.CONFIGURATION_CONFLICT
    assert "op-x" in caught.value.message
    assert "version 2" in caught.value.message


async def test_same_change_is_accepted_once(log):
    first, _ = await log.accept(_make_record("x", SetInstance("e1", True)), 0)
    repeated, configuration = await log.accept(
        _make_record("x", SetInstance("e1", True)), 0
    )
    assert first == repeated
    assert configuration.version == 2


@pytest.mark.parametrize("later_change", [False, True])
async def test_lost_response_is_resolved(log, table, later_change):
    table.lose_answers = 1
    record, _ = await log.accept(_make_record("x", SetInstance("e1", True)), 1)
    assert record.version == 2
    if later_change:
        await log.accept(_make_record("y", SetInstance("e2", True)), 2)
    repeated, _ = await log.accept(_make_record("x", SetInstance("e1", True)), 1)
    assert repeated.version == 2


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ([SwitchPreset("absent")], "preset"),
        ([DeletePreset("ordinary")], "preset"),
        ([DeletePreset("absent")], "preset"),
        ([PutPreset("ordinary", 1, 1)], "preset"),
        ([PutPreset("new", 0, 1)], "requests_per_minute"),
        ([PutPreset("new", 1, 0)], "tokens_per_minute"),
        ([SetZone("zone-c", True)], "availability_zone"),
        (
            [SetZone("zone-a", True), SetZone("zone-b", True)],
            "availability_zone",
        ),
        ([SetWeight("absent", 1.0)], "organisation"),
        ([SetWeight("club", 0.0)], "weight"),
        ([SwitchPreset("peak"), DeletePreset("peak")], "preset"),
    ],
)
async def test_invalid_change_is_rejected_with_its_field(log, changes, field):
    with pytest.raises(ExceptionGroup) as caught:
        await log.accept(_make_record("x", *changes), 0)
    assert [error.field for error in caught.value.exceptions] == [field]
    assert await log.head_version() == 1


def test_all_reasons_for_rejection_are_reported():
    record = _make_record("x", SwitchPreset("absent"), SetWeight("club", -1.0))
    with pytest.raises(ExceptionGroup) as caught:
        apply_record(_make_initial(), record)
    assert len(caught.value.exceptions) == 2


def test_one_preset_is_in_force_at_any_time():
    configuration = _make_initial()
    for version, (name, at_s) in enumerate([("peak", 10.0), ("spare", 20.0)], 2):
        record = ChangeRecord(version, "c", "op", at_s, (SwitchPreset(name),))
        configuration = apply_record(configuration, record)
    names = [configuration.preset_in_force(wall_s).name for wall_s in (9.9, 10, 20)]
    assert names == ["ordinary", "peak", "spare"]
    recent = configuration.effective_limits(25.0, 0.25).recent
    assert {preset.name for preset in recent} == {"ordinary", "peak", "spare"}


class TestConfirmation:
    def test_store_read_confirms_for_a_limited_time(self):
        confirmation = Confirmation(1.5)
        confirmation.record_store_read(10.0)
        assert confirmation.is_confirmed(11.5, version=1)
        assert not confirmation.is_confirmed(11.6, version=1)

    def test_every_entry_must_report(self):
        confirmation = Confirmation(1.5)
        confirmation.add_peer("b")
        confirmation.record_peer_report("a", PeerVersionReport(10.0, 1, False))
        assert not confirmation.is_confirmed(10.1, version=1)
        confirmation.record_peer_report("b", PeerVersionReport(10.0, 1, False))
        assert confirmation.is_confirmed(10.1, version=1)

    @pytest.mark.parametrize(
        "report",
        [PeerVersionReport(10.0, 2, False), PeerVersionReport(10.0, 1, True)],
    )
    def test_entry_with_possibly_newer_version_does_not_confirm(self, report):
        confirmation = Confirmation(1.5)
        confirmation.record_peer_report("a", report)
        assert not confirmation.is_confirmed(10.1, version=1)

    def test_nothing_is_confirmed_without_store_and_peers(self):
        assert not Confirmation(1.5).is_confirmed(0.0, version=1)


class MonotonicReplicas(RuleBasedStateMachine):
    """Replicas whose updates are lost, reordered and repeated, and restarts."""

    @initialize()
    def begin(self) -> None:
        self.loop = VirtualTimeLoop()
        self.table = MemoryTable(TableModel())
        self.log = ConfigurationLog(self.table)
        self.loop.run(self.log.create(_make_initial()))
        self.replicas = [ConfigurationReplica() for _ in range(_PROCESSES)]
        self.versions = [0] * _PROCESSES
        self.accepted_versions: dict[str, int] = {}
        self.updates: list = []
        self.changes = 0

    @rule(
        expected=st.sampled_from([0, 1, 2, 3]),
        repeat=st.booleans(),
        fault=st.sampled_from(["", "", "lose", "drop", "lose_all", "down"]),
    )
    def accept(self, expected: int, repeat: bool, fault: str) -> None:
        self.changes += not repeat
        self.table.lose_answers = {"lose": 1, "lose_all": 9}.get(fault, 0)
        self.table.drop_writes = 1 if fault == "drop" else 0
        self.table.down = fault == "down"
        change_id = f"c{self.changes}"
        change = SetInstance(f"e{self.changes % 4}", self.changes % 3 > 0)
        try:
            record, _ = self.loop.run(
                self.log.accept(_make_record(change_id, change), expected)
            )
        except (HoistError, StoreUnavailable, StoreInDoubt):
            pass
        else:
            assert (
                self.accepted_versions.setdefault(change_id, record.version)
                == record.version
            )
        self.table.lose_answers = 0
        self.table.down = False

    @rule(index=st.integers(0, _PROCESSES - 1), snapshot=st.booleans())
    def read(self, index: int, snapshot: bool) -> None:
        replica = self.replicas[index]
        if snapshot or not replica.version:
            replica.replace(self.loop.run(self.log.load()))
            return
        head = self.loop.run(self.log.head_version())
        for record in self.loop.run(self.log.changes(replica.version, head)):
            replica.apply(record)

    @rule(sender=st.integers(0, _PROCESSES - 1), version=st.integers(0, 6))
    def send(self, sender: int, version: int) -> None:
        update = self.replicas[sender].update_for(version)
        if update is not None:
            self.updates.append(update)

    @rule(receiver=st.integers(0, _PROCESSES - 1), update_index=st.integers(0, 50))
    def receive(self, receiver: int, update_index: int) -> None:
        if self.updates:
            self.replicas[receiver].apply_update(
                self.updates[update_index % len(self.updates)]
            )

    @rule(index=st.integers(0, _PROCESSES - 1))
    def restart(self, index: int) -> None:
        self.replicas[index] = ConfigurationReplica()
        self.versions[index] = 0

    @invariant()
    def replicas_never_regress_and_agree(self) -> None:
        if not hasattr(self, "replicas"):
            return
        by_version: dict[int, Configuration] = {}
        for index, replica in enumerate(self.replicas):
            assert replica.version >= self.versions[index]
            self.versions[index] = replica.version
            if replica.current is not None:
                agreed = by_version.setdefault(replica.version, replica.current)
                assert agreed == replica.current

    @invariant()
    def accepted_changes_have_distinct_versions(self) -> None:
        if hasattr(self, "accepted_versions"):
            assert len(set(self.accepted_versions.values())) == len(
                self.accepted_versions
            )

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self.loop.cancel_and_close()


TestMonotonicReplicas = MonotonicReplicas.TestCase
TestMonotonicReplicas.settings = settings(max_examples=300, stateful_step_count=25)


async def test_old_history_is_deleted(log, table, monkeypatch):
    monkeypatch.setattr("gentianhoist.configuration._log._HISTORY_VERSIONS", 5)
    for number in range(12):
        await log.accept(
            _make_record(f"c{number}", SetInstance("e1", number % 2 == 0)), 0
        )
    assert len(table.model.list_rows("configuration/change/", 100)) <= 6
    assert len(table.model.list_rows("configuration/id/", 100)) <= 6
    await asyncio.sleep(0)
