"""Moves results from a partition's log to chunks at bulk instances."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from plumvane.errors import BulkUnavailableError
from plumvane.partitions.records import RequestCompleted, ResultsMoved
from plumvane.partitions.segments import decode_record
from plumvane.peers.messages import ChunkRef

__all__ = [
    "KEY_HASH_BYTES",
    "MovedChunk",
    "ResultChunks",
    "ResultMover",
    "decode_results",
    "key_hash",
]

# Smallest chunk, in bytes; fewer results than this stay in the log.
MIN_CHUNK_BYTES = 32 * 1024
# Largest chunk, in bytes, unless it holds a single result.
MAX_CHUNK_BYTES = 512 * 1024
# Length of the hash of a request's key, in bytes.
KEY_HASH_BYTES = 6

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[RequestCompleted])


class ResultChunks(Protocol):
    """Replicated chunk storage; `ChunkClient` implements it."""

    def available(self) -> bool:
        """Returns whether enough bulk instances are live to store a chunk."""

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        """Stores all copies of a chunk.

        Returns:
            The chunk's digest and the addresses of the bulk instances that
            hold it.

        Raises:
            BulkUnavailableError: Too few bulk instances accepted the chunk.
        """

    async def fetch(self, digest: str, addresses: Iterable[str]) -> bytes:
        """Returns the data of a chunk.

        Raises:
            BulkUnavailableError: No bulk instance returned the chunk.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class MovedChunk:
    """Results that were stored as a chunk.

    Attributes:
        reference: Record that replaces the results in the log.
        records: Results in the chunk.
        encoded: Encoded results as they appear in the log.
    """

    reference: ResultsMoved
    records: tuple[RequestCompleted, ...]
    encoded: tuple[bytes, ...]


class ResultMover:
    """Moves the results of one partition to chunks."""

    def __init__(
        self,
        chunks: ResultChunks,
        on_moved: Callable[[ResultsMoved, Iterable[RequestCompleted]], None],
    ) -> None:
        """Creates the mover.

        Args:
            chunks: Storage for the chunks.
            on_moved: Called with each reference in the log and the results that
                it replaces; the results are empty if the reference was found
                in the log rather than written by this mover.
        """
        self._chunks = chunks
        self._on_moved = on_moved

    async def store(
        self, candidates: Iterable[msgspec.Raw]
    ) -> MovedChunk | None:
        """Stores the results among the given records as one chunk.

        Returns:
            The stored chunk, or None if the results are smaller than
            `MIN_CHUNK_BYTES` or too few bulk instances are available.
        """
        if not self._chunks.available():
            return None
        records, encoded = _select_results(candidates)
        if sum(map(len, encoded)) < MIN_CHUNK_BYTES:
            return None
        data = _encoder.encode(
            [msgspec.Raw(encoded_record) for encoded_record in encoded]
        )
        try:
            digest, addresses = await self._chunks.store(data)
        except BulkUnavailableError:
            return None
        reference = ResultsMoved(
            ChunkRef(digest, 0, len(records), addresses),
            b"".join(key_hash(r.team, r.key) for r in records),
            max(record.time for record in records),
        )
        return MovedChunk(reference, tuple(records), tuple(encoded))

    def report_moved(self, moved: MovedChunk) -> None:
        """Reports that a reference has replaced its results in the log."""
        self._on_moved(moved.reference, moved.records)

    def report_found(self, reference: ResultsMoved) -> None:
        """Reports a reference that was found in the log."""
        self._on_moved(reference, ())


def key_hash(team: str, key: str) -> bytes:
    """Returns a short hash of a team's request key."""
    return hashlib.blake2b(
        f"{team}\0{key}".encode(), digest_size=KEY_HASH_BYTES
    ).digest()


def decode_results(data: bytes) -> list[RequestCompleted]:
    """Decodes the results in a chunk."""
    return _decoder.decode(data)


def _select_results(
    candidates: Iterable[msgspec.Raw],
) -> tuple[list[RequestCompleted], list[bytes]]:
    """Selects the oldest results that fit into one chunk."""
    records: list[RequestCompleted] = []
    encoded: list[bytes] = []
    size = 0
    for candidate in candidates:
        record = decode_record(candidate)
        if not isinstance(record, RequestCompleted):
            continue
        data = bytes(candidate)
        size += len(data)
        if records and size > MAX_CHUNK_BYTES:
            break
        records.append(record)
        encoded.append(data)
    return records, encoded
