"""Number of instances, of which some may be missing from a list."""

from __future__ import annotations

import collections

__all__ = ["MANY", "LargestCount"]

# Time for which a larger count holds, in seconds: leases that expired in an
# outage are renewed within less.
MEMORY_S = 20.0
# Count that is assumed before there is a list.
MANY = 100


class LargestCount:
    """Largest count of the last while.

    Answers lists that are thin after an outage of the store, whose readers
    would take a whole quota for their own.
    """

    def __init__(self) -> None:
        """Creates a count of which nothing is known."""
        # Pairs of a count and the monotonic time at which it last held, with
        # the largest first.
        self._counts: collections.deque[tuple[int, float]] = collections.deque()

    def update(self, count: int | None, now: float) -> int:
        """Returns the largest count.

        Args:
            count: Count of now; None if there is no list yet.
            now: Monotonic time in seconds.
        """
        if count is None:
            return MANY
        if self._counts:
            # The last one may have held until now.
            self._counts[-1] = (self._counts[-1][0], now)
        while self._counts and self._counts[-1][0] <= count:
            self._counts.pop()
        self._counts.append((count, now))
        while self._counts[0][1] < now - MEMORY_S:
            self._counts.popleft()
        return self._counts[0][0]
