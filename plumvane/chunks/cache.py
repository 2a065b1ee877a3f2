"""A few chunks that were read last."""

from __future__ import annotations

import collections

import anyio

from plumvane.chunks.client import ChunkClient
from plumvane.peers.messages import ChunkRef

__all__ = ["ChunkCache"]

CHUNKS = 4


class ChunkCache:
    """Reads chunks through a cache, each at most once at a time."""

    def __init__(self, chunks: ChunkClient, size: int = CHUNKS) -> None:
        """Creates an empty cache.

        Args:
            chunks: Client of the bulk instances.
            size: How many chunks it keeps.
        """
        self._chunks = chunks
        self._size = size
        self._lock = anyio.Lock()
        self._data_by_digest: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )

    async def fetch(self, ref: ChunkRef) -> bytes:
        """Returns a chunk.

        Raises:
            BulkUnavailableError: No instance gave it.
        """
        async with self._lock:
            data = self._data_by_digest.get(ref.digest)
            if data is None:
                data = await self._chunks.fetch(ref.digest, ref.bulk_addresses)
                self._data_by_digest[ref.digest] = data
            self._data_by_digest.move_to_end(ref.digest)
            while len(self._data_by_digest) > self._size:
                self._data_by_digest.popitem(last=False)
            return data
