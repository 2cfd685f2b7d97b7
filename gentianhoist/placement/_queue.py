"""Queue of requests that wait for placement, ordered by slack and value."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from enum import StrEnum

from gentianhoist.capacity import FairShares
from gentianhoist.placement._late_drain import LateDrain
from gentianhoist.placement._model import Placement
from gentianhoist.placement._queued_request import (
    STOP_REFUSAL,
    PlacementRefused,
    QueuedRequest,
    QueueGate,
    RefusalCause,
    UnplacedReason,
)

__all__ = ["PlacementQueue", "QueueOrder"]

_MAX_QUEUED = 512
_EQUAL_WEIGHT = 1.0
_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 3.0
# A scan of a long queue would hold up all other work of the entry.
_MAX_TRIES_PER_SCAN = 8


class QueueOrder(StrEnum):
    """Order in which queued requests are placed."""

    BY_VALUE = "by_value"
    # Baseline for comparison: first come, first served, with head-of-line blocking.
    FIRST_COME = "first_come"


class PlacementQueue:
    """Requests that wait for placement, tried again when engine loads change.

    Args:
        order: Order in which requests are placed.
        gate: Holds requests back, if any; only with `QueueOrder.BY_VALUE`.
    """

    def __init__(
        self,
        order: QueueOrder = QueueOrder.BY_VALUE,
        gate: QueueGate | None = None,
    ) -> None:
        self._order = order
        self._gate = gate
        self._queued: list[QueuedRequest] = []
        self._shares = FairShares()
        self._late_drain = LateDrain()
        # Requests that the last scan had no time for; the next one begins with them.
        self._untried: list[QueuedRequest] = []
        self._end_s = float("inf")

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def is_full(self) -> bool:
        """Whether the queue accepts no more requests."""
        return len(self._queued) >= _MAX_QUEUED

    def rate_limited(self, group: str) -> int:
        """Number of requests that wait for the rate limits of a server group."""
        return sum(
            item.rate_limited_since_s is not None and item.group == group
            for item in self._queued
        )

    def can_bypass(self, organisation: str, now_s: float) -> bool:
        """Whether a new request may be placed before the queued ones.

        An organisation that sends most of the requests would otherwise take nearly all
        that becomes free, while those of others wait.

        Args:
            organisation: Organisation of the caller; empty if unknown.
            now_s: Current time on the entry's clock, in seconds.
        """
        if not self._queued:
            return True
        if self._order is not QueueOrder.BY_VALUE:
            return False
        return organisation not in self._over_share(now_s)

    def charge(self, organisation: str, tokens: int, now_s: float) -> None:
        """Charge placed work to its organisation, whether it was queued or not.

        Args:
            organisation: Organisation of the caller; empty if unknown.
            tokens: KV cache that the request takes, in tokens.
            now_s: Current time on the entry's clock, in seconds.
        """
        if organisation:
            self._shares.charge(organisation, _EQUAL_WEIGHT, tokens, now_s)

    def add(self, request: QueuedRequest) -> None:
        """Add a request to the queue."""
        request.end_by(self._end_s)
        self._queued.append(request)
        if self._gate is not None:
            self._gate.add(request)

    def end_by(self, end_s: float) -> None:
        """Place no request any more whose response would end later.

        Args:
            end_s: When the entry ends, on the entry's clock.
        """
        self._end_s = end_s
        for request in self._queued:
            request.end_by(end_s)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that was placed, refused or cancelled."""
        if request in self._queued:
            self._queued.remove(request)
            if self._gate is not None:
                self._gate.remove(request)

    def place_waiting(self, now_s: float) -> None:
        """Refuse the requests that are too late and place those that fit now."""
        if not self._queued:
            return
        for request in list(self._queued):
            if now_s >= request.latest_start_s:
                self._refuse(request, _late_refusal(request), now_s)
        self._refuse_hopeless(now_s)
        match self._order:
            case QueueOrder.FIRST_COME:
                self._place_first_come()
            case QueueOrder.BY_VALUE:
                self._place_by_value(now_s)

    def _place_first_come(self) -> None:
        for request in list(self._queued):
            result = request.try_place(request.is_rate_limited)
            if isinstance(result, UnplacedReason):
                return
            self._settle(request, result)

    def _place_by_value(self, now_s: float) -> None:
        smallest_unplaced_tokens: float = float("inf")
        rate_limited_groups: set[str] = set()
        over_share = self._over_share(now_s)
        sorted_requests = sorted(
            self._queued, key=lambda request: request.order(now_s, over_share)
        )
        untried = [request for request in self._untried if request in self._queued]
        remaining = deque(dict.fromkeys([*untried, *sorted_requests]))
        tries = 0
        while remaining and tries < _MAX_TRIES_PER_SCAN:
            request = remaining.popleft()
            # Where one request found no capacity, none that is as large finds any, so
            # these are not tried. This keeps a retry cheap when the fleet is full.
            if request.demand.kv_tokens >= smallest_unplaced_tokens:
                request.lacks_capacity = True
                continue
            if request.group in rate_limited_groups or now_s < request.next_try_s:
                continue
            if self._is_held(request, now_s):
                request.lacks_capacity = True
                continue
            tries += 1
            match request.try_place(request.is_rate_limited):
                case UnplacedReason.RATE_LIMITED:
                    rate_limited_groups.add(request.group)
                    if request.rate_limited_since_s is None:
                        request.rate_limited_since_s = now_s
                case UnplacedReason() as reason:
                    request.rate_limited_since_s = None
                    request.next_try_s = now_s + request.retry_interval_s
                    request.lacks_capacity = reason is UnplacedReason.NO_CAPACITY
                    if request.lacks_capacity:
                        smallest_unplaced_tokens = request.demand.kv_tokens
                case result:
                    if isinstance(result, Placement) and request.is_late(now_s):
                        self._late_drain.record_placed()
                    self._settle(request, result)
        self._untried = list(remaining)

    def _refuse_hopeless(self, now_s: float) -> None:
        """Refuse late requests that don't get their turn before they have to start."""
        late = [
            request
            for request in self._queued
            if request.is_late(now_s)
            and request.lacks_capacity
            and request.rate_limited_since_s is None
            and not self._is_kept(request, now_s)
        ]
        self._late_drain.observe(len(late), now_s)
        late.sort(key=lambda request: request.latest_start_s)
        ahead = 0
        for request in late:
            wait_s = self._late_drain.expected_wait_s(ahead, now_s)
            if now_s + wait_s > request.latest_start_s:
                self._refuse(request, _hopeless_refusal(request, wait_s), now_s)
            else:
                ahead += 1

    def _over_share(self, now_s: float) -> frozenset[str]:
        """Organisations over their share, in the fleet or else at this entry."""
        names = None if self._gate is None else self._gate.over_share(now_s)
        return self._shares.organisations_over_share(now_s) if names is None else names

    def _is_held(self, request: QueuedRequest, now_s: float) -> bool:
        # A token that a request leaves would go to the next one.
        if self._gate is None or request.rate_limited_since_s is not None:
            return False
        return self._gate.holds(request, now_s)

    def _is_kept(self, request: QueuedRequest, now_s: float) -> bool:
        # Its turn doesn't depend on the late requests of this entry.
        return self._gate is not None and self._gate.keeps(request, now_s)

    def _refuse(
        self, request: QueuedRequest, refused: PlacementRefused, now_s: float
    ) -> None:
        if self._gate is not None and refused.cause is RefusalCause.CAPACITY:
            retry_after_s = self._gate.retry_after_s(request, now_s)
            if retry_after_s is not None:
                refused = replace(refused, retry_after_s=retry_after_s, is_spread=True)
        self._settle(request, refused)

    def _settle(
        self, request: QueuedRequest, result: Placement | PlacementRefused
    ) -> None:
        self.remove(request)
        if not request.result.done():
            request.result.set_result(result)


def _late_refusal(request: QueuedRequest) -> PlacementRefused:
    if request.is_entry_stopping:
        return STOP_REFUSAL
    if request.rate_limited_since_s is not None:
        reason = UnplacedReason.RATE_LIMITED.value
        return PlacementRefused(reason, _RETRY_AFTER_S, RefusalCause.RATE_LIMITED)
    return PlacementRefused("no engine became free in time", _RETRY_AFTER_S)


def _hopeless_refusal(request: QueuedRequest, wait_s: float) -> PlacementRefused:
    """Refuse a request whose turn would come too late, after `wait_s` seconds."""
    if request.is_entry_stopping:
        return STOP_REFUSAL
    retry_after_s = min(_MAX_RETRY_AFTER_S, max(_RETRY_AFTER_S, wait_s))
    return PlacementRefused("too many requests wait for engines", retry_after_s)
