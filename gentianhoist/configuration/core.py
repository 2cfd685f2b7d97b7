"""The configuration that operators drive."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from gentianhoist.settings import DeploymentSettings

__all__ = [
    "Configuration",
    "Preset",
    "PresetSwitch",
    "decode_configuration",
    "encode_configuration",
    "first_configuration",
]


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
        name = self.switches[0].preset
        for switch in self.switches:
            if switch.in_force_at_s <= wall_s:
                name = switch.preset
        return self.presets[name]

    def smallest_allowance(self) -> Preset:
        """The least of every number over all presets, for an entry in doubt."""
        return Preset(
            "smallest",
            min(preset.requests_per_minute for preset in self.presets.values()),
            min(preset.tokens_per_minute for preset in self.presets.values()),
        )

    def takes_work(self, instance: str, availability_zone: str) -> bool:
        """Whether operators let an instance have new work."""
        return (
            availability_zone not in self.zones_out
            and instance not in self.instances_out
        )


def first_configuration(deployment: DeploymentSettings) -> Configuration:
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
