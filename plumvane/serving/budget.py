"""Retry budget of one instance."""

from __future__ import annotations

__all__ = ["RetryBudget"]

# Retries deposited for each first attempt.
RETRY_RATIO = 0.1
# Largest balance, in retries.
MAX_BALANCE = 10.0


class RetryBudget:
    """Limits retries to a share of the first attempts."""

    def __init__(
        self, ratio: float = RETRY_RATIO, max_balance: float = MAX_BALANCE
    ) -> None:
        """Creates a budget with the largest balance.

        Args:
            ratio: Retries deposited for each first attempt.
            max_balance: Largest balance, in retries.
        """
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = max_balance

    def deposit(self) -> None:
        """Credits the budget for a first attempt."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    @property
    def available(self) -> bool:
        """Whether the balance covers a retry."""
        return self._balance >= 1.0

    def try_withdraw(self) -> bool:
        """Withdraws one retry if the balance covers it.

        Returns:
            Whether the retry is allowed.
        """
        if not self.available:
            return False
        self._balance -= 1.0
        return True
