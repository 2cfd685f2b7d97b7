"""Messages that processes exchange apart from callers' work."""

from __future__ import annotations

from gentianhoist.events import Event
from gentianhoist.wire._generation import EngineLoad
from gentianhoist.wire._message import Message, Stamp


class ConfigurationUpdate(Message, frozen=True):
    """What a process that is behind lacks.

    Attributes:
        snapshot: The whole configuration, encoded; empty if changes suffice.
        changes: Encoded changes, oldest first.
    """

    snapshot: bytes
    changes: tuple[bytes, ...] = ()


class Heartbeat(Message, frozen=True):
    """One process asks another whether it lives.

    Attributes:
        stamp: What every message carries.
        cache_cursor: Cache marks of the receiver that the sender has.
        update: What the receiver lacked when it was last heard.
    """

    stamp: Stamp
    cache_cursor: int = 0
    update: ConfigurationUpdate | None = None


class AllowanceUsage(Message, frozen=True):
    """What an entry says of its part of the allowance.

    Attributes:
        share_ppm: Its share, in parts per million.
        requests: Requests that its last minute holds.
        tokens: Tokens that its last minute holds.
        since_s: Since when its terms hold.
    """

    share_ppm: int
    requests: int
    tokens: int
    since_s: float


class HeartbeatReply(Message, frozen=True):
    """It lives.

    Attributes:
        stamp: What every message carries.
        leaving: Whether it takes no new work.
        is_accepting_change: Whether it may know of a change that others don't know yet.
        load: What a sidecar says of its backend server.
        cache_cursor: Where `cached_prefix_hashes` end.
        cached_prefix_hashes: Prefixes newly cached; empty after a gap.
        update: What the sender of the heartbeat lacks.
        allowance_usage: What an entry says of its part of the allowance.
    """

    stamp: Stamp
    leaving: bool
    is_accepting_change: bool
    load: EngineLoad | None = None
    cache_cursor: int = 0
    cached_prefix_hashes: tuple[int, ...] = ()
    update: ConfigurationUpdate | None = None
    allowance_usage: AllowanceUsage | None = None


class LoanRequest(Message, frozen=True):
    """An entry asks another for a part of its allowance.

    Attributes:
        stamp: What every message carries.
        requests: Requests wanted.
        tokens: Tokens wanted.
    """

    stamp: Stamp
    requests: int
    tokens: int


class LoanReply(Message, frozen=True):
    """What the lender took from its own allowance.

    Attributes:
        stamp: What every message carries.
        since_s: Since when the terms hold under which it lends.
        requests: Requests lent.
        tokens: Tokens lent.
    """

    stamp: Stamp
    since_s: float
    requests: int
    tokens: int


class EventsRequest(Message, frozen=True):
    """Ask for events from a wall time in microseconds on."""

    since_us: int


class EventsReply(Message, frozen=True):
    """The events of one process."""

    events: tuple[Event, ...]
