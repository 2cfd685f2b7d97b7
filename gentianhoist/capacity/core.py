"""Admission control of one engine: which work starts, waits or is refused.

Only the controller decides what runs on its engine. It is deterministic: it has no
clock, socket or random source, and the sidecar's task calls it with the time.
"""

from __future__ import annotations

from dataclasses import dataclass

from gentianhoist.capacity._concurrency_limit import AdaptiveConcurrencyLimit
from gentianhoist.capacity._fair_shares import FairShares
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
_RANKS_PER_CLASS = 2


@dataclass
class _Running:
    work: Work
    started_s: float
    prefilled_alone: bool
    started_at_limit: bool
    first_token_s: float | None = None


class AdmissionController:
    """Admits work to one engine, orders its queue and reserves its KV cache.

    Args:
        policy: Limits of admission.
        concurrency_limit: Adaptive limit of running streams.
        speed: Estimated speeds of the engine.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        concurrency_limit: AdaptiveConcurrencyLimit,
        speed: SpeedEstimate,
    ) -> None:
        self._policy = policy
        self._concurrency_limit = concurrency_limit
        self._speed = speed
        self._running: dict[str, _Running] = {}
        self._waiting: dict[str, Work] = {}
        self._start_tags: dict[str, float] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._held_tokens: dict[str, int] = {}
        self._shares = FairShares()

    @property
    def policy(self) -> AdmissionPolicy:
        """Limits of admission."""
        return self._policy

    @property
    def concurrency_limit(self) -> AdaptiveConcurrencyLimit:
        """Adaptive limit of running streams."""
        return self._concurrency_limit

    @property
    def speed(self) -> SpeedEstimate:
        """Estimated speeds of the engine."""
        return self._speed

    @property
    def running_ids(self) -> list[str]:
        """Identifiers of the running requests."""
        return list(self._running)

    @property
    def waiting_ids(self) -> list[str]:
        """Identifiers of the waiting requests."""
        return list(self._waiting)

    @property
    def reserved_tokens(self) -> int:
        """KV cache reserved by running work and by `hold`, in tokens."""
        running = sum(item.work.kv_tokens for item in self._running.values())
        return running + sum(self._held_tokens.values())

    @property
    def kv_free_tokens(self) -> int:
        """KV cache that is not reserved, in tokens."""
        return self._policy.kv_capacity_tokens - self.reserved_tokens

    @property
    def long_streams(self) -> int:
        """Number of long streams, running or waiting."""
        works = [item.work for item in self._running.values()]
        works += self._waiting.values()
        return sum(work.work_class is WorkClass.LONG for work in works)

    def prefill_backlog_tokens(self, work_class: WorkClass, now_s: float) -> int:
        """Prompt tokens to be prefilled before new work of a class.

        Args:
            work_class: Length class of the new work.
            now_s: Monotonic time on the sidecar's clock.
        """
        backlog = sum(
            self._remaining_prefill_tokens(item, now_s)
            for item in self._running.values()
            if not self._policy.use_priority_scheduling
            or item.work.work_class <= work_class
        )
        return backlog + sum(
            work.uncached_tokens
            for work in self._waiting.values()
            if not self._policy.use_priority_scheduling or work.work_class <= work_class
        )

    def offer(self, work: Work, now_s: float) -> Decision:
        """Submit work for admission.

        Args:
            work: The work.
            now_s: Monotonic time on the sidecar's clock.

        Returns:
            Whether it starts, waits or is refused. Work that isn't refused occupies the
            engine or its queue until `end`.
        """
        refusal = self._refusal(work, now_s)
        if refusal is not None:
            return refusal
        self._assign_start_tag(work)
        self._shares.charge(
            work.organisation,
            work.weight,
            work.uncached_tokens + work.max_output_tokens,
            now_s,
        )
        self._waiting[work.request_id] = work
        if self._can_start(work, now_s) and self._next_startable(now_s) is work:
            self._start(work, now_s)
            return Start()
        return Wait()

    def startable(self, now_s: float) -> list[Work]:
        """Start the waiting work that can start now.

        Returns:
            The started work in order, which the caller must submit to the engine.
        """
        started = []
        while (work := self._next_startable(now_s)) is not None:
            self._start(work, now_s)
            started.append(work)
        return started

    def priority(self, work: Work, now_s: float) -> int:
        """Scheduling priority of work in the engine; a lower value goes first.

        Within a class, the engine schedules work of organisations within their fair
        share first, at its next step.
        """
        if not self._policy.use_priority_scheduling:
            return work.priority
        is_over = self._shares.is_over_share(work.organisation, now_s)
        return _RANKS_PER_CLASS * (work.work_class + work.priority) + int(is_over)

    def first_token(self, request_id: str, now_s: float) -> None:
        """Record the first token of running work and adapt limit and speeds."""
        item = self._running.get(request_id)
        if item is None or item.first_token_s is not None:
            return
        item.first_token_s = now_s
        if item.prefilled_alone:
            self._speed.record_prefill(
                item.work.uncached_tokens, now_s - item.started_s
            )
        if self._speed.looks_cold and self._concurrency_limit.is_warm:
            # The engine has become as slow as a cold one without reporting a restart,
            # so its KV cache counts as intact and the holds stay.
            self._concurrency_limit.reset()
            self._speed.reset_slow_prefills()
            return
        self._concurrency_limit.record_success(
            slowness_ratio=self._speed.slowness_ratio, at_limit=item.started_at_limit
        )

    def end(self, request_id: str, now_s: float, tokens: int = 0) -> None:
        """Remove a request, running or waiting, and free its KV cache.

        Args:
            request_id: Identifier of the request; unknown ones are ignored.
            now_s: Monotonic time on the sidecar's clock.
            tokens: Number of tokens that it generated.
        """
        self._waiting.pop(request_id, None)
        self._start_tags.pop(request_id, None)
        item = self._running.pop(request_id, None)
        if item is not None and item.first_token_s is not None and tokens > 1:
            self._speed.record_decode(tokens - 1, now_s - item.first_token_s)

    def infeasible_work(self, now_s: float) -> list[Work]:
        """Waiting work that can no longer be completed by its deadline."""
        return [
            work
            for work in self._waiting.values()
            if now_s + self._unloaded_service_s(work) > work.deadline_s
        ]

    def hold(self, name: str, tokens: int) -> bool:
        """Reserve KV cache under a name, in addition to what the name already has.

        Args:
            name: Name of the reservation.
            tokens: Size of the reservation, in tokens.

        Returns:
            Whether enough KV cache was free.
        """
        if tokens > self.kv_free_tokens:
            return False
        self._held_tokens[name] = self._held_tokens.get(name, 0) + tokens
        return True

    def free(self, name: str) -> None:
        """Free all KV cache reserved under a name."""
        self._held_tokens.pop(name, None)

    def turned_cold(self) -> None:
        """Reset the stream limit and drop all holds after a restart of the engine."""
        self._concurrency_limit.reset()
        self._held_tokens.clear()

    def _refusal(self, work: Work, now_s: float) -> Refuse | None:
        if work.kv_tokens > self._policy.kv_capacity_tokens:
            return Refuse(
                ErrorKind.PROMPT_TOO_LONG,
                "the prompt and its answer exceed the KV cache",
            )
        left_s = work.deadline_s - now_s
        if self._unloaded_service_s(work) > left_s:
            return Refuse(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"the request needs about {self._unloaded_service_s(work):.1f} s, and"
                f" {left_s:.1f} s are left until its deadline",
            )
        estimated_wait_s = self._queue_wait_s(work, now_s)
        if len(self._waiting) >= self._policy.max_waiting_streams or (
            estimated_wait_s + self._unloaded_service_s(work) > left_s
        ):
            retry_after_s = max(_MIN_RETRY_AFTER_S, estimated_wait_s)
            return Refuse(
                ErrorKind.OVERLOADED,
                "the queue is full or too long for the deadline",
                retry_after_s,
            )
        return None

    def _unloaded_service_s(self, work: Work) -> float:
        prefill_s = work.uncached_tokens / self._speed.prefill_tokens_per_s
        return prefill_s + work.max_output_tokens * self._speed.decode_step_s

    def _queue_wait_s(self, work: Work, now_s: float) -> float:
        backlog = self.prefill_backlog_tokens(work.work_class, now_s)
        wait_s = backlog / self._speed.prefill_tokens_per_s
        streams = len(self._waiting) + len(self._running) + 1
        limit = max(1, self._concurrency_limit.limit_streams)
        if streams <= limit:
            return wait_s
        # Above the limit, a stream starts only when a running one ends.
        decode_s = self._mean_decode_s()
        return wait_s + decode_s * (streams - limit) / limit

    def _mean_decode_s(self) -> float:
        works = [item.work for item in self._running.values()]
        if not works:
            return 0.0
        mean_tokens = sum(work.max_output_tokens for work in works) / len(works)
        return mean_tokens * self._speed.decode_step_s

    def _remaining_prefill_tokens(self, item: _Running, now_s: float) -> int:
        if item.first_token_s is not None:
            return 0
        prefilled = int((now_s - item.started_s) * self._speed.prefill_tokens_per_s)
        return max(0, item.work.uncached_tokens - prefilled)

    def _assign_start_tag(self, work: Work) -> None:
        # Start-time fair queueing (SFQ) between organisations.
        tag = max(self._virtual_time, self._finish_tags.get(work.organisation, 0.0))
        self._start_tags[work.request_id] = tag
        cost = (work.uncached_tokens + work.max_output_tokens) / work.weight
        self._finish_tags[work.organisation] = tag + cost

    def _queue_key(self, work: Work, now_s: float) -> tuple[float, float]:
        if not self._policy.use_priority_scheduling:
            return (work.arrived_s, 0.0)
        raised_classes = int((now_s - work.arrived_s) / self._policy.ageing_s)
        rank = work.work_class + work.priority - raised_classes
        return (float(rank), self._start_tags[work.request_id])

    def _next_startable(self, now_s: float) -> Work | None:
        candidates = [
            work for work in self._waiting.values() if self._can_start(work, now_s)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda work: self._queue_key(work, now_s))

    def _can_start(self, work: Work, now_s: float) -> bool:
        if len(self._running) >= self._concurrency_limit.limit_streams:
            return False
        if work.kv_tokens > self.kv_free_tokens:
            return False
        if not self._policy.use_priority_scheduling:
            return True
        return self._has_prefill_capacity(work, now_s)

    def _has_prefill_capacity(self, work: Work, now_s: float) -> bool:
        prefilling = [
            item for item in self._running.values() if item.first_token_s is None
        ]
        if work.work_class is WorkClass.LONG:
            active_long_prefills = sum(
                item.work.work_class is WorkClass.LONG for item in prefilling
            )
            return active_long_prefills < self._policy.max_long_prefills
        backlog = sum(
            self._remaining_prefill_tokens(item, now_s)
            for item in prefilling
            if item.work.work_class is not WorkClass.LONG
        )
        if (
            not backlog
            or backlog + work.uncached_tokens <= self._policy.max_prefill_backlog_tokens
        ):
            return True
        # Work of an organisation within its share may exceed the backlog limit: by its
        # priority, the engine schedules it before the rest of the backlog.
        return not self._shares.is_over_share(work.organisation, now_s)

    def _start(self, work: Work, now_s: float) -> None:
        del self._waiting[work.request_id]
        tag = self._start_tags.pop(work.request_id, self._virtual_time)
        self._virtual_time = max(self._virtual_time, tag)
        no_prefill_running = all(item.first_token_s for item in self._running.values())
        for item in self._running.values():
            item.prefilled_alone = (
                item.prefilled_alone and item.first_token_s is not None
            )
        at_limit = len(self._running) + 1 >= self._concurrency_limit.limit_streams
        self._running[work.request_id] = _Running(
            work, now_s, no_prefill_running, at_limit
        )
