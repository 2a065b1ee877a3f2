"""Compaction of a partition's closed segments.

Records that are still needed move towards newer segments, in their order, and
are written there before their old segment leaves the log. A record that ends
what an older record began is kept while the older one is stored, so no crash
between two steps brings an ended run or job back. The other results of a
segment that stays move to a chunk, if the log has a mover.
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

# Two neighbours that fit into this become one.
MERGED_BYTES = 256 * 1024
# A pass runs when this many segments were closed since the last one, or when
# their number has doubled.
MIN_NEW_SEGMENTS = 8


@dataclasses.dataclass(slots=True)
class _Loaded:
    """A closed segment during a pass.

    Attributes:
        number: Its number.
        revision: Revision of its key.
        epoch: Epoch of the owner that closed it.
        stored: Records as the store holds them.
        kept: Those of them that are still needed.
    """

    number: int
    revision: int
    epoch: int
    stored: list[msgspec.Raw]
    kept: list[msgspec.Raw]


class Compaction:
    """Keeps one log's closed segments few."""

    def __init__(self, log: PartitionLog) -> None:
        """Creates the compaction.

        Args:
            log: The log, whose owner this instance is.
        """
        self._log = log
        self._after_last = 0
        self._earlier: set[Subject] = set()

    def is_due(self) -> bool:
        """Returns whether enough segments were closed since the last pass."""
        count = len(self._log.closed_segments)
        return count >= self._after_last + max(
            MIN_NEW_SEGMENTS, self._after_last
        )

    async def run(self) -> bool:
        """Compacts all closed segments once.

        Returns:
            Whether the pass was finished; it is given up when the store does
            not answer or another owner has written.
        """
        before = len(self._log.closed_segments)
        newest = max(self._log.closed_segments, default=0)
        try:
            await self._remove_strays()
            await self._end_jobs()
            await self._pass()
        except (ConflictError, NotOwnerError, StoreUnavailableError):
            return False
        # Segments that were closed during the pass count as new.
        self._after_last = sum(
            number <= newest for number in self._log.closed_segments
        )
        events.log(
            events.Event.SEGMENTS_COMPACTED,
            partition=self._log.partition,
            before=before,
            after=self._after_last,
        )
        return True

    async def _remove_strays(self) -> None:
        """Deletes segments that a former owner left or wrote too late."""
        while self._log.strays:
            stray = self._log.strays[-1]
            with contextlib.suppress(ConflictError):
                await self._log.segments.delete(stray.number, stray.revision)
            self._log.strays.pop()

    async def _end_jobs(self) -> None:
        """Records the end of jobs, so that their retention starts."""
        for job_id in self._log.live.jobs_without_end_record():
            await self._log.commit(JobEnded(job_id, clock.wall()))
        self._log.live.remove_expired(clock.wall())

    async def _pass(self) -> None:
        self._earlier = set()
        previous: _Loaded | None = None
        for number in self._log.closed_segments:
            current = await self._load(number)
            if current is None:
                continue
            if previous is not None:
                if self._fit(previous, current):
                    await self._merge(previous, current)
                else:
                    await self._settle(previous)
            current.kept = self._needed(current.stored)
            previous = current
        if previous is not None:
            await self._settle(previous)

    async def _load(self, number: int) -> _Loaded | None:
        found = await self._log.segments.read(number)
        if found is None:
            return None
        segment = found.segment
        return _Loaded(
            number, found.revision, segment.epoch, list(segment.records), []
        )

    def _fit(self, previous: _Loaded, current: _Loaded) -> bool:
        size = encoded_size(previous.kept) + encoded_size(current.stored)
        return not previous.kept or size <= MERGED_BYTES

    async def _merge(self, previous: _Loaded, current: _Loaded) -> None:
        """Moves the needed records of a segment into the next one."""
        if previous.kept:
            await self._rewrite(current, previous.kept + current.stored)
        await self._remove(previous)

    async def _settle(self, segment: _Loaded) -> None:
        """Rewrites a segment that stays, if much of it is not needed."""
        if not segment.kept:
            await self._remove(segment)
            return
        await self._move_results(segment)
        if encoded_size(segment.kept) <= encoded_size(segment.stored) // 2:
            await self._rewrite(segment, segment.kept)
        for encoded in segment.stored:
            record = decode_record(encoded)
            if is_start_record(record):
                self._earlier.add(subject_of(record))

    async def _move_results(self, segment: _Loaded) -> None:
        """Replaces a segment's results by a reference to their chunk.

        Results that end what an older segment began stay. The reference is
        written only once the chunk is safe, and the owner learns of it only
        once it is written.
        """
        mover = self._log.mover
        if mover is None:
            return
        for encoded in segment.kept:
            record = decode_record(encoded)
            if isinstance(record, ResultsMoved):
                mover.note(record)
        stored = await mover.store(
            encoded
            for encoded in segment.kept
            if subject_of(decode_record(encoded)) not in self._earlier
        )
        if stored is None:
            return
        moved = set(stored.encoded)
        segment.kept = [r for r in segment.kept if bytes(r) not in moved]
        segment.kept.append(encode_record(stored.reference))
        await self._rewrite(segment, segment.kept)
        mover.finish(stored)

    async def _rewrite(
        self, target: _Loaded, records: list[msgspec.Raw]
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
        await self._log.replace_closed(target.number, target.revision)

    async def _remove(self, segment: _Loaded) -> None:
        await self._log.replace_closed(segment.number, None)
        await self._log.segments.delete(segment.number, segment.revision)

    def _needed(self, records: list[msgspec.Raw]) -> list[msgspec.Raw]:
        now = clock.wall()
        kept = []
        for encoded in records:
            record = decode_record(encoded)
            ends_earlier = (
                not is_start_record(record)
                and subject_of(record) in self._earlier
            )
            if ends_earlier or self._log.live.is_live(record, now):
                kept.append(encoded)
        return kept
