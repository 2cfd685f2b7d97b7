"""Settings models, with type, default and description of every item.

The name of an item that has a unit ends with the unit.
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
from gentianhoist.settings._timing_limits_routing import (
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
    """Role of a gentianhoist process."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class BackendKind(StrEnum):
    """Kind of backend server behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class AddressSettings(Settings):
    """Address on which a process listens."""

    host: IpAddress = Field(description="IP address.")
    port: Port = Field(description="TCP port.")


class MetricsSettings(Settings):
    """Address of the statsd daemon and prefix of the metrics."""

    host: str = Field(
        "", description="IP address of the statsd daemon, empty for none."
    )
    port: Port = Field(8125, description="UDP port of the statsd daemon.")
    prefix: str = Field("gentianhoist", description="Prefix of every metric's name.")


class PlatformSettings(Settings):
    """Access to the platform's services."""

    url: str = Field(
        pattern=r"^http://[0-9.:\[\]a-f]+$",
        description="Base URL, with an IP address, of the table service, object store, "
        "weight store and instance list.",
    )
    table_timeout_s: PositiveSeconds = Field(
        1.0, description="Seconds until a request to the platform times out."
    )


class ModelSettings(Settings):
    """A model that callers can request."""

    name: Name = Field(description="Name that callers use.")
    context_tokens: int = Field(
        ge=1, description="Largest number of prompt and generated tokens together."
    )


class OperationSettings(Settings):
    """An operation of a service."""

    name: Name = Field(description="Name that callers use.")
    idempotent: bool = Field(
        False, description="Whether repeating it has no further effect."
    )


class GroupSettings(Settings):
    """A group of interchangeable backend servers."""

    name: Name = Field(description="Name of the group.")
    kind: BackendKind = Field(description="'engine' or 'service'.")
    models: tuple[Name, ...] = Field((), description="Models that the engines serve.")
    service: str = Field("", description="Service that the servers offer to callers.")
    operations: tuple[OperationSettings, ...] = Field(
        (), description="Operations of that service."
    )
    checks_fencing: bool = Field(
        False, description="Whether the servers reject a stale fencing token."
    )
    kv_capacity_tokens: int = Field(
        400_000, ge=1, description="Tokens that fit into the KV cache of one engine."
    )
    max_streams: int = Field(
        64, ge=1, description="Concurrent streams of one warm backend server."
    )
    cold_streams: int = Field(
        2,
        ge=1,
        description="Concurrent streams of a backend server just after a start.",
    )
    prefill_tokens_per_s: float = Field(
        25_000.0, gt=0, description="Initial estimate of an engine's prefill speed."
    )
    decode_step_s: PositiveSeconds = Field(
        0.012, description="Initial estimate of the seconds between two tokens."
    )

    @model_validator(mode="after")
    def _check_kind_items(self) -> GroupSettings:
        if self.kind is BackendKind.ENGINE and not self.models:
            raise ValueError("an engine group must name at least one model")
        if self.kind is BackendKind.SERVICE and not (self.service and self.operations):
            raise ValueError("a service group must name its service and operations")
        return self


class OrganisationSettings(Settings):
    """An organisation whose API key authorises requests."""

    name: Name = Field(description="Name of the organisation.")
    api_key_sha256: Sha256Hex = Field(
        description="SHA-256 of its API key, in hexadecimal."
    )
    weight: float = Field(
        1.0, gt=0, description="Weight of its fair share of engine time."
    )


class OperatorSettings(Settings):
    """A person or program that may send operators' commands."""

    name: Name = Field(description="Name recorded in the configuration's history.")
    api_key_sha256: Sha256Hex = Field(
        description="SHA-256 of its API key, in hexadecimal."
    )


class PresetSettings(Settings):
    """A preset: limits on what the deployment admits in a minute."""

    name: Name = Field(description="Name of the preset.")
    requests_per_minute: int = Field(
        ge=1, description="Requests admitted in any 60 s, over all entries."
    )
    tokens_per_minute: int = Field(
        ge=1,
        description="Prompt tokens plus generation limits, admitted in any 60 s.",
    )


class InstanceSettings(Settings):
    """An instance known before the platform's instance list is first read."""

    name: Name = Field(description="Name of the instance.")
    role: Role = Field(description="'entry' or 'sidecar'.")
    availability_zone: Name = Field(description="Availability zone of the instance.")
    host: IpAddress = Field(description="IP address of its gRPC server.")
    port: Port = Field(description="TCP port of its gRPC server.")
    group: str = Field("", description="Backend server group of a sidecar.")


class DeploymentSettings(Settings):
    """Settings that all processes of a deployment share."""

    name: Name = Field(description="Name of the deployment.")
    availability_zones: tuple[Name, ...] = Field(
        min_length=1, description="All availability zones."
    )
    platform: PlatformSettings = Field(description="The platform's services.")
    models: tuple[ModelSettings, ...] = Field(
        (), description="Models that callers can request."
    )
    groups: tuple[GroupSettings, ...] = Field(
        min_length=1, description="Groups of backend servers."
    )
    organisations: tuple[OrganisationSettings, ...] = Field(
        min_length=1, description="Organisations that may send requests."
    )
    operators: tuple[OperatorSettings, ...] = Field(
        min_length=1,
        description="Persons and programs that may send operators' commands.",
    )
    presets: tuple[PresetSettings, ...] = Field(
        min_length=1, description="Presets of the initial configuration."
    )
    preset_in_force: Name = Field(
        description="Preset in force in the initial configuration."
    )
    instances: tuple[InstanceSettings, ...] = Field(
        (), description="Instances known before the instance list is first read."
    )
    timing: TimingSettings = Field(
        default_factory=TimingSettings,
        description="Intervals, timeouts and lease times.",
    )
    limits: LimitSettings = Field(
        default_factory=LimitSettings, description="Limits on requests and work."
    )
    routing: RoutingSettings = Field(
        default_factory=RoutingSettings,
        description="Placement of work on backend servers.",
    )

    @model_validator(mode="after")
    def _check_consistency(self) -> DeploymentSettings:
        errors = [*self._find_unknown_names(), *self._find_duplicate_names()]
        if self.timing.confirmation_s + self.timing.clock_skew_s >= (
            self.timing.switch_lead_s
        ):
            errors.append(
                "timing: confirmation_s + clock_skew_s must be less than switch_lead_s"
            )
        if errors:
            raise ValueError("; ".join(errors))
        return self

    def _find_unknown_names(self) -> list[str]:
        models = {model.name for model in self.models}
        groups = {group.name for group in self.groups}
        zones = set(self.availability_zones)
        errors = [
            f"groups: {group.name}: unknown model {model}"
            for group in self.groups
            for model in group.models
            if model not in models
        ]
        if self.preset_in_force not in {preset.name for preset in self.presets}:
            errors.append(f"preset_in_force: unknown preset {self.preset_in_force}")
        for instance in self.instances:
            if instance.availability_zone not in zones:
                errors.append(f"instances: {instance.name}: unknown availability zone")
            if instance.role is Role.SIDECAR and instance.group not in groups:
                errors.append(f"instances: {instance.name}: unknown group")
        return errors

    def _find_duplicate_names(self) -> list[str]:
        errors = []
        for field in ("models", "groups", "organisations", "operators", "presets"):
            names = [item.name for item in getattr(self, field)]
            errors += [
                f"{field}: duplicate name {name}"
                for name in sorted(set(names))
                if names.count(name) > 1
            ]
        return errors

    def get_group(self, name: str) -> GroupSettings:
        """Return the backend server group with a name.

        Args:
            name: Name of the group.

        Returns:
            Settings of the group.

        Raises:
            KeyError: If there is no such group.
        """
        for group in self.groups:
            if group.name == name:
                return group
        raise KeyError(name)


class _ProcessSettings(Settings):
    instance: Name = Field(description="Name of the instance that this process runs.")
    availability_zone: Name = Field(description="Availability zone of the instance.")
    deployment: str = Field(
        "deployment.yaml",
        description="Path of the deployment's file, relative to this file.",
    )
    grpc: AddressSettings = Field(
        description="Address of the gRPC server, for other processes."
    )
    metrics: MetricsSettings = Field(
        default_factory=MetricsSettings, description="Destination of the metrics."
    )
    log_level: str = Field(
        "info",
        pattern="^(debug|info|warning|error)$",
        description="Lowest level written to the log.",
    )


class EntrySettings(_ProcessSettings):
    """Settings of one entry process."""

    http: AddressSettings = Field(
        description="Address of the HTTP server, for the load balancer."
    )


class SidecarSettings(_ProcessSettings):
    """Settings of one sidecar process."""

    group: Name = Field(description="Group of its backend server.")
    backend_server_url: str = Field(
        pattern=r"^http://[0-9.:\[\]a-f]+$",
        description="Base URL of its backend server, with an IP address.",
    )
