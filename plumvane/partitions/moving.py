"""Moves results out of a partition's log into chunks at bulk instances."""

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

# Fewer bytes of results than this wait for more.
MIN_CHUNK_BYTES = 32 * 1024
MAX_CHUNK_BYTES = 512 * 1024
KEY_HASH_BYTES = 6

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[RequestCompleted])


class ResultChunks(Protocol):
    """Keeps chunks safe, as a `ChunkClient` does."""

    def available(self) -> bool:
        """Returns whether a chunk could be kept safe now."""

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        """Returns a chunk's digest and holders once all copies are safe.

        Raises:
            BulkUnavailableError: Too few instances took it.
        """

    async def fetch(self, digest: str, addresses: Iterable[str]) -> bytes:
        """Returns a chunk.

        Raises:
            BulkUnavailableError: No instance gave it.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class MovedChunk:
    """Results that a chunk holds.

    Attributes:
        reference: The record that takes their place in the log.
        records: The results.
        encoded: Their bytes in the log.
    """

    reference: ResultsMoved
    records: tuple[RequestCompleted, ...]
    encoded: tuple[bytes, ...]


class ResultMover:
    """Stores results of one partition as chunks."""

    def __init__(
        self,
        chunks: ResultChunks,
        on_moved: Callable[[ResultsMoved, Iterable[RequestCompleted]], None],
    ) -> None:
        """Creates the mover.

        Args:
            chunks: Where the chunks go.
            on_moved: Called with a reference that the log holds and the
                results that it stands for, if they were moved just now.
        """
        self._chunks = chunks
        self._on_moved = on_moved

    async def store(
        self, candidates: Iterable[msgspec.Raw]
    ) -> MovedChunk | None:
        """Stores the results among some records, if that is worth a chunk.

        Returns:
            What was stored, or None if there is too little or the bulk
            instances cannot keep it safe now.
        """
        if not self._chunks.available():
            return None
        records, encoded = _take_results(candidates)
        if sum(map(len, encoded)) < MIN_CHUNK_BYTES:
            return None
        data = _encoder.encode([msgspec.Raw(one) for one in encoded])
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

    def finish(self, moved: MovedChunk) -> None:
        """Takes in that the log holds the reference instead of the results."""
        self._on_moved(moved.reference, moved.records)

    def note(self, reference: ResultsMoved) -> None:
        """Takes in a reference that was found in the log."""
        self._on_moved(reference, ())


def key_hash(team: str, key: str) -> bytes:
    """Returns a short hash of a request's key."""
    return hashlib.blake2b(
        f"{team}\0{key}".encode(), digest_size=KEY_HASH_BYTES
    ).digest()


def decode_results(data: bytes) -> list[RequestCompleted]:
    """Reads a chunk of results."""
    return _decoder.decode(data)


def _take_results(
    candidates: Iterable[msgspec.Raw],
) -> tuple[list[RequestCompleted], list[bytes]]:
    """Returns as many results, oldest first, as fit into a chunk."""
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
