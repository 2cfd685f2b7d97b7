"""Messages of one generation's stream, both ways."""

from __future__ import annotations

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.wire._message import Message, Stamp


class RunRequest(Message, frozen=True, tag="run"):
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
        prefix_hashes: Hashes of its prefixes with their tokens, shortest first.
        generated_text: What earlier attempts already answered.
        max_tokens: Tokens of the answer at the most.
        priority: 0 for usual work, 1 for work that can wait.
        sampling: The caller's sampling parameters, as JSON.
        deadline_left_s: Seconds until the deadline.
        reservation_id: Reservation of memory that the work uses, empty for none.
        prefill_only: Whether the engine keeps the prompt's memory under the
            reservation, and generates nothing.
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
    prefix_hashes: tuple[tuple[int, int], ...]
    generated_text: str
    max_tokens: int
    priority: int
    sampling: str
    deadline_left_s: float
    reservation_id: str = ""
    prefill_only: bool = False
    imported_object: str = ""


class Ack(Message, frozen=True, tag="ack"):
    """The entry has every token before this offset."""

    offset: int


class Cancel(Message, frozen=True, tag="cancel"):
    """Nobody wants the answer any more."""


RunMessage = RunRequest | Ack | Cancel


class EngineLoad(Message, frozen=True):
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


class Admitted(Message, frozen=True, tag="admitted"):
    """The sidecar takes the work.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        load: What the entry is told of the engine on this occasion.
    """

    request_id: str
    attempt: int
    load: EngineLoad


class Refused(Message, frozen=True, tag="refused"):
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


class Chunk(Message, frozen=True, tag="chunk"):
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


class Keepalive(Message, frozen=True, tag="beat"):
    """The stream lives, though it has nothing to say."""

    request_id: str
    attempt: int


class Completed(Message, frozen=True, tag="last"):
    """The answer is whole.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        end_offset: Offset after the last token.
        digest: Digest of the attempt's text, from its first offset.
        finish_reason: Why the engine stopped.
        load: What the entry is told of the engine on this occasion.
    """

    request_id: str
    attempt: int
    end_offset: int
    digest: int
    finish_reason: str
    load: EngineLoad | None = None


Frame = Admitted | Refused | Chunk | Keepalive | Completed
