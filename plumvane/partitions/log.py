"""A partition's log in the store, written by group commit.

The log is a chain of segments. Only the last one is open: it is rewritten by
compare-and-swap with each commit, and closed when it is full. A new owner
rewrites the open segment under its own epoch, so a former owner's next write
is refused by its revision.
"""

from __future__ import annotations

import itertools
import secrets

import anyio
import msgspec

from plumvane import clock, events
from plumvane.errors import (
    ConflictError,
    NotOwnerError,
    StoreUnavailableError,
)
from plumvane.partitions.records import LogRecord, Segment
from plumvane.store.base import ABSENT, Store

__all__ = ["PartitionLog"]

# Size at which a segment is closed.
SEGMENT_BYTES = 64 * 1024
# Commits a second that one partition may average, and its burst.
COMMITS_PER_S = 20.0
COMMIT_BURST = 10.0
RETRY_S = 0.2

_encoder = msgspec.msgpack.Encoder()
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_record_decoder: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(
    LogRecord
)


class _Ticket:
    """A record that waits for its commit."""

    __slots__ = ("done", "encoded", "error")

    def __init__(self, encoded: msgspec.Raw) -> None:
        self.encoded = encoded
        self.done = anyio.Event()
        self.error: Exception | None = None


class PartitionLog:
    """Appends records to one partition's log, as its only owner."""

    def __init__(self, store: Store, partition: int, epoch: int) -> None:
        """Creates the log; `recover` must run before the first commit.

        Args:
            store: The platform's store.
            partition: Number of the partition.
            epoch: Epoch of this ownership.
        """
        self._store = store
        self._partition = partition
        self._epoch = epoch
        self._prefix = f"partitions/{partition:04}/segments/"
        self._number = 0
        self._revision = ABSENT
        self._records: list[msgspec.Raw] = []
        self._pending: list[_Ticket] = []
        self._batch: list[_Ticket] = []
        self._wanted = anyio.Event()
        self._idle = anyio.Event()
        self._idle.set()
        self._tokens = COMMIT_BURST
        self._refilled = clock.monotonic()
        self._write_ids = itertools.count(1)
        self._incarnation = secrets.token_hex(6)
        self.lost = False
        self.writes = 0

    @property
    def epoch(self) -> int:
        """Epoch of this ownership."""
        return self._epoch

    @property
    def pending(self) -> int:
        """How many records wait for their commit."""
        return len(self._batch) + len(self._pending)

    async def recover(self) -> list[LogRecord]:
        """Reads the log and makes this owner its only writer.

        Returns:
            All records, oldest first.

        Raises:
            NotOwnerError: Another owner of a higher epoch has written.
            StoreUnavailableError: The store does not answer.
        """
        while True:
            segments = await self._read_segments()
            try:
                await self._seal(segments)
            except ConflictError:
                continue
            records: list[LogRecord] = []
            for segment in segments:
                records.extend(decode_records(segment))
            return records

    async def commit(self, record: LogRecord) -> None:
        """Returns once the record is in the store.

        Raises:
            NotOwnerError: Another owner has taken the partition.
        """
        if self.lost:
            raise NotOwnerError("Another instance owns the partition.")
        ticket = _Ticket(msgspec.Raw(_encoder.encode(record)))
        self._pending.append(ticket)
        self._idle = anyio.Event()
        self._wanted.set()
        await ticket.done.wait()
        if ticket.error is not None:
            raise ticket.error

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

    async def _commit_next(self) -> None:
        await self._wanted.wait()
        self._wanted = anyio.Event()
        await self._take_token()
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
        for count, ticket in enumerate(self._pending, start=1):
            size += len(bytes(ticket.encoded))
            if size >= SEGMENT_BYTES:
                batch = self._pending[:count]
                self._pending = self._pending[count:]
                return batch
        batch, self._pending = self._pending, []
        return batch

    async def _commit(self, batch: list[_Ticket]) -> None:
        records = self._records + [ticket.encoded for ticket in batch]
        size = sum(len(bytes(record)) for record in records)
        closed = size >= SEGMENT_BYTES
        try:
            await self._write_until_known(records, closed=closed)
        except ConflictError:
            self._lose()
            return
        self._batch = []
        self._records = records
        for ticket in batch:
            ticket.done.set()
        if closed:
            self._number += 1
            self._revision = ABSENT
            self._records = []

    async def _write_until_known(
        self, records: list[msgspec.Raw], *, closed: bool
    ) -> None:
        """Writes the open segment; settles lost answers by reading back.

        Raises:
            ConflictError: Another owner has written.
        """
        segment = Segment(
            self._epoch, self._next_write_id(), closed, tuple(records)
        )
        value = _encoder.encode(segment)
        while True:
            try:
                self.writes += 1
                self._revision = await self._store.put(
                    self._key(), value, expected_revision=self._revision
                )
                return
            except (ConflictError, StoreUnavailableError) as error:
                if await self._is_written(segment.write_id, error):
                    return
                await anyio.sleep(RETRY_S)

    async def _is_written(self, write_id: str, error: Exception) -> bool:
        """Reads the open segment back after a failed write.

        Returns:
            Whether it holds the write; False means that it may be sent again.

        Raises:
            ConflictError: It holds another owner's write.
        """
        try:
            record = await self._store.get(self._key())
        except StoreUnavailableError:
            return False
        if record is not None:
            found = _segment_decoder.decode(record.value)
            if found.write_id == write_id:
                events.log(
                    events.Event.COMMIT_SETTLED, partition=self._partition
                )
                self._revision = record.revision
                return True
        revision = ABSENT if record is None else record.revision
        if revision != self._revision:
            raise ConflictError(
                f"Another owner wrote {self._key()}."
            ) from error
        return False

    async def _read_segments(self) -> list[Segment]:
        found = (await self._store.list(self._prefix)).records
        segments = [_segment_decoder.decode(record.value) for record in found]
        self._number, self._revision = 0, ABSENT
        if found:
            self._number = int(found[-1].key.removeprefix(self._prefix))
            self._revision = found[-1].revision
            if segments[-1].closed:
                self._number += 1
                self._revision = ABSENT
        return segments

    async def _seal(self, segments: list[Segment]) -> None:
        if segments and segments[-1].epoch > self._epoch:
            self.lost = True
            raise NotOwnerError("An owner of a higher epoch has written.")
        is_open = bool(segments) and not segments[-1].closed
        self._records = list(segments[-1].records) if is_open else []
        await self._write_until_known(self._records, closed=False)

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

    async def _take_token(self) -> None:
        """Waits until the partition's write rate allows a commit."""
        while True:
            now = clock.monotonic()
            gained = (now - self._refilled) * COMMITS_PER_S
            self._tokens = min(COMMIT_BURST, self._tokens + gained)
            self._refilled = now
            if self._tokens >= 1.0:
                self._tokens -= 1.0
                return
            await anyio.sleep((1.0 - self._tokens) / COMMITS_PER_S)

    def _key(self) -> str:
        return f"{self._prefix}{self._number:08}"

    def _next_write_id(self) -> str:
        return f"{self._incarnation}-{next(self._write_ids)}"


def decode_records(segment: Segment) -> list[LogRecord]:
    """Returns a segment's records, oldest first."""
    return [_record_decoder.decode(raw) for raw in segment.records]
