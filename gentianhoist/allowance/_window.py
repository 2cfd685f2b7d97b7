"""What was spent in the last 60 s."""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from gentianhoist.configuration import MINUTE_S

_SLOT_S = 0.25


class Amount(NamedTuple):
    """Requests and tokens.

    Attributes:
        requests: Number of requests.
        tokens: Tokens of their prompts and of their answers' limits.
    """

    requests: int
    tokens: int

    def fits(self, limit: Amount) -> bool:
        """Whether neither number is over the limit."""
        return self.requests <= limit.requests and self.tokens <= limit.tokens

    def plus(self, other: Amount) -> Amount:
        """The sum."""
        return Amount(self.requests + other.requests, self.tokens + other.tokens)

    def minus(self, other: Amount) -> Amount:
        """The difference, never below 0."""
        return Amount(
            max(0, self.requests - other.requests), max(0, self.tokens - other.tokens)
        )


class MinuteWindow:
    """Charges of the last 60 s, kept by slots that end a little late, never early.

    Example:
        >>> window = MinuteWindow()
        >>> window.charge(Amount(1, 500), now_s=10.0)
        >>> window.used(now_s=69.9), window.used(now_s=70.5)
        (Amount(requests=1, tokens=500), Amount(requests=0, tokens=0))
    """

    def __init__(self) -> None:
        self._slots: dict[int, Amount] = {}
        self._order: list[int] = []
        self._used = Amount(0, 0)

    def charge(self, amount: Amount, now_s: float, delay_s: float = 0.0) -> None:
        """Charge an amount that is spent now or within a delay.

        Args:
            amount: The amount.
            now_s: The time on this process's clock.
            delay_s: Seconds within which it may still be spent.
        """
        slot = math.floor((now_s + delay_s + MINUTE_S) / _SLOT_S) + 1
        if slot not in self._slots:
            heapq.heappush(self._order, slot)
            self._slots[slot] = Amount(0, 0)
        self._slots[slot] = self._slots[slot].plus(amount)
        self._used = self._used.plus(amount)

    def used(self, now_s: float) -> Amount:
        """What any 60 s that end now can hold of the charges."""
        while self._order and self._order[0] * _SLOT_S <= now_s:
            self._used = self._used.minus(self._slots.pop(heapq.heappop(self._order)))
        return self._used
