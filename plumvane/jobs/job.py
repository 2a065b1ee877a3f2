"""A batch job: its items, ranges, claims and progress."""

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

# An item that its engine answered with an error this often is given up.
MAX_ATTEMPTS = 3
# An item whose worker or engine was lost this often, while no other item of
# its range ran, is given up.
MAX_LOSSES = 5
# A lost range is handed out again in this many pieces.
LOST_PIECES = 8
# Failed items that a job's state lists; the results list all.
MAX_LISTED = 100
ENDED_CLAIMS = 256


class Job:
    """One job; it changes only through its methods.

    Attributes:
        accepted: The record that made the job.
        cancelled: Whether it was cancelled.
        items: How many items it has.
        expected_finish: When it is expected to end, seconds since the Unix
            epoch, or None while no rate is known.
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
        # Pieces of lost ranges; never merged, so that a bad item stands out.
        self._suspects: deque[tuple[int, int]] = deque()
        self._claims_by_id: dict[str, RangeClaim] = {}
        self._claim_numbers = itertools.count(1)
        # A late renewal of an ended claim must not bring it back.
        self._ended_claims: deque[str] = deque(maxlen=ENDED_CLAIMS)
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
        """How many items have neither a result nor failed for good."""
        return self.items - self._done_count - len(self._failed_by_index)

    @property
    def to_run(self) -> int:
        """How many items have still to run, as far as sidecars told."""
        unsaved = sum(claim.unsaved for claim in self._claims_by_id.values())
        return max(0, self.remaining - unsaved)

    @property
    def has_waiting(self) -> bool:
        """Whether items wait to be handed out."""
        self._drop_closed_suspects()
        return bool(self._waiting or self._suspects) and not self.cancelled

    @property
    def waiting(self) -> int:
        """How many items wait to be handed out, lost ones included."""
        pieces = [*self._waiting, *self._suspects]
        return sum(items for _, items in pieces)

    @property
    def claims(self) -> tuple[RangeClaim, ...]:
        """The ranges that are handed out."""
        return tuple(self._claims_by_id.values())

    def chunks(self) -> list[ChunkRef]:
        """Returns the references of its input and its results."""
        return [*self.accepted.chunks, *self._results]

    def recovered(self, now: float) -> None:
        """Takes in that the job was rebuilt from the log of another owner.

        Its claims are unknown; until their holders have renewed them, items
        are handed out from the end, where few of them are.
        """
        self._recovering_until = now + CLAIM_TTL_S

    def apply_done(self, results: ChunkRef) -> None:
        """Takes a committed chunk of results in; an item's first one wins."""
        fresh = tuple(i for i in results.covered() if self._is_open(i))
        if not fresh:
            return
        for index in fresh:
            self._done[index] = 1
        self._done_count += len(fresh)
        self._drop_waiting(fresh)
        self._results.add(narrow_ref(results, fresh))

    def apply_failed(self, items: tuple[FailedItem, ...]) -> None:
        """Takes committed failures in."""
        fresh = [item for item in items if self._is_open(item.index)]
        for item in fresh:
            self._failed_by_index[item.index] = item
        self._drop_waiting(tuple(sorted(item.index for item in fresh)))

    def apply_cancelled(self) -> None:
        """Takes a committed cancel in."""
        self.cancelled = True
        self._waiting = IntervalSet()
        self._suspects.clear()
        self._claims_by_id.clear()

    def grant(
        self, items: int, sidecar_address: str, incarnation: str = ""
    ) -> RangeGrant | None:
        """Hands out the next waiting items.

        Pieces of lost ranges come last, and to one sidecar one at a time, so
        that no item is lost again and again beside the one at fault.

        Args:
            items: How many at most.
            sidecar_address: Who takes them.
            incarnation: Process of the sidecar.

        Returns:
            The grant, or None if no item waits for this sidecar.
        """
        if not self.has_waiting:
            return None
        is_suspect = not self._waiting
        if is_suspect and self._tries_suspect(sidecar_address):
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
        return self._message(claim)

    def renew(self, report: RangeDone) -> bool:
        """Renews a claim; adopts one that is unknown but not handed out.

        Args:
            report: A report on a range that is not finished.

        Returns:
            Whether the sidecar shall go on with the range.
        """
        if self.cancelled or report.claim_id in self._ended_claims:
            return False
        claim = self._claims_by_id.get(report.claim_id)
        if claim is not None:
            claim.deadline = clock.wall() + CLAIM_TTL_S
            claim.unsaved = report.unsaved
            return True
        if not self._withdraw(report.first_item, report.items):
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
        """Decides what of a report is new, and ends its claim if finished.

        Args:
            report: A sidecar's report; its claim may be unknown.

        Returns:
            Results and failures to commit; items done before are left out.
        """
        results = None
        if report.results is not None:
            fresh = tuple(
                i for i in report.results.covered() if self._is_open(i)
            )
            if fresh:
                results = narrow_ref(report.results, fresh)
        claim = None
        if report.finished:
            claim = self._claims_by_id.pop(report.claim_id, None)
            self._ended_claims.append(report.claim_id)
        final = tuple(
            item
            for item in report.failed
            if self._is_open(item.index) and self._is_final(item, claim)
        )
        if claim is not None:
            settled = set(results.covered() if results else ())
            settled.update(item.index for item in final)
            self._requeue(claim, settled, report.failed)
        return results, final

    def expire(self, now: float) -> tuple[FailedItem, ...]:
        """Takes lapsed claims back.

        Args:
            now: Seconds since the Unix epoch.

        Returns:
            Items to give up, because their worker was lost each time.
        """
        return self._lose([c for c in self.claims if c.deadline <= now])

    def revoke_stale_claims(
        self, sidecar_address: str, incarnation: str
    ) -> tuple[FailedItem, ...]:
        """Takes the claims of a sidecar's earlier processes back.

        Args:
            sidecar_address: The sidecar.
            incarnation: Its process now.

        Returns:
            Items to give up, because their worker was lost each time.
        """
        return self._lose(
            [
                claim
                for claim in self.claims
                if claim.sidecar_address == sidecar_address
                and claim.incarnation != incarnation
            ]
        )

    def describe(self) -> JobState:
        """Returns the job's progress."""
        listed = sorted(self._failed_by_index)[:MAX_LISTED]
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
        """Returns the references to the results from an item on.

        Args:
            from_item: Index of the first item.

        Returns:
            A page that covers the items up to its `next_item`.
        """
        return self._results.page(
            from_item, self.items, self._failed_by_index, self.accepted.chunks
        )

    def _tries_suspect(self, sidecar_address: str) -> bool:
        """Returns whether a sidecar runs a piece of a lost range."""
        return any(
            claim.is_suspect and claim.sidecar_address == sidecar_address
            for claim in self._claims_by_id.values()
        )

    def _is_open(self, index: int) -> bool:
        return not self._done[index] and index not in self._failed_by_index

    def _drop_waiting(self, indexes: tuple[int, ...]) -> None:
        for first, count in group_consecutive(indexes):
            self._waiting.discard(first, count)

    def _drop_closed_suspects(self) -> None:
        while self._suspects:
            first, items = self._suspects[0]
            if any(self._is_open(i) for i in range(first, first + items)):
                return
            self._suspects.popleft()

    def _next_range(self, items: int) -> tuple[int, int]:
        if not self._waiting:
            return self._suspects.popleft()
        if clock.wall() < self._recovering_until:
            return self._waiting.take_last(items)
        return self._waiting.take_first(items)

    def _withdraw(self, first: int, items: int) -> bool:
        """Takes items of a range off the queues; returns whether any was."""
        found = self._waiting.discard(first, items)
        kept = deque(
            piece
            for piece in self._suspects
            if not (first <= piece[0] and sum(piece) <= first + items)
        )
        found = found or len(kept) < len(self._suspects)
        self._suspects = kept
        return found

    def _is_final(self, item: FailedItem, claim: RangeClaim | None) -> bool:
        """Counts a failure; returns whether the item is given up.

        A failure under an unknown claim was counted before or is of another
        owner's claim; the item runs again.
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
        settled: set[int],
        failed: tuple[FailedItem, ...],
    ) -> None:
        """Queues the items of an ended claim that are still open."""
        lost = {f.index for f in failed if f.kind is FailureKind.LOST}
        still_open = [
            i for i in claim.indexes() if self._is_open(i) and i not in settled
        ]
        self._waiting.add_all(i for i in still_open if i not in lost)
        for first, items in group_consecutive(
            i for i in still_open if i in lost
        ):
            self._queue_lost(first, items)

    def _lose(self, lost: list[RangeClaim]) -> tuple[FailedItem, ...]:
        """Takes claims of lost workers back; returns items to give up."""
        given_up: list[FailedItem] = []
        for claim in lost:
            del self._claims_by_id[claim.claim_id]
            events.log(
                events.Event.RANGE_LOST,
                job=self.accepted.job_id,
                first_item=claim.first_item,
                items=claim.items,
            )
            is_single = claim.items == 1 and self._is_open(claim.first_item)
            if is_single and self._count_loss(claim.first_item):
                given_up.append(
                    FailedItem(
                        claim.first_item,
                        f"The worker was lost {MAX_LOSSES} times.",
                        FailureKind.LOST,
                    )
                )
                continue
            self._queue_lost(claim.first_item, claim.items)
        return tuple(given_up)

    def _queue_lost(self, first: int, items: int) -> None:
        """Queues a lost range in pieces, so that a bad item stands out."""
        size = max(1, -(-items // LOST_PIECES))
        for start in range(first, first + items, size):
            self._suspects.append((start, min(size, first + items - start)))

    def _message(self, claim: RangeClaim) -> RangeGrant:
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
