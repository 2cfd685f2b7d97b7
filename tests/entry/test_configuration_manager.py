"""Entries' copies of the configuration while the store comes back from a copy."""

import asyncio

import pytest

from gentianhoist.clocks import HybridClock
from gentianhoist.configuration import (
    ChangeRecord,
    ConfigurationLog,
    ConfigurationReplica,
    Confirmation,
    PeerVersionReport,
    SetInstance,
    SetZone,
    SwitchPreset,
)
from gentianhoist.entry._configuration_manager import ConfigurationManager
from gentianhoist.events import EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import DeploymentSettings
from gentianhoist.standins import MemoryTable, TableModel
from tests.calls.test_at_most_once import _deployment
from tests.virtual_time_loop import VirtualTimeLoop

# Time in which every entry follows the log: several reads of it.
FOLLOW_S = 5.0


class Entry:
    """An entry's copy of the configuration, and the task that follows the log."""

    deployment: DeploymentSettings = _deployment()

    def __init__(self, loop: VirtualTimeLoop, model: TableModel, name: str) -> None:
        self.name = name
        self.loop = loop
        self.table = MemoryTable(model)
        self.replica = ConfigurationReplica()
        self.confirmation = Confirmation(self.deployment.timing.confirmation_s)
        self.manager = ConfigurationManager(
            ConfigurationLog(self.table),
            self.replica,
            self.confirmation,
            self.deployment,
            loop,
            EventRing(HybridClock(loop), name, "zone-a"),
            lambda: None,
        )

    def change(self, change_id: str, *changes) -> None:
        record = ChangeRecord(0, change_id, "op", 0.0, changes)
        self.loop.run(self.manager.accept_change(record, 0, dry_run=False))

    @property
    def change_ids(self) -> list[str]:
        return [record.change_id for record in self.replica.records]


@pytest.fixture
def model() -> TableModel:
    return TableModel()


def _start(loop, model, *names: str) -> list[Entry]:
    entries = [Entry(loop, model, name) for name in names]
    for entry in entries:
        loop.run(entry.manager.start())
    loop.run(asyncio.sleep(FOLLOW_S))
    return entries


def _exchange(*entries: Entry) -> None:
    """Let each entry hear the heartbeats of the others, as of now."""
    for entry in entries:
        for peer in entries:
            if peer is not entry:
                update = peer.replica.update_for(entry.replica.version)
                if update is not None:
                    entry.manager.apply_update(update)
                report = PeerVersionReport(
                    entry.loop.time(),
                    peer.replica.version,
                    peer.manager.has_unreported_change,
                )
                entry.confirmation.record_peer_report(peer.name, report)


def _run(loop, seconds: float, *entries: Entry) -> None:
    for _ in range(int(seconds / 0.25)):
        loop.run(asyncio.sleep(0.25))
        _exchange(*entries)


def test_lost_change_is_written_again(loop, model):
    (entry,) = _start(loop, model, "a")
    zone = entry.replica.current.availability_zones[0]
    backup = model.backup()
    entry.change("x", SetZone(zone, True))
    entry.change("y", SetInstance("e1", True))
    version = entry.replica.version
    model.restore(backup)
    _run(loop, FOLLOW_S, entry)
    (started,) = _start(loop, model, "b")
    assert started.replica.version == version
    assert started.replica.current.zones_out == {zone}
    assert started.replica.current.instances_out == {"e1"}


def test_change_id_is_accepted_once_over_a_restore(loop, model):
    """An operator whose response was lost sends the change again."""
    (entry,) = _start(loop, model, "a")
    backup = model.backup()
    entry.change("x", SetInstance("e1", True))
    version = entry.replica.version
    model.restore(backup)
    _run(loop, FOLLOW_S, entry)
    entry.change("x", SetInstance("e1", True))
    assert entry.replica.version == version


def test_no_change_is_accepted_before_lost_ones_are_written(loop, model):
    """An entry that starts after the restore knows of none that was lost."""
    first, second = _start(loop, model, "a", "b")
    _run(loop, FOLLOW_S, first, second)
    backup = model.backup()
    first.change("x", SetInstance("e1", True))
    first.table.down = True
    _run(loop, FOLLOW_S, first, second)
    model.restore(backup)
    started = Entry(loop, model, "c")
    started.confirmation.add_peer("a")
    loop.run(started.manager.start())
    loop.run(asyncio.sleep(1.0))
    with pytest.raises(HoistError) as caught:
        started.change("y", SetInstance("e2", True))
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE
    # The copy of the store is not the latest: limits are the minimum of all presets.
    assert not started.manager.is_confirmed


def test_change_that_was_lost_and_one_accepted_since_are_both_in_force(loop, model):
    """An entry that was cut off for long comes back with a change of its own."""
    cut_off, other = _start(loop, model, "a", "b")
    backup = model.backup()
    cut_off.change("x", SetInstance("e1", True))
    cut_off.table.down = True
    model.restore(backup)
    # The other one waits for it in vain, and goes on.
    other.confirmation.add_peer("a")
    loop.run(asyncio.sleep(40.0))
    other.change("y", SetInstance("e2", True))
    cut_off.table.down = False
    loop.run(asyncio.sleep(FOLLOW_S))
    _run(loop, FOLLOW_S, cut_off, other)
    for entry in (cut_off, other):
        assert entry.replica.current.instances_out == {"e1", "e2"}
    assert cut_off.replica.current == other.replica.current
    assert cut_off.manager.is_confirmed


def test_preset_that_was_lost_stays_in_force(loop, model):
    (entry,) = _start(loop, model, "a")
    name = min(
        entry.replica.current.presets.values(),
        key=lambda item: item.requests_per_minute,
    ).name
    backup = model.backup()
    entry.change("x", SwitchPreset(name))
    switches = entry.replica.current.switches
    model.restore(backup)
    _run(loop, FOLLOW_S, entry)
    (started,) = _start(loop, model, "b")
    assert started.replica.current.switches == switches


def test_log_that_was_lost_as_a_whole_is_written_again(loop, model):
    empty = model.backup()
    (entry,) = _start(loop, model, "a")
    entry.change("x", SetInstance("e1", True))
    model.restore(empty)
    _run(loop, FOLLOW_S, entry)
    (started,) = _start(loop, model, "b")
    assert started.replica.current == entry.replica.current


def test_two_restores(loop, model):
    (entry,) = _start(loop, model, "a")
    backup = model.backup()
    entry.change("x", SetInstance("e1", True))
    model.restore(backup)
    _run(loop, FOLLOW_S, entry)
    entry.change("y", SetInstance("e2", True))
    model.restore(backup)
    _run(loop, FOLLOW_S, entry)
    (started,) = _start(loop, model, "b")
    assert started.replica.current.instances_out == {"e1", "e2"}


def test_entry_that_loaded_a_snapshot_writes_its_last_changes_again(loop, model):
    (first,) = _start(loop, model, "a")
    backup = model.backup()
    first.change("x", SetInstance("e1", True))
    (second,) = _start(loop, model, "b")
    loop.run(first.manager.close())
    model.restore(backup)
    _run(loop, FOLLOW_S, second)
    (started,) = _start(loop, model, "c")
    assert started.replica.current.instances_out == {"e1"}
