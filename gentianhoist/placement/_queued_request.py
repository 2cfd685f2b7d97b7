"""Requests that wait for placement, their refusals, and the gate of the queue."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from gentianhoist.placement._model import Demand, Placement

__all__ = [
    "STOP_REFUSAL",
    "PlacementRefused",
    "QueueGate",
    "QueuedRequest",
    "RefusalCause",
    "UnplacedReason",
]

# Factor on the slack of an organisation over its fair share, which delays it.
_OVER_SHARE_SLACK_RATIO = 2.0
_STOP_RETRY_AFTER_S = 0.2
# Before the highest priority of a request, 0.
_RATE_LIMITED_PRIORITY = -1


class UnplacedReason(Enum):
    """Reason why a request can't be placed now."""

    NO_CAPACITY = "no engine has a free slot and enough KV cache"
    WORTH_WAITING = "better engines are expected"
    RATE_LIMITED = "all engines have reached the rate limits that they name"


class RefusalCause(Enum):
    """What a request lacks that is refused."""

    CAPACITY = "engines"
    RATE_LIMITED = "rate limits of the engines"
    STOPPING = "time until the entry stops"


@dataclass(frozen=True)
class PlacementRefused:
    """Refusal of a request that can't be placed in time; it has not run.

    Attributes:
        reason: Reason, for the log and the caller.
        retry_after_s: Expected seconds until capacity is available again.
        cause: What the request lacks.
        is_spread: Whether the times of other refusals were taken into account.
    """

    reason: str
    retry_after_s: float
    cause: RefusalCause = RefusalCause.CAPACITY
    is_spread: bool = False


# Refusal of a request that other entries can still serve.
STOP_REFUSAL = PlacementRefused(
    "the response would not end before the entry stops",
    _STOP_RETRY_AFTER_S,
    RefusalCause.STOPPING,
)


@dataclass(eq=False)
class QueuedRequest:
    """A request that waits for placement.

    Attributes:
        demand: Resources and latency goals of the request.
        latest_start_s: Time from which it can't be served in time any more, on the
            entry's clock.
        priority: Priority class; 0 is the highest.
        try_place: Tries to place the request on the present loads; refuses it if it may
            no longer be sent. Takes whether the request waits for rate limits.
        result: Receives the placement or the refusal.
        organisation: Organisation of the caller; empty if unknown.
        group: Name of the server group that it is for.
        retry_interval_s: Minimum seconds between two tries.
        next_try_s: Earliest time of the next try, on the entry's clock.
        rate_limited_since_s: Since when it waits for the rate limits of the engines, on
            the entry's clock; None if it doesn't.
        on_time_until_s: Latest time of a placement with which its first event is still
            on time, on the entry's clock.
        lacks_capacity: Whether no engine had room for it at the last scan; it may also
            wait by choice.
        service_s: Expected seconds from its placement to the end of its response.
        is_entry_stopping: Whether `latest_start_s` is that early since the entry stops.
        may_have_run: Whether a server may have run it, so that it can't be refused.
    """

    demand: Demand
    latest_start_s: float
    priority: int
    try_place: Callable[[bool], Placement | UnplacedReason | PlacementRefused]
    result: asyncio.Future[Placement | PlacementRefused]
    organisation: str = ""
    group: str = ""
    retry_interval_s: float = 0.01
    next_try_s: float = float("-inf")
    rate_limited_since_s: float | None = None
    on_time_until_s: float = float("inf")
    lacks_capacity: bool = False
    service_s: float = 0.0
    is_entry_stopping: bool = False
    may_have_run: bool = False

    def end_by(self, end_s: float) -> None:
        """Let it start only if its response ends before the entry does.

        Args:
            end_s: When the entry ends, on the entry's clock.
        """
        if end_s - self.service_s < self.latest_start_s:
            self.latest_start_s = end_s - self.service_s
            self.is_entry_stopping = True

    @property
    def is_rate_limited(self) -> bool:
        """Whether it waits for the rate limits of the engines."""
        return self.rate_limited_since_s is not None

    def is_late(self, now_s: float) -> bool:
        """Whether its first event will be late in any case."""
        return now_s > self.on_time_until_s

    def overdue_ratio(self, now_s: float) -> float:
        """Elapsed fraction of the time from which it is late until it can't be served.

        It is 0 while it can be on time.
        """
        if not self.is_late(now_s):
            return 0.0
        late_s = now_s - self.on_time_until_s
        return late_s / max(late_s, self.latest_start_s - self.on_time_until_s)

    def order(
        self, now_s: float, over_share: frozenset[str] = frozenset()
    ) -> tuple[int, bool, float]:
        """Return the sort key: priority, whether it is late, slack and size per value.

        Requests that can still be on time come before those that are late already.
        Otherwise more work than the engines take for a while makes all of it late.

        Requests that wait for rate limits come before all others, in the order in which
        they began to wait, so that no kind of request is preferred.

        Args:
            now_s: Current time on the entry's clock, in seconds.
            over_share: Organisations that have used more than their fair share. Their
                slack is scaled up, which delays them by a bounded amount, so none
                starves.

        Returns:
            The key; lower keys are placed first.
        """
        if self.rate_limited_since_s is not None:
            return (_RATE_LIMITED_PRIORITY, False, self.rate_limited_since_s)
        is_late = self.is_late(now_s)
        end_s = self.latest_start_s
        if not is_late:
            end_s = min(end_s, self.on_time_until_s)
        # The floor keeps size and value effective when no slack is left.
        slack_s = max(0.05, end_s - now_s)
        if self.organisation in over_share:
            slack_s *= _OVER_SHARE_SLACK_RATIO
        # The factor grows by 1 with each 20,000 tokens of KV cache.
        size_factor = 1.0 + self.demand.kv_tokens / 20_000
        return (self.priority, is_late, slack_s * size_factor / self.demand.value)


class QueueGate(Protocol):
    """Is told what waits, and may hold it back in favour of requests elsewhere."""

    def add(self, request: QueuedRequest) -> None:
        """Take in a request that waits from now on."""
        ...

    def remove(self, request: QueuedRequest) -> None:
        """Take in that a request no longer waits."""
        ...

    def holds(self, request: QueuedRequest, now_s: float) -> bool:
        """Whether a request must not be placed now."""
        ...

    def keeps(self, request: QueuedRequest, now_s: float) -> bool:
        """Whether a late request is expected to get its turn by its share."""
        ...

    def over_share(self, now_s: float) -> frozenset[str] | None:
        """Organisations over their share, or None to go by this entry's placements."""
        ...

    def retry_after_s(self, request: QueuedRequest, now_s: float) -> float | None:
        """Seconds until a refused caller should retry, or None if it isn't known."""
        ...
