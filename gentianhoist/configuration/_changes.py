"""Changes to the configuration, and their application."""

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

_SWITCH_RETENTION_S = 2 * MINUTE_S


class SwitchPreset(msgspec.Struct, frozen=True, tag="switch_preset"):
    """Put a preset in force.

    Attributes:
        preset: Name of the preset.
    """

    preset: str


class PutPreset(msgspec.Struct, frozen=True, tag="put_preset"):
    """Create a preset, or replace one that has no retained switch.

    A switch is retained from its announcement until a later switch of presets drops it
    as outdated, so it may also be one that is no longer in force.

    Attributes:
        preset: Name of the preset.
        requests_per_minute: Maximum requests in any 60 s; at least 1.
        tokens_per_minute: Maximum tokens in any 60 s; at least 1.
    """

    preset: str
    requests_per_minute: int
    tokens_per_minute: int


class DeletePreset(msgspec.Struct, frozen=True, tag="delete_preset"):
    """Delete a preset that has no retained switch, as defined for `PutPreset`.

    Attributes:
        preset: Name of the preset.
    """

    preset: str


class SetZone(msgspec.Struct, frozen=True, tag="set_zone"):
    """Take an availability zone out of service, or return it to service.

    Attributes:
        availability_zone: Name of the availability zone.
        out: Whether it is out of service.
    """

    availability_zone: str
    out: bool


class SetInstance(msgspec.Struct, frozen=True, tag="set_instance"):
    """Take an instance out of service, or return it to service.

    Attributes:
        instance: Name of the instance.
        out: Whether it is out of service.
    """

    instance: str
    out: bool


class SetWeight(msgspec.Struct, frozen=True, tag="set_weight"):
    """Change the weight of an organisation.

    Attributes:
        organisation: Name of the organisation.
        weight: New weight; greater than 0.
    """

    organisation: str
    weight: float


Change = SwitchPreset | PutPreset | DeletePreset | SetZone | SetInstance | SetWeight


class ChangeRecord(msgspec.Struct, frozen=True):
    """A proposed or accepted change to the configuration.

    Attributes:
        version: Configuration version that the change creates.
        change_id: Unique id; a change is accepted at most once.
        operator: Operator who requested the change.
        in_force_at_s: Wall time from which its preset switches are in force, in
            seconds.
        changes: Changes that are applied together.
        follows: Id of the change before it, empty if that is the first version.
    """

    version: int
    change_id: str
    operator: str
    in_force_at_s: float
    changes: tuple[Change, ...]
    follows: str = ""


def encode_record(record: ChangeRecord) -> bytes:
    """Encode a record for the store or for a message."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> ChangeRecord:
    """Decode a record encoded by `encode_record`.

    Raises:
        msgspec.MsgspecError: If the data is not an encoded record.
    """
    return msgspec.msgpack.decode(data, type=ChangeRecord)


def apply_record(configuration: Configuration, record: ChangeRecord) -> Configuration:
    """Apply one change record; the result is the same in every process.

    Args:
        configuration: The previous version.
        record: The change record.

    Returns:
        The next version.

    Raises:
        ExceptionGroup: If the change is rejected; holds one `HoistError` per reason.
    """
    errors: list[HoistError] = []
    result = replace(configuration, version=record.version, change_id=record.change_id)
    for change in record.changes:
        try:
            result = _apply(result, change, record.in_force_at_s)
        except HoistError as error:
            errors.append(error)
    errors += _find_inconsistencies(result)
    if errors:
        raise ExceptionGroup("configuration change rejected", errors)
    return result


def _rejection(field: str, message: str) -> HoistError:
    return HoistError(ErrorKind.CONFIGURATION_REJECTED, message, field=field)


def _apply(
    configuration: Configuration, change: Change, in_force_at_s: float
) -> Configuration:
    match change:
        case SwitchPreset(preset=name):
            return _switch_preset(configuration, name, in_force_at_s)
        case PutPreset():
            return _put_preset(configuration, change, in_force_at_s)
        case DeletePreset(preset=name):
            return _delete_preset(configuration, name)
        case SetZone(availability_zone=zone, out=out):
            _check_exists("availability_zone", zone, configuration.availability_zones)
            zones = _add_or_remove(configuration.zones_out, zone, out)
            return replace(configuration, zones_out=zones)
        case SetInstance(instance=instance, out=out):
            instances = _add_or_remove(configuration.instances_out, instance, out)
            return replace(configuration, instances_out=instances)
        case SetWeight(organisation=name, weight=weight):
            _check_exists("organisation", name, configuration.weights)
            if weight <= 0:
                raise _rejection("weight", "must be greater than 0")
            return replace(
                configuration, weights={**configuration.weights, name: weight}
            )
        case _:
            assert_never(change)


def _check_exists(field: str, name: str, names: object) -> None:
    if name not in names:  # type: ignore[operator]
        raise _rejection(field, f"{name} does not exist")


def _add_or_remove(names: frozenset[str], name: str, out: bool) -> frozenset[str]:
    return names | {name} if out else names - {name}


def _switch_preset(
    configuration: Configuration, name: str, in_force_at_s: float
) -> Configuration:
    _check_exists("preset", name, configuration.presets)
    # Switches are kept while their preset counts as recent; also the last one before
    # that period, which was in force at its start.
    retained_from_s = in_force_at_s - _SWITCH_RETENTION_S
    before = [
        switch
        for switch in configuration.switches
        if switch.in_force_at_s <= retained_from_s
    ]
    after = [
        switch
        for switch in configuration.switches
        if switch.in_force_at_s > retained_from_s
    ]
    kept = [
        switch
        for switch in (*before[-1:], *after)
        if switch.in_force_at_s < in_force_at_s
    ]
    return replace(configuration, switches=(*kept, PresetSwitch(name, in_force_at_s)))


def _presets_of_retained_switches(configuration: Configuration) -> set[str]:
    return {switch.preset for switch in configuration.switches}


def _put_preset(
    configuration: Configuration, change: PutPreset, in_force_at_s: float
) -> Configuration:
    if change.requests_per_minute < 1:
        raise _rejection("requests_per_minute", "must be at least 1")
    if change.tokens_per_minute < 1:
        raise _rejection("tokens_per_minute", "must be at least 1")
    if change.preset in _presets_of_retained_switches(configuration):
        raise _rejection(
            "preset",
            f"{change.preset} has a retained switch (current, announced or former);"
            " outdated switches are dropped at the next switch of presets",
        )
    preset = Preset(change.preset, change.requests_per_minute, change.tokens_per_minute)
    return replace(
        configuration, presets={**configuration.presets, change.preset: preset}
    )


def _delete_preset(configuration: Configuration, name: str) -> Configuration:
    _check_exists("preset", name, configuration.presets)
    if name in _presets_of_retained_switches(configuration):
        raise _rejection(
            "preset", f"{name} has a retained switch (current, announced or former)"
        )
    presets = {
        key: preset for key, preset in configuration.presets.items() if key != name
    }
    return replace(configuration, presets=presets)


def _find_inconsistencies(configuration: Configuration) -> list[HoistError]:
    if set(configuration.availability_zones) <= configuration.zones_out:
        return [
            _rejection(
                "availability_zone", "no availability zone would remain in service"
            )
        ]
    return []
