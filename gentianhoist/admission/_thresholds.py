"""Free slots that a request leaves to those that come before it."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from enum import IntEnum
from typing import NamedTuple

from gentianhoist.admission._rates import DecayingRate

__all__ = ["ArrivalMix", "ReportedWaiting", "Standing", "expected_arrivals", "room_for"]

# Time until all entries know of a placement and have taken it into account: a batch of
# datagrams is sent after 1 ms, and a queue is scanned every 5 to 20 ms.
_PROPAGATION_S = 0.03
# Arrivals below this rate keep no slot free: it would be idle nearly all the time.
_MIN_ARRIVALS_PER_S = 0.5
# A part of the slots is always left to requests that are late or over their share.
_MAX_ROOM_RATIO = 0.25
# An organisation's mix of priorities changes more slowly than its load.
_MIX_WINDOW_S = 5.0
_ARRIVALS_WINDOW_S = 1.0


class Standing(IntEnum):
    """Order of requests of one priority class; lower ones come first."""

    WITHIN_SHARE = 0
    OVER_SHARE = 1
    LATE = 2


class ReportedWaiting(NamedTuple):
    """What waits at other entries, as far as they have reported it.

    Attributes:
        on_time: Requests that can still be on time, by priority class.
        others_within_share: Requests within the shares of other organisations than the
            one concerned.
    """

    on_time: Mapping[int, int]
    others_within_share: int


def expected_arrivals(arrivals_per_s: float) -> float:
    """Arrivals until all entries know of the first of them; 0 if they are rare."""
    if arrivals_per_s < _MIN_ARRIVALS_PER_S:
        return 0.0
    return arrivals_per_s * _PROPAGATION_S


def room_for(
    arrivals_per_s: float, drain_per_s: float, slots: int, standing: Standing
) -> int:
    """Return the free slots to be left for arrivals.

    Within the propagation time of a message arrivals take slots, and others become
    free. What is left free makes up for the difference, and for the standard deviation
    of the arrivals. Small fleets leave a slot for each better standing, so that one
    that becomes free isn't taken by a late request while another one can be on time.

    Args:
        arrivals_per_s: Rate of the arrivals that come first, over all entries.
        drain_per_s: Slots that become free per second, over all entries.
        slots: Slots of the fleet.
        standing: Standing of the request that leaves them.

    Example:
        >>> room_for(300.0, 500.0, 270, Standing.LATE)
        3
        >>> room_for(4.0, 20.0, 12, Standing.LATE)
        2
        >>> room_for(0.0, 20.0, 12, Standing.LATE)
        0
    """
    arrivals = expected_arrivals(arrivals_per_s)
    if not arrivals or slots < 2:
        return 0
    shortage = max(0.0, arrivals - drain_per_s * _PROPAGATION_S)
    room = max(math.ceil(shortage + math.sqrt(arrivals)), int(standing), 1)
    return min(room, max(1, int(slots * _MAX_ROOM_RATIO)))


class ArrivalMix:
    """Rates at which requests arrive over the fleet, by standing and priority class.

    Placements of all entries tell the standing, but not the priority: its mix is taken
    from this entry's own requests and from what others report as waiting. Every `now_s`
    is the current time on the entry's clock, in seconds.
    """

    def __init__(self) -> None:
        self._by_standing = {
            standing: DecayingRate(_ARRIVALS_WINDOW_S) for standing in Standing
        }
        self._within_share: dict[str, DecayingRate] = {}
        self._by_priority: dict[int, DecayingRate] = {}

    def record_placed(
        self, organisation: str, standing: Standing, now_s: float
    ) -> None:
        """Record a placement of any entry."""
        self._by_standing[standing].record(now_s)
        if standing is Standing.WITHIN_SHARE:
            rate = self._within_share.get(organisation)
            if rate is None:
                rate = DecayingRate(_ARRIVALS_WINDOW_S)
                self._within_share[organisation] = rate
            rate.record(now_s)

    def record_own(self, priority: int, now_s: float) -> None:
        """Record the priority class of a request that arrived at this entry."""
        rate = self._by_priority.setdefault(priority, DecayingRate(_MIX_WINDOW_S))
        rate.record(now_s)

    def keep_only(self, organisations: Collection[str]) -> None:
        """Forget the rates of organisations that are no longer active."""
        for name in self._within_share.keys() - set(organisations):
            del self._within_share[name]

    def on_time_per_s(self, now_s: float) -> float:
        """Rate of the placements that could be on time."""
        rates = self._by_standing
        within_share_per_s = rates[Standing.WITHIN_SHARE].per_s(now_s)
        return within_share_per_s + rates[Standing.OVER_SHARE].per_s(now_s)

    def within_share_per_s(self, except_for: str, now_s: float) -> float:
        """Rate of the requests within their share of all organisations but one."""
        total = self._by_standing[Standing.WITHIN_SHARE].per_s(now_s)
        own = self._within_share.get(except_for)
        return max(0.0, total - (own.per_s(now_s) if own else 0.0))

    def per_s_before(
        self,
        organisation: str,
        priority: int,
        standing: Standing,
        waiting: ReportedWaiting,
        now_s: float,
    ) -> float:
        """Rate of the arrivals that come before a request.

        Less urgent classes count nothing, so they never hold a request back. A request
        over the share of its organisation leaves nothing to others of the same one.

        Args:
            organisation: Organisation of the request.
            priority: Its priority class.
            standing: Its standing.
            waiting: What waits at other entries.
        """
        mix = self._mix(waiting.on_time, now_s)
        more_urgent = sum(part for key, part in mix.items() if key < priority)
        total = sum(rate.per_s(now_s) for rate in self._by_standing.values())
        arrivals = more_urgent * total
        reported = sum(n for key, n in waiting.on_time.items() if key < priority)
        same_class = waiting.on_time.get(priority, 0)
        match standing:
            case Standing.OVER_SHARE:
                others = self.within_share_per_s(organisation, now_s)
                arrivals += mix.get(priority, 0.0) * others
                reported += min(same_class, waiting.others_within_share)
            case Standing.LATE:
                arrivals += mix.get(priority, 0.0) * self.on_time_per_s(now_s)
                reported += same_class
        # Each that waits takes a free slot as soon as its entry has a turn.
        return arrivals + reported / _PROPAGATION_S

    def _mix(self, on_time: Mapping[int, int], now_s: float) -> dict[int, float]:
        """Fractions of the arrivals that the priority classes have."""
        weights = {key: float(count) for key, count in on_time.items()}
        for priority, rate in self._by_priority.items():
            weights[priority] = weights.get(priority, 0.0) + rate.per_s(now_s)
        total = sum(weights.values())
        return {key: weight / total for key, weight in weights.items()} if total else {}
