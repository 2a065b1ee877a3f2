"""A partition's log in the store, written by group commit.

The log is a chain of segments. Only the last one is open: it is rewritten by
compare-and-swap with each commit, and closed when it is full. A new owner
rewrites the open segment under its own epoch, so a former owner's next write
is refused by its revision. Each write of the open segment names the closed
segments that belong to the log.
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

__all__ = ["LogCopy", "PartitionLog"]

# Size at which a segment is closed.
SEGMENT_BYTES = 64 * 1024
# Most bytes of records in a segment; the rest of a value is its frame.
MAX_RECORDS_BYTES = MAX_VALUE_BYTES - 100_000
DEFAULT_RETENTION_S = 86_400.0


class _Ticket:
    """A record that waits for its commit; without one, the chain does."""

    __slots__ = ("done", "encoded", "error", "record")

    def __init__(self, record: LogRecord | None) -> None:
        self.record = record
        self.encoded = None if record is None else encode_record(record)
        self.done = anyio.Event()
        self.error: Exception | None = None

    @property
    def size(self) -> int:
        """Bytes that it adds to the segment."""
        return 0 if self.encoded is None else len(bytes(self.encoded))


class LogCopy:
    """Segments read while another instance still owns the partition."""

    def __init__(self) -> None:
        """Creates an empty copy."""
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
    """Appends records to one partition's log, as its only owner."""

    def __init__(
        self,
        store: Store,
        partition: int,
        epoch: int,
        *,
        retention_s: Callable[[], float] = lambda: DEFAULT_RETENTION_S,
        budget: CommitBudget | None = None,
    ) -> None:
        """Creates the log; `recover` must run before the first commit.

        Args:
            store: The platform's store.
            partition: Number of the partition.
            epoch: Epoch of this ownership.
            retention_s: Returns how long results are kept, in seconds.
            budget: Commits that the instance's logs share; by default this
                log has the budget of one partition.
        """
        self._budget = budget or CommitBudget(lambda: 1)
        self.segments = SegmentStore(store, partition)
        self.live = LiveRecords(retention_s)
        self.mover: ResultMover | None = None
        self._partition = partition
        self._epoch = epoch
        self._number = 0
        self._revision = ABSENT
        self._records: list[msgspec.Raw] = []
        self._revisions_by_closed: dict[int, int] = {}
        self._pending: list[_Ticket] = []
        self._batch: list[_Ticket] = []
        self._wanted = anyio.Event()
        self._idle = anyio.Event()
        self._idle.set()
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
        """How many records wait for their commit."""
        return len(self._batch) + len(self._pending)

    @property
    def writes(self) -> int:
        """How many writes were sent to the store."""
        return self.segments.writes

    @property
    def closed_segments(self) -> list[int]:
        """Numbers of the closed segments, oldest first."""
        return sorted(self._revisions_by_closed)

    async def recover(self, copy: LogCopy | None = None) -> list[LogRecord]:
        """Reads the log and makes this owner its only writer.

        Args:
            copy: Segments that were read before; only what has changed since
                is read again.

        Returns:
            All records, oldest first, each once.

        Raises:
            NotOwnerError: Another owner of a higher epoch has written.
            StoreUnavailableError: The store does not answer.
        """
        while True:
            stored = await self._read(copy or LogCopy())
            try:
                await self._seal(stored)
            except ConflictError:
                continue
            records = _records_of(stored)
            for record in records:
                self.live.apply(record)
            return records

    async def commit(self, record: LogRecord) -> None:
        """Returns once the record is in the store.

        Raises:
            BodyTooLargeError: The record does not fit into a value.
            NotOwnerError: Another owner has taken the partition.
        """
        ticket = _Ticket(record)
        if ticket.size > MAX_RECORDS_BYTES:
            raise BodyTooLargeError(
                f"The record has {ticket.size} bytes; "
                f"{MAX_RECORDS_BYTES} are allowed."
            )
        await self._submit(ticket)

    async def replace_closed(self, number: int, revision: int | None) -> None:
        """Records a closed segment's new revision.

        Args:
            number: Number of the segment.
            revision: Its revision, or None if it leaves the log; the store
                then no longer counts it in once this returns.

        Raises:
            NotOwnerError: Another owner has taken the partition.
        """
        if revision is not None:
            self._revisions_by_closed[number] = revision
            return
        self._revisions_by_closed.pop(number, None)
        await self._submit(_Ticket(None))

    def chain_before(self, number: int) -> tuple[ClosedSegment, ...]:
        """Returns the closed segments older than a segment, oldest first."""
        return tuple(
            ClosedSegment(closed, revision)
            for closed, revision in sorted(self._revisions_by_closed.items())
            if closed < number
        )

    async def drained(self) -> None:
        """Waits until no record waits for its commit."""
        await self._idle.wait()

    async def run(self) -> None:
        """Commits what waits; returns when the partition is lost."""
        try:
            while not self.lost:
                await self._commit_next()
        finally:
            self.lost = True
            self._fail_pending()

    def next_write_id(self) -> str:
        """Returns an identifier for the next write."""
        return f"{self._incarnation}-{next(self._write_ids)}"

    async def _submit(self, ticket: _Ticket) -> None:
        if self.lost:
            raise NotOwnerError("Another instance owns the partition.")
        self._pending.append(ticket)
        if self._idle.is_set():
            self._idle = anyio.Event()
        self._wanted.set()
        await ticket.done.wait()
        if ticket.error is not None:
            raise ticket.error

    async def _commit_next(self) -> None:
        await self._wanted.wait()
        self._wanted = anyio.Event()
        await self._budget.acquire()
        self._batch = self._take_batch()
        if self._batch:
            await self._commit(self._batch)
        if self._pending:
            self._wanted.set()
        else:
            self._idle.set()

    def _take_batch(self) -> list[_Ticket]:
        """Takes as many records as one write may hold."""
        size = 0
        count = 0
        for ticket in self._pending:
            if count and size + ticket.size > MAX_RECORDS_BYTES:
                break
            size += ticket.size
            count += 1
            if size >= SEGMENT_BYTES:
                break
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        return batch

    async def _commit(self, batch: list[_Ticket]) -> None:
        added = [ticket.encoded for ticket in batch if ticket.encoded]
        try:
            if (
                encoded_size(self._records) + encoded_size(added)
                > MAX_RECORDS_BYTES
            ):
                await self._write(self._records, closed=True)
            records = self._records + added
            closed = encoded_size(records) >= SEGMENT_BYTES
            await self._write(records, closed=closed)
        except ConflictError:
            self._lose()
            return
        self._batch = []
        for ticket in batch:
            if ticket.record is not None:
                self.live.apply(ticket.record)
            ticket.done.set()

    async def _write(self, records: list[msgspec.Raw], *, closed: bool) -> None:
        """Writes the open segment, and opens the next one if it is full.

        Raises:
            ConflictError: Another owner has written.
        """
        segment = Segment(
            self._epoch,
            self.next_write_id(),
            closed,
            tuple(records),
            self.chain_before(self._number),
        )
        self._revision = await self.segments.write(
            self._number, segment, self._revision
        )
        self._records = records
        if closed:
            self._revisions_by_closed[self._number] = self._revision
            self._number += 1
            self._revision = ABSENT
            self._records = []

    async def _read(self, copy: LogCopy) -> list[StoredSegment]:
        """Returns the segments that belong to the log, oldest first."""
        found = dict(copy.segments_by_number)
        async for stored in self.segments.read_from(copy.newest):
            found[stored.number] = stored
        if not found:
            return []
        newest = found[max(found)]
        members = {closed.number for closed in newest.segment.chain}
        self.orphaned_segments = [
            stored
            for number, stored in found.items()
            if number not in members and stored is not newest
        ]
        chosen = []
        for closed in newest.segment.chain:
            known = found.get(closed.number)
            if known is None or (
                copy.segments_by_number and known.revision != closed.revision
            ):
                known = await self.segments.read(closed.number)
            if known is not None:
                chosen.append(known)
        return [*chosen, newest]

    async def _seal(self, stored: list[StoredSegment]) -> None:
        """Rewrites the open segment under this epoch.

        Raises:
            ConflictError: The log has changed; it must be read again.
            NotOwnerError: Another owner of a higher epoch has written.
        """
        self._number, self._revision, self._records = 0, ABSENT, []
        self._revisions_by_closed = {
            s.number: s.revision for s in stored if s.segment.closed
        }
        if stored:
            newest = stored[-1]
            if newest.segment.epoch > self._epoch:
                self.lost = True
                raise NotOwnerError("An owner of a higher epoch has written.")
            self._number = newest.number
            self._revision = newest.revision
            self._records = list(newest.segment.records)
            if newest.segment.closed:
                self._number += 1
                self._revision = ABSENT
                self._records = []
        await self._write(self._records, closed=False)

    def _lose(self) -> None:
        self.lost = True
        events.log(
            events.Event.PARTITION_LOST,
            partition=self._partition,
            epoch=self._epoch,
        )

    def _fail_pending(self) -> None:
        pending = self._batch + self._pending
        self._batch, self._pending = [], []
        self._idle.set()
        for ticket in pending:
            ticket.error = NotOwnerError("Another instance took over.")
            ticket.done.set()


def _records_of(stored: Iterable[StoredSegment]) -> list[LogRecord]:
    """Returns the records of segments, each once, oldest first."""
    seen: set[bytes] = set()
    records: list[LogRecord] = []
    for one in stored:
        for encoded in one.segment.records:
            key = bytes(encoded)
            if key not in seen:
                seen.add(key)
                records.append(decode_record(encoded))
    return without_orphans(records)
