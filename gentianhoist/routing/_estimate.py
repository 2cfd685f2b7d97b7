"""An entry's local view of a backend server that has a sidecar, and its load."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from gentianhoist.capacity import WorkClass
from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.placement import AffectedRequest
from gentianhoist.routing._prefix import PrefixHash
from gentianhoist.routing._prefix_cache_index import PrefixCacheIndex

if TYPE_CHECKING:
    # Only imported for type checks: it needs the libraries of the sidecar protocol,
    # without which entries that have no sidecars start faster.
    from gentianhoist.wire import EngineLoad

# Estimated wait for a stream slot when running, waiting and new streams are twice the
# stream limit. The wait is proportional to their excess over the limit.
_SLOT_WAIT_AT_TWICE_LIMIT_S = 0.5
_LONG_PREFILL_STEP_S = 0.025


class Prompt(NamedTuple):
    """The properties of a request on which the choice of a backend server depends.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Maximum number of tokens to generate.
        work_class: Length class.
        prefix_hashes: Hashes of the prompt's prefixes, shortest first.
    """

    prompt_tokens: int
    max_output_tokens: int
    work_class: WorkClass
    prefix_hashes: tuple[PrefixHash, ...] = ()


@dataclass
class BackendView:
    """An entry's view of one backend server; all of it may be stale.

    Attributes:
        server: The backend server, with the name and address of its sidecar.
        load: The last load that the sidecar reported.
        heartbeat_round_trip_s: Round-trip time to the sidecar, in seconds.
        outstanding: Requests of this entry in progress there.
        sent_streams: Streams sent since the last reported load.
        pending_prefill_tokens: Prompt tokens of this entry's short and medium requests
            there that have no first token yet.
        last_sent_s: Time of the last request sent to it, on the entry's clock.
        cache: Prefixes that it has probably cached.
    """

    server: BackendServer
    load: EngineLoad
    heartbeat_round_trip_s: float = 0.002
    outstanding: int = 0
    sent_streams: int = 0
    pending_prefill_tokens: int = 0
    last_sent_s: float = float("-inf")
    cache: PrefixCacheIndex = field(default_factory=PrefixCacheIndex)
    _short_backlog_tokens: float = field(init=False)
    _total_backlog_tokens: float = field(init=False)
    _backlog_updated_s: float = field(init=False, default=0.0)

    def __post_init__(self) -> None:
        self._reset_backlog()

    @property
    def name(self) -> str:
        """Name of its sidecar's instance."""
        return self.server.id

    def update_load(self, load: EngineLoad, now_s: float) -> None:
        """Replace the load by a newer one, which includes the requests sent before it.

        A load with another boot id comes from a restarted sidecar; its prefix cache is
        taken as empty.

        Args:
            load: The reported load.
            now_s: Monotonic time on the entry's clock.
        """
        if load.boot_id != self.load.boot_id:
            self.cache.clear()
        self.load = load
        self.sent_streams = 0
        self._backlog_updated_s = now_s
        self._reset_backlog()

    def record_sent(self, prompt: Prompt, now_s: float) -> None:
        """Count a request sent that the last reported load doesn't include.

        Args:
            prompt: The request.
            now_s: Monotonic time on the entry's clock.
        """
        self._reduce_backlog(now_s)
        self.last_sent_s = now_s
        if prompt.work_class is WorkClass.SHORT:
            self._short_backlog_tokens += prompt.prompt_tokens
        self._total_backlog_tokens += prompt.prompt_tokens
        self.sent_streams += 1
        if prompt.work_class is not WorkClass.LONG:
            self.pending_prefill_tokens += prompt.prompt_tokens

    def remove_pending(self, prompt: Prompt) -> None:
        """Remove a request from the pending prefills, at its first token or its end."""
        if prompt.work_class is not WorkClass.LONG:
            self.pending_prefill_tokens -= prompt.prompt_tokens

    def prefill_backlog_tokens(self, work_class: WorkClass, now_s: float) -> float:
        """Estimate the prompt tokens to be prefilled before new work of a class.

        Args:
            work_class: Length class of the new work.
            now_s: Monotonic time on the entry's clock.
        """
        self._reduce_backlog(now_s)
        backlog = self._total_backlog_tokens
        if work_class is WorkClass.SHORT:
            backlog = self._short_backlog_tokens
        # This entry's own requests without a first token are certainly still there,
        # even if the estimate, with too high a speed, has subtracted them.
        return max(backlog, float(self.pending_prefill_tokens))

    def _reset_backlog(self) -> None:
        self._short_backlog_tokens = float(self.load.prefill_tokens_ahead_of_short)
        self._total_backlog_tokens = float(self.load.prefill_tokens_ahead_of_long)

    def _reduce_backlog(self, now_s: float) -> None:
        """Subtract what the engine has probably prefilled since the last update."""
        prefilled = (
            max(0.0, now_s - self._backlog_updated_s) * self.load.prefill_tokens_per_s
        )
        self._backlog_updated_s = max(self._backlog_updated_s, now_s)
        self._short_backlog_tokens = max(0.0, self._short_backlog_tokens - prefilled)
        self._total_backlog_tokens = max(0.0, self._total_backlog_tokens - prefilled)


class EstimatedLoad(NamedTuple):
    """Estimated load of a backend server, as the placement rules evaluate it.

    The sidecar admits streams, reserves KV cache and protects running streams from
    pauses, so stream limits, KV cache and running streams exclude no engine here. The
    wait for a stream slot and for the current decode step is part of the backlog.

    Attributes:
        wait_s: Seconds until the prefill of new work of a length class starts.
        requests: Requests of this entry in progress there.
    """

    wait_s: float
    requests: int

    @property
    def helper_prefills(self) -> int:
        """Prompts that it prefills a part of for another engine; always 0 here."""
        return 0

    @property
    def kv_tokens(self) -> int:
        """KV cache in use, in tokens; always 0 here, as the sidecar accounts for it."""
        return 0

    @property
    def decoding(self) -> Sequence[AffectedRequest]:
        """Decoding streams that another prefill would pause; always none here."""
        return ()

    @property
    def prefilling(self) -> Sequence[AffectedRequest]:
        """Prefills that another prefill would delay; always none here."""
        return ()

    def backlog_s(self, now_s: float) -> float:
        """Seconds until the prefill of new work starts."""
        return self.wait_s

    def event_interval_s(self, profile: EngineProfile) -> float:
        """Seconds between two events of its streams while no prefill runs."""
        return profile.decode_step_s


def estimate_load(view: BackendView, prompt: Prompt, now_s: float) -> EstimatedLoad:
    """Estimate the load of a backend server as a prompt would meet it.

    Args:
        view: View of the backend server.
        prompt: The prompt.
        now_s: Monotonic time on the entry's clock.

    Returns:
        The load, with the wait for this prompt's length class.
    """
    load = view.load
    backlog = view.prefill_backlog_tokens(prompt.work_class, now_s)
    wait_s = backlog / load.prefill_tokens_per_s
    if prompt.work_class is not WorkClass.LONG and (
        view.prefill_backlog_tokens(WorkClass.LONG, now_s) > backlog
    ):
        # The step that the engine runs now contains a chunk of a long prompt.
        wait_s += _LONG_PREFILL_STEP_S
    wait_s += (
        view.heartbeat_round_trip_s + load.decode_step_s + _stream_slot_wait_s(view)
    )
    return EstimatedLoad(wait_s, view.outstanding)


def prefill_s(view: BackendView, prompt: Prompt, now_s: float) -> float:
    """Seconds that a backend server takes to prefill the uncached part of a prompt.

    Args:
        view: View of the backend server.
        prompt: The prompt.
        now_s: Monotonic time on the entry's clock.
    """
    cached = view.cache.cached_tokens(prompt.prefix_hashes, now_s)
    uncached = max(1, prompt.prompt_tokens - cached)
    return uncached / view.load.prefill_tokens_per_s


def _stream_slot_wait_s(view: BackendView) -> float:
    load = view.load
    streams = load.running_streams + load.waiting_streams + view.sent_streams
    excess = streams + 1 - load.limit_streams
    if excess <= 0:
        return 0.0
    return _SLOT_WAIT_AT_TWICE_LIMIT_S * excess / max(1, load.limit_streams)
