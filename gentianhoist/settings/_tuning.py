"""Items that tune a running deployment: periods, limits, routing."""

from __future__ import annotations

from enum import StrEnum

from pydantic import Field

from gentianhoist.settings._base import PositiveSeconds, Settings

__all__ = ["LimitSettings", "RoutingPolicyName", "RoutingSettings", "TimingSettings"]


class TimingSettings(Settings):
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


class LimitSettings(Settings):
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


class RoutingSettings(Settings):
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
