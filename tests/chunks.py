"""In-memory fake of the bulk instances."""

from __future__ import annotations

from collections.abc import Iterable

from plumvane.chunks.folder import digest_of
from plumvane.errors import BulkUnavailableError
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.moving import (
    ResultMover,
    decode_results,
    key_hash,
)
from plumvane.partitions.records import (
    LogRecord,
    RequestCompleted,
    ResultsMoved,
)

__all__ = ["MemoryChunks"]


class MemoryChunks:
    """Stores chunks in memory behind the interface of `ChunkClient`.

    Attributes:
        live_instances: Number of live bulk instances.
        fail_writes: Whether `store` fails because only one copy is written.
        data_by_digest: Chunks that were stored.
        reads: Number of fetches.
    """

    def __init__(self) -> None:
        self.live_instances = 2
        self.fail_writes = False
        self.data_by_digest: dict[str, bytes] = {}
        self.reads = 0

    def available(self) -> bool:
        return self.live_instances >= 2

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        if self.fail_writes:
            raise BulkUnavailableError(
                "1 of 2 bulk instances stored the chunk."
            )
        self.data_by_digest[digest_of(data)] = data
        return digest_of(data), ("bulk-0", "bulk-1")

    async def fetch(self, digest: str, addresses: Iterable[str]) -> bytes:
        self.reads += 1
        if not self.live_instances or digest not in self.data_by_digest:
            raise BulkUnavailableError(f"No bulk instance gave {digest}.")
        return self.data_by_digest[digest]

    def attach_to(self, log: PartitionLog) -> None:
        """Makes a log without a ledger move its results here."""
        log.mover = ResultMover(self, lambda moved, results: None)

    def read(self, moved: ResultsMoved) -> list[RequestCompleted]:
        """Returns the results that a record refers to, after checking it."""
        found = decode_results(self.data_by_digest[moved.chunk.digest])
        hashes = [key_hash(record.team, record.key) for record in found]
        assert moved.key_hashes == b"".join(hashes)
        assert moved.chunk.items == len(found)
        return found

    def expand(self, records: list[LogRecord]) -> list[LogRecord]:
        """Returns the records with references replaced by their results."""
        expanded: list[LogRecord] = []
        for record in records:
            if isinstance(record, ResultsMoved):
                expanded.extend(self.read(record))
            else:
                expanded.append(record)
        return expanded
