"""What one prompt needs, and how long it can wait for engines."""

from __future__ import annotations

import asyncio

from gentianhoist.dispatch._context import DispatchContext
from gentianhoist.dispatch._placement_constraints import PlacementConstraints
from gentianhoist.dispatch._request import Request
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.fleet import EngineProfile
from gentianhoist.placement import Demand, PlacementPolicy, suits_one_engine

__all__ = ["PromptEstimates"]

_BASE_VALUE = 1.0
_PROMPT_TOKENS_PER_VALUE = 10_000
_SHORT_PROMPT_URGENCY = 3
_LONG_PROMPT_URGENCY = 6
_LONG_PROMPT_TOKENS = 30_000
_MIN_DECODE_STEP_S = 0.001
# Engines assumed to share the prefill of a prompt, to estimate its minimum duration.
_TYPICAL_PREFILL_ENGINES = 4
# Seconds between the expected first event and the caller's disconnect without one.
_NO_EVENT_MARGIN_S = 0.3
# Factor on the expected duration of a response that has to end before the entry does:
# engines turn slower as they get more requests.
_STOP_DURATION_RATIO = 1.5
# Event intervals of a busy engine until the first event: half of the current one, and
# one of its own.
_EVENT_INTERVALS = 1.5
# Part of the goal before which no prompt counts as late, however long its prefill is.
_MIN_ON_TIME_RATIO = 0.25
_NETWORK_S = PlacementPolicy().network_s


class PromptEstimates:
    """Demand of one prompt, and the seconds that it takes and can wait.

    Args:
        context: DispatchContext with the state that all requests share.
        request: The admitted request.
        constraints: Limits the choice of engines.
    """

    def __init__(
        self,
        context: DispatchContext,
        request: Request,
        constraints: PlacementConstraints,
    ) -> None:
        self._context = context
        self._request = request
        self._constraints = constraints
        self._loop = asyncio.get_running_loop()

    @property
    def profile(self) -> EngineProfile:
        """Cost model of the engines.

        Raises:
            HoistError: If the server group has no model engines.
        """
        profile = self._constraints.group.engine
        if profile is None:
            raise HoistError(
                ErrorKind.NO_BACKEND_SERVER,
                "the server group of the route has no model engines",
                retry_after_s=0.5,
            )
        return profile

    @property
    def urgency(self) -> int:
        """Scheduling rank at the engine, 0 first."""
        is_long = self._request.call.prompt_tokens >= _LONG_PROMPT_TOKENS
        return _LONG_PROMPT_URGENCY if is_long else _SHORT_PROMPT_URGENCY

    def demand(self) -> Demand:
        """Resources that the prompt needs, and its latency goals."""
        call = self._request.call
        waited_s = self._loop.time() - call.received_s
        return Demand(
            call.prompt_tokens,
            call.expected_output_tokens,
            self._request.route.goal_s - waited_s,
            self._request.route.pause_goal_s,
            _BASE_VALUE + call.prompt_tokens / _PROMPT_TOKENS_PER_VALUE,
        )

    def on_time_s(self, demand: Demand) -> float:
        """Seconds that it can wait and its first event still be on time.

        With admission by the use of the fleet, a prompt that would be late on a busy
        engine leaves its turn to one that isn't: otherwise, under overload, each is
        placed at the last moment and becomes late by little.
        """
        ttft_s = self.min_prefill_s(demand)
        if self._context.admission.is_active:
            longest_s = (1.0 - _MIN_ON_TIME_RATIO) * self._request.route.goal_s
            ttft_s = min(self._busy_ttft_s(demand), longest_s)
        return demand.ttft_budget_s - ttft_s

    def slack_s(self, demand: Demand) -> float:
        """Seconds it can wait before the caller disconnects or the deadline passes."""
        now_s = self._loop.time()
        disconnect_slack_s = (
            self._request.no_event_deadline_s - now_s - _NO_EVENT_MARGIN_S
        )
        decode_slack_s = self._request.remaining_s(now_s) - self.decode_s(demand)
        return min(disconnect_slack_s, decode_slack_s) - self.min_prefill_s(demand)

    def slack_until_stop_s(self, demand: Demand) -> float:
        """Seconds it can wait, and still end before the entry does if that stops."""
        remaining_s = self._context.shutdown.remaining_s(self._loop.time())
        duration_s = self.duration_s(demand, self.min_prefill_s(demand))
        return min(self.slack_s(demand), remaining_s - duration_s)

    def prefill_s(self, demand: Demand) -> float:
        """Seconds of prefill on one engine."""
        return self.profile.prefill_s(demand.prompt_tokens)

    def min_prefill_s(self, demand: Demand) -> float:
        """Seconds of prefill if several engines share it."""
        return self.prefill_s(demand) / _TYPICAL_PREFILL_ENGINES

    def decode_s(self, demand: Demand) -> float:
        """Expected seconds of decode."""
        return demand.expected_output_tokens * max(
            _MIN_DECODE_STEP_S, self.profile.decode_step_s
        )

    def duration_s(self, demand: Demand, ttft_s: float) -> float:
        """Seconds until the end of the response that are counted on before a stop.

        A request that may have run can't be refused, so it waits until the stop.
        """
        if self._request.may_have_run:
            return 0.0
        return _STOP_DURATION_RATIO * (ttft_s + self.decode_s(demand))

    def _busy_ttft_s(self, demand: Demand) -> float:
        """Seconds to the first event on engines whose slots are all in use."""
        profile = self.profile
        prefill_s = self.prefill_s(demand)
        if not suits_one_engine(demand, prefill_s):
            prefill_s /= _TYPICAL_PREFILL_ENGINES
        context_tokens = profile.slots * demand.kv_tokens
        context_tokens = min(context_tokens, profile.kv_capacity_tokens)
        interval_s = profile.event_interval_s(profile.slots, context_tokens)
        return _NETWORK_S + prefill_s + _EVENT_INTERVALS * interval_s
