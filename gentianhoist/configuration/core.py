"""The configuration that operators drive."""

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
    """What a minute may hold.

    Attributes:
        name: Its name.
        requests_per_minute: Requests in any 60 s.
        tokens_per_minute: Tokens in any 60 s.
    """

    name: str
    requests_per_minute: int
    tokens_per_minute: int


class EffectiveLimits(NamedTuple):
    """What an entry goes by when it admits requests.

    Attributes:
        preset: What a minute may hold now.
        since_s: Wall time from which it holds; tells one switch to it from another.
        recent: Presets that held at some time of the last minute.
    """

    preset: Preset
    since_s: float
    recent: tuple[Preset, ...]


class PresetSwitch(NamedTuple):
    """A preset and the wall time from which it is in force, in seconds."""

    preset: str
    in_force_at_s: float


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Only grows.
        availability_zones: All availability zones.
        presets: All presets by name.
        switches: The switch in force and those announced, oldest first.
        zones_out: Availability zones that operators have taken out.
        instances_out: Instances that operators have taken out.
        weights: Weights of the organisations.
    """

    version: int
    availability_zones: tuple[str, ...]
    presets: dict[str, Preset]
    switches: tuple[PresetSwitch, ...]
    zones_out: frozenset[str]
    instances_out: frozenset[str]
    weights: dict[str, float]

    def preset_in_force(self, wall_s: float) -> Preset:
        """The one preset in force at a wall time.

        Args:
            wall_s: Seconds since the epoch.
        """
        return self.presets[self._switch_at(wall_s).preset]

    def effective_limits(self, wall_s: float, clock_skew_s: float) -> EffectiveLimits:
        """What holds at a wall time, and what held in the minute before it.

        Args:
            wall_s: Seconds since the epoch.
            clock_skew_s: Bound on the difference of two machines' wall clocks.
        """
        current = self._switch_at(wall_s)
        begin_s = wall_s - MINUTE_S - clock_skew_s
        recent = {self._switch_at(begin_s).preset, current.preset}
        recent |= {
            switch.preset
            for switch in self.switches
            if begin_s <= switch.in_force_at_s <= wall_s
        }
        return EffectiveLimits(
            self.presets[current.preset],
            current.in_force_at_s,
            tuple(self.presets[name] for name in sorted(recent)),
        )

    def minimum_limits(self) -> EffectiveLimits:
        """The least of every number over all presets, for an entry in doubt."""
        smallest = Preset(
            "smallest",
            min(preset.requests_per_minute for preset in self.presets.values()),
            min(preset.tokens_per_minute for preset in self.presets.values()),
        )
        return EffectiveLimits(smallest, 0.0, (smallest,))

    def _switch_at(self, wall_s: float) -> PresetSwitch:
        found = self.switches[0]
        for switch in self.switches:
            if switch.in_force_at_s <= wall_s:
                found = switch
        return found

    def is_in_service(self, instance: str, availability_zone: str) -> bool:
        """Whether operators let an instance have new work."""
        return (
            availability_zone not in self.zones_out
            and instance not in self.instances_out
        )


def initial_configuration(deployment: DeploymentSettings) -> Configuration:
    """Version 1, made of the deployment's settings."""
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
    """Encode for the store or the wire."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Decode what `encode_configuration` made.

    Raises:
        msgspec.ValidationError: If the data is something else.
    """
    return msgspec.msgpack.decode(data, type=Configuration)
