"""Budget of the bytes that a server holds for its callers, without sockets or tasks.

A hold is the memory of one request or response. It reserves before bytes are read, and
waits when there is no room. A body whose length is announced reserves all of it, so
that admitted bodies can end. Others grow in steps, and may have to be cut.
"""

from __future__ import annotations

from collections.abc import Callable

from gentianhoist.http1._budget_limits import CONNECTION_BYTES, BudgetLimits, Pool
from gentianhoist.http1._holds import Cut, CutReason, Hold

__all__ = ["BudgetLimits", "Cut", "CutReason", "Hold", "Pool", "ReceiveBudget"]

# Bytes of a request beside its target, headers and body.
_REQUEST_BYTES = 1024
_FIRST_STEP_BYTES = 16 * 1024
# Bytes that may be added before the hold is updated.
_SLICE_BYTES = 8 * 1024
# Fewer bytes in `stall_s` are no progress while others wait. A link of 7 Mbit/s has a
# multiple of the second for each large body that 152 MB have room for.
_MIN_PROGRESS_BYTES = 1024
_MIN_LARGE_PROGRESS_BYTES = 16 * 1024


class _PoolState:
    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.reserved_bytes = 0
        # In order. Those that hold bytes of the pool already come before the others:
        # each that ends makes room.
        self.growing: dict[Hold, None] = {}
        self.entering: dict[Hold, None] = {}
        # Of all that wait.
        self.wanted_bytes = 0

    @property
    def is_short(self) -> bool:
        return bool(self.growing or self.entering)

    @property
    def first_waiting(self) -> Hold | None:
        return next(iter(self.growing or self.entering), None)

    @property
    def waiting_count(self) -> int:
        return len(self.growing) + len(self.entering)

    def waiting(self) -> list[Hold]:
        return [*self.growing, *self.entering]

    def enqueue(self, hold: Hold, *, is_growth: bool) -> None:
        (self.growing if is_growth else self.entering)[hold] = None
        self.wanted_bytes += hold.wanted_bytes

    def dequeue(self, hold: Hold) -> None:
        self.growing.pop(hold, None)
        self.entering.pop(hold, None)
        self.wanted_bytes -= hold.wanted_bytes


class ReceiveBudget:
    """Decides who may read, who waits and who is cut.

    Args:
        limits: Sizes of the pools, and times.
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._pools = {
            Pool.CONNECTION: _PoolState(limits.max_connections * CONNECTION_BYTES),
            Pool.SMALL: _PoolState(limits.small_bytes),
            Pool.LARGE: _PoolState(limits.large_bytes),
            Pool.RESPONSE: _PoolState(limits.response_bytes),
        }
        self._holds: dict[Hold, None] = {}
        # Latest time that was passed in.
        self._now_s = 0.0

    @property
    def reserved_bytes(self) -> dict[Pool, int]:
        """Bytes reserved in each pool."""
        return {pool: state.reserved_bytes for pool, state in self._pools.items()}

    @property
    def waiting(self) -> int:
        """Number of holds that wait for room."""
        return sum(state.waiting_count for state in self._pools.values())

    def open_connection(self) -> None:
        """Count a connection; `ConnectionLimit` decides how many there may be."""
        self._pools[Pool.CONNECTION].reserved_bytes += CONNECTION_BYTES

    def close_connection(self) -> None:
        """Give back the bytes of a connection."""
        self._pools[Pool.CONNECTION].reserved_bytes -= CONNECTION_BYTES

    def open_request(
        self,
        on_granted: Callable[[], None],
        on_cut: Callable[[CutReason], None],
        now_s: float,
    ) -> Hold:
        """Begin a request, of which up to a slice may have been read."""
        hold = Hold(Pool.SMALL, on_granted, on_cut, now_s)
        self._holds[hold] = None
        self._want(hold, _FIRST_STEP_BYTES, now_s)
        return hold

    def open_response(
        self,
        on_granted: Callable[[], None],
        on_cut: Callable[[CutReason], None],
        now_s: float,
    ) -> Hold:
        """Begin a response, which holds nothing yet."""
        hold = Hold(Pool.RESPONSE, on_granted, on_cut, now_s)
        hold.is_in_progress = False
        self._holds[hold] = None
        return hold

    def announce(self, hold: Hold, body_bytes: int, now_s: float) -> None:
        """Reserve for the whole of a body whose length is known.

        Args:
            hold: Hold of the request, updated with its head.
            body_bytes: Length of the body.
            now_s: Present time.
        """
        total_bytes = hold.held_bytes + body_bytes
        if total_bytes > hold.reserved_bytes:
            self._want(hold, total_bytes, now_s)

    def update(
        self, hold: Hold, content_bytes: int, max_bytes: int, now_s: float
    ) -> None:
        """Take the size of a request, and reserve the next step when it is due.

        Args:
            hold: Hold of the request.
            content_bytes: Bytes of its target, headers and body so far.
            max_bytes: What they may come to.
            now_s: Present time.
        """
        held_bytes = content_bytes + _REQUEST_BYTES
        self._mark_progress(hold, held_bytes - hold.held_bytes, now_s)
        hold.held_bytes = held_bytes
        self._cover(hold)
        total_bytes = max_bytes + _REQUEST_BYTES
        needed_bytes = min(held_bytes + _SLICE_BYTES, total_bytes)
        if not hold.is_waiting and needed_bytes > hold.reserved_bytes:
            step_bytes = min(
                2 * hold.reserved_bytes, total_bytes, self._limits.large_bytes
            )
            self._want(hold, max(step_bytes, needed_bytes), now_s)

    def add_response(self, hold: Hold, count: int, now_s: float) -> None:
        """Reserve for further bytes of a response, before more of it is read."""
        self._mark_progress(hold, count, now_s)
        hold.held_bytes += count
        if hold.held_bytes > hold.reserved_bytes:
            self._want(hold, hold.held_bytes, now_s)

    def deliver(self, hold: Hold, now_s: float) -> None:
        """Take that a response was written, or that its caller has read a part."""
        hold.is_in_progress = True
        hold.received_s = hold.progress_s = now_s

    def excuse(self, hold: Hold, now_s: float) -> None:
        """Take that no bytes could come up to now, for another reason than room."""
        hold.received_s = hold.progress_s = now_s

    def complete(self, hold: Hold) -> None:
        """Keep what a request holds until its response, and give back the rest."""
        hold.is_in_progress = False
        self._stop_waiting(hold)
        self._cover(hold)
        surplus_bytes = hold.reserved_bytes - hold.held_bytes
        hold.reserved_bytes = hold.held_bytes
        self._give_back(hold.pool, surplus_bytes)

    def close(self, hold: Hold) -> None:
        """Give back all bytes of a hold; does nothing if that was done before."""
        if hold not in self._holds:
            return
        del self._holds[hold]
        self._stop_waiting(hold)
        reserved_bytes, hold.reserved_bytes = hold.reserved_bytes, 0
        hold.held_bytes = 0
        self._give_back(hold.pool, reserved_bytes)

    def cuts_due(self, idle_timeout_s: float, now_s: float) -> list[Cut]:
        """Decide which holds have to be given up now.

        Args:
            idle_timeout_s: Seconds without a byte until a hold is cut in any case.
            now_s: Present time.
        """
        self._now_s = now_s
        cuts = {
            hold: CutReason.NO_PROGRESS
            for hold in self._holds
            if self._is_stalled(hold, idle_timeout_s, now_s)
        }
        for pool, state in self._pools.items():
            for hold in state.waiting():
                waited_s = now_s - hold.waiting_since_s
                never_fits = hold.wanted_bytes > state.capacity_bytes
                if never_fits or waited_s > self._limits.max_wait_s:
                    cuts.setdefault(hold, CutReason.NO_ROOM)
            for hold in self._in_the_way(pool, cuts, now_s):
                cuts.setdefault(hold, CutReason.MADE_ROOM)
        return [Cut(*item) for item in cuts.items()]

    def cut(self, cut: Cut) -> bool:
        """Carry out a decision; returns False if the hold has ended meanwhile."""
        if cut.hold not in self._holds:
            return False
        cut.hold.on_cut(cut.reason)
        return True

    def retry_after_s(self, spread: float) -> float:
        """Seconds after which a refused caller probably finds room.

        Each time that what waits fills the pool is taken to last as long as a hold may
        go without progress.

        Args:
            spread: Random number in [0, 1), so that callers don't come back together.
        """
        large = self._pools[Pool.LARGE]
        turns = 1.0 + large.wanted_bytes / max(1, large.capacity_bytes)
        return turns * self._limits.stall_s * (1.0 + spread)

    def _is_stalled(self, hold: Hold, idle_timeout_s: float, now_s: float) -> bool:
        if not hold.is_in_progress or hold.is_waiting:
            return False
        if now_s - hold.received_s > idle_timeout_s:
            return True
        is_short = self._pools[hold.pool].is_short
        return is_short and now_s - hold.progress_s > self._limits.stall_s

    def _in_the_way(
        self, pool: Pool, cuts: dict[Hold, CutReason], now_s: float
    ) -> list[Hold]:
        """Newest holds of a pool that have to go so that the first one can go on.

        Holds that all wait would otherwise wait for each other. Those that wait for a
        larger pool go before those that wait for this one.
        """
        state = self._pools[pool]
        first = state.first_waiting
        if first is None or now_s - first.waiting_since_s < self._limits.growth_wait_s:
            return []
        others = [hold for hold in self._holds if hold.pool is pool]
        others = [hold for hold in others if hold.is_waiting and hold is not first]
        others.sort(key=lambda hold: hold.wanted_pool is not pool)
        own_bytes = first.reserved_bytes if first.pool is pool else 0
        missing_bytes = state.reserved_bytes - state.capacity_bytes
        missing_bytes += first.wanted_bytes - own_bytes
        missing_bytes -= sum(hold.reserved_bytes for hold in cuts if hold.pool is pool)
        chosen: list[Hold] = []
        while others and missing_bytes > 0:
            newest = others.pop()
            if newest not in cuts:
                chosen.append(newest)
                missing_bytes -= newest.reserved_bytes
        return chosen

    def _mark_progress(self, hold: Hold, count: int, now_s: float) -> None:
        if count <= 0:
            return
        hold.received_s = now_s
        hold.unmarked_bytes += count
        is_large = hold.pool is Pool.LARGE
        min_bytes = _MIN_LARGE_PROGRESS_BYTES if is_large else _MIN_PROGRESS_BYTES
        if hold.unmarked_bytes >= min_bytes:
            hold.unmarked_bytes = 0
            hold.progress_s = now_s

    def _cover(self, hold: Hold) -> None:
        """Reserve what is held already, with room for it or not."""
        missing_bytes = hold.held_bytes - hold.reserved_bytes
        if missing_bytes > 0:
            hold.reserved_bytes += missing_bytes
            self._pools[hold.pool].reserved_bytes += missing_bytes

    def _want(self, hold: Hold, total_bytes: int, now_s: float) -> None:
        """Reserve a total for a hold, or let it wait."""
        self._now_s = now_s
        self._stop_waiting(hold)
        hold.wanted_bytes = total_bytes
        hold.wanted_pool = self._pool_for(hold, total_bytes)
        hold.waiting_since_s = now_s
        state = self._pools[hold.wanted_pool]
        is_growth = hold.wanted_pool is hold.pool and hold.reserved_bytes > 0
        queue = state.growing if is_growth else state.entering
        has_others_before = bool(state.growing) or bool(queue)
        if not has_others_before and self._fits(hold):
            self._take(hold)
        else:
            state.enqueue(hold, is_growth=is_growth)

    def _pool_for(self, hold: Hold, total_bytes: int) -> Pool:
        if hold.pool is Pool.SMALL and total_bytes > self._limits.small_body_bytes:
            return Pool.LARGE
        return hold.pool

    def _fits(self, hold: Hold) -> bool:
        state = self._pools[hold.wanted_pool]
        added_bytes = hold.wanted_bytes
        if hold.wanted_pool is hold.pool:
            added_bytes -= hold.reserved_bytes
        return state.reserved_bytes + added_bytes <= state.capacity_bytes

    def _take(self, hold: Hold) -> None:
        """Move a hold to the reservation that it wants."""
        old_pool, old_bytes = hold.pool, hold.reserved_bytes
        hold.pool = hold.wanted_pool
        hold.reserved_bytes, hold.wanted_bytes = hold.wanted_bytes, 0
        self._pools[hold.pool].reserved_bytes += hold.reserved_bytes
        self._give_back(old_pool, old_bytes)

    def _stop_waiting(self, hold: Hold) -> None:
        if not hold.is_waiting:
            return
        state = self._pools[hold.wanted_pool]
        was_first = state.first_waiting is hold
        state.dequeue(hold)
        hold.wanted_bytes = 0
        if was_first:
            self._grant(hold.wanted_pool)

    def _give_back(self, pool: Pool, count: int) -> None:
        self._pools[pool].reserved_bytes -= count
        if count:
            self._grant(pool)

    def _grant(self, pool: Pool) -> None:
        state = self._pools[pool]
        while state.is_short:
            hold = state.first_waiting
            if hold is None or not self._fits(hold):
                return
            state.dequeue(hold)
            # The time that it waited is no time without progress.
            hold.received_s = hold.progress_s = self._now_s
            self._take(hold)
            hold.on_granted()
