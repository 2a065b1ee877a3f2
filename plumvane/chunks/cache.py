"""LRU cache of chunks."""

from __future__ import annotations

import collections

import anyio

from plumvane.chunks.client import ChunkClient
from plumvane.peers.messages import ChunkRef

__all__ = ["ChunkCache"]

DEFAULT_CAPACITY = 4


class ChunkCache:
    """Read-through cache of chunks.

    Fetches are serialized, so concurrent requests for a chunk fetch it once.
    """

    def __init__(
        self, chunks: ChunkClient, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        """Creates an empty cache.

        Args:
            chunks: Client of the bulk instances.
            capacity: Maximum number of cached chunks.
        """
        self._chunks = chunks
        self._capacity = capacity
        self._lock = anyio.Lock()
        self._data_by_digest: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )

    async def fetch(self, ref: ChunkRef) -> bytes:
        """Returns a chunk.

        Raises:
            BulkUnavailableError: No bulk instance returned it.
        """
        async with self._lock:
            data = self._data_by_digest.get(ref.digest)
            if data is None:
                data = await self._chunks.fetch(ref.digest, ref.bulk_addresses)
                self._data_by_digest[ref.digest] = data
            self._data_by_digest.move_to_end(ref.digest)
            while len(self._data_by_digest) > self._capacity:
                self._data_by_digest.popitem(last=False)
            return data
