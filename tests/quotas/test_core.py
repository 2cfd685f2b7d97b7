"""A quota of all entries, divided into parts that may be less than one unit."""

import random

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gentianhoist.quotas import LOAN_TTL_S, Loan, SharedQuota

RATIO = 0.18
CAPACITY = 20.0


def _fleet(count: int) -> dict[str, SharedQuota]:
    return {str(i): SharedQuota(RATIO, CAPACITY / count) for i in range(count)}


def _borrow(fleet: dict[str, SharedQuota], borrower: str, now_s: float) -> None:
    request = fleet[borrower].request_loan("retries", fleet.keys() - {borrower})
    for host in sorted(fleet.keys() - {borrower}):
        fleet[borrower].accept(host, fleet[host].lend(request), now_s)
        if fleet[borrower].can_withdraw:
            return


def test_one_entry_uses_the_quota_of_a_fleet_with_parts_below_one():
    """68 entries share 20 retries, and all failures meet the callers of one entry."""
    fleet = _fleet(68)
    used = 0
    for _ in range(100):
        _borrow(fleet, "0", 0.0)
        used += fleet["0"].try_withdraw()
    assert CAPACITY - 2 <= used <= CAPACITY


def test_lender_keeps_a_whole_unit():
    lender, borrower = SharedQuota(RATIO, 1.5), SharedQuota(RATIO, 0.0)
    loan = lender.lend(borrower.request_loan("retries", ["lender"]))
    assert loan.units == 0.5
    assert lender.can_withdraw


def test_repeated_and_unexpected_loans_have_no_effect():
    borrower = SharedQuota(RATIO, 0.0)
    request = borrower.request_loan("retries", ["a"])
    loan = Loan("retries", request.number, 0.6)
    borrower.accept("b", loan, 0.0)
    borrower.accept("a", loan._replace(number=request.number + 1), 0.0)
    borrower.accept("a", loan, 0.0)
    borrower.accept("a", loan, 0.0)
    assert borrower.units == 0.6


def test_loan_that_is_not_used_is_dropped():
    borrower = SharedQuota(RATIO, 0.0)
    request = borrower.request_loan("retries", ["a"])
    borrower.accept("a", Loan("retries", request.number, 1.0), 0.0)
    borrower.expire(LOAN_TTL_S)
    assert not borrower.can_withdraw


class SharedQuotaMachine(RuleBasedStateMachine):
    """Entries that borrow while messages are lost, late and repeated.

    In no span of time are more units used than the capacities of all buckets and the
    deposits since `LOAN_TTL_S` before it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = _fleet(30)
        self.now_s = 0.0
        self.deposits: list[float] = []
        self.withdrawals: list[float] = []
        self.in_flight: list[tuple[str, str, Loan]] = []
        self.rng = random.Random(1)

    def entry(self, number: int) -> SharedQuota:
        quota = self.fleet[str(number)]
        quota.expire(self.now_s)
        return quota

    @rule(seconds=strategies.floats(0.01, 2.0))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(number=strategies.integers(0, 29), count=strategies.integers(1, 20))
    def requests_arrive(self, number: int, count: int) -> None:
        for _ in range(count):
            self.entry(number).deposit()
            self.deposits.append(self.now_s)

    @rule(
        number=strategies.integers(0, 29),
        asked=strategies.sets(strategies.integers(0, 29), max_size=8),
    )
    def ask(self, number: int, asked: set[int]) -> None:
        request = self.entry(number).request_loan("retries", map(str, asked - {number}))
        for lender in sorted(asked - {number}):
            loan = self.entry(lender).lend(request)
            self.in_flight.append((str(lender), str(number), loan))

    @rule(is_kept=strategies.booleans(), is_lost=strategies.booleans())
    def deliver(self, is_kept: bool, is_lost: bool) -> None:
        if not self.in_flight:
            return
        index = self.rng.randrange(len(self.in_flight))
        lender, borrower, loan = self.in_flight[index]
        if not is_lost:
            self.entry(int(borrower)).accept(lender, loan, self.now_s)
        if not is_kept:
            del self.in_flight[index]

    @rule(number=strategies.integers(0, 29), count=strategies.integers(1, 10))
    def failures(self, number: int, count: int) -> None:
        for _ in range(count):
            if self.entry(number).try_withdraw():
                self.withdrawals.append(self.now_s)

    @invariant()
    def bound_holds(self) -> None:
        for start_s in {0.0, *self.withdrawals}:
            used = sum(at_s >= start_s for at_s in self.withdrawals)
            # A loan may be on its way for as long as no later request is made.
            deposited = sum(at_s >= start_s - LOAN_TTL_S for at_s in self.deposits)
            late = sum(loan.units for *_, loan in self.in_flight)
            assert used <= CAPACITY + RATIO * deposited + late + 1e-6


TestSharedQuotaMachine = SharedQuotaMachine.TestCase
TestSharedQuotaMachine.settings = settings(max_examples=60, stateful_step_count=40)
