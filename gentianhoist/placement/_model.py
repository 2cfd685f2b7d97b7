"""What a placement decides on: requests, engines with their load, and weights."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from gentianhoist.fleet import BackendServer, EngineProfile
from gentianhoist.placement._ledger import AffectedRequest

__all__ = [
    "DEFAULT_POLICY",
    "Candidate",
    "Demand",
    "Load",
    "Placement",
    "PlacementPolicy",
]


class PlacementPolicy(NamedTuple):
    """Weights of the placement cost function. Values are in the unit of `Demand.value`.

    Attributes:
        late_loss_ratio: Fraction of a request's value that is lost when it is late.
        on_time_ratio: Fraction of a limit up to which an expected time has no risk of
            being late.
        late_ratio: Fraction of a limit from which an expected time is certain to be
            late.
        network_s: Network round trip and scheduling delay of every response, in
            seconds.
        cost_per_decoding_stream: Cost of the capacity that one more stream takes on an
            engine, charged per stream that the engine decodes already.
        kv_fill_ratio: Fraction of the KV cache that placement may fill.
        gang_handover_s: Seconds from the end of the last prefill share to the first
            event, if helpers took part.
        base_prefill_cost_per_s: Cost of one second of prefill on one engine, always
            charged.
        scarcity_cost_per_s: Cost added per second of prefill at full scarcity, which is
            reached when there are as many requests as slots on idle engines.
        scarce_from_ratio: Ratio of requests on all engines to slots on idle engines
            from which on the added cost rises linearly.
        max_idle_backlog_s: Prefill backlog, in seconds, up to which an engine counts as
            idle.
        urgency_span_s: Slack, in seconds, below which a request that will be late is
            placed even though it delays others; the accepted cost grows as the slack
            shrinks.
        min_wait_slack_s: Slack, in seconds, at or below which no request waits by
            choice.
        delay_loss_ratio_per_s: Fraction of a request's value lost per second until its
            first event. It only ranks the engines that may prefill the whole prompt
            alone, and isn't part of `Placement.own_loss`.
    """

    late_loss_ratio: float = 0.75
    on_time_ratio: float = 0.65
    late_ratio: float = 1.05
    network_s: float = 0.01
    cost_per_decoding_stream: float = 0.01
    kv_fill_ratio: float = 0.97
    gang_handover_s: float = 0.01
    base_prefill_cost_per_s: float = 0.3
    scarcity_cost_per_s: float = 5.0
    scarce_from_ratio: float = 0.45
    max_idle_backlog_s: float = 0.15
    urgency_span_s: float = 4.0
    min_wait_slack_s: float = 0.5
    delay_loss_ratio_per_s: float = 0.1


DEFAULT_POLICY = PlacementPolicy()


class Demand(NamedTuple):
    """Resources and latency goals of one request.

    Attributes:
        prompt_tokens: Number of prompt tokens.
        expected_output_tokens: Expected number of output tokens.
        ttft_budget_s: Seconds left until the first event misses its goal; negative
            once it has.
        pause_goal_s: Longest pause between two events, in seconds, that meets the
            inter-token latency goal.
        value: Value of the complete output; only ratios between requests matter.
    """

    prompt_tokens: int
    expected_output_tokens: int
    ttft_budget_s: float
    pause_goal_s: float
    value: float

    @property
    def kv_tokens(self) -> int:
        """KV cache that the request needs, in tokens."""
        return self.prompt_tokens + self.expected_output_tokens


class Load(Protocol):
    """Work on one engine, as the placement sees it."""

    @property
    def requests(self) -> int:
        """Number of requests that take a slot."""

    @property
    def helper_prefills(self) -> int:
        """Number of prefill shares that it computes for other engines."""

    @property
    def kv_tokens(self) -> int:
        """KV cache in use or committed, in tokens."""

    @property
    def decoding(self) -> Sequence[AffectedRequest]:
        """Streams in decode that more prefill work would make pause."""

    @property
    def prefilling(self) -> Sequence[AffectedRequest]:
        """Prompts in prefill that more prefill work would delay."""

    def backlog_s(self, now_s: float) -> float:
        """Seconds until the prefill of new work starts."""

    def event_interval_s(self, profile: EngineProfile) -> float:
        """Seconds between two events of its streams while no prefill runs."""


class Candidate(NamedTuple):
    """An engine that may be chosen.

    Attributes:
        server: The engine.
        load: The work on it.
        slowness: Ratio of its measured to its expected processing time.
        failure_penalty: Value that choosing it is expected to lose, given its recent
            failures.
        preference_cost: Value of leaving it unused. It has two parts: the engine's rank
            in an order that all entries share, so that streams concentrate on
            low-ranked engines, and a random part, so that entries that choose at the
            same moment choose different engines.
        is_within_cold_limit: Whether the bounds of its slow start allow another request
            now; True for an engine that has not started or recovered recently.
        is_within_rate_limit: Whether the rate limit that it names allows another
            request now, or a share of one; True for an engine that names none.
        uncached_ratio: Fraction of this prompt that it has to prefill; less than 1 if
            its prefix cache holds the start of the prompt.
        is_claimable: Whether this entry may take a free slot of it now, and no other
            entry goes first.
    """

    server: BackendServer
    load: Load
    slowness: float = 1.0
    failure_penalty: float = 0.0
    preference_cost: float = 0.0
    is_within_cold_limit: bool = True
    is_within_rate_limit: bool = True
    uncached_ratio: float = 1.0
    is_claimable: bool = True


class Placement(NamedTuple):
    """Engines that prefill one prompt.

    Attributes:
        decode_engine: The engine that decodes and returns the output.
        helpers: Further engines that prefill a share of the prompt.
        share_prefill_s: Prefill time of one share, in seconds, on an engine of normal
            speed without cached prefix.
        expected_ttft_s: Expected time to the first event, in seconds.
        reserved_kv_tokens_per_engine: KV cache that each engine, the decode engine
            included, has to reserve if the request doesn't fit in the free KV cache of
            one engine, in tokens; else 0.
        own_loss: Value that the request itself is expected to lose.
        selection_cost: Cost of selecting these engines: the expected loss of other
            requests, the failure penalties and the preference costs.
    """

    decode_engine: BackendServer
    helpers: tuple[BackendServer, ...]
    share_prefill_s: float
    expected_ttft_s: float
    reserved_kv_tokens_per_engine: int
    own_loss: float
    selection_cost: float

    @property
    def loss(self) -> float:
        """Loss of the request itself and the selection cost; the smallest wins."""
        return self.own_loss + self.selection_cost
