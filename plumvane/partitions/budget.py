"""Commits that the partitions of one instance may send to the store."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import clock, hashing

__all__ = ["CommitBudget"]

# Commits a second that each owned partition adds to its instance's budget.
COMMITS_PER_S = 20.0
# Commits a second that all partitions of a fleet may average together.
FLEET_COMMITS_PER_S = 320.0
# Commits that each owned partition lets its instance save up.
COMMIT_BURST = 10.0


class CommitBudget:
    """A rate of commits that the logs of one instance share.

    A commit is allowed at once while the budget lasts. Then the logs take
    turns, each with the one commit that it may have under way.
    """

    def __init__(
        self,
        owned: Callable[[], int],
        partitions: int = hashing.PARTITIONS,
    ) -> None:
        """Creates a budget that has saved up one partition's burst.

        Args:
            owned: Returns how many partitions the instance owns now.
            partitions: Number of partitions that share the store's rate.
        """
        self._owned = owned
        self._per_partition_s = min(
            COMMITS_PER_S, FLEET_COMMITS_PER_S / partitions
        )
        self._saved = COMMIT_BURST
        self._refilled = clock.monotonic()
        self._turn = anyio.Lock(fast_acquire=True)

    async def take(self) -> None:
        """Waits until the rate allows a commit, and counts it."""
        async with self._turn:
            while True:
                rate = self._refill()
                if self._saved >= 1.0:
                    self._saved -= 1.0
                    return
                await anyio.sleep((1.0 - self._saved) / rate)

    def _refill(self) -> float:
        """Adds what was gained since the last time.

        Returns:
            The commits a second that the instance may average now.
        """
        owned = max(1, self._owned())
        rate = owned * self._per_partition_s
        now = clock.monotonic()
        self._saved += (now - self._refilled) * rate
        self._saved = min(owned * COMMIT_BURST, self._saved)
        self._refilled = now
        return rate
