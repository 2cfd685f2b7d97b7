"""Every item of the settings, declared once with type, default and description.

The unit of an item stands in its name.
"""

from __future__ import annotations

import ipaddress
from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic.functional_validators import AfterValidator

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


def _ip_number(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
IpNumber = Annotated[str, AfterValidator(_ip_number)]
Port = Annotated[int, Field(ge=1, le=65535)]
PositiveSeconds = Annotated[float, Field(gt=0)]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Role(StrEnum):
    """What a process of gentianhoist does."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class BackendKind(StrEnum):
    """What stands behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class AddressSettings(_Settings):
    """Where a process listens."""

    host: IpNumber = Field(description="IP number.")
    port: Port = Field(description="TCP port.")


class MetricsSettings(_Settings):
    """Where metrics go."""

    host: str = Field("", description="IP number of the statsd daemon, empty for none.")
    port: Port = Field(8125, description="UDP port of the statsd daemon.")
    prefix: str = Field("gentianhoist", description="Put before every metric's name.")


class PlatformSettings(_Settings):
    """The platform's services."""

    url: str = Field(
        pattern=r"^http://[0-9.:\[\]a-f]+$",
        description="Base URL, by IP number, of the table service, object store, "
        "weight store and instance list.",
    )
    table_timeout_s: PositiveSeconds = Field(
        1.0, description="Seconds until an answer of the table service counts as lost."
    )


class ModelSettings(_Settings):
    """One model that callers can name."""

    name: Name = Field(description="Name that callers use.")
    context_tokens: int = Field(
        ge=1, description="Tokens of the longest prompt with its answer."
    )


class OperationSettings(_Settings):
    """One operation of a plain service."""

    name: Name = Field(description="Name that callers use.")
    idempotent: bool = Field(
        False, description="Whether it may be repeated without a further effect."
    )


class GroupSettings(_Settings):
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


class OrganisationSettings(_Settings):
    """One organisation that calls."""

    name: Name = Field(description="Name of the organisation.")
    api_key_sha256: Sha256Hex = Field(
        description="SHA-256 of its API key, in hexadecimal."
    )
    weight: float = Field(1.0, gt=0, description="Weight of its share of engine time.")


class OperatorSettings(_Settings):
    """One person or program that may send operators' commands."""

    name: Name = Field(description="Name that stands in the configuration's history.")
    api_key_sha256: Sha256Hex = Field(
        description="SHA-256 of its API key, in hexadecimal."
    )


class PresetSettings(_Settings):
    """What a minute may hold."""

    name: Name = Field(description="Name of the preset.")
    requests_per_minute: int = Field(
        ge=1, description="Requests admitted in any 60 s, over all entries."
    )
    tokens_per_minute: int = Field(
        ge=1,
        description="Tokens, of prompts and answers' limits, admitted in any 60 s.",
    )


class InstanceSettings(_Settings):
    """One instance known beforehand, to start from before the list is read."""

    name: Name = Field(description="Name of the instance.")
    role: Role = Field(description="'entry' or 'sidecar'.")
    availability_zone: Name = Field(description="Its availability zone.")
    host: IpNumber = Field(description="IP number of its gRPC port.")
    port: Port = Field(description="Its gRPC port.")
    group: str = Field("", description="A sidecar's backend server group.")


class TimingSettings(_Settings):
    """Periods and bounds that all processes share."""

    heartbeat_s: PositiveSeconds = Field(
        1.0, description="Seconds between two heartbeats to a sidecar."
    )
    entry_heartbeat_s: PositiveSeconds = Field(
        0.5, description="Seconds between two heartbeats to another entry."
    )
    stream_beat_s: PositiveSeconds = Field(
        0.25, description="Seconds after which a stream with nothing to say says so."
    )
    silence_s: PositiveSeconds = Field(
        1.0, description="Seconds of silence after which a connection is replaced."
    )
    suspicion_s: PositiveSeconds = Field(
        2.5, description="Seconds without an answer until a member is suspected."
    )
    instance_list_s: PositiveSeconds = Field(
        2.0, description="Seconds between two readings of the instance list."
    )
    head_read_s: PositiveSeconds = Field(
        0.6, description="Seconds between two readings of the configuration's head."
    )
    switch_lead_s: PositiveSeconds = Field(
        4.0, description="Seconds from acceptance until a preset switch takes force."
    )
    confirmation_s: PositiveSeconds = Field(
        1.5, description="Seconds that a confirmation of the configuration lasts."
    )
    clock_skew_s: float = Field(
        0.25, ge=0, description="Bound on the difference of two machines' wall clocks."
    )
    share_lease_s: PositiveSeconds = Field(
        900.0, description="Seconds that an entry's share of the allowance lasts."
    )
    loan_s: PositiveSeconds = Field(
        1.0, description="Seconds within which a borrowed allowance is spent."
    )
    coalesce_s: float = Field(
        0.03,
        ge=0,
        description="Seconds for which a sidecar gathers tokens into one message.",
    )
    resume_lease_s: PositiveSeconds = Field(
        8.0, description="Seconds that a stream without its entry is kept."
    )
    outcome_retention_s: PositiveSeconds = Field(
        86_400.0, description="Seconds that a call's outcome is kept."
    )


class LimitSettings(_Settings):
    """Bounds on callers' input and on our own work."""

    body_bytes: int = Field(
        16 * 1024 * 1024, ge=1024, description="Largest body of a request."
    )
    default_deadline_s: PositiveSeconds = Field(
        120.0, description="Deadline of a request that names none."
    )
    max_deadline_s: PositiveSeconds = Field(
        600.0, description="Longest deadline that a request may name."
    )
    default_max_tokens: int = Field(
        128, ge=1, description="Tokens of an answer whose request names no limit."
    )
    attempts: int = Field(4, ge=1, description="Backend servers asked for one request.")
    retry_ratio: float = Field(
        0.1, ge=0, le=1, description="Retries after failures, as a part of requests."
    )
    subset_size: int = Field(
        24, ge=1, description="Backend servers of a group that one entry talks to."
    )
    short_tokens: int = Field(
        8_000, ge=1, description="Uncached prompt tokens up to which work is short."
    )
    long_tokens: int = Field(
        32_000, ge=1, description="Uncached prompt tokens from which work is long."
    )
    frame_buffer_bytes: int = Field(
        16 * 1024 * 1024, ge=1024, description="Unacknowledged text a sidecar keeps."
    )


class RoutingPolicyName(StrEnum):
    """How entries choose backend servers."""

    EXPECTED_FIRST_TOKEN = "expected_first_token"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"


class RoutingSettings(_Settings):
    """How work is placed; the other policies are there to compare with."""

    policy: RoutingPolicyName = Field(
        RoutingPolicyName.EXPECTED_FIRST_TOKEN,
        description="How entries choose backend servers.",
    )
    lanes: bool = Field(
        False,
        description="Whether engines are kept for long work; worth it where engines"
        " don't honour priorities.",
    )
    classes: bool = Field(
        True, description="Whether sidecars order work by its length class."
    )


class DeploymentSettings(_Settings):
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

    def group(self, name: str) -> GroupSettings:
        """The group of that name.

        Raises:
            KeyError: If there is none.
        """
        for group in self.groups:
            if group.name == name:
                return group
        raise KeyError(name)


class _ProcessSettings(_Settings):
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
