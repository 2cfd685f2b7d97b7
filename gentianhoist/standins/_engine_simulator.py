"""Simulator of an LLM engine: batching, KV cache, prefix cache and cold start.

The simulator opens no sockets and never sleeps. One `EngineSimulator.step` is one
iteration of continuous batching: it prefills one chunk of prompt tokens and decodes one
token for every stream whose prefill is complete. The caller waits for the duration that
the step reports.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

__all__ = [
    "CacheEvent",
    "EngineCrashed",
    "EngineSimulator",
    "EngineProfile",
    "PromptTooLarge",
    "StepReport",
    "StreamSpec",
    "TokenEmitted",
    "expected_texts",
]

_VOCABULARY_SIZE = 9973
_TOKEN_STRIDE = 7919
_IMPORT_SPEEDUP = 20
_MAX_CACHE_EVENTS = 512


class EngineProfile(NamedTuple):
    """Speed and capacity of a simulated engine.

    Attributes:
        kv_capacity_tokens: Capacity of the KV cache, in tokens.
        max_streams: Maximum number of streams in one batch.
        chunk_tokens: Maximum number of prompt tokens prefilled in one step.
        prefill_tokens_per_s: Prefill speed of a warm engine.
        step_base_s: Duration of a step without tokens, in seconds.
        step_per_stream_s: Seconds that each decoding stream adds to a step.
        cold_streams: Number of streams that the engine supports just after its boot.
        warmup_tokens: Number of tokens that it must process to become warm.
        cold_slowdown: Factor by which steps take longer just after the boot; it falls
            to 1 as the engine warms up.
        crash_load_ratio: A cold engine crashes if it has more streams than this ratio
            times the number that it supports.
        restart_s: Seconds for which it refuses requests after a crash.
    """

    kv_capacity_tokens: int = 400_000
    max_streams: int = 64
    chunk_tokens: int = 512
    prefill_tokens_per_s: float = 25_000.0
    step_base_s: float = 0.008
    step_per_stream_s: float = 0.0001
    cold_streams: int = 2
    warmup_tokens: int = 20_000
    cold_slowdown: float = 3.0
    crash_load_ratio: float = 1.5
    restart_s: float = 2.0


class StreamSpec(NamedTuple):
    """A generation request to the engine.

    Attributes:
        stream_id: Id of the stream.
        seed: Digest of the whole prompt, which determines the response.
        prompt_tokens: Number of prompt tokens whose KV cache this engine holds.
        start_offset: Offset in the response of the first token to generate.
        end_offset: Offset in the response after the last token to generate.
        priority: Scheduling priority; lower values are scheduled first.
        prefix_hashes: Hash and length in tokens of each prefix of the prompt, shortest
            first.
        prefill_only: Whether to keep the KV cache after the prefill and generate
            nothing.
        imports_kv: Whether the KV cache is imported from other engines and not
            computed.
    """

    stream_id: str
    seed: int
    prompt_tokens: int
    start_offset: int
    end_offset: int
    priority: int = 0
    prefix_hashes: tuple[tuple[int, int], ...] = ()
    prefill_only: bool = False
    imports_kv: bool = False


class TokenEmitted(NamedTuple):
    """A token that a step generated.

    Attributes:
        stream_id: Id of its stream.
        offset: Its offset in the response.
        text: Its text.
    """

    stream_id: str
    offset: int
    text: str


class StepReport(NamedTuple):
    """Result of one step.

    Attributes:
        duration_s: Duration of the step in seconds.
        emitted: Tokens that were generated.
        finished: Ids of the streams that completed, and of the prefill-only streams
            whose prefill completed.
    """

    duration_s: float
    emitted: list[TokenEmitted]
    finished: list[str]


class CacheEvent(NamedTuple):
    """A prefix was added to the prefix cache or evicted from it.

    Attributes:
        cursor: Sequence number of the event since the boot, from 1.
        prefix_hash: Hash of the prefix.
        added: Whether it was added, and not evicted.
    """

    cursor: int
    prefix_hash: int
    added: bool


class PromptTooLarge(Exception):
    """The stream needs more tokens of KV cache than the engine has."""


class EngineCrashed(Exception):
    """A cold engine crashed under too many streams."""


@dataclass
class _Stream:
    """State of a stream; ``is_held`` marks a prefill-only one that is prefilled."""

    spec: StreamSpec
    arrival: int
    prefill_remaining: int = 0
    next_offset: int = 0
    is_held: bool = field(default=False)

    @property
    def reserved_tokens(self) -> int:
        return self.spec.prompt_tokens + self.spec.end_offset - self.spec.start_offset

    @property
    def scheduling_key(self) -> tuple[int, int]:
        return (self.spec.priority, self.arrival)


def prompt_seed(prompt: str) -> int:
    """Digest of a prompt, which determines the response."""
    return xxhash.xxh64_intdigest(prompt.encode())


def token_text(seed: int, offset: int) -> str:
    """Text of the token at an offset of the response to a prompt with this seed."""
    return f" w{(seed + offset * _TOKEN_STRIDE) % _VOCABULARY_SIZE}"


def expected_texts(prompt: str, count: int) -> list[str]:
    """Texts of the first tokens of the response to a prompt, for tests and the demo.

    Args:
        prompt: The whole prompt.
        count: Number of tokens.

    Returns:
        One text for each token.

    Example:
        >>> len(expected_texts("flood sheet two", 3))
        3
    """
    seed = prompt_seed(prompt)
    return [token_text(seed, offset) for offset in range(count)]


class EngineSimulator:
    """Simulator of an engine from one boot to its crash.

    Args:
        profile: Speed and capacity of the engine.
        warm: Whether it is warm at the start.

    Attributes:
        cache_events: The latest changes of the prefix cache, oldest first.
    """

    def __init__(self, profile: EngineProfile, *, warm: bool = False) -> None:
        self._profile = profile
        self._waiting: dict[str, _Stream] = {}
        self._running: dict[str, _Stream] = {}
        self._prefix_cache: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0
        self._processed_tokens = profile.warmup_tokens if warm else 0
        self._arrivals = 0
        self._cursor = 0
        self.cache_events: deque[CacheEvent] = deque(maxlen=_MAX_CACHE_EVENTS)

    @property
    def warmup_progress(self) -> float:
        """Progress of the warm-up, from 0 just after the boot to 1 when warm."""
        return min(1.0, self._processed_tokens / self._profile.warmup_tokens)

    @property
    def supported_streams(self) -> float:
        """Number of streams that the engine supports at this stage of its warm-up."""
        minimum = self._profile.cold_streams
        return minimum + (self._profile.max_streams - minimum) * self.warmup_progress

    @property
    def has_work(self) -> bool:
        """Whether any stream is waiting, prefilling or decoding."""
        return bool(self._waiting) or any(
            not stream.is_held for stream in self._running.values()
        )

    @property
    def stream_ids(self) -> list[str]:
        """Ids of all streams, also completed prefill-only ones, by arrival."""
        streams = {**self._running, **self._waiting}
        return sorted(streams, key=lambda stream_id: streams[stream_id].arrival)

    @property
    def reserved_tokens(self) -> int:
        """Tokens of KV cache reserved for running and prefill-only streams."""
        return sum(stream.reserved_tokens for stream in self._running.values())

    @property
    def kv_free_tokens(self) -> int:
        """Tokens of KV cache that are neither reserved nor used by the prefix cache."""
        return (
            self._profile.kv_capacity_tokens
            - self.reserved_tokens
            - self._cached_tokens
        )

    def submit(self, spec: StreamSpec) -> None:
        """Add a stream to the queue.

        Raises:
            PromptTooLarge: If the stream exceeds the capacity of the KV cache.
            EngineCrashed: If a cold engine crashes under the added stream.
        """
        self._arrivals += 1
        stream = _Stream(spec, self._arrivals, next_offset=spec.start_offset)
        if stream.reserved_tokens > self._profile.kv_capacity_tokens:
            raise PromptTooLarge(spec.stream_id)
        self._waiting[spec.stream_id] = stream
        # A warm engine queues any number of streams; only a cold one can crash.
        load = len(self._waiting) + len(self._running)
        if self.warmup_progress < 1.0 and load > self.supported_streams * (
            self._profile.crash_load_ratio
        ):
            raise EngineCrashed(spec.stream_id)

    def cancel(self, stream_id: str) -> bool:
        """Cancel a stream and free its KV cache.

        Returns:
            Whether there was a stream with this id.
        """
        stream = self._waiting.pop(stream_id, None)
        if stream is None:
            stream = self._running.pop(stream_id, None)
        return stream is not None

    def reset_warmup(self) -> None:
        """Make the engine cold again, as after a hardware fault; streams continue."""
        self._processed_tokens = 0

    def step(self) -> StepReport:
        """Run one iteration: admit waiting streams, prefill one chunk, decode."""
        self._admit_waiting()
        prefilled = self._prefill()
        emitted, finished = self._decode()
        self._processed_tokens += prefilled + len(emitted)
        profile = self._profile
        slowdown = 1.0 + (profile.cold_slowdown - 1.0) * (1.0 - self.warmup_progress)
        duration_s = slowdown * (
            profile.step_base_s
            + prefilled / profile.prefill_tokens_per_s
            + len(emitted) * profile.step_per_stream_s
        )
        return StepReport(duration_s, emitted, finished)

    def _admit_waiting(self) -> None:
        for stream in sorted(
            self._waiting.values(), key=lambda item: item.scheduling_key
        ):
            if len(self._running) >= self._profile.max_streams:
                return
            if not self._evict_to_fit(stream.reserved_tokens):
                continue
            del self._waiting[stream.spec.stream_id]
            self._running[stream.spec.stream_id] = stream
            stream.prefill_remaining = self._tokens_to_prefill(stream.spec)

    def _evict_to_fit(self, tokens: int) -> bool:
        capacity = self._profile.kv_capacity_tokens
        if capacity - self.reserved_tokens < tokens:
            return False
        while self.kv_free_tokens < tokens and self._prefix_cache:
            prefix_hash, size = self._prefix_cache.popitem(last=False)
            self._cached_tokens -= size
            self._record_cache_event(prefix_hash, added=False)
        return self.kv_free_tokens >= tokens

    def _tokens_to_prefill(self, spec: StreamSpec) -> int:
        cached = 0
        for prefix_hash, length in spec.prefix_hashes:
            if prefix_hash not in self._prefix_cache:
                break
            self._prefix_cache.move_to_end(prefix_hash)
            cached = length
        # The last prompt token is always computed: it yields the first output token.
        remaining = max(1, spec.prompt_tokens - cached)
        return max(1, remaining // _IMPORT_SPEEDUP) if spec.imports_kv else remaining

    def _prefill(self) -> int:
        budget = self._profile.chunk_tokens
        for stream in sorted(
            self._running.values(), key=lambda item: item.scheduling_key
        ):
            if budget <= 0:
                break
            chunk = min(budget, stream.prefill_remaining)
            stream.prefill_remaining -= chunk
            budget -= chunk
        return self._profile.chunk_tokens - budget

    def _decode(self) -> tuple[list[TokenEmitted], list[str]]:
        emitted: list[TokenEmitted] = []
        finished: list[str] = []
        for stream in list(self._running.values()):
            if stream.prefill_remaining > 0 or stream.is_held:
                continue
            if stream.spec.prefill_only:
                stream.is_held = True
                finished.append(stream.spec.stream_id)
                continue
            text = token_text(stream.spec.seed, stream.next_offset)
            emitted.append(
                TokenEmitted(stream.spec.stream_id, stream.next_offset, text)
            )
            stream.next_offset += 1
            if stream.next_offset >= stream.spec.end_offset:
                finished.append(stream.spec.stream_id)
                del self._running[stream.spec.stream_id]
                self._cache_prefixes(stream.spec)
        return emitted, finished

    def _cache_prefixes(self, spec: StreamSpec) -> None:
        previous = 0
        for prefix_hash, length in spec.prefix_hashes:
            size = length - previous
            previous = length
            if prefix_hash in self._prefix_cache:
                self._prefix_cache.move_to_end(prefix_hash)
                continue
            if self.kv_free_tokens < size:
                return
            self._prefix_cache[prefix_hash] = size
            self._cached_tokens += size
            self._record_cache_event(prefix_hash, added=True)

    def _record_cache_event(self, prefix_hash: int, *, added: bool) -> None:
        self._cursor += 1
        self.cache_events.append(CacheEvent(self._cursor, prefix_hash, added))
