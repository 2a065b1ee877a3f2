"""Index of a job's results, read in pages."""

from __future__ import annotations

import bisect
from collections.abc import Iterator, Mapping, Sequence

from plumvane.peers.messages import ChunkRef, FailedItem, ResultPage

__all__ = ["ResultIndex", "narrow_ref"]

# Limits on the references and the failed items in one page of results.
MAX_PAGE_REFS = 32
MAX_PAGE_FAILED = 1000


class ResultIndex:
    """References to chunks of results, sorted by first item."""

    def __init__(self) -> None:
        """Creates an empty index."""
        self._refs: list[ChunkRef] = []
        self._max_ref_items = 0

    def __iter__(self) -> Iterator[ChunkRef]:
        """Yields the references in ascending order of first item."""
        return iter(self._refs)

    def add(self, ref: ChunkRef) -> None:
        """Adds a reference."""
        self._max_ref_items = max(self._max_ref_items, ref.items)
        bisect.insort(self._refs, ref, key=_first_item)

    def page(
        self,
        from_item: int,
        items: int,
        failed_by_index: Mapping[int, FailedItem],
        chunks: Sequence[ChunkRef],
    ) -> ResultPage:
        """Returns the page of results that starts at an item.

        Args:
            from_item: Index of the first item.
            items: Number of items in the job.
            failed_by_index: The job's failed items.
            chunks: The job's input chunks.

        Returns:
            A page of the items from `from_item` up to, but not including, its
            `next_item`.
        """
        refs, next_item = self._refs_from(from_item, items)
        failed = [
            failed_by_index[i]
            for i in sorted(failed_by_index)
            if from_item <= i < next_item
        ]
        if len(failed) > MAX_PAGE_FAILED:
            next_item = failed[MAX_PAGE_FAILED].index
            failed = failed[:MAX_PAGE_FAILED]
        return ResultPage(
            tuple(ref for ref in refs if ref.first_item < next_item),
            tuple(failed),
            _input_chunks([item.index for item in failed], chunks),
            next_item,
            next_item >= items,
        )

    def _refs_from(
        self, from_item: int, items: int
    ) -> tuple[list[ChunkRef], int]:
        """Returns a page of references and the first item after the page."""
        lowest = from_item - self._max_ref_items
        low = bisect.bisect_left(self._refs, lowest, key=_first_item)
        refs: list[ChunkRef] = []
        for position in range(low, len(self._refs)):
            ref = self._refs[position]
            if ref.first_item + ref.items <= from_item:
                continue
            if len(refs) >= MAX_PAGE_REFS and ref.first_item > max(
                from_item, refs[-1].first_item
            ):
                return refs, ref.first_item
            refs.append(ref)
        return refs, items


def narrow_ref(ref: ChunkRef, indexes: tuple[int, ...]) -> ChunkRef:
    """Returns a reference limited to some of the items in its chunk."""
    is_complete = len(indexes) == ref.items
    return ChunkRef(
        ref.digest,
        ref.first_item,
        ref.items,
        ref.bulk_addresses,
        () if is_complete else indexes,
    )


def _input_chunks(
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
