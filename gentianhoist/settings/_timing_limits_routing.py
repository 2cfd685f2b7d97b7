"""Settings of the timing, limits and routing of a deployment."""

from __future__ import annotations

from enum import StrEnum

from pydantic import Field

from gentianhoist.settings._base import PositiveSeconds, Settings

__all__ = ["LimitSettings", "RoutingPolicyName", "RoutingSettings", "TimingSettings"]


class TimingSettings(Settings):
    """Intervals, timeouts and lease times that all processes share."""

    heartbeat_s: PositiveSeconds = Field(
        1.0, description="Seconds between two heartbeats from an entry to a sidecar."
    )
    entry_heartbeat_s: PositiveSeconds = Field(
        0.5,
        description="Seconds between two heartbeats from an entry to another entry.",
    )
    stream_beat_s: PositiveSeconds = Field(
        0.25,
        description="Seconds without output after which a stream sends a keepalive.",
    )
    silence_s: PositiveSeconds = Field(
        1.0,
        description="Seconds without received data until a connection is replaced.",
    )
    suspicion_s: PositiveSeconds = Field(
        2.5,
        description="Seconds without a heartbeat reply until a member is suspected.",
    )
    instance_list_s: PositiveSeconds = Field(
        2.0, description="Seconds between two reads of the instance list."
    )
    head_read_s: PositiveSeconds = Field(
        0.6,
        description="Seconds between two reads of the latest configuration version"
        " from the store.",
    )
    switch_lead_s: PositiveSeconds = Field(
        4.0,
        description="Seconds from acceptance of a preset switch until it takes effect.",
    )
    confirmation_s: PositiveSeconds = Field(
        1.5,
        description="Seconds for which the configuration counts as the latest after the"
        " store or all other entries showed no newer version; then the lowest limits of"
        " all presets apply.",
    )
    clock_skew_s: float = Field(
        0.25,
        ge=0,
        description="Seconds by which the wall clocks of two machines may differ.",
    )
    share_lease_s: PositiveSeconds = Field(
        900.0, description="Seconds of an entry's lease on its share of the rate limit."
    )
    loan_s: PositiveSeconds = Field(
        1.0, description="Seconds within which borrowed allowance must be spent."
    )
    coalesce_s: float = Field(
        0.03,
        ge=0,
        description="Seconds for which a sidecar collects tokens into one message.",
    )
    resume_lease_s: PositiveSeconds = Field(
        8.0, description="Seconds for which a stream is kept after it loses its entry."
    )
    outcome_retention_s: PositiveSeconds = Field(
        86_400.0,
        description="Seconds for which the outcome of a service call is stored.",
    )


class LimitSettings(Settings):
    """Limits on requests and on the work done for each of them."""

    body_bytes: int = Field(
        16 * 1024 * 1024, ge=1024, description="Largest request body."
    )
    default_deadline_s: PositiveSeconds = Field(
        120.0, description="Deadline of a request that sets none."
    )
    max_deadline_s: PositiveSeconds = Field(
        600.0, description="Longest deadline that a request may set."
    )
    default_max_tokens: int = Field(
        128, ge=1, description="Limit on generated tokens of a request that sets none."
    )
    attempts: int = Field(
        4, ge=1, description="Largest number of backend servers tried for a request."
    )
    retry_ratio: float = Field(
        0.1,
        ge=0,
        le=1,
        description="Retries after failures, as a fraction of requests.",
    )
    subset_size: int = Field(
        24, ge=1, description="Backend servers of a group that one entry connects to."
    )
    short_tokens: int = Field(
        8_000,
        ge=1,
        description="Uncached prompt tokens up to which a request is short.",
    )
    long_tokens: int = Field(
        32_000, ge=1, description="Uncached prompt tokens from which a request is long."
    )
    frame_buffer_bytes: int = Field(
        16 * 1024 * 1024,
        ge=1024,
        description="Unacknowledged output that a sidecar buffers.",
    )


class RoutingPolicyName(StrEnum):
    """Policy by which entries choose backend servers."""

    EXPECTED_FIRST_TOKEN = "expected_first_token"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"


class RoutingSettings(Settings):
    """Placement of work on backend servers.

    Policies other than `RoutingPolicyName.EXPECTED_FIRST_TOKEN` serve as baselines for
    comparison.
    """

    policy: RoutingPolicyName = Field(
        RoutingPolicyName.EXPECTED_FIRST_TOKEN,
        description="Policy by which entries choose backend servers.",
    )
    lanes: bool = Field(
        False,
        description="Whether engines are reserved for long prompts; useful where"
        " engines don't honour priorities.",
    )
    classes: bool = Field(
        True, description="Whether sidecars order work by length class."
    )
