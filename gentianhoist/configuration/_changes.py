"""Changes of the configuration, and applying them."""

from __future__ import annotations

from dataclasses import replace
from typing import assert_never

import msgspec

from gentianhoist.configuration.core import (
    MINUTE_S,
    Configuration,
    Preset,
    PresetSwitch,
)
from gentianhoist.exceptions import ErrorKind, HoistError

_SWITCHES_KEPT_S = 2 * MINUTE_S


class SwitchPreset(msgspec.Struct, frozen=True, tag="switch_preset"):
    """Put a preset in force."""

    preset: str


class PutPreset(msgspec.Struct, frozen=True, tag="put_preset"):
    """Create a preset or replace one that is not in force."""

    preset: str
    requests_per_minute: int
    tokens_per_minute: int


class DeletePreset(msgspec.Struct, frozen=True, tag="delete_preset"):
    """Delete a preset that is not in force."""

    preset: str


class SetZone(msgspec.Struct, frozen=True, tag="set_zone"):
    """Take an availability zone out or bring it back."""

    availability_zone: str
    out: bool


class SetInstance(msgspec.Struct, frozen=True, tag="set_instance"):
    """Take an instance out or bring it back."""

    instance: str
    out: bool


class SetWeight(msgspec.Struct, frozen=True, tag="set_weight"):
    """Change an organisation's weight."""

    organisation: str
    weight: float


Change = SwitchPreset | PutPreset | DeletePreset | SetZone | SetInstance | SetWeight


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change, or one that asks to be.

    Attributes:
        version: Version that it makes.
        change_id: Unique id; a change is accepted once.
        operator: Who asked.
        in_force_at_s: Wall time from which a preset switch in it is in force.
        changes: What changes, together.
    """

    version: int
    change_id: str
    operator: str
    in_force_at_s: float
    changes: tuple[Change, ...]


def encode_record(record: ChangeRecord) -> bytes:
    """Encode for the store or the wire."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> ChangeRecord:
    """Decode what `encode_record` made. Raises `msgspec.ValidationError`."""
    return msgspec.msgpack.decode(data, type=ChangeRecord)


def apply_record(configuration: Configuration, record: ChangeRecord) -> Configuration:
    """Apply one record; every process that does it gets the same result.

    Args:
        configuration: The version before it.
        record: The record.

    Returns:
        The next version.

    Raises:
        ExceptionGroup: Of a `HoistError` for every reason to reject it.
    """
    faults: list[HoistError] = []
    result = replace(configuration, version=record.version)
    for change in record.changes:
        try:
            result = _apply(result, change, record.in_force_at_s)
        except HoistError as error:
            faults.append(error)
    faults += _inconsistencies(result)
    if faults:
        raise ExceptionGroup("configuration rejected", faults)
    return result


def _reject(field: str, message: str) -> HoistError:
    return HoistError(ErrorKind.CONFIGURATION_REJECTED, message, field=field)


def _apply(
    configuration: Configuration, change: Change, in_force_at_s: float
) -> Configuration:
    match change:
        case SwitchPreset(preset=name):
            return _switch(configuration, name, in_force_at_s)
        case PutPreset():
            return _put_preset(configuration, change, in_force_at_s)
        case DeletePreset(preset=name):
            return _delete_preset(configuration, name)
        case SetZone(availability_zone=zone, out=out):
            _known("availability_zone", zone, configuration.availability_zones)
            zones = _toggle(configuration.zones_out, zone, out)
            return replace(configuration, zones_out=zones)
        case SetInstance(instance=instance, out=out):
            instances = _toggle(configuration.instances_out, instance, out)
            return replace(configuration, instances_out=instances)
        case SetWeight(organisation=name, weight=weight):
            _known("organisation", name, configuration.weights)
            if weight <= 0:
                raise _reject("weight", "must be greater than 0")
            return replace(
                configuration, weights={**configuration.weights, name: weight}
            )
        case _:
            assert_never(change)


def _known(field: str, name: str, known: object) -> None:
    if name not in known:  # type: ignore[operator]
        raise _reject(field, f"there is no {name}")


def _toggle(names: frozenset[str], name: str, out: bool) -> frozenset[str]:
    return names | {name} if out else names - {name}


def _switch(
    configuration: Configuration, name: str, in_force_at_s: float
) -> Configuration:
    _known("preset", name, configuration.presets)
    # A switch stays as long as its preset held in the minute before the new one.
    begin_s = in_force_at_s - _SWITCHES_KEPT_S
    before = [item for item in configuration.switches if item.in_force_at_s <= begin_s]
    after = [item for item in configuration.switches if item.in_force_at_s > begin_s]
    kept = [
        item for item in (*before[-1:], *after) if item.in_force_at_s < in_force_at_s
    ]
    return replace(configuration, switches=(*kept, PresetSwitch(name, in_force_at_s)))


def _named_presets(configuration: Configuration) -> set[str]:
    return {switch.preset for switch in configuration.switches}


def _put_preset(
    configuration: Configuration, change: PutPreset, in_force_at_s: float
) -> Configuration:
    if change.requests_per_minute < 1:
        raise _reject("requests_per_minute", "must be at least 1")
    if change.tokens_per_minute < 1:
        raise _reject("tokens_per_minute", "must be at least 1")
    if change.preset in _named_presets(configuration):
        raise _reject(
            "preset", f"{change.preset} is in force or announced; switch away first"
        )
    preset = Preset(change.preset, change.requests_per_minute, change.tokens_per_minute)
    return replace(
        configuration, presets={**configuration.presets, change.preset: preset}
    )


def _delete_preset(configuration: Configuration, name: str) -> Configuration:
    _known("preset", name, configuration.presets)
    if name in _named_presets(configuration):
        raise _reject("preset", f"{name} is in force or announced")
    presets = {
        key: preset for key, preset in configuration.presets.items() if key != name
    }
    return replace(configuration, presets=presets)


def _inconsistencies(configuration: Configuration) -> list[HoistError]:
    if set(configuration.availability_zones) <= configuration.zones_out:
        return [_reject("availability_zone", "no availability zone would be left")]
    return []
