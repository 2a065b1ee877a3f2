"""A range of batch items that runs at this sidecar."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import anyio

from plumvane import clock
from plumvane.peers.messages import ChunkRef, FailedItem, RangeGrant, Urgency

__all__ = ["RangeRun"]


class RangeRun:
    """Results of a range, until the owner has taken them.

    Attributes:
        owner: Peer address of the partition's owner.
        grant: The grant.
        place: Sort key of its items in the admission queue, seconds since the
            Unix epoch: the job's deadline if it is urgent, else when the range
            was handed out, since the owners hand out by the teams' shares.
        scope: Cancels the items.
        saving: Held while results are stored and reported.
        failed: Items that failed in this attempt.
        stored: Chunk of results that the owner has not taken yet.
        saved: Monotonic time at which results were taken last.
        left: Items that have not been run.
        tried: Whether an item was run.
        handed_back: Whether no further item is started.
        settled: Set once the range has ended or is being handed back.
    """

    def __init__(self, owner: str, grant: RangeGrant) -> None:
        """Starts a range without results.

        Args:
            owner: Peer address of the owner that granted it.
            grant: The grant.
        """
        self.owner = owner
        self.grant = grant
        self.place = clock.wall()
        if grant.urgency is Urgency.URGENT:
            self.place = grant.job_deadline
        self.scope = anyio.CancelScope()
        self.saving = anyio.Lock()
        self.failed: list[FailedItem] = []
        self.stored: ChunkRef | None = None
        self.saved = clock.monotonic()
        self.left = grant.items - len(grant.skip)
        self.tried = False
        self.handed_back = False
        self.settled = anyio.Event()
        self._lines_by_index: dict[int, bytes] = {}
        self._queued: set[anyio.CancelScope] = set()

    @property
    def unsaved_bytes(self) -> int:
        """Size of the results that the owner has not taken."""
        return sum(len(line) for line in self._lines_by_index.values())

    @property
    def has_unsaved(self) -> bool:
        """Whether there are results that the owner has not taken."""
        return bool(self._lines_by_index)

    def hand_back(self) -> None:
        """Starts no further item; those that run are finished."""
        self.handed_back = True
        for scope in self._queued:
            scope.cancel()
        self.settled.set()

    @contextlib.contextmanager
    def queueing(self) -> Iterator[anyio.CancelScope]:
        """Yields a scope that is cancelled if the range is handed back."""
        with anyio.CancelScope() as scope:
            if self.handed_back:
                scope.cancel()
            self._queued.add(scope)
            try:
                yield scope
            finally:
                self._queued.discard(scope)

    def unsaved_after(self, results: ChunkRef | None) -> int:
        """Returns how many results the owner lacks once it has a chunk."""
        reported = set(results.covered()) if results is not None else set()
        return len(self._lines_by_index.keys() - reported)

    def add(self, index: int, line: bytes) -> None:
        """Takes the result of an item in."""
        self._lines_by_index[index] = line

    def unsaved(self) -> list[tuple[int, bytes]]:
        """Returns the results not taken yet, by ascending index."""
        return sorted(self._lines_by_index.items())

    def taken(self) -> None:
        """Forgets the results of the stored chunk."""
        if self.stored is not None:
            for index in self.stored.covered():
                self._lines_by_index.pop(index, None)
        self.stored = None
        self.saved = clock.monotonic()
