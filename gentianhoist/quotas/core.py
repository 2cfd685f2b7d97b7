"""One entry's part of a quota that all entries share, without any I/O.

A quota that is divided among many entries may leave each of them less than one unit,
which is of no use to any. So an entry that needs a unit borrows parts of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gentianhoist.routing import RetryBudget

__all__ = ["LOAN_TTL_S", "Loan", "LoanRequest", "SharedQuota"]

# What was borrowed and not used until then is lost to all entries. So units don't
# accumulate at one entry while its lenders earn new ones.
LOAN_TTL_S = 1.0
# An entry keeps this much for itself when it lends.
_KEPT_UNITS = 1.0


class LoanRequest(NamedTuple):
    """An entry asks another one for a part of a unit.

    Attributes:
        quota: Name of the quota.
        number: Increases with each request of the entry.
        units: Units that it lacks.
    """

    quota: str
    number: int
    units: float


class Loan(NamedTuple):
    """Units that an entry gives up in favour of another one.

    Attributes:
        quota: Name of the quota.
        number: Number of the request.
        units: Units that it gives up.
    """

    quota: str
    number: int
    units: float


class _Borrowed(NamedTuple):
    units: float
    expires_s: float


class SharedQuota(RetryBudget):
    """Token bucket of one entry, which lends to those of other entries.

    Units are only moved between entries. Over any time, all entries together use at
    most the capacities of their buckets and what was deposited since `LOAN_TTL_S`
    before it, even if messages are lost or repeated.

    Args:
        ratio: Units that each deposit adds.
        capacity: This entry's part of the whole capacity, in units.

    Example:
        >>> lender, borrower = SharedQuota(0.1, 0.6), SharedQuota(0.1, 0.6)
        >>> borrower.try_withdraw()
        False
        >>> request = borrower.request_loan("retries", ["lender"])
        >>> borrower.accept("lender", lender.lend(request), now_s=0.0)
        >>> borrower.try_withdraw()
        True
    """

    def __init__(self, ratio: float, capacity: float) -> None:
        super().__init__(ratio, capacity)
        self._borrowed: list[_Borrowed] = []
        self._request_number = 0
        self._asked_hosts: set[str] = set()

    @property
    def units(self) -> float:
        """Units that this entry may use, borrowed ones included."""
        return self._balance + sum(item.units for item in self._borrowed)

    @property
    def can_withdraw(self) -> bool:
        """Whether this entry has a whole unit."""
        return self.units >= 1.0

    def try_withdraw(self) -> bool:
        """Withdraw one unit, borrowed ones first; False if there is less than one."""
        if not self.can_withdraw:
            return False
        missing = 1.0
        while missing > 0.0 and self._borrowed:
            item = self._borrowed.pop(0)
            used = min(missing, item.units)
            missing -= used
            if used < item.units:
                self._borrowed.insert(0, item._replace(units=item.units - used))
        self._balance -= missing
        return True

    def request_loan(self, quota: str, hosts: Iterable[str]) -> LoanRequest:
        """Create a request to some entries for what is missing of one unit.

        Only loans for the last request are accepted, one of each entry.

        Args:
            quota: Name of the quota.
            hosts: IP addresses of the entries that are asked.
        """
        self._request_number += 1
        self._asked_hosts = set(hosts)
        return LoanRequest(quota, self._request_number, max(0.0, 1.0 - self.units))

    def lend(self, request: LoanRequest) -> Loan:
        """Give up units in favour of another entry.

        A part of a unit is of no use here; of whole units, one is kept.
        """
        spare = self._balance
        if spare >= _KEPT_UNITS:
            spare -= _KEPT_UNITS
        units = max(0.0, min(spare, request.units))
        self._balance -= units
        return Loan(request.quota, request.number, units)

    def accept(self, host: str, loan: Loan, now_s: float) -> None:
        """Take a loan.

        Args:
            host: IP address of the lender.
            loan: The loan; one that wasn't asked for has no effect.
            now_s: Current time on the entry's clock, in seconds.
        """
        if loan.number != self._request_number or host not in self._asked_hosts:
            return
        self._asked_hosts.discard(host)
        if 0.0 < loan.units <= 1.0:
            self._borrowed.append(_Borrowed(loan.units, now_s + LOAN_TTL_S))

    def expire(self, now_s: float) -> None:
        """Drop what was borrowed too long ago."""
        self._borrowed = [item for item in self._borrowed if item.expires_s > now_s]
