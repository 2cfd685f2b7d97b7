"""Sliding window of the requests and tokens spent in the last 60 s."""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from gentianhoist.configuration import MINUTE_S

_SLOT_S = 0.25


class Amount(NamedTuple):
    """A number of requests and of tokens, as rate limits count them.

    Attributes:
        requests: Number of requests.
        tokens: Prompt tokens plus the maximum number of tokens to generate.
    """

    requests: int
    tokens: int

    def fits(self, limit: Amount) -> bool:
        """Whether neither number exceeds that of the limit."""
        return self.requests <= limit.requests and self.tokens <= limit.tokens

    def plus(self, other: Amount) -> Amount:
        """Sum with another amount."""
        return Amount(self.requests + other.requests, self.tokens + other.tokens)

    def minus(self, other: Amount) -> Amount:
        """Difference to another amount, each number at least 0."""
        return Amount(
            max(0, self.requests - other.requests), max(0, self.tokens - other.tokens)
        )


class MinuteWindow:
    """Sliding window over the charges of the last 60 s.

    Charges are summed in slots of 250 ms. A slot expires up to one slot late, never
    early, so the window may count too much but never too little.

    Example:
        >>> window = MinuteWindow()
        >>> window.charge(Amount(1, 500), now_s=10.0)
        >>> window.used(now_s=69.9), window.used(now_s=70.5)
        (Amount(requests=1, tokens=500), Amount(requests=0, tokens=0))
    """

    def __init__(self) -> None:
        self._slots: dict[int, Amount] = {}
        self._expiry_heap: list[int] = []
        self._used = Amount(0, 0)

    def charge(self, amount: Amount, now_s: float, delay_s: float = 0.0) -> None:
        """Add an amount that is spent now or may be spent within a delay.

        Args:
            amount: The amount.
            now_s: Monotonic time on this process's clock.
            delay_s: Seconds from now within which the amount may be spent.
        """
        expiry_slot = math.floor((now_s + delay_s + MINUTE_S) / _SLOT_S) + 1
        if expiry_slot not in self._slots:
            heapq.heappush(self._expiry_heap, expiry_slot)
            self._slots[expiry_slot] = Amount(0, 0)
        self._slots[expiry_slot] = self._slots[expiry_slot].plus(amount)
        self._used = self._used.plus(amount)

    def used(self, now_s: float) -> Amount:
        """Upper bound of what was spent in the 60 s that end now."""
        while self._expiry_heap and self._expiry_heap[0] * _SLOT_S <= now_s:
            self._used = self._used.minus(
                self._slots.pop(heapq.heappop(self._expiry_heap))
            )
        return self._used
