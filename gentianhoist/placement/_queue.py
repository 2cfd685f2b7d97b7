"""Requests that wait for an engine, in one order by slack and worth."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, StrEnum

from gentianhoist.capacity import FairShares
from gentianhoist.placement._engine_choice import Demand, Placement

__all__ = [
    "PlacementQueue",
    "QueueOrder",
    "PlacementRefused",
    "UnplacedReason",
    "QueuedRequest",
]

_MAX_WAITING = 512
# How much more slack an organisation over its share is taken to have.
_OVER_SHARE_SLACK_RATIO = 2.0
_EQUAL_WEIGHT = 1.0


class QueueOrder(StrEnum):
    """Who goes first of those that wait."""

    BY_VALUE = "by_value"
    # A baseline: nobody passes one that came earlier.
    FIRST_COME = "first_come"


class UnplacedReason(Enum):
    """Why a request isn't placed at this moment."""

    NO_CAPACITY = "no engine has a place and memory for it"
    WORTH_WAITING = "better engines are expected"


@dataclass(frozen=True)
class PlacementRefused:
    """There is no room in time; the request did not run.

    Attributes:
        reason: Why, for the log.
        retry_after_s: Seconds after which there is room again, as expected.
    """

    reason: str
    retry_after_s: float


@dataclass
class QueuedRequest:
    """A request that waits.

    Attributes:
        demand: What it asks for.
        latest_start_s: When it can't be served in time any more, on the entry's clock.
        priority: Rank, 0 is the highest.
        try_place: Tries to place it, on the loads of this moment.
        result: Set to the placement or to the refusal.
        organisation: Whose it is; empty if nobody is known.
        retry_s: Time between two tries.
        next_try_s: When it is tried again, on the entry's clock.
    """

    demand: Demand
    latest_start_s: float
    priority: int
    try_place: Callable[[], Placement | UnplacedReason]
    result: asyncio.Future[Placement | PlacementRefused]
    organisation: str = ""
    retry_s: float = 0.01
    next_try_s: float = float("-inf")

    def order(
        self, now_s: float, over_share: frozenset[str] = frozenset()
    ) -> tuple[int, float]:
        """Lower goes first: rank, then value for the slack that is left.

        Args:
            now_s: The time on the entry's clock.
            over_share: Organisations that have had more than their share. They come
                later, but by no more than a part of their slack, so none starves.
        """
        slack_s = max(0.05, self.latest_start_s - now_s)
        if self.organisation in over_share:
            slack_s *= _OVER_SHARE_SLACK_RATIO
        size = 1.0 + self.demand.kv_tokens / 20_000
        return (self.priority, slack_s * size / self.demand.value)


class PlacementQueue:
    """QueuedRequest requests, woken when an engine's commitments change.

    Args:
        order: Who goes first.
    """

    def __init__(self, order: QueueOrder = QueueOrder.BY_VALUE) -> None:
        self._order = order
        self._waiting: list[QueuedRequest] = []
        self._shares = FairShares()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether nothing more may wait."""
        return len(self._waiting) >= _MAX_WAITING

    @property
    def can_bypass(self) -> bool:
        """Whether one that comes now may be placed before those that wait."""
        return self._order is QueueOrder.BY_VALUE or not self._waiting

    def charge(self, organisation: str, tokens: int, now_s: float) -> None:
        """Take note of work that was placed, whether it waited or not.

        Args:
            organisation: Whose it is; empty if nobody is known.
            tokens: KV memory that it takes.
            now_s: The time on the entry's clock.
        """
        if organisation:
            self._shares.charge(organisation, _EQUAL_WEIGHT, tokens, now_s)

    def add(self, item: QueuedRequest) -> None:
        """Add a request."""
        self._waiting.append(item)

    def remove(self, item: QueuedRequest) -> None:
        """Take a request out that was placed, refused or cancelled."""
        if item in self._waiting:
            self._waiting.remove(item)

    def place_waiting(self, now_s: float) -> None:
        """Place what can be placed now, and refuse what is too late."""
        if not self._waiting:
            return
        for item in list(self._waiting):
            if now_s >= item.latest_start_s:
                self._settle(
                    item, PlacementRefused("no engine became free in time", 0.5)
                )
        match self._order:
            case QueueOrder.FIRST_COME:
                self._place_first_come()
            case QueueOrder.BY_VALUE:
                self._place_by_value(now_s)

    def _place_first_come(self) -> None:
        for item in list(self._waiting):
            placement = item.try_place()
            if isinstance(placement, UnplacedReason):
                return
            self._settle(item, placement)

    def _place_by_value(self, now_s: float) -> None:
        smallest_refused: float = float("inf")
        over_share = self._shares.all_over_share(now_s)
        ordered = sorted(self._waiting, key=lambda item: item.order(now_s, over_share))
        for item in ordered:
            # Where a prompt found no room, none that is as large finds any.
            if item.demand.kv_tokens >= smallest_refused or now_s < item.next_try_s:
                continue
            match item.try_place():
                case UnplacedReason() as reason:
                    item.next_try_s = now_s + item.retry_s
                    if reason is UnplacedReason.NO_CAPACITY:
                        smallest_refused = item.demand.kv_tokens
                case placement:
                    self._settle(item, placement)

    def _settle(
        self, item: QueuedRequest, result: Placement | PlacementRefused
    ) -> None:
        self.remove(item)
        if not item.result.done():
            item.result.set_result(result)
