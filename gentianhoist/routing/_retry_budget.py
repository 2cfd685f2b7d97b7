"""A budget of retries, as a part of the traffic."""

from __future__ import annotations

_RESERVE = 10.0


class RetryBudget:
    """Earns a part of a retry with each request and spends one with each retry.

    Args:
        ratio: Retries for each request.
        reserve: Retries that may be saved up.

    Example:
        >>> budget = RetryBudget(0.1)
        >>> sum(budget.try_withdraw() for _ in range(20))
        10
    """

    def __init__(self, ratio: float, reserve: float = _RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def resize(self, reserve: float) -> None:
        """Change how many retries may be saved up.

        Example:
            >>> budget = RetryBudget(0.1)
            >>> budget.resize(2.0)
            >>> sum(budget.try_withdraw() for _ in range(20))
            2
        """
        self._reserve = reserve
        self._balance = min(self._balance, reserve)

    def deposit(self) -> None:
        """Take note of a request."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def try_withdraw(self) -> bool:
        """Spend one retry; False if the budget is empty."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
