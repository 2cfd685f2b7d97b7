"""The configuration that operators change at run time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from gentianhoist.settings import DeploymentSettings

__all__ = [
    "MINUTE_S",
    "Configuration",
    "Preset",
    "PresetSwitch",
    "EffectiveLimits",
    "decode_configuration",
    "encode_configuration",
    "initial_configuration",
]


MINUTE_S = 60.0


class Preset(NamedTuple):
    """Named rate limits of the whole deployment.

    Attributes:
        name: Name of the preset.
        requests_per_minute: Maximum requests in any 60 s.
        tokens_per_minute: Maximum tokens in any 60 s.
    """

    name: str
    requests_per_minute: int
    tokens_per_minute: int


class EffectiveLimits(NamedTuple):
    """Rate limits that an entry applies when it admits requests.

    Attributes:
        preset: The rate limits in force.
        preset_in_force_at_s: Wall time from which they are in force, in seconds;
            distinguishes two switches to the same preset.
        recent: Presets that were in force at any time within the last minute.
    """

    preset: Preset
    preset_in_force_at_s: float
    recent: tuple[Preset, ...]


class PresetSwitch(NamedTuple):
    """A switch to a preset.

    Attributes:
        preset: Name of the preset.
        in_force_at_s: Wall time from which it is in force, in seconds.
    """

    preset: str
    in_force_at_s: float


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Version number; only increases.
        availability_zones: All availability zones.
        presets: All presets by name.
        switches: Recent, current and announced preset switches, oldest first.
        zones_out: Availability zones that operators took out of service.
        instances_out: Instances that operators took out of service.
        weights: Weights of the organisations by name.
        change_id: Id of the change that created it, empty for the first version. After
            a restore of the store, two configurations may have the same version.
    """

    version: int
    availability_zones: tuple[str, ...]
    presets: dict[str, Preset]
    switches: tuple[PresetSwitch, ...]
    zones_out: frozenset[str]
    instances_out: frozenset[str]
    weights: dict[str, float]
    change_id: str = ""

    def preset_in_force(self, wall_s: float) -> Preset:
        """Return the preset in force at a wall time.

        Args:
            wall_s: Wall time in seconds since the epoch.
        """
        return self.presets[self._switch_at(wall_s).preset]

    def effective_limits(self, wall_s: float, clock_skew_s: float) -> EffectiveLimits:
        """Return the limits in force at a wall time and in the minute before it.

        Args:
            wall_s: Wall time in seconds since the epoch.
            clock_skew_s: Maximum difference between the wall clocks of two machines, in
                seconds.
        """
        current = self._switch_at(wall_s)
        window_start_s = wall_s - MINUTE_S - clock_skew_s
        recent = {self._switch_at(window_start_s).preset, current.preset}
        recent |= {
            switch.preset
            for switch in self.switches
            if window_start_s <= switch.in_force_at_s <= wall_s
        }
        return EffectiveLimits(
            self.presets[current.preset],
            current.in_force_at_s,
            tuple(self.presets[name] for name in sorted(recent)),
        )

    def minimum_limits(self) -> EffectiveLimits:
        """Return the minimum of each limit over all presets.

        An entry applies it while its configuration is not confirmed as the newest.
        """
        smallest = Preset(
            "smallest",
            min(preset.requests_per_minute for preset in self.presets.values()),
            min(preset.tokens_per_minute for preset in self.presets.values()),
        )
        return EffectiveLimits(smallest, 0.0, (smallest,))

    def _switch_at(self, wall_s: float) -> PresetSwitch:
        active = self.switches[0]
        for switch in self.switches:
            if switch.in_force_at_s <= wall_s:
                active = switch
        return active

    def is_in_service(self, instance: str, availability_zone: str) -> bool:
        """Whether operators allow an instance to get new work.

        Args:
            instance: Name of the instance.
            availability_zone: Availability zone of the instance.
        """
        return (
            availability_zone not in self.zones_out
            and instance not in self.instances_out
        )


def initial_configuration(deployment: DeploymentSettings) -> Configuration:
    """Create version 1 of the configuration from the deployment's settings."""
    return Configuration(
        version=1,
        availability_zones=deployment.availability_zones,
        presets={
            preset.name: Preset(
                preset.name, preset.requests_per_minute, preset.tokens_per_minute
            )
            for preset in deployment.presets
        },
        switches=(PresetSwitch(deployment.preset_in_force, 0.0),),
        zones_out=frozenset(),
        instances_out=frozenset(),
        weights={
            organisation.name: organisation.weight
            for organisation in deployment.organisations
        },
    )


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration for the store or for a message."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration encoded by `encode_configuration`.

    Raises:
        msgspec.MsgspecError: If the data is not an encoded configuration.
    """
    return msgspec.msgpack.decode(data, type=Configuration)
