"""Compaction of a partition's closed segments.

Records that are still needed move to newer segments in log order, and are
written there before their old segment is removed from the log. A record that
ends a run or job is kept while the record that started it is stored, so that a
crash between two steps cannot reopen an ended run or job. If the log has a
result mover, the other results of the remaining segments move to chunks.
"""

from __future__ import annotations

import contextlib
import dataclasses

import msgspec

from plumvane import clock, events
from plumvane.errors import (
    ConflictError,
    NotOwnerError,
    StoreUnavailableError,
)
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import JobEnded, ResultsMoved, Segment
from plumvane.partitions.retention import Subject, is_start_record, subject_of
from plumvane.partitions.segments import (
    decode_record,
    encode_record,
    encoded_size,
)

__all__ = ["Compaction"]

# Largest size of a segment that results from merging two adjacent ones.
MERGED_BYTES = 256 * 1024
# A pass is due once at least this many segments were closed since the last pass
# and their number has at least doubled.
MIN_NEW_SEGMENTS = 8


@dataclasses.dataclass(slots=True)
class _LoadedSegment:
    """A closed segment that a compaction pass has read.

    Attributes:
        number: Number of the segment.
        revision: Revision of its key.
        epoch: Epoch of the owner that closed it.
        stored: Encoded records in the store.
        kept: Encoded records that are still needed.
    """

    number: int
    revision: int
    epoch: int
    stored: list[msgspec.Raw]
    kept: list[msgspec.Raw]


class Compaction:
    """Compacts the closed segments of one log."""

    def __init__(self, log: PartitionLog) -> None:
        """Creates the compaction.

        Args:
            log: Log of a partition that this instance owns.
        """
        self._log = log
        self._count_after_last_pass = 0
        self._started_earlier: set[Subject] = set()

    def is_due(self) -> bool:
        """Returns whether enough segments were closed since the last pass."""
        count = len(self._log.closed_segments)
        return count >= self._count_after_last_pass + max(
            MIN_NEW_SEGMENTS, self._count_after_last_pass
        )

    async def run(self) -> bool:
        """Compacts all closed segments once.

        Returns:
            Whether the pass completed. It is aborted when the store does not
            answer or another owner has written.
        """
        before = len(self._log.closed_segments)
        newest = max(self._log.closed_segments, default=0)
        try:
            await self._delete_orphaned_segments()
            await self._commit_job_ends()
            await self._compact_segments()
        except (ConflictError, NotOwnerError, StoreUnavailableError):
            return False
        # Segments closed during the pass count towards the next one.
        self._count_after_last_pass = sum(
            number <= newest for number in self._log.closed_segments
        )
        events.log(
            events.Event.SEGMENTS_COMPACTED,
            partition=self._log.partition,
            before=before,
            after=self._count_after_last_pass,
        )
        return True

    async def _delete_orphaned_segments(self) -> None:
        """Deletes segments that are no longer part of the log.

        A former owner has left them or its delayed write has created them.
        """
        while self._log.orphaned_segments:
            orphan = self._log.orphaned_segments[-1]
            with contextlib.suppress(ConflictError):
                await self._log.segments.delete(orphan.number, orphan.revision)
            self._log.orphaned_segments.pop()

    async def _commit_job_ends(self) -> None:
        """Commits `JobEnded` records, so that the retention period starts."""
        for job_id in self._log.live.jobs_without_end_record():
            await self._log.commit(JobEnded(job_id, clock.wall()))
        self._log.live.remove_expired(clock.wall())

    async def _compact_segments(self) -> None:
        self._started_earlier = set()
        previous: _LoadedSegment | None = None
        for number in self._log.closed_segments:
            current = await self._read_segment(number)
            if current is None:
                continue
            if previous is not None:
                if self._can_merge(previous, current):
                    await self._merge(previous, current)
                else:
                    await self._finish_segment(previous)
            current.kept = self._select_needed(current.stored)
            previous = current
        if previous is not None:
            await self._finish_segment(previous)

    async def _read_segment(self, number: int) -> _LoadedSegment | None:
        found = await self._log.segments.read(number)
        if found is None:
            return None
        segment = found.segment
        return _LoadedSegment(
            number, found.revision, segment.epoch, list(segment.records), []
        )

    def _can_merge(
        self, previous: _LoadedSegment, current: _LoadedSegment
    ) -> bool:
        size = encoded_size(previous.kept) + encoded_size(current.stored)
        return not previous.kept or size <= MERGED_BYTES

    async def _merge(
        self, previous: _LoadedSegment, current: _LoadedSegment
    ) -> None:
        """Moves the needed records of a segment to the next segment."""
        if previous.kept:
            await self._rewrite(current, previous.kept + current.stored)
        await self._remove(previous)

    async def _finish_segment(self, segment: _LoadedSegment) -> None:
        """Compacts a segment that is not merged into the next one.

        The segment is removed if none of its records is needed. Otherwise its
        results move to a chunk if possible, and it is rewritten if at most half
        of its bytes are needed.
        """
        if not segment.kept:
            await self._remove(segment)
            return
        await self._move_results(segment)
        if encoded_size(segment.kept) <= encoded_size(segment.stored) // 2:
            await self._rewrite(segment, segment.kept)
        for encoded in segment.stored:
            record = decode_record(encoded)
            if is_start_record(record):
                self._started_earlier.add(subject_of(record))

    async def _move_results(self, segment: _LoadedSegment) -> None:
        """Replaces a segment's results by a reference to a chunk.

        Results of runs whose start record is in an older segment stay. The
        reference is written after the chunk is durable, and the owner is
        notified after the reference is written.
        """
        mover = self._log.mover
        if mover is None:
            return
        for encoded in segment.kept:
            record = decode_record(encoded)
            if isinstance(record, ResultsMoved):
                mover.report_found(record)
        stored = await mover.store(
            encoded
            for encoded in segment.kept
            if subject_of(decode_record(encoded)) not in self._started_earlier
        )
        if stored is None:
            return
        moved = set(stored.encoded)
        segment.kept = [r for r in segment.kept if bytes(r) not in moved]
        segment.kept.append(encode_record(stored.reference))
        await self._rewrite(segment, segment.kept)
        mover.report_moved(stored)

    async def _rewrite(
        self, target: _LoadedSegment, records: list[msgspec.Raw]
    ) -> None:
        unique = list({bytes(record): record for record in records}.values())
        segment = Segment(
            target.epoch,
            self._log.next_write_id(),
            True,
            tuple(unique),
            self._log.chain_before(target.number),
        )
        target.revision = await self._log.segments.write(
            target.number, segment, target.revision
        )
        target.stored = unique
        await self._log.update_closed(target.number, target.revision)

    async def _remove(self, segment: _LoadedSegment) -> None:
        await self._log.update_closed(segment.number, None)
        await self._log.segments.delete(segment.number, segment.revision)

    def _select_needed(self, records: list[msgspec.Raw]) -> list[msgspec.Raw]:
        now = clock.wall()
        kept = []
        for encoded in records:
            record = decode_record(encoded)
            ends_earlier_start = (
                not is_start_record(record)
                and subject_of(record) in self._started_earlier
            )
            if ends_earlier_start or self._log.live.is_live(record, now):
                kept.append(encoded)
        return kept
