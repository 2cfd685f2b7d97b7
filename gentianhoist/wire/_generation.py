"""Messages of a generation's stream between an entry and a sidecar.

The entry sends `RunMessage`s, the sidecar sends `Frame`s.
"""

from __future__ import annotations

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.wire._message import Message, Stamp


class RunRequest(Message, frozen=True, tag="run"):
    """Request to start or resume a generation; first message of a stream.

    Attributes:
        stamp: Sender, configuration version and time of the message.
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        offset: Offset of the first token to send, from the start of the output.
        resume: Whether the attempt already runs at this sidecar.
        model: Name of the model.
        organisation: Organisation of the caller.
        weight: Weight of the organisation in fair queueing.
        prompt: The prompt; empty if `resume` is set.
        prompt_tokens: Length of the prompt, in tokens.
        prefix_hashes: Hash and length in tokens of each prefix of the prompt, shortest
            first.
        generated_text: Text that earlier attempts generated; empty if `resume` is set.
        max_tokens: Maximum length of the output, in tokens.
        priority: 0 for normal work, 1 for work that can wait.
        sampling: The caller's sampling parameters, as JSON.
        deadline_left_s: Seconds from sending until the deadline.
        reservation_id: Id of the KV cache reservation that the work uses, empty for
            none.
        prefill_only: Whether the engine only computes the prompt's KV cache, keeps it
            under the reservation and generates no token.
        imported_object: Name of the object with the prompt's exported KV cache, empty
            for none.
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
    """Acknowledgement by the entry of received tokens.

    Attributes:
        offset: Offset before which the entry has received all tokens.
    """

    offset: int


class Cancel(Message, frozen=True, tag="cancel"):
    """Cancellation of the attempt; the output is no longer needed."""


RunMessage = RunRequest | Ack | Cancel


class EngineLoad(Message, frozen=True):
    """Load of an engine as reported by its sidecar.

    Attributes:
        boot_id: Id of the engine's boot; a new one means an empty prefix cache.
        limit_streams: Current limit of running streams.
        running_streams: Number of running streams.
        waiting_streams: Number of streams queued in the sidecar.
        prefill_tokens_ahead_of_short: Queued prefill tokens ahead of a new short
            prompt.
        prefill_tokens_ahead_of_long: Queued prefill tokens ahead of a new long
            prompt.
        kv_free_tokens: Unreserved KV cache, in tokens.
        prefill_tokens_per_s: Estimated prefill speed, in tokens per second.
        decode_step_s: Estimated inter-token latency, in seconds.
        long_streams: Number of long-prompt streams, running or queued.
    """

    boot_id: str
    limit_streams: int
    running_streams: int
    waiting_streams: int
    prefill_tokens_ahead_of_short: int
    prefill_tokens_ahead_of_long: int
    kv_free_tokens: int
    prefill_tokens_per_s: float
    decode_step_s: float
    long_streams: int


class Admitted(Message, frozen=True, tag="admitted"):
    """First frame of a stream: the sidecar has accepted the attempt.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        load: Load of the engine when the frame was sent.
    """

    request_id: str
    attempt: int
    load: EngineLoad


class Failed(Message, frozen=True, tag="refused"):
    """Last frame of an attempt that was refused, failed or was cancelled.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        kind: Kind of the error.
        message: Human-readable description of the error.
        not_run: Whether the attempt is known not to have been executed.
        retry_after_s: Seconds after which the caller should retry, 0 if not known.
        engine_crashed: Whether the engine crashed while it began the answer.
    """

    request_id: str
    attempt: int
    kind: ErrorKind
    message: str
    not_run: NotRun
    retry_after_s: float
    engine_crashed: bool = False


class Chunk(Message, frozen=True, tag="chunk"):
    """Frame with consecutive tokens of the output.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        offset: Offset of the first token, from the start of the output.
        texts: Text of each token.
    """

    request_id: str
    attempt: int
    offset: int
    texts: tuple[str, ...]


class Keepalive(Message, frozen=True, tag="beat"):
    """Frame that shows that the stream is alive while there are no new tokens.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
    """

    request_id: str
    attempt: int


class Completed(Message, frozen=True, tag="last"):
    """Last frame of an attempt whose output is complete.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        end_offset: Offset after the last token, from the start of the output.
        digest: XXH64 digest of the text of all tokens of the attempt.
        finish_reason: Why the engine stopped generating.
        load: Load of the engine when the frame was sent.
    """

    request_id: str
    attempt: int
    end_offset: int
    digest: int
    finish_reason: str
    load: EngineLoad | None = None


Frame = Admitted | Failed | Chunk | Keepalive | Completed
