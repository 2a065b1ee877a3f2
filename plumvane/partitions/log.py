"""Log of a partition in the store, written by group commit.

The log is a chain of segments, of which only the last is open. Each commit
rewrites the open segment by compare-and-swap; a full segment is closed. A new
owner rewrites the open segment under its own epoch, so that a former owner's
next write fails the comparison of revisions. Each write of the open segment
lists the closed segments that belong to the log.
"""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable, Iterable

import anyio
import msgspec

from plumvane import events
from plumvane.errors import (
    BodyTooLargeError,
    ConflictError,
    NotOwnerError,
)
from plumvane.partitions.budget import CommitBudget
from plumvane.partitions.moving import ResultMover
from plumvane.partitions.records import ClosedSegment, LogRecord, Segment
from plumvane.partitions.retention import LiveRecords, without_orphans
from plumvane.partitions.segments import (
    SegmentStore,
    StoredSegment,
    decode_record,
    encode_record,
    encoded_size,
)
from plumvane.store.base import ABSENT, MAX_VALUE_BYTES, Store

__all__ = ["PartitionLog", "PrefetchedLog"]

# Size of the records at which a segment is closed, in bytes.
SEGMENT_BYTES = 64 * 1024
# Largest size of the records in a segment, in bytes; the rest of a value is for
# the other fields of the segment.
MAX_RECORDS_BYTES = MAX_VALUE_BYTES - 100_000
DEFAULT_RETENTION_S = 86_400.0


class _PendingCommit:
    """A record that waits for its commit.

    Without a record, the commit only rewrites the list of closed segments.
    """

    __slots__ = ("done", "encoded", "error", "record")

    def __init__(self, record: LogRecord | None) -> None:
        self.record = record
        self.encoded = None if record is None else encode_record(record)
        self.done = anyio.Event()
        self.error: Exception | None = None

    @property
    def size(self) -> int:
        """Size that the commit adds to the segment, in bytes."""
        return 0 if self.encoded is None else len(bytes(self.encoded))


class PrefetchedLog:
    """Segments read ahead while another instance still owns the partition."""

    def __init__(self) -> None:
        """Creates an empty set of segments."""
        self.segments_by_number: dict[int, StoredSegment] = {}

    async def load(self, segments: SegmentStore) -> None:
        """Reads all segments.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        async for stored in segments.read_from(0):
            self.segments_by_number[stored.number] = stored

    @property
    def newest(self) -> int:
        """Number of the newest segment; 0 if there is none."""
        return max(self.segments_by_number, default=0)


class PartitionLog:
    """Log of one partition, appended to by the partition's owner.

    Attributes:
        segments: Storage of the log's segments.
        live: Decides which records are still needed.
        mover: Moves results to chunks, or None.
        lost: Whether another instance has taken the partition or `run` has
            ended; no further commit is accepted.
        orphaned_segments: Stored segments that are not part of the log, as
            found by `recover`.
    """

    def __init__(
        self,
        store: Store,
        partition: int,
        epoch: int,
        *,
        retention_s: Callable[[], float] = lambda: DEFAULT_RETENTION_S,
        budget: CommitBudget | None = None,
    ) -> None:
        """Creates the log; call `recover` before the first commit.

        Args:
            store: The platform's store.
            partition: Number of the partition.
            epoch: Epoch of this ownership.
            retention_s: Returns the retention period of results, in seconds.
            budget: Rate limit that the instance's logs share; by default this
                log has the limit of one partition.
        """
        self._budget = budget or CommitBudget(lambda: 1)
        self.segments = SegmentStore(store, partition)
        self.live = LiveRecords(retention_s)
        self.mover: ResultMover | None = None
        self._partition = partition
        self._epoch = epoch
        self._open_number = 0
        self._open_revision = ABSENT
        self._open_records: list[msgspec.Raw] = []
        self._revisions_by_closed: dict[int, int] = {}
        self._pending: list[_PendingCommit] = []
        self._batch: list[_PendingCommit] = []
        self._work_available = anyio.Event()
        self._drained = anyio.Event()
        self._drained.set()
        self._write_ids = itertools.count(1)
        self._incarnation = secrets.token_hex(6)
        self.lost = False
        self.orphaned_segments: list[StoredSegment] = []

    @property
    def epoch(self) -> int:
        """Epoch of this ownership."""
        return self._epoch

    @property
    def partition(self) -> int:
        """Number of the partition."""
        return self._partition

    @property
    def pending(self) -> int:
        """Number of records that wait for their commit."""
        return len(self._batch) + len(self._pending)

    @property
    def writes(self) -> int:
        """Number of writes sent to the store."""
        return self.segments.writes

    @property
    def closed_segments(self) -> list[int]:
        """Numbers of the closed segments, oldest first."""
        return sorted(self._revisions_by_closed)

    async def recover(
        self, prefetched: PrefetchedLog | None = None
    ) -> list[LogRecord]:
        """Reads the log and makes this owner its only writer.

        Args:
            prefetched: Segments that were read ahead; only changed and newer
                ones are read again.

        Returns:
            All records without duplicates, oldest first.

        Raises:
            NotOwnerError: An owner with a higher epoch has written.
            StoreUnavailableError: The store does not answer.
        """
        while True:
            stored = await self._read(prefetched or PrefetchedLog())
            try:
                await self._fence_former_owners(stored)
            except ConflictError:
                continue
            records = _decode_unique(stored)
            for record in records:
                self.live.apply(record)
            return records

    async def commit(self, record: LogRecord) -> None:
        """Commits a record; returns once it is in the store.

        Raises:
            BodyTooLargeError: The record exceeds the size limit of a segment.
            NotOwnerError: Another owner has taken the partition.
        """
        pending_commit = _PendingCommit(record)
        if pending_commit.size > MAX_RECORDS_BYTES:
            raise BodyTooLargeError(
                f"The record has {pending_commit.size} bytes; "
                f"{MAX_RECORDS_BYTES} are allowed."
            )
        await self._submit(pending_commit)

    async def update_closed(self, number: int, revision: int | None) -> None:
        """Updates the revision of a closed segment or removes it from the log.

        Args:
            number: Number of the segment.
            revision: New revision, or None to remove the segment; the removal
                is committed when this method returns.

        Raises:
            NotOwnerError: Another owner has taken the partition.
        """
        if revision is not None:
            self._revisions_by_closed[number] = revision
            return
        self._revisions_by_closed.pop(number, None)
        await self._submit(_PendingCommit(None))

    def chain_before(self, number: int) -> tuple[ClosedSegment, ...]:
        """Returns the closed segments that precede a segment, oldest first."""
        return tuple(
            ClosedSegment(closed, revision)
            for closed, revision in sorted(self._revisions_by_closed.items())
            if closed < number
        )

    async def wait_drained(self) -> None:
        """Waits until no commit is pending."""
        await self._drained.wait()

    async def run(self) -> None:
        """Writes pending commits; returns when the partition is lost."""
        try:
            while not self.lost:
                await self._commit_next()
        finally:
            self.lost = True
            self._fail_pending()

    def next_write_id(self) -> str:
        """Returns a unique identifier for the next write."""
        return f"{self._incarnation}-{next(self._write_ids)}"

    async def _submit(self, pending_commit: _PendingCommit) -> None:
        if self.lost:
            raise NotOwnerError("Another instance owns the partition.")
        self._pending.append(pending_commit)
        if self._drained.is_set():
            self._drained = anyio.Event()
        self._work_available.set()
        await pending_commit.done.wait()
        if pending_commit.error is not None:
            raise pending_commit.error

    async def _commit_next(self) -> None:
        await self._work_available.wait()
        self._work_available = anyio.Event()
        await self._budget.acquire()
        self._batch = self._take_batch()
        if self._batch:
            await self._commit(self._batch)
        if self._pending:
            self._work_available.set()
        else:
            self._drained.set()

    def _take_batch(self) -> list[_PendingCommit]:
        """Removes as many pending commits as fit into one write."""
        size = 0
        count = 0
        for pending_commit in self._pending:
            if count and size + pending_commit.size > MAX_RECORDS_BYTES:
                break
            size += pending_commit.size
            count += 1
            if size >= SEGMENT_BYTES:
                break
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        return batch

    async def _commit(self, batch: list[_PendingCommit]) -> None:
        added = [
            pending_commit.encoded
            for pending_commit in batch
            if pending_commit.encoded
        ]
        try:
            if (
                encoded_size(self._open_records) + encoded_size(added)
                > MAX_RECORDS_BYTES
            ):
                await self._write(self._open_records, closed=True)
            records = self._open_records + added
            closed = encoded_size(records) >= SEGMENT_BYTES
            await self._write(records, closed=closed)
        except ConflictError:
            self._mark_lost()
            return
        self._batch = []
        for pending_commit in batch:
            if pending_commit.record is not None:
                self.live.apply(pending_commit.record)
            pending_commit.done.set()

    async def _write(self, records: list[msgspec.Raw], *, closed: bool) -> None:
        """Writes the open segment; if it is closed, opens the next one.

        Raises:
            ConflictError: Another owner has written.
        """
        segment = Segment(
            self._epoch,
            self.next_write_id(),
            closed,
            tuple(records),
            self.chain_before(self._open_number),
        )
        self._open_revision = await self.segments.write(
            self._open_number, segment, self._open_revision
        )
        self._open_records = records
        if closed:
            self._revisions_by_closed[self._open_number] = self._open_revision
            self._open_number += 1
            self._open_revision = ABSENT
            self._open_records = []

    async def _read(self, prefetched: PrefetchedLog) -> list[StoredSegment]:
        """Reads the segments that belong to the log, oldest first."""
        found = dict(prefetched.segments_by_number)
        async for stored in self.segments.read_from(prefetched.newest):
            found[stored.number] = stored
        if not found:
            return []
        newest = found[max(found)]
        chain_numbers = {closed.number for closed in newest.segment.chain}
        self.orphaned_segments = [
            stored
            for number, stored in found.items()
            if number not in chain_numbers and stored is not newest
        ]
        chosen = []
        for closed in newest.segment.chain:
            known = found.get(closed.number)
            # The segment may have been closed after it was listed.
            if known is None or known.revision != closed.revision:
                known = await self.segments.read(closed.number)
            if known is not None:
                chosen.append(known)
        return [*chosen, newest]

    async def _fence_former_owners(self, stored: list[StoredSegment]) -> None:
        """Rewrites the open segment under this epoch.

        The new revision makes the next write of a former owner fail.

        Raises:
            ConflictError: The log has changed and must be read again.
            NotOwnerError: An owner with a higher epoch has written.
        """
        self._open_number, self._open_revision, self._open_records = (
            0,
            ABSENT,
            [],
        )
        self._revisions_by_closed = {
            s.number: s.revision for s in stored if s.segment.closed
        }
        if stored:
            newest = stored[-1]
            if newest.segment.epoch > self._epoch:
                self.lost = True
                raise NotOwnerError("An owner with a higher epoch has written.")
            self._open_number = newest.number
            self._open_revision = newest.revision
            self._open_records = list(newest.segment.records)
            if newest.segment.closed:
                self._open_number += 1
                self._open_revision = ABSENT
                self._open_records = []
        await self._write(self._open_records, closed=False)

    def _mark_lost(self) -> None:
        self.lost = True
        events.log(
            events.Event.PARTITION_LOST,
            partition=self._partition,
            epoch=self._epoch,
        )

    def _fail_pending(self) -> None:
        pending = self._batch + self._pending
        self._batch, self._pending = [], []
        self._drained.set()
        for pending_commit in pending:
            pending_commit.error = NotOwnerError("Another instance took over.")
            pending_commit.done.set()


def _decode_unique(stored: Iterable[StoredSegment]) -> list[LogRecord]:
    """Decodes the records of segments without duplicates, oldest first."""
    seen: set[bytes] = set()
    records: list[LogRecord] = []
    for stored_segment in stored:
        for encoded in stored_segment.segment.records:
            key = bytes(encoded)
            if key not in seen:
                seen.add(key)
                records.append(decode_record(encoded))
    return without_orphans(records)
