"""Decisions of the budget of received bytes: who reads, waits and is cut."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from gentianhoist.http1._receive_budget import (
    BudgetLimits,
    CutReason,
    Pool,
    ReceiveBudget,
)

_KIB = 1024
_MAX_BODY_BYTES = 1024 * _KIB
_SLICE_BYTES = 8 * _KIB
_LIMITS = BudgetLimits(
    small_bytes=256 * _KIB, large_bytes=2048 * _KIB, response_bytes=512 * _KIB
)
_IDLE_TIMEOUT_S = 15.0


class Holder:
    """Records what a budget tells the owner of a hold."""

    def __init__(self, budget: ReceiveBudget, now_s: float = 0.0) -> None:
        self._budget = budget
        self.granted = 0
        self.cut_reason: CutReason | None = None
        self.content_bytes = 0
        self.hold = budget.open_request(self._on_granted, self._on_cut, now_s)

    def _on_granted(self) -> None:
        self.granted += 1

    def _on_cut(self, reason: CutReason) -> None:
        self.cut_reason = reason
        self._budget.close(self.hold)

    def receive(self, count: int, now_s: float = 0.0) -> None:
        """Receive bytes as a connection does: a slice at a time while it may read."""
        while count > 0 and not self.hold.is_waiting:
            slice_bytes = min(_SLICE_BYTES, count)
            count -= slice_bytes
            self.content_bytes += slice_bytes
            self._budget.update(self.hold, self.content_bytes, _MAX_BODY_BYTES, now_s)


def _cut_due(budget: ReceiveBudget, now_s: float) -> list[CutReason]:
    cuts = budget.cuts_due(_IDLE_TIMEOUT_S, now_s)
    for cut in cuts:
        budget.cut(cut)
    return [cut.reason for cut in cuts]


class TestRoom:
    def test_body_of_the_largest_size_needs_not_wait(self):
        holder = Holder(ReceiveBudget(_LIMITS))
        holder.receive(_MAX_BODY_BYTES)
        assert holder.content_bytes == _MAX_BODY_BYTES

    def test_announced_bodies_wait_before_they_are_read(self):
        """Else each of them would hold a part, and none could end."""
        budget = ReceiveBudget(_LIMITS)
        holders = [Holder(budget) for _ in range(3)]
        for holder in holders:
            budget.announce(holder.hold, _MAX_BODY_BYTES - 4 * _KIB, 0.0)
        assert [holder.hold.is_waiting for holder in holders] == [False, False, True]
        budget.close(holders[0].hold)
        assert not holders[2].hold.is_waiting
        assert holders[2].granted == 1

    def test_bodies_are_admitted_in_the_order_in_which_they_came(self):
        """Else a large body could wait for ever while smaller ones come."""
        budget = ReceiveBudget(_LIMITS)
        sizes = [1500, 1000, 200]
        holders = [Holder(budget) for _ in sizes]
        for holder, size in zip(holders, sizes, strict=True):
            budget.announce(holder.hold, size * _KIB, 0.0)
        assert [holder.hold.is_waiting for holder in holders] == [False, True, True]

    def test_complete_request_keeps_only_what_it_holds(self):
        budget = ReceiveBudget(_LIMITS)
        holder = Holder(budget)
        holder.receive(100)
        budget.complete(holder.hold)
        assert budget.reserved_bytes[Pool.SMALL] < 2 * _KIB

    def test_small_requests_are_admitted_while_large_ones_hold_the_rest(self):
        """A surge of large bodies starved ordinary callers."""
        budget = ReceiveBudget(_LIMITS)
        for _ in range(5):
            Holder(budget).receive(_MAX_BODY_BYTES)
        small = Holder(budget)
        # With its head and the next slice it is under the limit of small bodies.
        small.receive(50 * _KIB)
        assert small.content_bytes == 50 * _KIB

    def test_response_waits_for_room(self):
        budget = ReceiveBudget(_LIMITS)
        granted = []
        first = budget.open_response(lambda: None, lambda reason: None, 0.0)
        budget.add_response(first, 400 * _KIB, 0.0)
        second = budget.open_response(
            lambda: granted.append(True), lambda reason: None, 0.0
        )
        budget.add_response(second, 400 * _KIB, 0.0)
        assert second.is_waiting
        budget.close(first)
        assert granted == [True]


class TestCuts:
    def test_slow_body_is_kept_without_others_that_wait(self):
        """No client within the configured limits is refused without a surge."""
        budget = ReceiveBudget(_LIMITS)
        holder = Holder(budget)
        for now_s in range(0, 100, 10):
            holder.receive(1, now_s)
            assert _cut_due(budget, now_s) == []

    def test_body_without_a_byte_is_cut_after_the_idle_timeout(self):
        budget = ReceiveBudget(_LIMITS)
        holder = Holder(budget)
        holder.receive(100, 1.0)
        assert _cut_due(budget, 15.9) == []
        assert _cut_due(budget, 16.1) == [CutReason.NO_PROGRESS]
        assert holder.cut_reason is CutReason.NO_PROGRESS

    def test_trickling_body_is_cut_earlier_while_others_wait(self):
        """A byte a second would keep the room of a whole body."""
        budget = ReceiveBudget(_LIMITS)
        trickling = [Holder(budget) for _ in range(2)]
        for holder in trickling:
            budget.announce(holder.hold, _MAX_BODY_BYTES - 4 * _KIB, 0.0)
        waiting = Holder(budget, 0.5)
        budget.announce(waiting.hold, _MAX_BODY_BYTES - 4 * _KIB, 0.5)
        for holder in trickling:
            holder.receive(1, 0.8)
        assert _cut_due(budget, 0.9) == []
        assert _cut_due(budget, 1.1) == [CutReason.NO_PROGRESS] * 2
        assert not waiting.hold.is_waiting

    def test_waiting_is_no_lack_of_progress(self):
        budget = ReceiveBudget(_LIMITS)
        first = Holder(budget)
        budget.announce(first.hold, 2000 * _KIB, 0.0)
        second, third = Holder(budget), Holder(budget)
        budget.announce(second.hold, 2000 * _KIB, 0.0)
        budget.announce(third.hold, 2000 * _KIB, 1.5)
        budget.cuts_due(_IDLE_TIMEOUT_S, 1.8)
        budget.close(first.hold)
        assert not second.hold.is_waiting
        assert _cut_due(budget, 2.5) == []

    def test_what_waits_too_long_is_refused(self):
        budget = ReceiveBudget(_LIMITS)
        first, second = Holder(budget), Holder(budget)
        budget.announce(first.hold, 2000 * _KIB, 0.0)
        budget.announce(second.hold, 2000 * _KIB, 0.0)
        first.receive(20 * _KIB, 1.9)
        assert _cut_due(budget, 2.1) == [CutReason.NO_ROOM]
        assert second.cut_reason is CutReason.NO_ROOM

    def test_body_that_never_fits_is_refused_at_once(self):
        """It would hold up the bodies behind it until it has waited for its time."""
        budget = ReceiveBudget(_LIMITS)
        holder, other = Holder(budget), Holder(budget)
        budget.announce(holder.hold, 3000 * _KIB, 0.0)
        budget.announce(other.hold, 500 * _KIB, 0.0)
        assert _cut_due(budget, 0.1) == [CutReason.NO_ROOM]
        assert not other.hold.is_waiting

    def test_slow_large_body_is_cut_while_others_wait(self):
        """With 1 KiB a second it would keep the room of a whole body for an hour."""
        budget = ReceiveBudget(_LIMITS)
        slow, waiting = Holder(budget), Holder(budget)
        budget.announce(slow.hold, 2000 * _KIB, 0.0)
        slow.receive(4 * _KIB, 0.5)
        budget.announce(waiting.hold, 2000 * _KIB, 0.5)
        slow.receive(2 * _KIB, 1.2)
        assert _cut_due(budget, 1.3) == [CutReason.NO_PROGRESS]

    def test_newest_body_that_waits_makes_room_for_the_first(self):
        """Bodies of unknown length that all wait to grow would wait for each other."""
        budget = ReceiveBudget(_LIMITS)
        holders = [Holder(budget) for _ in range(6)]
        for _ in range(100):
            for holder in holders:
                holder.receive(_SLICE_BYTES)
        assert all(holder.hold.is_waiting for holder in holders)
        assert _cut_due(budget, 0.4) == []
        _cut_due(budget, 0.6)
        reasons = [holder.cut_reason for holder in holders]
        assert reasons == [None] * 5 + [CutReason.MADE_ROOM]
        # The first two have grown before; the third has waited for the longest time.
        assert not holders[2].hold.is_waiting

    def test_response_that_is_not_read_is_cut(self):
        budget = ReceiveBudget(_LIMITS)
        reasons = []
        hold = budget.open_response(lambda: None, reasons.append, 0.0)
        budget.add_response(hold, 400 * _KIB, 0.0)
        assert _cut_due(budget, 20.0) == []
        budget.deliver(hold, 20.0)
        assert _cut_due(budget, 35.1) == [CutReason.NO_PROGRESS]
        assert reasons == [CutReason.NO_PROGRESS]


def test_retry_after_grows_with_what_waits_and_is_spread():
    budget = ReceiveBudget(_LIMITS)
    idle_s = budget.retry_after_s(0.0)
    for _ in range(6):
        budget.announce(Holder(budget).hold, 2000 * _KIB, 0.0)
    assert budget.retry_after_s(0.0) > 4 * idle_s
    assert budget.retry_after_s(0.5) == 1.5 * budget.retry_after_s(0.0)


def test_process_keeps_room_for_one_body_and_one_response():
    limits = BudgetLimits.for_process(96 * _KIB * _KIB)
    assert limits.large_bytes >= 4 * _KIB * _KIB + 32 * _KIB
    assert limits.response_bytes >= 8 * _KIB * _KIB


class ReceiveBudgetMachine(RuleBasedStateMachine):
    """Any order of requests, responses, cuts and ends keeps to the limits."""

    holders = Bundle("holders")

    def __init__(self) -> None:
        super().__init__()
        self._budget = ReceiveBudget(_LIMITS)
        self._now_s = 0.0
        self._open: set[Holder] = set()
        self._connections = 0

    @rule(target=holders)
    def connect(self):
        self._budget.open_connection()
        self._connections += 1
        holder = Holder(self._budget, self._now_s)
        holder.content_bytes = 100
        self._budget.update(holder.hold, 100, _MAX_BODY_BYTES, self._now_s)
        self._open.add(holder)
        return holder

    @rule(target=holders, size=st.integers(1, 900 * _KIB))
    def announce(self, size):
        holder = self.connect()
        self._budget.announce(holder.hold, size, self._now_s)
        return multiple()

    @rule(holder=holders, count=st.integers(1, 300 * _KIB))
    def receive(self, holder, count):
        if self._is_received(holder):
            room_bytes = _MAX_BODY_BYTES - holder.content_bytes
            holder.receive(min(count, room_bytes), self._now_s)

    @rule(holder=holders)
    def complete(self, holder):
        if self._is_received(holder):
            self._budget.complete(holder.hold)

    def _is_received(self, holder: Holder) -> bool:
        return (
            holder in self._open
            and holder.cut_reason is None
            and holder.hold.is_in_progress
        )

    @rule(holder=consumes(holders))
    def disconnect(self, holder):
        if holder in self._open:
            self._end(holder)

    def _end(self, holder: Holder) -> None:
        self._budget.close(holder.hold)
        self._budget.close_connection()
        self._connections -= 1
        self._open.discard(holder)

    @rule(seconds=st.floats(0.05, 3.0))
    def check(self, seconds):
        self._now_s += seconds
        _cut_due(self._budget, self._now_s)

    @invariant()
    def large_pool_is_within_its_limit(self):
        reserved = self._budget.reserved_bytes
        assert 0 <= reserved[Pool.LARGE] <= _LIMITS.large_bytes

    @invariant()
    def only_small_slices_exceed_the_small_pool(self):
        # Connections aren't refused, nor the first slice that they sent.
        slack_bytes = self._connections * (2 * _SLICE_BYTES + 2 * _KIB)
        reserved_bytes = self._budget.reserved_bytes[Pool.SMALL]
        assert 0 <= reserved_bytes <= _LIMITS.small_bytes + slack_bytes

    @invariant()
    def holds_reserve_what_they_hold(self):
        for holder in self._open:
            hold = holder.hold
            assert 0 <= hold.held_bytes <= hold.reserved_bytes

    @invariant()
    def reserved_bytes_are_those_of_the_holds(self):
        large_bytes = sum(
            holder.hold.reserved_bytes
            for holder in self._open
            if holder.hold.pool is Pool.LARGE
        )
        assert self._budget.reserved_bytes[Pool.LARGE] == large_bytes

    @invariant()
    def small_request_is_read_at_once(self):
        holder = Holder(self._budget, self._now_s)
        self._budget.update(holder.hold, 1000, 1000, self._now_s)
        self._budget.complete(holder.hold)
        assert holder.hold.held_bytes >= 1000
        self._budget.close(holder.hold)

    def teardown(self):
        for holder in list(self._open):
            self._end(holder)
        assert set(self._budget.reserved_bytes.values()) == {0}
        assert self._budget.waiting == 0


TestReceiveBudget = ReceiveBudgetMachine.TestCase
