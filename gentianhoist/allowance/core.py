"""One entry's allowance: its share of the preset in force, and loans."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from gentianhoist.allowance._excess import PeerReport, excess, part_of
from gentianhoist.allowance._window import Amount, MinuteWindow
from gentianhoist.configuration import EffectiveLimits

__all__ = ["Allowance"]

_LENT_PART = 0.9
_CLOCK_RATE_ERROR = 0.01


class _Loan(NamedTuple):
    amount: Amount
    since_s: float
    until_s: float


class Allowance:
    """Decides whether a request may be admitted in this minute.

    A loan moves a part of the lender's allowance to another entry without the store.
    The lender charges it to its own minute for as long as the borrower may spend it,
    and a minute longer, so a lost message only wastes it.

    Args:
        loan_s: Seconds within which a borrowed amount is spent.
    """

    def __init__(self, loan_s: float) -> None:
        self._loan_s = loan_s
        self._window = MinuteWindow()
        self._loans: deque[_Loan] = deque()
        self._reports: dict[str, PeerReport] = {}

    def used(self, now_s: float) -> Amount:
        """What the last minute holds of this entry's own allowance."""
        return self._window.used(now_s)

    def reported(self, peer: str, report: PeerReport) -> None:
        """Take another entry's report of its spending."""
        self._reports[peer] = report

    def limit(self, terms: EffectiveLimits, share_ppm: int) -> Amount:
        """What this entry's last minute may hold."""
        unspent = excess(terms, share_ppm, self._reports.values())
        return part_of(terms.preset, share_ppm).minus(unspent)

    def spend(
        self, amount: Amount, terms: EffectiveLimits, share_ppm: int, now_s: float
    ) -> bool:
        """Spend an amount from the share, or else from loans.

        Args:
            amount: What a request needs.
            terms: What holds now.
            share_ppm: This entry's share, in parts per million.
            now_s: The time on this entry's clock.

        Returns:
            Whether the request may be admitted.
        """
        spare = self.limit(terms, share_ppm).minus(self._window.used(now_s))
        own = Amount(
            min(amount.requests, spare.requests), min(amount.tokens, spare.tokens)
        )
        # A prompt may need more than any one entry's part, so loans add up.
        if not self._spend_loans(amount.minus(own), terms.since_s, now_s):
            return False
        self._window.charge(own, now_s)
        return True

    def borrowed(self, amount: Amount, since_s: float, asked_s: float) -> None:
        """Take a loan.

        Args:
            amount: What the lender took from its own allowance.
            since_s: Since when the lender's terms held; the loan is void under any
                others, since a switch may have lowered what a minute holds.
            asked_s: When it was asked, on this entry's clock.
        """
        if amount.requests > 0 or amount.tokens > 0:
            self._loans.append(_Loan(amount, since_s, asked_s + self._loan_s))

    def lend(
        self, wanted: Amount, terms: EffectiveLimits, share_ppm: int, now_s: float
    ) -> Amount:
        """Lend to another entry.

        Args:
            wanted: What it asks for.
            terms: What holds now.
            share_ppm: This entry's share, in parts per million.
            now_s: The time on this entry's clock.

        Returns:
            What it gets; it is charged to this entry.
        """
        spare = self.limit(terms, share_ppm).minus(self._window.used(now_s))
        lent = Amount(
            min(wanted.requests, math.ceil(spare.requests * _LENT_PART)),
            min(wanted.tokens, math.ceil(spare.tokens * _LENT_PART)),
        )
        if lent == Amount(0, 0):
            return lent
        delay_s = self._loan_s * (1.0 + _CLOCK_RATE_ERROR)
        self._window.charge(lent, now_s, delay_s)
        return lent

    def _spend_loans(self, rest: Amount, since_s: float, now_s: float) -> bool:
        """Spend from loans what the share doesn't cover: all of it or nothing."""
        while self._loans and self._loans[0].until_s <= now_s:
            self._loans.popleft()
        usable = [loan for loan in self._loans if loan.since_s == since_s]
        borrowed = Amount(
            sum(loan.amount.requests for loan in usable),
            sum(loan.amount.tokens for loan in usable),
        )
        if not rest.fits(borrowed):
            return False
        for index, loan in enumerate(self._loans):
            if loan.since_s == since_s:
                left = loan.amount.minus(rest)
                rest = rest.minus(loan.amount)
                self._loans[index] = loan._replace(amount=left)
        return True
