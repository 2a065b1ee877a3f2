"""Sets of item indexes, stored as sorted disjoint intervals."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Iterator

__all__ = ["IntervalSet"]


class IntervalSet:
    """A set of indexes that merges adjacent ones into intervals."""

    def __init__(self) -> None:
        """Creates an empty set."""
        self._starts: list[int] = []
        self._ends: list[int] = []

    def __bool__(self) -> bool:
        return bool(self._starts)

    def __iter__(self) -> Iterator[tuple[int, int]]:
        """Yields the intervals as pairs of first index and length."""
        for start, end in zip(self._starts, self._ends, strict=True):
            yield start, end - start

    def add(self, first: int, count: int) -> None:
        """Adds `count` indexes, starting at `first`."""
        start, end = first, first + count
        low = bisect.bisect_left(self._ends, start)
        high = bisect.bisect_right(self._starts, end)
        if low < high:
            start = min(start, self._starts[low])
            end = max(end, self._ends[high - 1])
        self._starts[low:high] = [start]
        self._ends[low:high] = [end]

    def add_all(self, indexes: Iterable[int]) -> None:
        """Adds the given indexes."""
        for first, count in group_consecutive(indexes):
            self.add(first, count)

    def discard(self, first: int, count: int) -> bool:
        """Removes `count` indexes, starting at `first`.

        Returns:
            Whether any of them was in the set.
        """
        start, end = first, first + count
        low = bisect.bisect_right(self._ends, start)
        high = bisect.bisect_left(self._starts, end)
        if low >= high:
            return False
        pieces = [
            (self._starts[low], start),
            (end, self._ends[high - 1]),
        ]
        kept = [(a, b) for a, b in pieces if a < b]
        self._starts[low:high] = [a for a, _ in kept]
        self._ends[low:high] = [b for _, b in kept]
        return True

    def take_first(self, count: int) -> tuple[int, int]:
        """Removes up to `count` indexes from the start of the first interval.

        The set must not be empty.

        Returns:
            The first index removed and the number of indexes removed.
        """
        first = self._starts[0]
        taken = min(count, self._ends[0] - first)
        self.discard(first, taken)
        return first, taken

    def take_last(self, count: int) -> tuple[int, int]:
        """Removes up to `count` indexes from the end of the last interval.

        The set must not be empty.

        Returns:
            The first index removed and the number of indexes removed.
        """
        end = self._ends[-1]
        taken = min(count, end - self._starts[-1])
        self.discard(end - taken, taken)
        return end - taken, taken


def group_consecutive(indexes: Iterable[int]) -> list[tuple[int, int]]:
    """Groups ascending indexes into pairs of first index and length."""
    found: list[tuple[int, int]] = []
    for index in indexes:
        if found and sum(found[-1]) == index:
            found[-1] = (found[-1][0], found[-1][1] + 1)
        else:
            found.append((index, 1))
    return found
