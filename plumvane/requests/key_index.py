"""Index of the keys whose results are in chunks."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from plumvane.partitions.moving import KEY_HASH_BYTES
from plumvane.partitions.records import ResultsMoved
from plumvane.peers.messages import ChunkRef

__all__ = ["KeyIndex"]

BUCKETS = 4096
# An entry is the end of a key's hash and the number of its chunk.
HASH_END_BYTES = 4
NUMBER_BYTES = 4
ENTRY_BYTES = HASH_END_BYTES + NUMBER_BYTES
# Chunks looked at for their age in one sweep.
SWEEP_CHUNKS = 1000


class KeyIndex:
    """Finds chunks by key hash; each key takes eight bytes.

    It may name a chunk that does not hold the key, once in some 2**44 over
    the number of its keys.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self._buckets: list[bytearray | None] = [None] * BUCKETS
        self._chunks_by_number: dict[int, tuple[ChunkRef, float]] = {}
        self._numbers_by_digest: dict[str, int] = {}
        self._addresses: dict[tuple[str, ...], tuple[str, ...]] = {}
        self._next_number = 0
        self._next_bucket = 0

    def add(self, moved: ResultsMoved) -> None:
        """Adds the keys of a chunk; a known chunk changes nothing."""
        if moved.chunk.digest in self._numbers_by_digest:
            return
        number = self._next_number
        self._next_number += 1
        # Chunks share the names of the instances that hold them.
        addresses = moved.chunk.bulk_addresses
        addresses = self._addresses.setdefault(addresses, addresses)
        ref = ChunkRef(moved.chunk.digest, 0, moved.chunk.items, addresses)
        self._chunks_by_number[number] = (ref, moved.time)
        self._numbers_by_digest[ref.digest] = number
        number_bytes = number.to_bytes(NUMBER_BYTES, "big")
        for at in range(0, len(moved.key_hashes), KEY_HASH_BYTES):
            key_hash = moved.key_hashes[at : at + KEY_HASH_BYTES]
            position = _bucket_of(key_hash)
            bucket = self._buckets[position]
            if bucket is None:
                bucket = self._buckets[position] = bytearray()
            bucket += key_hash[-HASH_END_BYTES:] + number_bytes

    def find(self, key_hash: bytes) -> list[ChunkRef]:
        """Returns the chunks that may hold a key, oldest first."""
        bucket = self._buckets[_bucket_of(key_hash)]
        if bucket is None:
            return []
        end = key_hash[-HASH_END_BYTES:]
        found = []
        at = bucket.find(end)
        while at >= 0:
            if at % ENTRY_BYTES == 0:
                chunk = self._chunks_by_number.get(_number_at(bucket, at))
                if chunk is not None:
                    found.append(chunk[0])
            at = bucket.find(end, at + 1)
        return found

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields the references of all chunks."""
        for ref, _ in list(self._chunks_by_number.values()):
            yield ref

    def forget_before(self, time: float) -> None:
        """Forgets chunks whose newest result was committed before a time.

        Args:
            time: Seconds since the Unix epoch.
        """
        oldest = itertools.islice(self._chunks_by_number.items(), SWEEP_CHUNKS)
        expired = [n for n, (_, newest) in oldest if newest < time]
        for number in expired:
            ref, _ = self._chunks_by_number.pop(number)
            del self._numbers_by_digest[ref.digest]
        self._sweep_next()

    def _sweep_next(self) -> None:
        """Drops the entries of forgotten chunks from the next bucket."""
        position = self._next_bucket
        self._next_bucket = (position + 1) % BUCKETS
        bucket = self._buckets[position]
        if bucket is None:
            return
        kept = bytearray()
        for at in range(0, len(bucket), ENTRY_BYTES):
            if _number_at(bucket, at) in self._chunks_by_number:
                kept += bucket[at : at + ENTRY_BYTES]
        self._buckets[position] = kept or None


def _bucket_of(key_hash: bytes) -> int:
    return int.from_bytes(key_hash[:2], "big") % BUCKETS


def _number_at(bucket: bytearray, at: int) -> int:
    return int.from_bytes(bucket[at + HASH_END_BYTES : at + ENTRY_BYTES], "big")
