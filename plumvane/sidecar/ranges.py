"""State of a range of batch items that this sidecar runs."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import anyio

from plumvane import clock
from plumvane.peers.messages import ChunkRef, FailedItem, RangeGrant, Urgency

__all__ = ["RangeRun"]


class RangeRun:
    """A granted range and its results that the owner has not accepted yet.

    Attributes:
        owner: Peer address of the partition's owner.
        grant: The grant.
        queue_key: Sort key of its items in the admission queue, seconds since
            the Unix epoch. It is the job's deadline if the job is urgent,
            otherwise the time of the grant, since owners grant ranges by the
            teams' shares.
        scope: Cancels the items.
        save_lock: Held while results are stored and reported.
        failed_items: Items that failed in this attempt.
        stored_results: Chunk of results that the owner has not accepted yet.
        last_saved_at: Monotonic time at which results were last accepted.
        remaining_items: Number of items that have not been run.
        has_run_items: Whether any item has been run.
        is_released: Whether the range is being handed back to the owner, so
            that no further item is started.
        slot_freed: Set once the range has ended or is released, so that another
            range can be pulled.
    """

    def __init__(self, owner: str, grant: RangeGrant) -> None:
        """Creates the state of a range without results.

        Args:
            owner: Peer address of the owner that granted the range.
            grant: The grant.
        """
        self.owner = owner
        self.grant = grant
        self.queue_key = clock.wall()
        if grant.urgency is Urgency.URGENT:
            self.queue_key = grant.job_deadline
        self.scope = anyio.CancelScope()
        self.save_lock = anyio.Lock()
        self.failed_items: list[FailedItem] = []
        self.stored_results: ChunkRef | None = None
        self.last_saved_at = clock.monotonic()
        self.remaining_items = grant.items - len(grant.skip)
        self.has_run_items = False
        self.is_released = False
        self.slot_freed = anyio.Event()
        self._lines_by_index: dict[int, bytes] = {}
        self._queue_scopes: set[anyio.CancelScope] = set()

    @property
    def unsaved_bytes(self) -> int:
        """Size of the results that the owner has not accepted, in bytes."""
        return sum(len(line) for line in self._lines_by_index.values())

    @property
    def has_unsaved(self) -> bool:
        """Whether there are results that the owner has not accepted."""
        return bool(self._lines_by_index)

    def release(self) -> None:
        """Stops starting items; items that the engine runs are finished."""
        self.is_released = True
        for scope in self._queue_scopes:
            scope.cancel()
        self.slot_freed.set()

    @contextlib.contextmanager
    def queue_scope(self) -> Iterator[anyio.CancelScope]:
        """Yields a scope that is cancelled when the range is released."""
        with anyio.CancelScope() as scope:
            if self.is_released:
                scope.cancel()
            self._queue_scopes.add(scope)
            try:
                yield scope
            finally:
                self._queue_scopes.discard(scope)

    def count_unsaved_after(self, results: ChunkRef | None) -> int:
        """Returns the number of unsaved results outside of a chunk.

        Args:
            results: Chunk of results that is being reported, if any.
        """
        reported_indexes = (
            set(results.covered()) if results is not None else set()
        )
        return len(self._lines_by_index.keys() - reported_indexes)

    def add_result(self, index: int, line: bytes) -> None:
        """Adds the result of an item."""
        self._lines_by_index[index] = line

    def unsaved_lines(self) -> list[tuple[int, bytes]]:
        """Returns the results that are not accepted yet, sorted by index."""
        return sorted(self._lines_by_index.items())

    def mark_saved(self) -> None:
        """Discards the results of the stored chunk after their acceptance."""
        if self.stored_results is not None:
            for index in self.stored_results.covered():
                self._lines_by_index.pop(index, None)
        self.stored_results = None
        self.last_saved_at = clock.monotonic()
