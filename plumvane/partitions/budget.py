"""Rate limit on the store commits of one instance's partitions."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import clock, hashing

__all__ = ["CommitBudget"]

# Commits per second that each owned partition adds to its instance's limit.
COMMITS_PER_S = 20.0
# Limit on the average commits per second of all partitions of a fleet.
FLEET_COMMITS_PER_S = 320.0
# Commits that each owned partition adds to its instance's burst size.
COMMIT_BURST = 10.0


class CommitBudget:
    """Token bucket that limits the commits of all logs of one instance.

    A commit proceeds at once while tokens are left. Otherwise the logs wait in
    the order of their calls; each has at most one commit in flight.
    """

    def __init__(
        self,
        owned_count: Callable[[], int],
        partitions: int = hashing.PARTITIONS,
    ) -> None:
        """Creates a bucket that holds one partition's burst.

        Args:
            owned_count: Returns how many partitions the instance owns.
            partitions: Number of partitions that share the fleet's limit.
        """
        self._owned_count = owned_count
        self._rate_per_partition = min(
            COMMITS_PER_S, FLEET_COMMITS_PER_S / partitions
        )
        self._tokens = COMMIT_BURST
        self._refilled_at = clock.monotonic()
        self._lock = anyio.Lock(fast_acquire=True)

    async def acquire(self) -> None:
        """Waits for a token and consumes it."""
        async with self._lock:
            while True:
                rate = self._refill()
                if self._tokens >= 1.0:
                    self._tokens -= 1.0
                    return
                await anyio.sleep((1.0 - self._tokens) / rate)

    def _refill(self) -> float:
        """Adds the tokens that have accrued since the last refill.

        Returns:
            Commits per second that the instance is allowed on average.
        """
        owned = max(1, self._owned_count())
        rate = owned * self._rate_per_partition
        now = clock.monotonic()
        self._tokens += (now - self._refilled_at) * rate
        self._tokens = min(owned * COMMIT_BURST, self._tokens)
        self._refilled_at = now
        return rate
