"""A batch job: its items, ranges, claims and progress."""

from __future__ import annotations

import dataclasses
import itertools
from collections import deque

from plumvane import clock
from plumvane.partitions.records import JobAccepted
from plumvane.peers.messages import (
    ChunkRef,
    FailedItem,
    JobState,
    RangeDone,
    RangeGrant,
)

__all__ = ["Job", "RangeClaim"]

# A range's claim lapses unless it is renewed.
CLAIM_S = 15.0
# An item that failed this often is given up.
MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class RangeClaim:
    """A range of items handed to a sidecar.

    Attributes:
        claim_id: Identifier of the claim.
        first_item: Index of the first item.
        items: How many items.
        sidecar_address: Who has it.
        deadline: When it lapses, seconds since the Unix epoch.
    """

    claim_id: str
    first_item: int
    items: int
    sidecar_address: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Interval:
    """Items that wait to be handed out."""

    first_item: int
    items: int


class Job:
    """One job; it changes only through its methods.

    Attributes:
        accepted: The record that made the job.
        cancelled: Whether it was cancelled.
    """

    def __init__(
        self, accepted: JobAccepted, partition: int, epoch: int
    ) -> None:
        """Creates a job none of whose items is done.

        Args:
            accepted: The record that made it.
            partition: Partition that it belongs to.
            epoch: Epoch of the owner, part of each claim's id.
        """
        self.accepted = accepted
        self.cancelled = False
        self.items = sum(chunk.items for chunk in accepted.chunks)
        self._partition = partition
        self._epoch = epoch
        self._done = bytearray(self.items)
        self._done_count = 0
        self._results: list[ChunkRef] = []
        self._failed_by_index: dict[int, FailedItem] = {}
        self._attempts_by_index: dict[int, int] = {}
        self._waiting: deque[_Interval] = deque()
        self._claims_by_id: dict[str, RangeClaim] = {}
        self._claim_numbers = itertools.count(1)

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
        """How many items have neither a result nor failed for good."""
        return self.items - self._done_count - len(self._failed_by_index)

    @property
    def has_waiting(self) -> bool:
        """Whether items wait to be handed out."""
        return bool(self._waiting) and not self.cancelled

    def queue_open_items(self) -> None:
        """Queues all items that are not done; called once after loading."""
        self._waiting.clear()
        first = None
        for index in range(self.items + 1):
            is_open = index < self.items and self._is_open(index)
            if is_open and first is None:
                first = index
            elif not is_open and first is not None:
                self._waiting.append(_Interval(first, index - first))
                first = None

    def apply_done(self, results: ChunkRef) -> None:
        """Takes a committed chunk of results in."""
        self._results.append(results)
        for index in results.covered():
            if self._is_open(index):
                self._done[index] = 1
                self._done_count += 1

    def apply_failed(self, items: tuple[FailedItem, ...]) -> None:
        """Takes committed failures in."""
        for item in items:
            if self._is_open(item.index):
                self._failed_by_index[item.index] = item

    def apply_cancelled(self) -> None:
        """Takes a committed cancel in."""
        self.cancelled = True
        self._waiting.clear()
        self._claims_by_id.clear()

    def grant(self, items: int, sidecar_address: str) -> RangeGrant | None:
        """Hands out the next waiting items.

        Args:
            items: How many at most.
            sidecar_address: Who takes them.

        Returns:
            The grant, or None if no item waits.
        """
        if not self.has_waiting:
            return None
        interval = self._waiting.popleft()
        taken = min(items, interval.items)
        if taken < interval.items:
            self._waiting.appendleft(
                _Interval(interval.first_item + taken, interval.items - taken)
            )
        number = next(self._claim_numbers)
        claim = RangeClaim(
            f"{self.accepted.job_id}:{self._epoch}:{number}",
            interval.first_item,
            taken,
            sidecar_address,
            clock.wall() + CLAIM_S,
        )
        self._claims_by_id[claim.claim_id] = claim
        return self._message(claim)

    def accept(
        self, report: RangeDone
    ) -> tuple[ChunkRef | None, tuple[FailedItem, ...]]:
        """Decides what of a report is new, and ends or renews its claim.

        Args:
            report: A sidecar's report; its claim may have lapsed.

        Returns:
            Results and failures to commit; items done before are left out.
        """
        results = None
        if report.results is not None:
            fresh = tuple(
                i for i in report.results.covered() if self._is_open(i)
            )
            if fresh:
                results = narrowed(report.results, fresh)
        claim = self._claims_by_id.get(report.claim_id)
        final = self._count_attempts(report.failed)
        if claim is None:
            return results, final
        if not report.finished:
            claim.deadline = clock.wall() + CLAIM_S
            return results, final
        del self._claims_by_id[report.claim_id]
        settled = set(results.covered() if results else ())
        settled.update(item.index for item in final)
        self._requeue(claim, settled)
        return results, final

    def expire(self, now: float) -> tuple[FailedItem, ...]:
        """Takes lapsed claims back, in halves so that a bad item stands out.

        Args:
            now: Seconds since the Unix epoch.

        Returns:
            Items to give up, because their worker was lost each time.
        """
        lapsed = [c for c in self._claims_by_id.values() if c.deadline <= now]
        given_up: list[FailedItem] = []
        for claim in lapsed:
            del self._claims_by_id[claim.claim_id]
            if claim.items > 1:
                half = claim.items // 2
                self._waiting.append(_Interval(claim.first_item, half))
                self._waiting.append(
                    _Interval(claim.first_item + half, claim.items - half)
                )
                continue
            lost = FailedItem(claim.first_item, "The worker was lost.")
            final = self._count_attempts((lost,))
            given_up.extend(final)
            if not final:
                self._waiting.append(_Interval(claim.first_item, 1))
        return tuple(given_up)

    def describe(self) -> JobState:
        """Returns the job's progress."""
        return JobState(
            self.accepted.job_id,
            self.state,
            self.items,
            self._done_count,
            tuple(
                self._failed_by_index[i] for i in sorted(self._failed_by_index)
            ),
            self.accepted.deadline,
            tuple(self._results),
            self.accepted.time,
            chunks=self.accepted.chunks,
        )

    def _is_open(self, index: int) -> bool:
        return not self._done[index] and index not in self._failed_by_index

    def _count_attempts(
        self, failed: tuple[FailedItem, ...]
    ) -> tuple[FailedItem, ...]:
        """Counts attempts; returns the items that failed for the last time."""
        final = []
        for item in failed:
            attempts = self._attempts_by_index.get(item.index, 0) + 1
            self._attempts_by_index[item.index] = attempts
            if attempts >= MAX_ATTEMPTS and self._is_open(item.index):
                final.append(item)
        return tuple(final)

    def _requeue(self, claim: RangeClaim, settled: set[int]) -> None:
        """Queues the items of an ended claim that are still open."""
        for index in range(claim.first_item, claim.first_item + claim.items):
            if self._is_open(index) and index not in settled:
                self._waiting.append(_Interval(index, 1))

    def _message(self, claim: RangeClaim) -> RangeGrant:
        last = claim.first_item + claim.items
        chunks = tuple(
            chunk
            for chunk in self.accepted.chunks
            if chunk.first_item < last
            and chunk.first_item + chunk.items > claim.first_item
        )
        skip = tuple(
            i for i in range(claim.first_item, last) if not self._is_open(i)
        )
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
