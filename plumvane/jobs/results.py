"""References to a job's results, read page by page."""

from __future__ import annotations

import bisect
from collections.abc import Iterator, Mapping, Sequence

from plumvane.peers.messages import ChunkRef, FailedItem, ResultPage

__all__ = ["ResultRefs", "narrowed"]

# References and failed items in one page of results.
PAGE_REFS = 32
PAGE_FAILED = 1000


class ResultRefs:
    """References to chunks of results, by their first item."""

    def __init__(self) -> None:
        """Creates a collection without references."""
        self._refs: list[ChunkRef] = []
        self._longest = 0

    def __iter__(self) -> Iterator[ChunkRef]:
        """Yields the references by ascending first item."""
        return iter(self._refs)

    def add(self, ref: ChunkRef) -> None:
        """Takes a reference in."""
        self._longest = max(self._longest, ref.items)
        bisect.insort(self._refs, ref, key=_first_item)

    def page(
        self,
        from_item: int,
        items: int,
        failed_by_index: Mapping[int, FailedItem],
        chunks: Sequence[ChunkRef],
    ) -> ResultPage:
        """Returns the references to the results from an item on.

        Args:
            from_item: Index of the first item.
            items: How many items the job has.
            failed_by_index: The job's failed items.
            chunks: The job's input.

        Returns:
            A page that covers the items up to its `next_item`.
        """
        found, next_item = self._from(from_item, items)
        failed = [
            failed_by_index[i]
            for i in sorted(failed_by_index)
            if from_item <= i < next_item
        ]
        if len(failed) > PAGE_FAILED:
            next_item = failed[PAGE_FAILED].index
            failed = failed[:PAGE_FAILED]
        return ResultPage(
            tuple(ref for ref in found if ref.first_item < next_item),
            tuple(failed),
            _input_of([item.index for item in failed], chunks),
            next_item,
            next_item >= items,
        )

    def _from(self, from_item: int, items: int) -> tuple[list[ChunkRef], int]:
        """Returns a page of references and the first item left out."""
        oldest = from_item - self._longest
        low = bisect.bisect_left(self._refs, oldest, key=_first_item)
        found: list[ChunkRef] = []
        for position in range(low, len(self._refs)):
            ref = self._refs[position]
            if ref.first_item + ref.items <= from_item:
                continue
            if len(found) >= PAGE_REFS and ref.first_item > max(
                from_item, found[-1].first_item
            ):
                return found, ref.first_item
            found.append(ref)
        return found, items


def narrowed(ref: ChunkRef, indexes: tuple[int, ...]) -> ChunkRef:
    """Returns a reference narrowed to some of its items."""
    whole = len(indexes) == ref.items
    return ChunkRef(
        ref.digest,
        ref.first_item,
        ref.items,
        ref.bulk_addresses,
        () if whole else indexes,
    )


def _input_of(
    indexes: list[int], chunks: Sequence[ChunkRef]
) -> tuple[ChunkRef, ...]:
    return tuple(
        chunk
        for chunk in chunks
        if bisect.bisect_left(indexes, chunk.first_item)
        < bisect.bisect_left(indexes, chunk.first_item + chunk.items)
    )


def _first_item(ref: ChunkRef) -> int:
    return ref.first_item
