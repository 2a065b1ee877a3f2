"""Messages on bulk chunks."""

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
    """Asks a bulk instance to keep a chunk."""

    digest: str
    data: bytes


class ChunkStored(Message, frozen=True, tag="chunkok"):
    """The chunk is on the disk."""

    digest: str


class FetchChunk(Message, frozen=True, tag="getchunk"):
    """Asks a bulk instance for a chunk."""

    digest: str


class ChunkData(Message, frozen=True, tag="chunk"):
    """A chunk's bytes."""

    data: bytes


class FindChunks(Message, frozen=True, tag="findchunks"):
    """Asks a bulk instance which chunks it has."""

    digests: tuple[str, ...]


class ChunksFound(Message, frozen=True, tag="chunksfound"):
    """The chunks asked for that are on the disk."""

    digests: tuple[str, ...]


class CopyChunk(Message, frozen=True, tag="copychunk"):
    """Asks a bulk instance to fetch a chunk from another and keep it.

    Attributes:
        digest: SHA-256 of the chunk, in hex.
        from_addresses: Bulk instances that hold it.
    """

    digest: str
    from_addresses: tuple[str, ...]


class ChunkRef(msgspec.Struct, frozen=True):
    """Where a run of items is kept.

    Attributes:
        digest: SHA-256 of the chunk, in hex.
        first_item: Index of its first item in the job.
        items: How many items it holds.
        bulk_addresses: Bulk instances that hold a copy.
        indexes: Items that it holds, if not all from `first_item` on.
    """

    digest: str
    first_item: int
    items: int
    bulk_addresses: tuple[str, ...]
    indexes: tuple[int, ...] = ()

    def covered(self) -> Iterable[int]:
        """Returns the indexes of the items that it holds."""
        return self.indexes or range(
            self.first_item, self.first_item + self.items
        )
