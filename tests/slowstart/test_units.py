"""Hard bound of a cold server over all entries, with units that are lent."""

import random

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gentianhoist.slowstart import (
    GROWTH_DELAY_S,
    LOAN_TTL_S,
    StartUnits,
    UnitLoan,
    UnitRequest,
    UnitShares,
)

# A rate that leaves most of 12 entries less than one request per second.
COLD_PER_S = 10.0
RATE_PER_S = 0.9 * COLD_PER_S
MIN_ENTRIES = 8
HOSTS = [f"10.0.0.{number}" for number in range(30)]


def _assumed(known: int) -> int:
    return max(MIN_ENTRIES, -(-5 * known // 4))


class _Entry:
    """One process of an entry, with a clock of its own."""

    def __init__(self, host: str, clock_s: float, seed: int) -> None:
        self.host = host
        self.clock_s = clock_s
        self.shares = UnitShares(host, MIN_ENTRIES)
        self.units = StartUnits(self.shares, random.Random(seed))

    def set_entries(self, hosts: list[str], now_s: float) -> None:
        others = set(hosts) - {self.host}
        assumed = _assumed(1 + len(others))
        self.shares.set_entries(others, assumed, now_s + self.clock_s)

    def send_all(self, now_s: float, rate_per_s: float = RATE_PER_S) -> int:
        """Send as many requests as the bound allows; returns their number."""
        sent = 0
        while self.units.can_use("s", rate_per_s, now_s + self.clock_s):
            self.units.use("s", now_s + self.clock_s)
            sent += 1
            assert sent < 1_000
        return sent


def _fleet(count: int) -> list[_Entry]:
    """Entries that know each other for long."""
    entries = [_Entry(HOSTS[number], 0.0, number) for number in range(count)]
    for entry in entries:
        entry.set_entries(HOSTS[:count], -2 * GROWTH_DELAY_S)
    return entries


@pytest.mark.parametrize("count", [1, 2, 7, 12, 30])
@pytest.mark.parametrize("cold_per_s", [0.5, 1.0, 4.0, 10.0, 36.0, 300.0])
def test_entries_that_hear_nothing_of_each_other_keep_the_bound(count, cold_per_s):
    """Half of the engines come back cold, and each entry sends as early as it may.

    Parts below one request per second that each entry used in a longer window of its
    own could all fall into the same second.
    """
    entries = _fleet(count)
    sent: list[float] = []
    for step in range(300):
        now_s = step / 50
        for entry in entries:
            sent += [now_s] * entry.send_all(now_s, 0.9 * cold_per_s)
    busiest = max(sum(at <= other < at + 1.0 for other in sent) for at in sent)
    assert busiest <= max(1.0, 0.9 * cold_per_s)
    # The server isn't left idle either: of the rate, the entries that may just be
    # starting keep a fifth, and the parts are rounded down.
    assert len(sent) >= 0.5 * min(1.0, count / MIN_ENTRIES) * 0.9 * cold_per_s * 6 - 1


def test_one_entry_with_all_callers_borrows_the_units_of_the_others():
    """All requests of the burst arrive at one entry, whose own part is one or none."""
    entries = _fleet(30)
    first = entries[0]
    own = first.send_all(0.0)
    hosts = first.shares.holders("s", RATE_PER_S)
    request = first.units.request("s", hosts, 0.0)
    lenders = {entry.host: entry for entry in entries}
    borrowed = 0
    for host in hosts:
        loan = lenders[host].units.lend(request, RATE_PER_S, 0.01)
        if loan is not None:
            borrowed += first.units.accept(host, loan, 0.02)
    assert own <= 1
    assert own + borrowed >= 0.75 * RATE_PER_S
    assert first.send_all(0.03) == borrowed


class TestALoan:
    def _lend(self) -> tuple[_Entry, _Entry, UnitRequest, UnitLoan]:
        lender, borrower = _Entry("a", 0.0, 1), _Entry("b", 50.0, 2)
        request = borrower.units.request("s", ["a"], 50.0)
        loan = lender.units.lend(request, RATE_PER_S, 0.0)
        assert loan is not None
        return lender, borrower, request, loan

    def test_is_not_used_in_a_window_in_which_its_lender_uses_the_unit(self):
        """The window slides: a use at its end counts for a second more."""
        lender, borrower, _, loan = self._lend()
        assert borrower.units.accept("a", loan, 50.0)
        own = borrower.send_all(LOAN_TTL_S - 0.001)
        assert own == 2
        assert lender.send_all(LOAN_TTL_S + 1.0) == 0
        assert lender.send_all(LOAN_TTL_S + 1.2) == 1

    def test_that_is_late_has_no_effect(self):
        _, borrower, _, loan = self._lend()
        assert not borrower.units.accept("a", loan, 50.0 + LOAN_TTL_S)

    def test_that_is_not_used_in_time_is_lost(self):
        _, borrower, _, loan = self._lend()
        borrower.units.accept("a", loan, 50.0)
        assert borrower.send_all(LOAN_TTL_S) == 1

    def test_that_is_repeated_or_was_not_asked_for_has_no_effect(self):
        _, borrower, _, loan = self._lend()
        assert not borrower.units.accept("c", loan, 50.0)
        other = loan._replace(number=loan.number + 1)
        assert not borrower.units.accept("a", other, 50.0)
        assert not borrower.units.accept("a", loan._replace(server_id="t"), 50.0)
        assert borrower.units.accept("a", loan, 50.0)
        assert not borrower.units.accept("a", loan, 50.0)

    def test_to_an_earlier_process_of_the_entry_has_no_effect(self):
        """A late loan must not match a request of the process that was started since.

        Its unit may be in use by the lender again.
        """
        _, _, request, loan = self._lend()
        restarted = _Entry("b", 60.0, 3)
        assert restarted.units.request("s", ["a"], 60.0).number != request.number
        assert not restarted.units.accept("a", loan, 60.0)

    def test_is_not_used_after_a_step_back_of_the_borrowers_clock(self):
        """Its end on that clock would be later than the lender waits."""
        _, borrower, _, loan = self._lend()
        assert borrower.units.accept("a", loan, 50.0)
        borrower.clock_s -= 10.0
        assert borrower.send_all(2.0) == 1

    def test_of_a_killed_borrower_is_lost_and_not_doubled(self):
        lender, _, _, _ = self._lend()
        assert lender.send_all(1.0) == 0
        assert lender.send_all(2.0) == 1


class TestMembership:
    def test_a_unit_that_moves_is_not_used_twice_in_a_window(self):
        """An entry that is removed may have used its unit a moment before."""
        entries = _fleet(12)
        sent = sum(entry.send_all(0.0, 100.0) for entry in entries)
        for entry in entries[:6]:
            entry.set_entries(HOSTS[:6], 0.1)
        later = sum(entry.send_all(0.2, 100.0) for entry in entries[:6])
        assert sent + later <= 100

    def test_a_share_shrinks_at_once(self):
        (alone,) = _fleet(1)
        assert alone.shares.share("s", 100.0, 0.0).units == 12
        alone.set_entries(HOSTS, 1.0)
        assert alone.shares.share("s", 100.0, 1.0).units <= 3

    def test_a_share_grows_after_the_delay(self):
        entry = _fleet(30)[0]
        before = entry.shares.share("s", 100.0, 0.0).units
        entry.set_entries(HOSTS[:4], 0.0)
        assert entry.shares.share("s", 100.0, GROWTH_DELAY_S - 0.1).units == before
        assert entry.shares.share("s", 100.0, GROWTH_DELAY_S).units > before


def test_row_that_vanishes_for_a_moment_does_not_free_the_units():
    """The store lost the row of a cold server, and it was written again at once."""
    (entry,) = _fleet(1)
    assert entry.send_all(0.0) == 1
    entry.units.keep_only(set())
    assert entry.send_all(0.1) == 0


def test_step_back_of_the_clock_neither_frees_units_nor_holds_them_for_long():
    (entry,) = _fleet(1)
    assert entry.send_all(1_000.0) == 1
    assert entry.send_all(0.0) == 0
    assert entry.send_all(2.0) == 1


class LoanMachine(RuleBasedStateMachine):
    """Entries that lend while messages are lost, late and repeated.

    Their clocks differ, stop and step back. No window of a second holds more requests
    than there are units.
    """

    max_requests = int(RATE_PER_S * 12 / _assumed(12))

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0
        self.sent_s: list[float] = []
        self.requests: list[tuple[str, str, UnitRequest]] = []
        self.loans: list[tuple[str, str, UnitLoan]] = []
        self.rng = random.Random(1)
        self.entries = {entry.host: entry for entry in _fleet(12)}

    def _entry(self, number: int) -> _Entry:
        hosts = sorted(self.entries)
        return self.entries[hosts[number % len(hosts)]]

    def _lend(self, borrower: str, lender: str, request: UnitRequest) -> None:
        entry = self.entries.get(lender)
        if entry is None:
            return
        now_s = self.now_s + entry.clock_s
        loan = entry.units.lend(request, RATE_PER_S, now_s)
        if loan is not None:
            self.loans.append((lender, borrower, loan))

    def _accept(self, lender: str, borrower: str, loan: UnitLoan) -> None:
        entry = self.entries.get(borrower)
        if entry is not None:
            entry.units.accept(lender, loan, self.now_s + entry.clock_s)

    @rule(seconds=strategies.sampled_from([0.01, 0.1, 0.24, 0.65, 1.2]))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(number=strategies.integers(0, 29))
    def send(self, number: int) -> None:
        self.sent_s += [self.now_s] * self._entry(number).send_all(self.now_s)

    @rule(seconds=strategies.sampled_from([0.01, 0.24, 0.8]))
    def send_from_all(self, seconds: float) -> None:
        self.now_s += seconds
        for entry in self.entries.values():
            self.sent_s += [self.now_s] * entry.send_all(self.now_s)

    @rule(number=strategies.integers(0, 29), is_repeated=strategies.booleans())
    def borrow(self, number: int, is_repeated: bool) -> None:
        """Ask all others at a time when every message arrives at once."""
        entry = self._entry(number)
        hosts = [host for host in self.entries if host != entry.host]
        now_s = self.now_s + entry.clock_s
        request = entry.units.request("s", hosts, now_s)
        for host in hosts:
            self._lend(entry.host, host, request)
        self.deliver_loans(is_repeated)

    @rule(
        number=strategies.integers(0, 29),
        count=strategies.integers(1, 12),
        is_answered=strategies.booleans(),
    )
    def ask(self, number: int, count: int, is_answered: bool) -> None:
        entry = self._entry(number)
        hosts = self.rng.sample(sorted(self.entries), min(count, len(self.entries)))
        hosts = [host for host in hosts if host != entry.host]
        now_s = self.now_s + entry.clock_s
        request = entry.units.request("s", hosts, now_s)
        for host in hosts:
            if is_answered:
                self._lend(entry.host, host, request)
            else:
                self.requests.append((entry.host, host, request))

    @rule(is_repeated=strategies.booleans(), count=strategies.integers(1, 12))
    def deliver_requests(self, is_repeated: bool, count: int) -> None:
        for _ in range(min(count, len(self.requests))):
            index = self.rng.randrange(len(self.requests))
            self._lend(*self.requests[index])
            if not is_repeated:
                del self.requests[index]

    def deliver_loans(self, is_repeated: bool) -> None:
        for lender, borrower, loan in self.loans:
            self._accept(lender, borrower, loan)
        if not is_repeated:
            self.loans.clear()

    @rule(is_repeated=strategies.booleans())
    def deliver_late_loans(self, is_repeated: bool) -> None:
        self.deliver_loans(is_repeated)

    @rule(number=strategies.integers(0, 5))
    def lose_messages(self, number: int) -> None:
        del self.requests[number:], self.loans[number // 2 :]

    @rule(number=strategies.integers(0, 29), seconds=strategies.floats(0.1, 100.0))
    def step_back(self, number: int, seconds: float) -> None:
        """The entry notices it when it next reads its clock."""
        self._entry(number).clock_s -= seconds

    @invariant()
    def bound_holds(self) -> None:
        self.sent_s = [at_s for at_s in self.sent_s if at_s > self.now_s - 2.0]
        for start_s in set(self.sent_s):
            window = sum(start_s <= at_s < start_s + 1.0 for at_s in self.sent_s)
            assert window <= self.max_requests


class MembershipMachine(LoanMachine):
    """The same while entries are killed and added, and clocks step forward.

    An entry that is killed and started again, or whose clock steps forward, may use its
    own part once more. The rule leaves room for some of them.
    """

    max_requests = int(1.5 * COLD_PER_S + 5)

    def __init__(self) -> None:
        super().__init__()
        self.repeated_s: list[float] = []
        self.told_s = 0.0
        self.seed = 0

    @property
    def _may_repeat(self) -> bool:
        return sum(at_s > self.now_s - 3.0 for at_s in self.repeated_s) < 3

    @precondition(lambda self: len(self.entries) > 3 and self._may_repeat)
    @rule(number=strategies.integers(0, 29))
    def kill(self, number: int) -> None:
        """Its loans are lost, or used by those who have them."""
        del self.entries[self._entry(number).host]
        self.repeated_s.append(self.now_s)

    @precondition(lambda self: len(self.entries) < 30 and self._may_repeat)
    @rule(number=strategies.integers(0, 29))
    def add(self, number: int) -> None:
        """A new entry has read the registry; the others read it later."""
        free = [host for host in HOSTS if host not in self.entries]
        host = free[number % len(free)]
        self.seed += 1
        entry = _Entry(host, self.rng.uniform(-50.0, 50.0), 100 + self.seed)
        self.entries[host] = entry
        entry.set_entries(list(self.entries), self.now_s)
        self.repeated_s.append(self.now_s)

    @precondition(lambda self: self.told_s < self.now_s - 0.25)
    @rule()
    def read_registry(self) -> None:
        for entry in self.entries.values():
            entry.set_entries(list(self.entries), self.now_s)
        self.told_s = self.now_s

    @precondition(lambda self: self._may_repeat)
    @rule(number=strategies.integers(0, 29), seconds=strategies.floats(0.1, 100.0))
    def step_forward(self, number: int, seconds: float) -> None:
        self._entry(number).clock_s += seconds
        self.repeated_s.append(self.now_s)


_SETTINGS = settings(max_examples=150, stateful_step_count=60, deadline=None)
TestLoanMachine = LoanMachine.TestCase
TestLoanMachine.settings = _SETTINGS
TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = _SETTINGS
