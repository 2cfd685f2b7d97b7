"""What an entry knows of a backend server that has a sidecar."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from gentianhoist.capacity import WorkClass
from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.placement import AffectedRequest
from gentianhoist.routing._cache_map import CacheMap
from gentianhoist.routing._prefix import PrefixMark

if TYPE_CHECKING:
    # Entries without sidecars start faster without this protocol's libraries.
    from gentianhoist.wire import EngineLoad

_COLD_WAIT_S = 0.5
_LONG_STEP_S = 0.025


class Prompt(NamedTuple):
    """A prompt, as far as the choice of a backend server depends on it.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        answer_tokens: Tokens of the answer at the most.
        work_class: Length class.
        marks: Prefixes of the prompt.
    """

    prompt_tokens: int
    answer_tokens: int
    work_class: WorkClass
    marks: tuple[PrefixMark, ...] = ()


@dataclass
class BackendView:
    """What an entry knows of one backend server; all of it may be old.

    Attributes:
        server: The backend server, by the name and address of its sidecar.
        load: The last load heard.
        network_s: Round trip to it.
        outstanding: Requests of this entry that it has.
        sent_streams: Streams sent since the last load.
        unanswered_tokens: Prompt tokens of this entry's requests there that have no
            first token yet.
        last_sent_s: When this entry sent it a request, on the entry's clock.
        cache: Prefixes that it probably has.
    """

    server: BackendServer
    load: EngineLoad
    network_s: float = 0.002
    outstanding: int = 0
    sent_streams: int = 0
    unanswered_tokens: int = 0
    last_sent_s: float = float("-inf")
    cache: CacheMap = field(default_factory=CacheMap)
    _short_ahead_tokens: float = field(init=False)
    _total_ahead_tokens: float = field(init=False)
    _settled_s: float = field(init=False, default=0.0)

    def __post_init__(self) -> None:
        self._take_ahead()

    @property
    def name(self) -> str:
        """Name of its sidecar's instance."""
        return self.server.id

    def heard(self, load: EngineLoad, now_s: float) -> None:
        """Take a new load; it includes what was sent before it."""
        if load.boot_id != self.load.boot_id:
            self.cache.clear()
        self.load = load
        self.sent_streams = 0
        self._settled_s = now_s
        self._take_ahead()

    def sent(self, prompt: Prompt, now_s: float) -> None:
        """Take note of a request sent, which the last load doesn't show."""
        self._settle(now_s)
        self.last_sent_s = now_s
        if prompt.work_class is WorkClass.SHORT:
            self._short_ahead_tokens += prompt.prompt_tokens
        self._total_ahead_tokens += prompt.prompt_tokens
        self.sent_streams += 1
        if prompt.work_class is not WorkClass.LONG:
            self.unanswered_tokens += prompt.prompt_tokens

    def answered(self, prompt: Prompt) -> None:
        """Take note of the first token of a request sent, or of its end."""
        if prompt.work_class is not WorkClass.LONG:
            self.unanswered_tokens -= prompt.prompt_tokens

    def ahead_tokens(self, work_class: WorkClass, now_s: float) -> float:
        """Prompt tokens that probably go before new work of a class."""
        self._settle(now_s)
        ahead = self._total_ahead_tokens
        if work_class is WorkClass.SHORT:
            ahead = self._short_ahead_tokens
        # What this entry waits for itself is certain, whatever the estimate says.
        return max(ahead, float(self.unanswered_tokens))

    def _take_ahead(self) -> None:
        self._short_ahead_tokens = float(self.load.short_prefill_tokens)
        self._total_ahead_tokens = float(self.load.total_prefill_tokens)

    def _settle(self, now_s: float) -> None:
        """Take off what the engine has worked off since the last look."""
        done = max(0.0, now_s - self._settled_s) * self.load.prefill_tokens_per_s
        self._settled_s = max(self._settled_s, now_s)
        self._short_ahead_tokens = max(0.0, self._short_ahead_tokens - done)
        self._total_ahead_tokens = max(0.0, self._total_ahead_tokens - done)


class ReportedLoad(NamedTuple):
    """The load that a sidecar reports, as the choice of engines weighs it.

    The sidecar decides on places and memory and keeps streams from pausing, so these
    keep no engine from being chosen: what work waits for there is in its backlog.

    Attributes:
        wait_s: Seconds until new work of a length class begins to be read.
        requests: Requests of this entry that it has.
    """

    wait_s: float
    requests: int

    @property
    def helper_prefills(self) -> int:
        """Prompts that it reads a part of for another engine."""
        return 0

    @property
    def kv_tokens(self) -> int:
        """KV memory taken, which the sidecar keeps account of."""
        return 0

    @property
    def decoding(self) -> Sequence[AffectedRequest]:
        """Streams that more reading would make pause."""
        return ()

    @property
    def prefilling(self) -> Sequence[AffectedRequest]:
        """Prompts that more reading would delay."""
        return ()

    def backlog_s(self, now_s: float) -> float:
        """Seconds until new work begins to be read."""
        return self.wait_s

    def event_interval_s(self, profile: EngineProfile) -> float:
        """Seconds between two events of its streams while nothing is read."""
        return profile.decode_step_s


def reported_load(view: BackendView, prompt: Prompt, now_s: float) -> ReportedLoad:
    """The load that a prompt meets at a backend server.

    Args:
        view: What is known of the backend server.
        prompt: The prompt.
        now_s: The time on the entry's clock.
    """
    load = view.load
    ahead = view.ahead_tokens(prompt.work_class, now_s)
    wait_s = ahead / load.prefill_tokens_per_s
    if prompt.work_class is not WorkClass.LONG and (
        view.ahead_tokens(WorkClass.LONG, now_s) > ahead
    ):
        # The step that the engine is at has a part of a long prompt in it.
        wait_s += _LONG_STEP_S
    wait_s += view.network_s + load.decode_step_s + _place_wait_s(view)
    return ReportedLoad(wait_s, view.outstanding)


def read_s(view: BackendView, prompt: Prompt, now_s: float) -> float:
    """Seconds in which a backend server reads what its cache lacks of a prompt."""
    cached = view.cache.cached_tokens(prompt.marks, now_s)
    uncached = max(1, prompt.prompt_tokens - cached)
    return uncached / view.load.prefill_tokens_per_s


def _place_wait_s(view: BackendView) -> float:
    load = view.load
    streams = load.running_streams + load.waiting_streams + view.sent_streams
    excess = streams + 1 - load.limit_streams
    if excess <= 0:
        return 0.0
    return _COLD_WAIT_S * excess / max(1, load.limit_streams)
