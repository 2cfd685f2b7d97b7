"""The typed messages between gentianhoist's own processes.

Times on the wire are durations, never readings of a sender's clock, except for hybrid
time stamps, which only order events.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from gentianhoist.clocks import HybridTime
from gentianhoist.events import Event
from gentianhoist.exceptions import ErrorKind, NotRun

__all__ = [
    "Ack",
    "Admitted",
    "Beat",
    "CallOutcome",
    "CallReply",
    "CallRequest",
    "Cancel",
    "Chunk",
    "ConfigurationUpdate",
    "EngineLoad",
    "EventsReply",
    "EventsRequest",
    "Frame",
    "Heartbeat",
    "HeartbeatReply",
    "HoldAction",
    "HoldReply",
    "HoldRequest",
    "Last",
    "LoanReply",
    "LoanRequest",
    "OrderKind",
    "OrderReply",
    "OrderRequest",
    "Refused",
    "RunMessage",
    "RunRequest",
    "Spending",
    "Stamp",
]


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class Stamp(_Message, frozen=True):
    """What every message carries.

    Attributes:
        sender: Name of the sending instance.
        incarnation: Random name of the sender's present life.
        configuration_version: Version that the sender has.
        time: Sender's hybrid time.
    """

    sender: str
    incarnation: str
    configuration_version: int
    time: HybridTime


class RunRequest(_Message, frozen=True, tag="run"):
    """Start or resume one generation.

    Attributes:
        stamp: What every message carries.
        request_id: The request.
        attempt: Number of the attempt, from 1.
        offset: First token wanted, counted from the start of the answer.
        resume: Whether the attempt already runs here.
        model: Name of the model.
        organisation: Who asks.
        weight: Weight of the organisation.
        prompt: The prompt.
        prompt_tokens: Its tokens.
        prefix_marks: Hashes of its prefixes with their tokens, shortest first.
        generated: What earlier attempts already answered.
        max_tokens: Tokens of the answer at the most.
        priority: 0 for usual work, 1 for work that can wait.
        sampling: The caller's sampling parameters, as JSON.
        deadline_left_s: Seconds until the deadline.
        hold: Reservation of memory that the work uses, empty for none.
        keep: Whether the engine keeps the prompt's memory under the reservation, and
            generates nothing.
        imported_object: Object with the prompt's exported memory, empty for none.
    """

    stamp: Stamp
    request_id: str
    attempt: int
    offset: int
    resume: bool
    model: str
    organisation: str
    weight: float
    prompt: str
    prompt_tokens: int
    prefix_marks: tuple[tuple[int, int], ...]
    generated: str
    max_tokens: int
    priority: int
    sampling: str
    deadline_left_s: float
    hold: str = ""
    keep: bool = False
    imported_object: str = ""


class Ack(_Message, frozen=True, tag="ack"):
    """The entry has every token before this offset."""

    offset: int


class Cancel(_Message, frozen=True, tag="cancel"):
    """Nobody wants the answer any more."""


RunMessage = RunRequest | Ack | Cancel


class EngineLoad(_Message, frozen=True):
    """What a sidecar says of its backend server.

    Attributes:
        boot_id: Boot of the backend server.
        limit_streams: Streams that it bears at present.
        running_streams: Streams that run.
        waiting_streams: Streams that wait in the sidecar.
        short_prefill_tokens: Prompt tokens ahead of new short work.
        total_prefill_tokens: Prompt tokens ahead of new long work.
        kv_free_tokens: KV memory that is not reserved.
        prefill_tokens_per_s: Measured prefill speed.
        decode_step_s: Measured seconds between two tokens.
        long_streams: Streams of long work, running or waiting.
    """

    boot_id: str
    limit_streams: int
    running_streams: int
    waiting_streams: int
    short_prefill_tokens: int
    total_prefill_tokens: int
    kv_free_tokens: int
    prefill_tokens_per_s: float
    decode_step_s: float
    long_streams: int


class Admitted(_Message, frozen=True, tag="admitted"):
    """The sidecar takes the work.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        load: What the entry is told of the engine on this occasion.
    """

    request_id: str
    attempt: int
    load: EngineLoad


class Refused(_Message, frozen=True, tag="refused"):
    """The sidecar, or its backend server, ends the attempt without a whole answer.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        kind: Why.
        message: One sentence for a person.
        not_run: What is known of its execution.
        retry_after_s: Seconds after which to come back.
    """

    request_id: str
    attempt: int
    kind: ErrorKind
    message: str
    not_run: NotRun
    retry_after_s: float


class Chunk(_Message, frozen=True, tag="chunk"):
    """Consecutive tokens of the answer.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        offset: Offset of the first token.
        texts: Text of each token.
    """

    request_id: str
    attempt: int
    offset: int
    texts: tuple[str, ...]


class Beat(_Message, frozen=True, tag="beat"):
    """The stream lives, though it has nothing to say."""

    request_id: str
    attempt: int


class Last(_Message, frozen=True, tag="last"):
    """The answer is whole.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        count: Offset after the last token.
        digest: Digest of the attempt's text, from its first offset.
        finish_reason: Why the engine stopped.
    """

    request_id: str
    attempt: int
    count: int
    digest: int
    finish_reason: str


Frame = Admitted | Refused | Chunk | Beat | Last


class CallRequest(_Message, frozen=True):
    """One call of a plain service.

    Attributes:
        stamp: What every message carries.
        request_id: The request.
        organisation: Who asks.
        service: Name of the service.
        operation: Name of the operation.
        idempotent: Whether the operation may be repeated.
        key: Idempotency key, empty for an idempotent operation.
        key_attempt: Which attempt under this key the caller says it is, 0 if it
            doesn't say.
        body: Body of the call.
        deadline_left_s: Seconds until the deadline.
    """

    stamp: Stamp
    request_id: str
    organisation: str
    service: str
    operation: str
    idempotent: bool
    key: str
    key_attempt: int
    body: bytes
    deadline_left_s: float


class CallOutcome(_Message, frozen=True):
    """What the backend server answered."""

    status: int
    content_type: str
    body: bytes


class CallReply(_Message, frozen=True):
    """Answer to a call: an outcome, or a kind of error.

    Attributes:
        outcome: What the backend server answered, if that is known.
        kind: Why there is no outcome.
        message: One sentence for a person.
        not_run: What is known of its execution.
        retry_after_s: Seconds after which to come back.
        owner: Instance that owns the key's intent, if it is another.
    """

    outcome: CallOutcome | None
    kind: ErrorKind | None = None
    message: str = ""
    not_run: NotRun = NotRun.TRUE
    retry_after_s: float = 0.0
    owner: str = ""


class ConfigurationUpdate(_Message, frozen=True):
    """What a process that is behind lacks.

    Attributes:
        snapshot: The whole configuration, encoded; empty if changes suffice.
        changes: Encoded changes, oldest first.
    """

    snapshot: bytes
    changes: tuple[bytes, ...] = ()


class Heartbeat(_Message, frozen=True):
    """One process asks another whether it lives.

    Attributes:
        stamp: What every message carries.
        cache_cursor: Cache marks of the receiver that the sender has.
        update: What the receiver lacked when it was last heard.
    """

    stamp: Stamp
    cache_cursor: int = 0
    update: ConfigurationUpdate | None = None


class Spending(_Message, frozen=True):
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


class HeartbeatReply(_Message, frozen=True):
    """It lives.

    Attributes:
        stamp: What every message carries.
        leaving: Whether it takes no new work.
        accepting: Whether it may know of a change that others don't know yet.
        load: What a sidecar says of its backend server.
        cache_cursor: Where `cache_marks` end.
        cache_marks: Prefixes newly cached; empty after a gap.
        cache_gap: Whether marks before these are lost.
        update: What the sender of the heartbeat lacks.
        spending: What an entry says of its part of the allowance.
    """

    stamp: Stamp
    leaving: bool
    accepting: bool
    load: EngineLoad | None = None
    cache_cursor: int = 0
    cache_marks: tuple[int, ...] = ()
    cache_gap: bool = False
    update: ConfigurationUpdate | None = None
    spending: Spending | None = None


class HoldAction(StrEnum):
    """What an entry wants of a reservation."""

    RESERVE = "reserve"
    RENEW = "renew"
    RELEASE = "release"


class HoldRequest(_Message, frozen=True):
    """Reserve an engine's memory under a lease, renew the lease or give it back.

    Attributes:
        stamp: What every message carries.
        action: What is wanted.
        hold: Name of the reservation.
        tokens: Memory wanted.
        lease_s: Seconds that the lease lasts.
    """

    stamp: Stamp
    action: HoldAction
    hold: str
    tokens: int
    lease_s: float


class HoldReply(_Message, frozen=True):
    """Whether the reservation stands after the request.

    Attributes:
        stands: Whether it does.
        kind: Why it doesn't.
        message: One sentence for a person.
    """

    stands: bool
    kind: ErrorKind | None = None
    message: str = ""


class OrderKind(StrEnum):
    """What an engine can be told."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


class OrderRequest(_Message, frozen=True):
    """An order to an engine.

    Attributes:
        stamp: What every message carries.
        order: What it is told.
        target: Model, adapter or role.
        fencing: Number of the giver's lease.
        deadline_left_s: Seconds until the deadline.
    """

    stamp: Stamp
    order: OrderKind
    target: str
    fencing: int
    deadline_left_s: float


class OrderReply(_Message, frozen=True):
    """Whether the order was carried out.

    Attributes:
        done: Whether it was.
        kind: Why it wasn't.
        message: One sentence for a person.
        not_run: What is known of its execution.
    """

    done: bool
    kind: ErrorKind | None = None
    message: str = ""
    not_run: NotRun = NotRun.TRUE


class LoanRequest(_Message, frozen=True):
    """An entry asks another for a part of its allowance.

    Attributes:
        stamp: What every message carries.
        requests: Requests wanted.
        tokens: Tokens wanted.
    """

    stamp: Stamp
    requests: int
    tokens: int


class LoanReply(_Message, frozen=True):
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


class EventsRequest(_Message, frozen=True):
    """Ask for events from a wall time in microseconds on."""

    since_us: int


class EventsReply(_Message, frozen=True):
    """The events of one process."""

    events: tuple[Event, ...]
