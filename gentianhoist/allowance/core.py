"""An entry's rate limit: its share of the preset in force, and loans."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from gentianhoist.allowance._excess import PeerReport, excess_deduction, part_of
from gentianhoist.allowance._window import Amount, MinuteWindow
from gentianhoist.configuration import EffectiveLimits

__all__ = ["Allowance"]

_MAX_LENT_RATIO = 0.9
_MAX_CLOCK_DRIFT_RATIO = 0.01


class _Loan(NamedTuple):
    amount: Amount
    preset_in_force_at_s: float
    expires_s: float


class Allowance:
    """Decides whether the rate limit admits a request.

    A loan transfers a part of the lender's allowance to another entry without access to
    the store. The lender counts it in its own window for as long as the borrower may
    spend it, and a minute longer, so a lost message only wastes the amount.

    Args:
        loan_s: Seconds within which the borrower may spend a loan.
    """

    def __init__(self, loan_s: float) -> None:
        self._loan_s = loan_s
        self._window = MinuteWindow()
        self._loans: deque[_Loan] = deque()
        self._reports: dict[str, PeerReport] = {}

    def used(self, now_s: float) -> Amount:
        """Amount in this entry's window: own spending and loans to other entries."""
        return self._window.used(now_s)

    def reported(self, peer: str, report: PeerReport) -> None:
        """Store another entry's report of its spending, in place of its last one."""
        self._reports[peer] = report

    def limit(self, limits: EffectiveLimits, share_ppm: int) -> Amount:
        """Maximum amount that this entry may have in its one-minute window."""
        deduction = excess_deduction(limits, share_ppm, self._reports.values())
        return part_of(limits.preset, share_ppm).minus(deduction)

    def spend(
        self, amount: Amount, limits: EffectiveLimits, share_ppm: int, now_s: float
    ) -> bool:
        """Spend an amount from this entry's share, and what it lacks from loans.

        Args:
            amount: Amount that a request needs.
            limits: Limits in force now.
            share_ppm: This entry's share, in parts per million.
            now_s: Monotonic time on this entry's clock.

        Returns:
            Whether the request is admitted; if not, nothing is spent.
        """
        spare = self.limit(limits, share_ppm).minus(self._window.used(now_s))
        own = Amount(
            min(amount.requests, spare.requests), min(amount.tokens, spare.tokens)
        )
        # A prompt may need more than the share of any one entry, so the share and all
        # loans count together.
        if not self._spend_loans(amount.minus(own), limits.preset_in_force_at_s, now_s):
            return False
        self._window.charge(own, now_s)
        return True

    def borrowed(
        self, amount: Amount, preset_in_force_at_s: float, requested_s: float
    ) -> None:
        """Add a loan from another entry.

        Args:
            amount: Amount that the lender charged to its own window.
            preset_in_force_at_s: Wall time from which the lender's preset is in force.
                The loan is void under any other, as a switch may have lowered the
                limit.
            requested_s: Time at which the loan was requested, on this entry's clock.
        """
        if amount.requests > 0 or amount.tokens > 0:
            self._loans.append(
                _Loan(amount, preset_in_force_at_s, requested_s + self._loan_s)
            )

    def lend(
        self, wanted: Amount, limits: EffectiveLimits, share_ppm: int, now_s: float
    ) -> Amount:
        """Lend to another entry and charge the loan to this entry's window.

        Args:
            wanted: Amount that the other entry asks for.
            limits: Limits in force now.
            share_ppm: This entry's share, in parts per million.
            now_s: Monotonic time on this entry's clock.

        Returns:
            Amount lent: at most 90 %, rounded up, of what this entry has left.
        """
        spare = self.limit(limits, share_ppm).minus(self._window.used(now_s))
        lent = Amount(
            min(wanted.requests, math.ceil(spare.requests * _MAX_LENT_RATIO)),
            min(wanted.tokens, math.ceil(spare.tokens * _MAX_LENT_RATIO)),
        )
        if lent == Amount(0, 0):
            return lent
        delay_s = self._loan_s * (1.0 + _MAX_CLOCK_DRIFT_RATIO)
        self._window.charge(lent, now_s, delay_s)
        return lent

    def _spend_loans(
        self, rest: Amount, preset_in_force_at_s: float, now_s: float
    ) -> bool:
        """Spend the whole rest from loans if they cover it, otherwise nothing."""
        while self._loans and self._loans[0].expires_s <= now_s:
            self._loans.popleft()
        usable = [
            loan
            for loan in self._loans
            if loan.preset_in_force_at_s == preset_in_force_at_s
        ]
        available = Amount(
            sum(loan.amount.requests for loan in usable),
            sum(loan.amount.tokens for loan in usable),
        )
        if not rest.fits(available):
            return False
        for index, loan in enumerate(self._loans):
            if loan.preset_in_force_at_s == preset_in_force_at_s:
                left = loan.amount.minus(rest)
                rest = rest.minus(loan.amount)
                self._loans[index] = loan._replace(amount=left)
        return True
