"""The model engine's rules: continuous batching, KV memory, prefix cache, cold start.

One `EngineModel.step` is one batch: a chunk of prompt tokens is prefilled, and every
stream whose prompt is done gets one token. The caller waits the step's duration.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

__all__ = [
    "CacheEvent",
    "EngineCrashed",
    "EngineModel",
    "EngineProfile",
    "PromptTooLarge",
    "StepReport",
    "StreamSpec",
    "TokenEmitted",
    "expected_texts",
]

_WORDS = 9973
_STRIDE = 7919
_IMPORT_SPEEDUP = 20
_CACHE_EVENTS_KEPT = 512


class EngineProfile(NamedTuple):
    """Speeds and sizes of an engine.

    Attributes:
        kv_capacity_tokens: KV memory.
        max_streams: Streams in one batch.
        chunk_tokens: Prompt tokens prefilled in one step.
        prefill_tokens_per_s: Prefill speed when warm.
        step_base_s: Seconds of an empty step.
        step_per_stream_s: Seconds that each decoding stream adds to a step.
        cold_streams: Streams borne just after the boot.
        warmup_tokens: Tokens processed until the engine is warm.
        cold_slowdown: How many times slower a cold engine is.
        crash_load_ratio: Load against what a cold engine bears at which it falls over.
        restart_s: Seconds that it is gone after it fell over.
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
    """One piece of work for the engine.

    Attributes:
        stream_id: Its name.
        seed: Digest of the whole prompt, which decides the answer.
        prompt_tokens: Prompt tokens whose KV memory is held here.
        start: Offset of the first token wanted.
        max_tokens: Offset after the last token wanted.
        priority: Lower goes first.
        prefix_hashes: Names of the prompt's prefixes with their lengths in tokens.
        prefill_only: Whether to keep the KV memory after the prefill and emit nothing.
        imports_kv: Whether the KV memory is imported and not computed.
    """

    stream_id: str
    seed: int
    prompt_tokens: int
    start: int
    max_tokens: int
    priority: int = 0
    prefix_hashes: tuple[tuple[int, int], ...] = ()
    prefill_only: bool = False
    imports_kv: bool = False


class TokenEmitted(NamedTuple):
    """One token of a stream."""

    stream_id: str
    offset: int
    text: str


class StepReport(NamedTuple):
    """What one step did.

    Attributes:
        duration_s: How long it takes.
        emitted: Tokens.
        finished: Streams that are done.
    """

    duration_s: float
    emitted: list[TokenEmitted]
    finished: list[str]


class CacheEvent(NamedTuple):
    """A prefix entered or left the cache."""

    cursor: int
    prefix_hash: int
    added: bool


class PromptTooLarge(Exception):
    """The work can never fit in the memory."""


class EngineCrashed(Exception):
    """The engine fell over."""


@dataclass
class _Stream:
    spec: StreamSpec
    order: int
    prefill_left: int = 0
    next_offset: int = 0
    held: bool = field(default=False)

    @property
    def reserved_tokens(self) -> int:
        return self.spec.prompt_tokens + self.spec.max_tokens - self.spec.start

    @property
    def rank(self) -> tuple[int, int]:
        return (self.spec.priority, self.order)


def prompt_seed(prompt: str) -> int:
    """The digest of a prompt that decides the answer."""
    return xxhash.xxh64_intdigest(prompt.encode())


def token_text(seed: int, offset: int) -> str:
    """The token at an offset of an answer."""
    return f" w{(seed + offset * _STRIDE) % _WORDS}"


def expected_texts(prompt: str, count: int) -> list[str]:
    """The whole answer to a prompt, token by token, for tests and the demo.

    Example:
        >>> len(expected_texts("flood sheet two", 3))
        3
    """
    seed = prompt_seed(prompt)
    return [token_text(seed, offset) for offset in range(count)]


class EngineModel:
    """One boot of an engine.

    Args:
        profile: Speeds and sizes.
        warm: Whether it starts warm.
    """

    def __init__(self, profile: EngineProfile, *, warm: bool = False) -> None:
        self._profile = profile
        self._waiting: dict[str, _Stream] = {}
        self._running: dict[str, _Stream] = {}
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._cache_tokens = 0
        self._processed_tokens = profile.warmup_tokens if warm else 0
        self._arrivals = 0
        self._cursor = 0
        self.cache_events: deque[CacheEvent] = deque(maxlen=_CACHE_EVENTS_KEPT)

    @property
    def warmup_progress(self) -> float:
        """From 0, just booted, to 1, warm."""
        return min(1.0, self._processed_tokens / self._profile.warmup_tokens)

    @property
    def supported_streams(self) -> float:
        """Streams that the engine bears at its present warmth."""
        cold = self._profile.cold_streams
        return cold + (self._profile.max_streams - cold) * self.warmup_progress

    @property
    def has_work(self) -> bool:
        """Whether a step would do anything."""
        return bool(self._waiting) or any(
            not stream.held for stream in self._running.values()
        )

    @property
    def stream_ids(self) -> list[str]:
        """All streams and holds, in order of arrival."""
        streams = {**self._running, **self._waiting}
        return sorted(streams, key=lambda name: streams[name].order)

    @property
    def reserved_tokens(self) -> int:
        """KV memory that streams and holds have."""
        return sum(stream.reserved_tokens for stream in self._running.values())

    @property
    def kv_free_tokens(self) -> int:
        """KV memory that is neither reserved nor cache."""
        return (
            self._profile.kv_capacity_tokens - self.reserved_tokens - self._cache_tokens
        )

    def submit(self, spec: StreamSpec) -> None:
        """Take one piece of work.

        Raises:
            PromptTooLarge: If it can never fit.
            EngineCrashed: If a cold engine falls over under it.
        """
        self._arrivals += 1
        stream = _Stream(spec, self._arrivals, next_offset=spec.start)
        if stream.reserved_tokens > self._profile.kv_capacity_tokens:
            raise PromptTooLarge(spec.stream_id)
        self._waiting[spec.stream_id] = stream
        # A warm engine queues; only a cold one can be pushed over.
        load = len(self._waiting) + len(self._running)
        if self.warmup_progress < 1.0 and load > self.supported_streams * (
            self._profile.crash_load_ratio
        ):
            raise EngineCrashed(spec.stream_id)

    def cancel(self, stream_id: str) -> bool:
        """Free a stream or hold; False if there is none of that name."""
        stream = self._waiting.pop(stream_id, None)
        if stream is None:
            stream = self._running.pop(stream_id, None)
        return stream is not None

    def reset_warmup(self) -> None:
        """Turn cold again, as after a fault of the machine."""
        self._processed_tokens = 0

    def step(self) -> StepReport:
        """Run one batch."""
        self._start_waiting()
        prefilled = self._prefill()
        emitted, finished = self._decode()
        self._processed_tokens += prefilled + len(emitted)
        profile = self._profile
        slowness = 1.0 + (profile.cold_slowdown - 1.0) * (1.0 - self.warmup_progress)
        duration_s = slowness * (
            profile.step_base_s
            + prefilled / profile.prefill_tokens_per_s
            + len(emitted) * profile.step_per_stream_s
        )
        return StepReport(duration_s, emitted, finished)

    def _start_waiting(self) -> None:
        for stream in sorted(self._waiting.values(), key=lambda item: item.rank):
            if len(self._running) >= self._profile.max_streams:
                return
            if not self._make_room(stream.reserved_tokens):
                continue
            del self._waiting[stream.spec.stream_id]
            self._running[stream.spec.stream_id] = stream
            stream.prefill_left = self._uncached(stream.spec)

    def _make_room(self, tokens: int) -> bool:
        capacity = self._profile.kv_capacity_tokens
        if capacity - self.reserved_tokens < tokens:
            return False
        while self.kv_free_tokens < tokens and self._cache:
            label, size = self._cache.popitem(last=False)
            self._cache_tokens -= size
            self._publish(label, added=False)
        return self.kv_free_tokens >= tokens

    def _uncached(self, spec: StreamSpec) -> int:
        cached = 0
        for label, length in spec.prefix_hashes:
            if label not in self._cache:
                break
            self._cache.move_to_end(label)
            cached = length
        # The last token is always computed, since it gives the first answer.
        left = max(1, spec.prompt_tokens - cached)
        return max(1, left // _IMPORT_SPEEDUP) if spec.imports_kv else left

    def _prefill(self) -> int:
        budget = self._profile.chunk_tokens
        for stream in sorted(self._running.values(), key=lambda item: item.rank):
            if budget <= 0:
                break
            taken = min(budget, stream.prefill_left)
            stream.prefill_left -= taken
            budget -= taken
        return self._profile.chunk_tokens - budget

    def _decode(self) -> tuple[list[TokenEmitted], list[str]]:
        emitted: list[TokenEmitted] = []
        finished: list[str] = []
        for stream in list(self._running.values()):
            if stream.prefill_left > 0 or stream.held:
                continue
            if stream.spec.prefill_only:
                stream.held = True
                finished.append(stream.spec.stream_id)
                continue
            text = token_text(stream.spec.seed, stream.next_offset)
            emitted.append(
                TokenEmitted(stream.spec.stream_id, stream.next_offset, text)
            )
            stream.next_offset += 1
            if stream.next_offset >= stream.spec.max_tokens:
                finished.append(stream.spec.stream_id)
                del self._running[stream.spec.stream_id]
                self._remember(stream.spec)
        return emitted, finished

    def _remember(self, spec: StreamSpec) -> None:
        previous = 0
        for label, length in spec.prefix_hashes:
            size = length - previous
            previous = length
            if label in self._cache:
                self._cache.move_to_end(label)
                continue
            if self.kv_free_tokens < size:
                return
            self._cache[label] = size
            self._cache_tokens += size
            self._publish(label, added=True)

    def _publish(self, label: int, *, added: bool) -> None:
        self._cursor += 1
        self.cache_events.append(CacheEvent(self._cursor, label, added))
