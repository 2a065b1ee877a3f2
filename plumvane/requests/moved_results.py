"""Results of one partition that were moved to chunks at bulk instances."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from plumvane.errors import BulkUnavailableError
from plumvane.partitions.moving import ResultChunks, decode_results, key_hash
from plumvane.partitions.records import RequestCompleted, ResultsMoved
from plumvane.peers.messages import ChunkRef
from plumvane.requests.claims import RequestKey
from plumvane.requests.key_index import KeyIndex

__all__ = ["MovedResults", "ResultChunkCache"]

MAX_CACHED_CHUNKS = 4
RETRY_AFTER_S = 5.0


class ResultChunkCache:
    """Reads chunks of results through a small LRU cache."""

    def __init__(self, chunks: ResultChunks) -> None:
        """Creates an empty cache.

        Args:
            chunks: Client of the bulk instances.
        """
        self._chunks = chunks
        self._data_by_digest: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )

    async def read(self, ref: ChunkRef) -> list[RequestCompleted]:
        """Returns the results in a chunk.

        Raises:
            BulkUnavailableError: No bulk instance returned the chunk.
        """
        data = self._data_by_digest.get(ref.digest)
        if data is None:
            data = await self._chunks.fetch(ref.digest, ref.bulk_addresses)
        self._data_by_digest[ref.digest] = data
        self._data_by_digest.move_to_end(ref.digest)
        while len(self._data_by_digest) > MAX_CACHED_CHUNKS:
            self._data_by_digest.popitem(last=False)
        return decode_results(data)


class MovedResults:
    """Looks up moved results by key."""

    def __init__(self, cache: ResultChunkCache | None) -> None:
        """Creates an empty table.

        Args:
            cache: Reads the chunks; if None, reading a result fails.
        """
        self._cache = cache
        self._index = KeyIndex()

    def add(self, moved: ResultsMoved) -> None:
        """Adds the results of a chunk."""
        self._index.add(moved)

    def may_contain(self, key: RequestKey) -> bool:
        """Returns whether the result of a key may be in a chunk."""
        return bool(self._index.find(key_hash(*key)))

    async def read(
        self, key: RequestKey, since: float
    ) -> RequestCompleted | None:
        """Returns the first unexpired result of a key, or None.

        Args:
            key: Team and idempotency key.
            since: Results committed before this time have expired, in seconds
                since the Unix epoch.

        Raises:
            BulkUnavailableError: A chunk that may hold the result cannot be
                read now.
        """
        for ref in self._index.find(key_hash(*key)):
            for record in await self._read_chunk(ref):
                if (record.team, record.key) == key and record.time >= since:
                    return record
        return None

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields the references of all chunks."""
        return self._index.chunks()

    def remove_before(self, time: float) -> None:
        """Removes chunks whose newest result was committed before a time."""
        self._index.remove_before(time)

    async def _read_chunk(self, ref: ChunkRef) -> list[RequestCompleted]:
        try:
            if self._cache is not None:
                return await self._cache.read(ref)
        except BulkUnavailableError:
            pass
        raise BulkUnavailableError(
            "The bulk instances that hold the request's result do not answer.",
            retry_after_s=RETRY_AFTER_S,
        )
