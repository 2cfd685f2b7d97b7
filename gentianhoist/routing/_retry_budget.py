"""Retry budget: limits retries to a ratio of the requests."""

from __future__ import annotations

_DEFAULT_CAPACITY = 10.0


class RetryBudget:
    """Token bucket that each request fills by a ratio and each retry drains by one.

    The bucket starts full.

    Args:
        ratio: Retries allowed for each request.
        capacity: Capacity of the bucket, in retries.

    Example:
        >>> budget = RetryBudget(0.1)
        >>> sum(budget.try_withdraw() for _ in range(20))
        10
    """

    def __init__(self, ratio: float, capacity: float = _DEFAULT_CAPACITY) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._balance = capacity

    def resize(self, capacity: float) -> None:
        """Change the capacity; a larger balance is cut to it.

        Example:
            >>> budget = RetryBudget(0.1)
            >>> budget.resize(2.0)
            >>> sum(budget.try_withdraw() for _ in range(20))
            2
        """
        self._capacity = capacity
        self._balance = min(self._balance, capacity)

    def deposit(self) -> None:
        """Add the ratio for one request."""
        self._balance = min(self._capacity, self._balance + self._ratio)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; False if the balance is below one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
