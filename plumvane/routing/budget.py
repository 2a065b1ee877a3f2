"""Retry budget of one entry."""

from __future__ import annotations

__all__ = ["RetryBudget"]

# Retries allowed per first attempt.
RATIO = 0.1
# Retries that may be saved up.
BURST = 10.0


class RetryBudget:
    """Allows retries as a share of the first attempts."""

    def __init__(self, ratio: float = RATIO, burst: float = BURST) -> None:
        """Creates a full budget.

        Args:
            ratio: Retries earned by each first attempt.
            burst: Retries that may be saved up.
        """
        self._ratio = ratio
        self._burst = burst
        self._saved = burst

    def deposit(self) -> None:
        """Counts a first attempt."""
        self._saved = min(self._burst, self._saved + self._ratio)

    @property
    def available(self) -> bool:
        """Whether a retry would be allowed now."""
        return self._saved >= 1.0

    def try_withdraw(self) -> bool:
        """Takes one retry; returns whether the budget allowed it."""
        if not self.available:
            return False
        self._saved -= 1.0
        return True
