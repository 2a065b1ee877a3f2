"""State of a batch job: items, claimed ranges and progress."""

from __future__ import annotations

import itertools
from collections import deque

from plumvane import clock, events
from plumvane.jobs.claims import CLAIM_TTL_S, RangeClaim
from plumvane.jobs.intervals import IntervalSet, group_consecutive
from plumvane.jobs.results import ResultIndex, narrow_ref
from plumvane.partitions.records import JobAccepted
from plumvane.peers.messages import (
    ChunkRef,
    FailedItem,
    FailureKind,
    JobState,
    RangeDone,
    RangeGrant,
    ResultPage,
)

__all__ = ["Job"]

# An item fails permanently after this many error responses of the engine.
MAX_ATTEMPTS = 3
# An item fails permanently after its sidecar or engine was lost this many times
# while the item was alone in its range.
MAX_LOSSES = 5
# A lost range is split into up to this many pieces, granted separately.
LOST_RANGE_PIECES = 8
# Maximum number of failed items in a job's state; the results list all of them.
MAX_LISTED_FAILED = 100
# Number of ended claims that are remembered to reject late renewals.
MAX_ENDED_CLAIMS = 256


class Job:
    """One batch job; state changes only through its methods.

    Attributes:
        accepted: Log record that created the job.
        cancelled: Whether the job was cancelled.
        items: Number of items in the job.
        expected_finish: Expected finish time in seconds since the Unix epoch,
            or None while no item rate is known.
    """

    def __init__(
        self, accepted: JobAccepted, partition: int, epoch: int
    ) -> None:
        """Creates a job with all items waiting.

        Args:
            accepted: Log record that created the job.
            partition: Partition that the job belongs to.
            epoch: Epoch of the owner, which is part of each claim id.
        """
        self.accepted = accepted
        self.cancelled = False
        self.items = sum(chunk.items for chunk in accepted.chunks)
        self.expected_finish: float | None = None
        self._partition = partition
        self._epoch = epoch
        self._done = bytearray(self.items)
        self._done_count = 0
        self._results = ResultIndex()
        self._failed_by_index: dict[int, FailedItem] = {}
        self._attempts_by_index: dict[int, int] = {}
        self._losses_by_index: dict[int, int] = {}
        self._waiting = IntervalSet()
        self._waiting.add(0, self.items)
        # Pieces of lost ranges. They are never merged, so that an item that
        # makes its sidecar fail is isolated by repeated splitting.
        self._suspect_ranges: deque[tuple[int, int]] = deque()
        self._claims_by_id: dict[str, RangeClaim] = {}
        self._claim_numbers = itertools.count(1)
        # A late renewal must not restore a claim that has ended.
        self._ended_claims: deque[str] = deque(maxlen=MAX_ENDED_CLAIMS)
        self._recovering_until = 0.0

    @property
    def state(self) -> str:
        """The job's state: `running`, `completed` or `cancelled`."""
        if self.cancelled:
            return "cancelled"
        if self.remaining == 0:
            return "completed"
        return "running"

    @property
    def remaining(self) -> int:
        """Number of items with neither a result nor a permanent failure."""
        return self.items - self._done_count - len(self._failed_by_index)

    @property
    def items_to_run(self) -> int:
        """Number of items still to run, according to reports of sidecars.

        Items that have finished but whose results are not saved yet do not
        count.
        """
        unsaved = sum(claim.unsaved for claim in self._claims_by_id.values())
        return max(0, self.remaining - unsaved)

    @property
    def has_waiting(self) -> bool:
        """Whether any item is waiting for a grant."""
        self._discard_closed_suspects()
        return (
            bool(self._waiting or self._suspect_ranges) and not self.cancelled
        )

    @property
    def waiting_items(self) -> int:
        """Number of items waiting for a grant, including lost ranges."""
        pieces = [*self._waiting, *self._suspect_ranges]
        return sum(items for _, items in pieces)

    @property
    def claims(self) -> tuple[RangeClaim, ...]:
        """The claims on granted ranges."""
        return tuple(self._claims_by_id.values())

    def chunks(self) -> list[ChunkRef]:
        """Returns references to the chunks of the input and the results."""
        return [*self.accepted.chunks, *self._results]

    def start_recovery(self, now: float) -> None:
        """Starts recovery after the job was rebuilt from the partition's log.

        The log holds no claims, so those granted by the former owner are not
        known until their holders renew them. Meanwhile items are granted from
        the end of the job, where few are claimed.
        """
        self._recovering_until = now + CLAIM_TTL_S

    def apply_done(self, results: ChunkRef) -> None:
        """Applies a committed chunk; the first result of an item wins."""
        open_indexes = tuple(i for i in results.covered() if self._is_open(i))
        if not open_indexes:
            return
        for index in open_indexes:
            self._done[index] = 1
        self._done_count += len(open_indexes)
        self._discard_waiting(open_indexes)
        self._results.add(narrow_ref(results, open_indexes))

    def apply_failed(self, items: tuple[FailedItem, ...]) -> None:
        """Applies committed permanent failures."""
        open_items = [item for item in items if self._is_open(item.index)]
        for item in open_items:
            self._failed_by_index[item.index] = item
        self._discard_waiting(tuple(sorted(item.index for item in open_items)))

    def apply_cancelled(self) -> None:
        """Applies a committed cancellation."""
        self.cancelled = True
        self._waiting = IntervalSet()
        self._suspect_ranges.clear()
        self._claims_by_id.clear()

    def grant(
        self, items: int, sidecar_address: str, incarnation: str = ""
    ) -> RangeGrant | None:
        """Grants the next range of waiting items to a sidecar.

        Pieces of lost ranges are granted last, and each sidecar holds only one
        at a time, so that other items are not lost repeatedly along with the
        item at fault.

        Args:
            items: Maximum number of items.
            sidecar_address: Peer address of the sidecar.
            incarnation: Process of the sidecar.

        Returns:
            The grant, or None if no item is available to this sidecar.
        """
        if not self.has_waiting:
            return None
        is_suspect = not self._waiting
        if is_suspect and self._holds_suspect(sidecar_address):
            return None
        first, taken = self._next_range(items)
        number = next(self._claim_numbers)
        claim = RangeClaim(
            f"{self.accepted.job_id}:{self._epoch}:{number}",
            first,
            taken,
            sidecar_address,
            incarnation,
            clock.wall() + CLAIM_TTL_S,
            is_suspect,
        )
        self._claims_by_id[claim.claim_id] = claim
        return self._grant_message(claim)

    def renew(self, report: RangeDone) -> bool:
        """Renews a claim, or adopts an unknown one whose items still wait.

        Args:
            report: Report on an unfinished range.

        Returns:
            Whether the sidecar should continue with the range.
        """
        if self.cancelled or report.claim_id in self._ended_claims:
            return False
        claim = self._claims_by_id.get(report.claim_id)
        if claim is not None:
            claim.deadline = clock.wall() + CLAIM_TTL_S
            claim.unsaved = report.unsaved
            return True
        if not self._dequeue(report.first_item, report.items):
            return False
        self._claims_by_id[report.claim_id] = RangeClaim(
            report.claim_id,
            report.first_item,
            report.items,
            report.sidecar_address,
            report.incarnation,
            clock.wall() + CLAIM_TTL_S,
        )
        return True

    def process_report(
        self, report: RangeDone
    ) -> tuple[ChunkRef | None, tuple[FailedItem, ...]]:
        """Determines what a report adds, and ends its claim if finished.

        Args:
            report: Report of a sidecar; its claim may be unknown.

        Returns:
            Results and permanent failures to commit, without items that already
            have a result or a permanent failure.
        """
        results = None
        if report.results is not None:
            open_indexes = tuple(
                i for i in report.results.covered() if self._is_open(i)
            )
            if open_indexes:
                results = narrow_ref(report.results, open_indexes)
        claim = None
        if report.finished:
            claim = self._claims_by_id.pop(report.claim_id, None)
            self._ended_claims.append(report.claim_id)
        permanent = tuple(
            item
            for item in report.failed
            if self._is_open(item.index) and self._count_failure(item, claim)
        )
        if claim is not None:
            closed = set(results.covered() if results else ())
            closed.update(item.index for item in permanent)
            self._requeue(claim, closed, report.failed)
        return results, permanent

    def expire(self, now: float) -> tuple[FailedItem, ...]:
        """Revokes expired claims.

        Args:
            now: Current time in seconds since the Unix epoch.

        Returns:
            Items that fail permanently because of repeated losses.
        """
        return self._revoke_claims(
            [c for c in self.claims if c.deadline <= now]
        )

    def revoke_stale_claims(
        self, sidecar_address: str, incarnation: str
    ) -> tuple[FailedItem, ...]:
        """Revokes the claims of a sidecar's earlier processes.

        Args:
            sidecar_address: Peer address of the sidecar.
            incarnation: Current process of the sidecar.

        Returns:
            Items that fail permanently because of repeated losses.
        """
        return self._revoke_claims(
            [
                claim
                for claim in self.claims
                if claim.sidecar_address == sidecar_address
                and claim.incarnation != incarnation
            ]
        )

    def describe(self) -> JobState:
        """Returns the state of the job as a message."""
        listed = sorted(self._failed_by_index)[:MAX_LISTED_FAILED]
        return JobState(
            self.accepted.job_id,
            self.state,
            self.items,
            self._done_count,
            tuple(self._failed_by_index[i] for i in listed),
            self.accepted.deadline,
            self.accepted.time,
            expected_finish=self.expected_finish,
            failed_count=len(self._failed_by_index),
            late=self.state == "running"
            and clock.wall() > self.accepted.deadline,
        )

    def page(self, from_item: int) -> ResultPage:
        """Returns the page of results that starts at an item.

        Args:
            from_item: Index of the first item.

        Returns:
            A page of the items from `from_item` up to, but not including, its
            `next_item`.
        """
        return self._results.page(
            from_item, self.items, self._failed_by_index, self.accepted.chunks
        )

    def _holds_suspect(self, sidecar_address: str) -> bool:
        """Returns whether a sidecar holds a piece of a lost range."""
        return any(
            claim.is_suspect and claim.sidecar_address == sidecar_address
            for claim in self._claims_by_id.values()
        )

    def _is_open(self, index: int) -> bool:
        """Returns whether an item has no result and no permanent failure."""
        return not self._done[index] and index not in self._failed_by_index

    def _discard_waiting(self, indexes: tuple[int, ...]) -> None:
        for first, count in group_consecutive(indexes):
            self._waiting.discard(first, count)

    def _discard_closed_suspects(self) -> None:
        while self._suspect_ranges:
            first, items = self._suspect_ranges[0]
            if any(self._is_open(i) for i in range(first, first + items)):
                return
            self._suspect_ranges.popleft()

    def _next_range(self, items: int) -> tuple[int, int]:
        """Removes the next range to grant from the queues."""
        if not self._waiting:
            return self._suspect_ranges.popleft()
        if clock.wall() < self._recovering_until:
            return self._waiting.take_last(items)
        return self._waiting.take_first(items)

    def _dequeue(self, first: int, items: int) -> bool:
        """Removes a range from the queues; returns whether any was queued."""
        found = self._waiting.discard(first, items)
        kept = deque(
            piece
            for piece in self._suspect_ranges
            if not (first <= piece[0] and sum(piece) <= first + items)
        )
        found = found or len(kept) < len(self._suspect_ranges)
        self._suspect_ranges = kept
        return found

    def _count_failure(
        self, item: FailedItem, claim: RangeClaim | None
    ) -> bool:
        """Counts a failure; returns whether the item fails permanently.

        A failure under an unknown claim is not counted: it was counted before,
        or the claim was granted by another owner. The item runs again.
        """
        if item.kind is FailureKind.REFUSED:
            return True
        if claim is None:
            return False
        if item.kind is FailureKind.LOST:
            return claim.items == 1 and self._count_loss(item.index)
        attempts = self._attempts_by_index.get(item.index, 0) + 1
        self._attempts_by_index[item.index] = attempts
        return attempts >= MAX_ATTEMPTS

    def _count_loss(self, index: int) -> bool:
        losses = self._losses_by_index.get(index, 0) + 1
        self._losses_by_index[index] = losses
        return losses >= MAX_LOSSES

    def _requeue(
        self,
        claim: RangeClaim,
        closed: set[int],
        failed: tuple[FailedItem, ...],
    ) -> None:
        """Queues the items of an ended claim that are still open.

        Lost items are queued as suspect ranges.
        """
        lost = {f.index for f in failed if f.kind is FailureKind.LOST}
        still_open = [
            i for i in claim.indexes() if self._is_open(i) and i not in closed
        ]
        self._waiting.add_all(i for i in still_open if i not in lost)
        for first, items in group_consecutive(
            i for i in still_open if i in lost
        ):
            self._queue_suspects(first, items)

    def _revoke_claims(
        self, claims: list[RangeClaim]
    ) -> tuple[FailedItem, ...]:
        """Revokes claims of lost sidecars; returns permanently failed items."""
        failed: list[FailedItem] = []
        for claim in claims:
            del self._claims_by_id[claim.claim_id]
            events.log(
                events.Event.RANGE_LOST,
                job=self.accepted.job_id,
                first_item=claim.first_item,
                items=claim.items,
            )
            is_single = claim.items == 1 and self._is_open(claim.first_item)
            if is_single and self._count_loss(claim.first_item):
                failed.append(
                    FailedItem(
                        claim.first_item,
                        f"The worker was lost {MAX_LOSSES} times.",
                        FailureKind.LOST,
                    )
                )
                continue
            self._queue_suspects(claim.first_item, claim.items)
        return tuple(failed)

    def _queue_suspects(self, first: int, items: int) -> None:
        """Queues a lost range in pieces, to isolate the item at fault."""
        size = max(1, -(-items // LOST_RANGE_PIECES))
        for start in range(first, first + items, size):
            self._suspect_ranges.append(
                (start, min(size, first + items - start))
            )

    def _grant_message(self, claim: RangeClaim) -> RangeGrant:
        last = claim.first_item + claim.items
        chunks = tuple(
            chunk
            for chunk in self.accepted.chunks
            if chunk.first_item < last
            and chunk.first_item + chunk.items > claim.first_item
        )
        skip = tuple(i for i in claim.indexes() if not self._is_open(i))
        return RangeGrant(
            self._partition,
            self.accepted.job_id,
            claim.first_item,
            claim.items,
            claim.claim_id,
            claim.deadline,
            self.accepted.deadline,
            chunks,
            skip,
        )
