"""Every item of the settings, declared once with type, default and description.

The unit of an item stands in its name.
"""

from __future__ import annotations

from enum import StrEnum

from pydantic import Field, model_validator

from gentianhoist.settings._base import (
    IpAddress,
    Name,
    Port,
    PositiveSeconds,
    Settings,
    Sha256Hex,
)
from gentianhoist.settings._tuning import (
    LimitSettings,
    RoutingPolicyName,
    RoutingSettings,
    TimingSettings,
)

__all__ = [
    "AddressSettings",
    "BackendKind",
    "DeploymentSettings",
    "EntrySettings",
    "GroupSettings",
    "InstanceSettings",
    "LimitSettings",
    "MetricsSettings",
    "ModelSettings",
    "OperationSettings",
    "OperatorSettings",
    "OrganisationSettings",
    "PlatformSettings",
    "PresetSettings",
    "Role",
    "RoutingPolicyName",
    "RoutingSettings",
    "SidecarSettings",
    "TimingSettings",
]


class Role(StrEnum):
    """What a process of gentianhoist does."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class BackendKind(StrEnum):
    """What stands behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class AddressSettings(Settings):
    """Where a process listens."""

    host: IpAddress = Field(description="IP number.")
    port: Port = Field(description="TCP port.")


class MetricsSettings(Settings):
    """Where metrics go."""

    host: str = Field("", description="IP number of the statsd daemon, empty for none.")
    port: Port = Field(8125, description="UDP port of the statsd daemon.")
    prefix: str = Field("gentianhoist", description="Put before every metric's name.")


class PlatformSettings(Settings):
    """The platform's services."""

    url: str = Field(
        pattern=r"^http://[0-9.:\[\]a-f]+$",
        description="Base URL, by IP number, of the table service, object store, "
        "weight store and instance list.",
    )
    table_timeout_s: PositiveSeconds = Field(
        1.0, description="Seconds until an answer of the table service counts as lost."
    )


class ModelSettings(Settings):
    """One model that callers can name."""

    name: Name = Field(description="Name that callers use.")
    context_tokens: int = Field(
        ge=1, description="Tokens of the longest prompt with its answer."
    )


class OperationSettings(Settings):
    """One operation of a plain service."""

    name: Name = Field(description="Name that callers use.")
    idempotent: bool = Field(
        False, description="Whether it may be repeated without a further effect."
    )


class GroupSettings(Settings):
    """Backend servers of one kind."""

    name: Name = Field(description="Name of the group.")
    kind: BackendKind = Field(description="'engine' or 'service'.")
    models: tuple[Name, ...] = Field((), description="Models that its engines serve.")
    service: str = Field("", description="Service that its servers offer to callers.")
    operations: tuple[OperationSettings, ...] = Field(
        (), description="Operations of that service."
    )
    checks_fencing: bool = Field(
        False, description="Whether its servers refuse an old fencing number."
    )
    kv_capacity_tokens: int = Field(
        400_000, ge=1, description="Tokens of KV memory in one engine."
    )
    max_streams: int = Field(
        64, ge=1, description="Streams that one warm backend server runs at once."
    )
    cold_streams: int = Field(
        2, ge=1, description="Streams that a backend server bears just after a start."
    )
    prefill_tokens_per_s: float = Field(
        25_000.0, gt=0, description="First estimate of an engine's prefill speed."
    )
    decode_step_s: PositiveSeconds = Field(
        0.012, description="First estimate of the seconds between two tokens."
    )

    @model_validator(mode="after")
    def _complete(self) -> GroupSettings:
        if self.kind is BackendKind.ENGINE and not self.models:
            raise ValueError("an engine group names at least one model")
        if self.kind is BackendKind.SERVICE and not (self.service and self.operations):
            raise ValueError("a service group names its service and operations")
        return self


class OrganisationSettings(Settings):
    """One organisation that calls."""

    name: Name = Field(description="Name of the organisation.")
    api_key_sha256: Sha256Hex = Field(
        description="SHA-256 of its API key, in hexadecimal."
    )
    weight: float = Field(1.0, gt=0, description="Weight of its share of engine time.")


class OperatorSettings(Settings):
    """One person or program that may send operators' commands."""

    name: Name = Field(description="Name that stands in the configuration's history.")
    api_key_sha256: Sha256Hex = Field(
        description="SHA-256 of its API key, in hexadecimal."
    )


class PresetSettings(Settings):
    """What a minute may hold."""

    name: Name = Field(description="Name of the preset.")
    requests_per_minute: int = Field(
        ge=1, description="Requests admitted in any 60 s, over all entries."
    )
    tokens_per_minute: int = Field(
        ge=1,
        description="Tokens, of prompts and answers' limits, admitted in any 60 s.",
    )


class InstanceSettings(Settings):
    """One instance known beforehand, to start from before the list is read."""

    name: Name = Field(description="Name of the instance.")
    role: Role = Field(description="'entry' or 'sidecar'.")
    availability_zone: Name = Field(description="Its availability zone.")
    host: IpAddress = Field(description="IP number of its gRPC port.")
    port: Port = Field(description="Its gRPC port.")
    group: str = Field("", description="A sidecar's backend server group.")


class DeploymentSettings(Settings):
    """What all processes of one user's deployment share."""

    name: Name = Field(description="Name of the deployment.")
    availability_zones: tuple[Name, ...] = Field(
        min_length=1, description="All availability zones."
    )
    platform: PlatformSettings = Field(description="The platform's services.")
    models: tuple[ModelSettings, ...] = Field((), description="Models served.")
    groups: tuple[GroupSettings, ...] = Field(
        min_length=1, description="Groups of backend servers."
    )
    organisations: tuple[OrganisationSettings, ...] = Field(
        min_length=1, description="Organisations that call."
    )
    operators: tuple[OperatorSettings, ...] = Field(
        min_length=1, description="Who may send operators' commands."
    )
    presets: tuple[PresetSettings, ...] = Field(
        min_length=1, description="Presets of the first configuration."
    )
    preset_in_force: Name = Field(description="Preset of the first configuration.")
    instances: tuple[InstanceSettings, ...] = Field(
        (), description="Instances known beforehand."
    )
    timing: TimingSettings = Field(
        default_factory=TimingSettings, description="Periods and bounds."
    )
    limits: LimitSettings = Field(
        default_factory=LimitSettings, description="Bounds on input and work."
    )
    routing: RoutingSettings = Field(
        default_factory=RoutingSettings, description="How work is placed."
    )

    @model_validator(mode="after")
    def _consistent(self) -> DeploymentSettings:
        faults = [*self._unknown_names(), *self._repeated_names()]
        if self.timing.confirmation_s + self.timing.clock_skew_s >= (
            self.timing.switch_lead_s
        ):
            faults.append(
                "timing: confirmation_s + clock_skew_s must be less than switch_lead_s"
            )
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def _unknown_names(self) -> list[str]:
        models = {model.name for model in self.models}
        groups = {group.name for group in self.groups}
        zones = set(self.availability_zones)
        faults = [
            f"groups: {group.name}: unknown model {model}"
            for group in self.groups
            for model in group.models
            if model not in models
        ]
        if self.preset_in_force not in {preset.name for preset in self.presets}:
            faults.append(f"preset_in_force: unknown preset {self.preset_in_force}")
        for instance in self.instances:
            if instance.availability_zone not in zones:
                faults.append(f"instances: {instance.name}: unknown availability zone")
            if instance.role is Role.SIDECAR and instance.group not in groups:
                faults.append(f"instances: {instance.name}: unknown group")
        return faults

    def _repeated_names(self) -> list[str]:
        faults = []
        for field in ("models", "groups", "organisations", "operators", "presets"):
            names = [item.name for item in getattr(self, field)]
            faults += [
                f"{field}: {name} stands more than once"
                for name in sorted(set(names))
                if names.count(name) > 1
            ]
        return faults

    def get_group(self, name: str) -> GroupSettings:
        """The group of that name.

        Raises:
            KeyError: If there is none.
        """
        for group in self.groups:
            if group.name == name:
                return group
        raise KeyError(name)


class _ProcessSettings(Settings):
    instance: Name = Field(description="Name of this process's instance.")
    availability_zone: Name = Field(description="Availability zone of the instance.")
    deployment: str = Field(
        "deployment.yaml", description="The deployment's file, beside this one."
    )
    grpc: AddressSettings = Field(description="Where other processes reach this one.")
    metrics: MetricsSettings = Field(
        default_factory=MetricsSettings, description="Where metrics go."
    )
    log_level: str = Field(
        "info",
        pattern="^(debug|info|warning|error)$",
        description="Lowest level written to the log.",
    )


class EntrySettings(_ProcessSettings):
    """One entry instance."""

    http: AddressSettings = Field(description="Where the balancer reaches this one.")


class SidecarSettings(_ProcessSettings):
    """One sidecar."""

    group: Name = Field(description="Group of its backend server.")
    backend_server_url: str = Field(
        pattern=r"^http://[0-9.:\[\]a-f]+$",
        description="Base URL of its backend server, by IP number.",
    )
