"""Control messages between processes: heartbeats, allowance loans and events."""

from __future__ import annotations

from gentianhoist.events import Event
from gentianhoist.wire._generation import EngineLoad
from gentianhoist.wire._message import Message, Stamp


class ConfigurationUpdate(Message, frozen=True):
    """Configuration data for a process whose configuration is outdated.

    Attributes:
        snapshot: The whole configuration, encoded; empty if the changes suffice.
        changes: The encoded changes that the process lacks, oldest first.
    """

    snapshot: bytes
    changes: tuple[bytes, ...] = ()


class LossNotice(Message, frozen=True):
    """A crash of an engine, and the prompts whose answers it had just begun.

    Attributes:
        engine: Identifies the engine.
        age_s: Time since the loss, in seconds.
        prompts: Keys of each of these prompts, see the package `quarantine`.
    """

    engine: str
    age_s: float
    prompts: tuple[tuple[str, ...], ...]


class QuarantineUpdate(Message, frozen=True):
    """What an entry knows of prompts that crash engines.

    Attributes:
        losses: Recent losses that the entry has seen itself.
        records: Encoded records of what is held.
    """

    losses: tuple[LossNotice, ...]
    records: tuple[bytes, ...]


class Heartbeat(Message, frozen=True):
    """Heartbeat that an entry sends to a sidecar or to another entry.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        cache_cursor: Position in the receiver's sequence of cached prefixes up to which
            the sender has them.
        update: Configuration data that the receiver lacked at its last reply.
        quarantine: What the sender knows of prompts that crash engines; `None` if
            nothing, or to a sidecar.
    """

    stamp: Stamp
    cache_cursor: int = 0
    update: ConfigurationUpdate | None = None
    quarantine: QuarantineUpdate | None = None


class AllowanceUsage(Message, frozen=True):
    """Use of the allowance (the global rate limit) by one entry.

    Attributes:
        share_ppm: Share of the allowance that the entry has, in parts per million.
        requests: Number of requests in the entry's sliding one-minute window.
        tokens: Number of tokens in the same window.
        preset_in_force_at_s: Wall time from which the preset that the entry applies is
            in force, in seconds.
    """

    share_ppm: int
    requests: int
    tokens: int
    preset_in_force_at_s: float


class HeartbeatReply(Message, frozen=True):
    """Reply to a `Heartbeat`.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        is_leaving: Whether the instance accepts no new work.
        has_unreported_change: Whether a configuration change may be in the log that the
            entry does not report yet; always false for a sidecar.
        load: Load of the engine; `None` from an entry or a service's sidecar.
        cache_cursor: Position in the sequence of cached prefixes after the last of
            `cached_prefix_hashes`.
        cached_prefix_hashes: Hashes of the prefixes that entered the engine's prefix
            cache after the cursor of the heartbeat; if some of them are no longer
            buffered, all that are.
        update: Configuration data that the sender of the heartbeat lacks.
        allowance_usage: Use of the allowance by an entry; `None` from a sidecar, or if
            the entry does not know the rate limits in force.
    """

    stamp: Stamp
    is_leaving: bool
    has_unreported_change: bool
    load: EngineLoad | None = None
    cache_cursor: int = 0
    cached_prefix_hashes: tuple[int, ...] = ()
    update: ConfigurationUpdate | None = None
    allowance_usage: AllowanceUsage | None = None


class LoanRequest(Message, frozen=True):
    """Request of an entry to borrow a part of another entry's share of the rate limit.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        requests: Number of requests to borrow.
        tokens: Number of tokens to borrow.
    """

    stamp: Stamp
    requests: int
    tokens: int


class LoanReply(Message, frozen=True):
    """Reply to a `LoanRequest`: the amount taken from the lender's share.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        preset_in_force_at_s: Wall time from which the preset that the lender applies is
            in force, in seconds.
        requests: Number of requests lent, 0 if the loan is refused.
        tokens: Number of tokens lent, 0 if the loan is refused.
    """

    stamp: Stamp
    preset_in_force_at_s: float
    requests: int
    tokens: int


class EventsRequest(Message, frozen=True):
    """Request for the recorded events of a process.

    Attributes:
        since_us: Wall time of the earliest event to return, in microseconds.
    """

    since_us: int


class EventsReply(Message, frozen=True):
    """Reply to an `EventsRequest`: the recorded events, oldest first."""

    events: tuple[Event, ...]
