"""Expected time to first token of one request on one backend server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gentianhoist.capacity import WorkClass
from gentianhoist.routing._cache_map import CacheMap
from gentianhoist.routing._prefix import PrefixMark
from gentianhoist.wire import EngineLoad

_COLD_WAIT_S = 0.5
_LONG_STEP_S = 0.025


class Demand(NamedTuple):
    """What a request asks of a backend server.

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
        name: Name of its sidecar's instance.
        availability_zone: Its availability zone.
        load: The last load heard.
        network_s: Round trip to it.
        outstanding: Requests of this entry that it has.
        sent_streams: Streams sent since the last load.
        unanswered_tokens: Prompt tokens of this entry's requests there that have no
            first token yet.
        last_sent_s: When this entry sent it a request, on the entry's clock.
        cache: Prefixes that it probably has.
    """

    name: str
    availability_zone: str
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

    def heard(self, load: EngineLoad, now_s: float) -> None:
        """Take a new load; it includes what was sent before it."""
        if load.boot_id != self.load.boot_id:
            self.cache.clear()
        self.load = load
        self.sent_streams = 0
        self._settled_s = now_s
        self._take_ahead()

    def sent(self, demand: Demand, now_s: float) -> None:
        """Take note of a request sent, which the last load doesn't show."""
        self._settle(now_s)
        self.last_sent_s = now_s
        if demand.work_class is WorkClass.SHORT:
            self._short_ahead_tokens += demand.prompt_tokens
        self._total_ahead_tokens += demand.prompt_tokens
        self.sent_streams += 1
        if demand.work_class is not WorkClass.LONG:
            self.unanswered_tokens += demand.prompt_tokens

    def answered(self, demand: Demand) -> None:
        """Take note of the first token of a request sent, or of its end."""
        if demand.work_class is not WorkClass.LONG:
            self.unanswered_tokens -= demand.prompt_tokens

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


def expected_first_token_s(view: BackendView, demand: Demand, now_s: float) -> float:
    """Expected time to first token.

    Args:
        view: What is known of the backend server.
        demand: What the request asks.
        now_s: The time on the entry's clock.

    Returns:
        Seconds. A cached prefix is a saving in them, never a rule.
    """
    load = view.load
    cached = view.cache.cached_tokens(demand.marks, now_s)
    uncached = max(1, demand.prompt_tokens - cached)
    ahead = view.ahead_tokens(demand.work_class, now_s)
    prefill_s = (ahead + uncached) / load.prefill_tokens_per_s
    if demand.work_class is not WorkClass.LONG and (
        view.ahead_tokens(WorkClass.LONG, now_s) > ahead
    ):
        # The step that the engine is at has a part of a long prompt in it.
        prefill_s += _LONG_STEP_S
    return view.network_s + load.decode_step_s + prefill_s + _place_wait_s(view)


def _place_wait_s(view: BackendView) -> float:
    load = view.load
    streams = load.running_streams + load.waiting_streams + view.sent_streams
    excess = streams + 1 - load.limit_streams
    if excess <= 0:
        return 0.0
    return _COLD_WAIT_S * excess / max(1, load.limit_streams)
