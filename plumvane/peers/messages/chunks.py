"""Messages for chunks of bulk data."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from plumvane.peers.messages.base import Message

__all__ = [
    "ChunkData",
    "ChunkRef",
    "ChunkStored",
    "ChunksFound",
    "CopyChunk",
    "FetchChunk",
    "FindChunks",
    "StoreChunk",
]


class StoreChunk(Message, frozen=True, tag="putchunk"):
    """Asks a bulk instance to store a chunk."""

    digest: str
    data: bytes


class ChunkStored(Message, frozen=True, tag="chunkok"):
    """Confirms that the chunk is on disk."""

    digest: str


class FetchChunk(Message, frozen=True, tag="getchunk"):
    """Asks a bulk instance for the content of a chunk."""

    digest: str


class ChunkData(Message, frozen=True, tag="chunk"):
    """Content of a chunk."""

    data: bytes


class FindChunks(Message, frozen=True, tag="findchunks"):
    """Asks a bulk instance which chunks it has."""

    digests: tuple[str, ...]


class ChunksFound(Message, frozen=True, tag="chunksfound"):
    """Lists which of the requested chunks are on disk."""

    digests: tuple[str, ...]


class CopyChunk(Message, frozen=True, tag="copychunk"):
    """Asks a bulk instance to copy a chunk from another one.

    Attributes:
        digest: SHA-256 of the chunk, in hex.
        from_addresses: Peer addresses of bulk instances that have a copy.
    """

    digest: str
    from_addresses: tuple[str, ...]


class ChunkRef(msgspec.Struct, frozen=True):
    """Reference to the chunk that stores some items of a job.

    Attributes:
        digest: SHA-256 of the chunk, in hex.
        first_item: Index in the job of the first item of the chunk.
        items: Number of items in the chunk.
        bulk_addresses: Peer addresses of the bulk instances that have a copy.
        indexes: Indexes of the items; empty if they are consecutive from
            `first_item` on.
    """

    digest: str
    first_item: int
    items: int
    bulk_addresses: tuple[str, ...]
    indexes: tuple[int, ...] = ()

    def covered(self) -> Iterable[int]:
        """Returns the indexes of the items in the chunk."""
        return self.indexes or range(
            self.first_item, self.first_item + self.items
        )
