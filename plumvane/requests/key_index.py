"""Index from keys to the chunks that hold their results."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from plumvane.partitions.moving import KEY_HASH_BYTES
from plumvane.partitions.records import ResultsMoved
from plumvane.peers.messages import ChunkRef

__all__ = ["KeyIndex"]

BUCKET_COUNT = 4096
# Each entry consists of the last bytes of a key's hash and the number of the
# key's chunk.
HASH_SUFFIX_BYTES = 4
CHUNK_NUMBER_BYTES = 4
ENTRY_BYTES = HASH_SUFFIX_BYTES + CHUNK_NUMBER_BYTES
# Most chunks checked for expiry in one sweep.
CHUNKS_PER_SWEEP = 1000


class KeyIndex:
    """Finds chunks by key hash, using eight bytes of memory per key.

    A lookup may return a chunk that does not hold the key. The probability is
    about the number of indexed keys divided by 2**44.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self._buckets: list[bytearray | None] = [None] * BUCKET_COUNT
        self._chunks_by_number: dict[int, tuple[ChunkRef, float]] = {}
        self._numbers_by_digest: dict[str, int] = {}
        self._interned_addresses: dict[tuple[str, ...], tuple[str, ...]] = {}
        self._next_chunk_number = 0
        self._next_swept_bucket = 0

    def add(self, moved: ResultsMoved) -> None:
        """Adds the keys of a chunk, unless the chunk is already indexed."""
        if moved.chunk.digest in self._numbers_by_digest:
            return
        number = self._next_chunk_number
        self._next_chunk_number += 1
        # Chunks with the same addresses share one tuple, to save memory.
        addresses = moved.chunk.bulk_addresses
        addresses = self._interned_addresses.setdefault(addresses, addresses)
        ref = ChunkRef(moved.chunk.digest, 0, moved.chunk.items, addresses)
        self._chunks_by_number[number] = (ref, moved.time)
        self._numbers_by_digest[ref.digest] = number
        number_bytes = number.to_bytes(CHUNK_NUMBER_BYTES, "big")
        for offset in range(0, len(moved.key_hashes), KEY_HASH_BYTES):
            key_hash = moved.key_hashes[offset : offset + KEY_HASH_BYTES]
            bucket_index = _bucket_index(key_hash)
            bucket = self._buckets[bucket_index]
            if bucket is None:
                bucket = self._buckets[bucket_index] = bytearray()
            bucket += key_hash[-HASH_SUFFIX_BYTES:] + number_bytes

    def find(self, key_hash: bytes) -> list[ChunkRef]:
        """Returns the chunks that may hold a key, oldest first."""
        bucket = self._buckets[_bucket_index(key_hash)]
        if bucket is None:
            return []
        suffix = key_hash[-HASH_SUFFIX_BYTES:]
        refs = []
        offset = bucket.find(suffix)
        while offset >= 0:
            if offset % ENTRY_BYTES == 0:
                chunk = self._chunks_by_number.get(
                    _chunk_number_at(bucket, offset)
                )
                if chunk is not None:
                    refs.append(chunk[0])
            offset = bucket.find(suffix, offset + 1)
        return refs

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields the references of all chunks."""
        for ref, _ in list(self._chunks_by_number.values()):
            yield ref

    def remove_before(self, time: float) -> None:
        """Removes chunks whose newest result was committed before a time.

        Args:
            time: Seconds since the Unix epoch.
        """
        oldest = itertools.islice(
            self._chunks_by_number.items(), CHUNKS_PER_SWEEP
        )
        expired = [n for n, (_, newest) in oldest if newest < time]
        for number in expired:
            ref, _ = self._chunks_by_number.pop(number)
            del self._numbers_by_digest[ref.digest]
        self._sweep_next_bucket()

    def _sweep_next_bucket(self) -> None:
        """Deletes the entries of removed chunks from the next bucket."""
        bucket_index = self._next_swept_bucket
        self._next_swept_bucket = (bucket_index + 1) % BUCKET_COUNT
        bucket = self._buckets[bucket_index]
        if bucket is None:
            return
        kept = bytearray()
        for offset in range(0, len(bucket), ENTRY_BYTES):
            if _chunk_number_at(bucket, offset) in self._chunks_by_number:
                kept += bucket[offset : offset + ENTRY_BYTES]
        self._buckets[bucket_index] = kept or None


def _bucket_index(key_hash: bytes) -> int:
    return int.from_bytes(key_hash[:2], "big") % BUCKET_COUNT


def _chunk_number_at(bucket: bytearray, offset: int) -> int:
    return int.from_bytes(
        bucket[offset + HASH_SUFFIX_BYTES : offset + ENTRY_BYTES], "big"
    )
