"""The gate before one engine: what starts, what waits, what is refused.

The gate is the only authority on its engine. It is a pure aggregate: it has no clock,
no socket and no random source, and the sidecar's task drives it.
"""

from __future__ import annotations

from dataclasses import dataclass

from gentianhoist.capacity._fair_shares import FairShares
from gentianhoist.capacity._slow_start import SlowStart
from gentianhoist.capacity._speed import SpeedEstimate
from gentianhoist.capacity._work import (
    AdmissionPolicy,
    Decision,
    Refuse,
    Start,
    Wait,
    Work,
    WorkClass,
)
from gentianhoist.exceptions import ErrorKind

__all__ = ["AdmissionController"]

_MIN_RETRY_AFTER_S = 0.05
_RANKS = 2


@dataclass
class _Running:
    work: Work
    started_s: float
    alone: bool
    at_limit: bool
    first_token_s: float | None = None


class AdmissionController:
    """Admission, order and reservations of one engine.

    Args:
        policy: Bounds.
        slow_start: Limit of streams.
        speed: Learnt speeds.
    """

    def __init__(
        self, policy: AdmissionPolicy, slow_start: SlowStart, speed: SpeedEstimate
    ) -> None:
        self._policy = policy
        self._slow_start = slow_start
        self._speed = speed
        self._running: dict[str, _Running] = {}
        self._waiting: dict[str, Work] = {}
        self._tags: dict[str, float] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._held_tokens: dict[str, int] = {}
        self._shares = FairShares()

    @property
    def policy(self) -> AdmissionPolicy:
        """The gate's bounds."""
        return self._policy

    @property
    def slow_start(self) -> SlowStart:
        """The limit of streams."""
        return self._slow_start

    @property
    def speed(self) -> SpeedEstimate:
        """The learnt speeds."""
        return self._speed

    @property
    def running_ids(self) -> list[str]:
        """Requests that run."""
        return list(self._running)

    @property
    def waiting_ids(self) -> list[str]:
        """Requests that wait."""
        return list(self._waiting)

    @property
    def reserved_tokens(self) -> int:
        """KV memory reserved by running work and holds."""
        running = sum(item.work.kv_tokens for item in self._running.values())
        return running + sum(self._held_tokens.values())

    @property
    def kv_free_tokens(self) -> int:
        """KV memory that nothing has reserved."""
        return self._policy.kv_capacity_tokens - self.reserved_tokens

    @property
    def long_streams(self) -> int:
        """Long work, running or waiting."""
        works = [item.work for item in self._running.values()]
        works += self._waiting.values()
        return sum(work.work_class is WorkClass.LONG for work in works)

    def prefill_backlog_tokens(self, work_class: WorkClass, now_s: float) -> int:
        """Prompt tokens that go before new work of a class."""
        ahead = sum(
            self._prefill_left(item, now_s)
            for item in self._running.values()
            if not self._policy.use_length_classes or item.work.work_class <= work_class
        )
        return ahead + sum(
            work.uncached_tokens
            for work in self._waiting.values()
            if not self._policy.use_length_classes or work.work_class <= work_class
        )

    def offer(self, work: Work, now_s: float) -> Decision:
        """Ask for admission.

        Args:
            work: The work.
            now_s: The time on the sidecar's clock.

        Returns:
            Whether it starts, waits or is refused; admitted work counts from now on.
        """
        refusal = self._refusal(work, now_s)
        if refusal is not None:
            return refusal
        self._tag(work)
        self._shares.charge(
            work.organisation,
            work.weight,
            work.uncached_tokens + work.answer_tokens,
            now_s,
        )
        self._waiting[work.request_id] = work
        if self._may_start(work, now_s) and self._next(now_s) is work:
            self._start(work, now_s)
            return Start()
        return Wait()

    def startable(self, now_s: float) -> list[Work]:
        """Start what can start now, in order.

        Returns:
            The work that the caller now has to hand to the engine.
        """
        started = []
        while (work := self._next(now_s)) is not None:
            self._start(work, now_s)
            started.append(work)
        return started

    def priority(self, work: Work, now_s: float) -> int:
        """Priority that work has in the engine; lower goes first.

        Within a class, organisations that have had more than their share come after
        the others, which the engine then takes at its next step.
        """
        if not self._policy.use_length_classes:
            return work.priority
        over = self._shares.is_over_share(work.organisation, now_s)
        return _RANKS * (work.work_class + work.priority) + int(over)

    def first_token(self, request_id: str, now_s: float) -> None:
        """Take note of the first token of running work."""
        item = self._running.get(request_id)
        if item is None or item.first_token_s is not None:
            return
        item.first_token_s = now_s
        if item.alone:
            self._speed.prefilled(item.work.uncached_tokens, now_s - item.started_s)
        if self._speed.looks_cold and self._slow_start.is_warm:
            # It turned cold without a warning; its memory is as it was.
            self._slow_start.reset()
            self._speed.turned_cold()
            return
        self._slow_start.record_success(
            slowness_ratio=self._speed.slowness_ratio, at_limit=item.at_limit
        )

    def end(self, request_id: str, now_s: float, tokens: int = 0) -> None:
        """Free what a request has, whether it ran or waited.

        Args:
            request_id: The request.
            now_s: The time on the sidecar's clock.
            tokens: Tokens that it generated.
        """
        self._waiting.pop(request_id, None)
        self._tags.pop(request_id, None)
        item = self._running.pop(request_id, None)
        if item is not None and item.first_token_s is not None and tokens > 1:
            self._speed.decoded(tokens - 1, now_s - item.first_token_s)

    def infeasible_work(self, now_s: float) -> list[Work]:
        """Waiting work that can't be done by its deadline any more."""
        return [
            work
            for work in self._waiting.values()
            if now_s + self._alone_s(work) > work.deadline_s
        ]

    def hold(self, name: str, tokens: int) -> bool:
        """Reserve KV memory under a name; False if there isn't enough."""
        if tokens > self.kv_free_tokens:
            return False
        self._held_tokens[name] = self._held_tokens.get(name, 0) + tokens
        return True

    def free(self, name: str) -> None:
        """Free the KV memory reserved under a name."""
        self._held_tokens.pop(name, None)

    def turned_cold(self) -> None:
        """The engine started again: it has no memory and bears only a little."""
        self._slow_start.reset()
        self._held_tokens.clear()

    def _refusal(self, work: Work, now_s: float) -> Refuse | None:
        if work.kv_tokens > self._policy.kv_capacity_tokens:
            return Refuse(
                ErrorKind.PROMPT_TOO_LONG, "the prompt is larger than the memory"
            )
        left_s = work.deadline_s - now_s
        if self._alone_s(work) > left_s:
            return Refuse(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"it takes about {self._alone_s(work):.1f} s, and {left_s:.1f} s are"
                " left",
            )
        ahead_s = self._wait_s(work, now_s)
        if len(self._waiting) >= self._policy.waiting_streams or (
            ahead_s + self._alone_s(work) > left_s
        ):
            retry_after_s = max(_MIN_RETRY_AFTER_S, ahead_s)
            return Refuse(ErrorKind.OVERLOADED, "the queue is full", retry_after_s)
        return None

    def _alone_s(self, work: Work) -> float:
        prefill_s = work.uncached_tokens / self._speed.prefill_tokens_per_s
        return prefill_s + work.answer_tokens * self._speed.decode_step_s

    def _wait_s(self, work: Work, now_s: float) -> float:
        ahead = self.prefill_backlog_tokens(work.work_class, now_s)
        wait_s = ahead / self._speed.prefill_tokens_per_s
        queue = len(self._waiting) + len(self._running) + 1
        limit = max(1, self._slow_start.limit_streams)
        if queue <= limit:
            return wait_s
        # Places come free as answers end.
        mean_s = self._mean_decode_s()
        return wait_s + mean_s * (queue - limit) / limit

    def _mean_decode_s(self) -> float:
        works = [item.work for item in self._running.values()]
        if not works:
            return 0.0
        mean_tokens = sum(work.answer_tokens for work in works) / len(works)
        return mean_tokens * self._speed.decode_step_s

    def _prefill_left(self, item: _Running, now_s: float) -> int:
        if item.first_token_s is not None:
            return 0
        done = int((now_s - item.started_s) * self._speed.prefill_tokens_per_s)
        return max(0, item.work.uncached_tokens - done)

    def _tag(self, work: Work) -> None:
        # Start-time fair queueing between organisations.
        tag = max(self._virtual_time, self._finish_tags.get(work.organisation, 0.0))
        self._tags[work.request_id] = tag
        cost = (work.uncached_tokens + work.answer_tokens) / work.weight
        self._finish_tags[work.organisation] = tag + cost

    def _order(self, work: Work, now_s: float) -> tuple[float, float]:
        if not self._policy.use_length_classes:
            return (work.arrived_s, 0.0)
        raised = int((now_s - work.arrived_s) / self._policy.ageing_s)
        rank = work.work_class + work.priority - raised
        return (float(rank), self._tags[work.request_id])

    def _next(self, now_s: float) -> Work | None:
        ready = [
            work for work in self._waiting.values() if self._may_start(work, now_s)
        ]
        if not ready:
            return None
        return min(ready, key=lambda work: self._order(work, now_s))

    def _may_start(self, work: Work, now_s: float) -> bool:
        if len(self._running) >= self._slow_start.limit_streams:
            return False
        if work.kv_tokens > self.kv_free_tokens:
            return False
        if not self._policy.use_length_classes:
            return True
        return self._prefill_has_room(work, now_s)

    def _prefill_has_room(self, work: Work, now_s: float) -> bool:
        prefilling = [
            item for item in self._running.values() if item.first_token_s is None
        ]
        if work.work_class is WorkClass.LONG:
            longs = sum(item.work.work_class is WorkClass.LONG for item in prefilling)
            return longs < self._policy.long_prefills
        ahead = sum(
            self._prefill_left(item, now_s)
            for item in prefilling
            if item.work.work_class is not WorkClass.LONG
        )
        if not ahead or ahead + work.uncached_tokens <= self._policy.prefill_tokens:
            return True
        # The engine takes the others' work first, by its priority.
        return not self._shares.is_over_share(work.organisation, now_s)

    def _start(self, work: Work, now_s: float) -> None:
        del self._waiting[work.request_id]
        tag = self._tags.pop(work.request_id, self._virtual_time)
        self._virtual_time = max(self._virtual_time, tag)
        alone = all(item.first_token_s for item in self._running.values())
        for item in self._running.values():
            item.alone = item.alone and item.first_token_s is not None
        at_limit = len(self._running) + 1 >= self._slow_start.limit_streams
        self._running[work.request_id] = _Running(work, now_s, alone, at_limit)
