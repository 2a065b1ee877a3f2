"""Storage of a partition's log segments: keys, encoding, reads and writes."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator, Iterable

import anyio
import msgspec

from plumvane import events
from plumvane.errors import ConflictError, StoreUnavailableError
from plumvane.partitions.records import LogRecord, Segment
from plumvane.store.base import ABSENT, Record, Store, list_pages

__all__ = [
    "SegmentStore",
    "StoredSegment",
    "decode_record",
    "encode_record",
    "encoded_size",
]

# Segments per page of a listing.
PAGE_SEGMENTS = 8
# Delay before a store call is retried, in seconds.
RETRY_S = 0.2

_encoder = msgspec.msgpack.Encoder()
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_record_decoder: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(
    LogRecord
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSegment:
    """A segment as read from the store.

    Attributes:
        number: Number of the segment in its log.
        revision: Revision of the segment's key.
        segment: Decoded value.
    """

    number: int
    revision: int
    segment: Segment


class SegmentStore:
    """Reads and writes the segments of one partition."""

    def __init__(self, store: Store, partition: int) -> None:
        """Creates the accessor of one partition's segments.

        Args:
            store: The platform's store.
            partition: Number of the partition.
        """
        self._store = store
        self._partition = partition
        self._prefix = f"partitions/{partition:04}/segments/"
        self.writes = 0

    def key(self, number: int) -> str:
        """Returns the key of a segment."""
        return f"{self._prefix}{number:08}"

    async def read(self, number: int) -> StoredSegment | None:
        """Returns a segment, or None if it is absent.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        record = await self._store.get(self.key(number))
        return None if record is None else self._decode(record)

    async def read_from(self, number: int) -> AsyncIterator[StoredSegment]:
        """Yields the segments with at least the given number, page by page.

        Raises:
            StoreUnavailableError: The store does not answer.
        """
        after_key = self.key(number - 1) if number else ""
        pages = list_pages(
            self._store, self._prefix, PAGE_SEGMENTS, after_key=after_key
        )
        async for page in pages:
            for record in page:
                yield self._decode(record)

    async def write(
        self, number: int, segment: Segment, expected_revision: int
    ) -> int:
        """Writes a segment; resolves lost answers by reading it back.

        Args:
            number: Number of the segment.
            segment: Value to write, with a unique write id.
            expected_revision: Revision that the key must still have.

        Returns:
            The new revision.

        Raises:
            ConflictError: Another owner has written the segment.
        """
        value = _encoder.encode(segment)
        while True:
            self.writes += 1
            try:
                return await self._store.put(
                    self.key(number), value, expected_revision=expected_revision
                )
            except (ConflictError, StoreUnavailableError):
                found = await self._read_with_retries(number)
            if found is not None and found.segment.write_id == segment.write_id:
                events.log(
                    events.Event.COMMIT_SETTLED, partition=self._partition
                )
                return found.revision
            revision = ABSENT if found is None else found.revision
            if revision != expected_revision:
                raise ConflictError(f"Another owner wrote {self.key(number)}.")
            await anyio.sleep(RETRY_S)

    async def delete(self, number: int, expected_revision: int) -> None:
        """Deletes a segment.

        Raises:
            ConflictError: Another owner has written the segment.
            StoreUnavailableError: The store does not answer.
        """
        self.writes += 1
        await self._store.delete(
            self.key(number), expected_revision=expected_revision
        )

    async def _read_with_retries(self, number: int) -> StoredSegment | None:
        while True:
            try:
                return await self.read(number)
            except StoreUnavailableError:
                await anyio.sleep(RETRY_S)

    def _decode(self, record: Record) -> StoredSegment:
        return StoredSegment(
            int(record.key.removeprefix(self._prefix)),
            record.revision,
            _segment_decoder.decode(record.value),
        )


def encode_record(record: LogRecord) -> msgspec.Raw:
    """Encodes a record as MessagePack."""
    return msgspec.Raw(_encoder.encode(record))


def decode_record(encoded: msgspec.Raw) -> LogRecord:
    """Decodes a record."""
    return _record_decoder.decode(encoded)


def encoded_size(records: Iterable[msgspec.Raw]) -> int:
    """Returns the total size of encoded records, in bytes."""
    return sum(len(bytes(record)) for record in records)
