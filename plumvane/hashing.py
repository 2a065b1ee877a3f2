"""Stable hashing: keys to partitions, partitions to instances, and requests."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Callable, Iterable

import xxhash

__all__ = [
    "PARTITIONS",
    "key_digest",
    "partition_of",
    "rank",
    "request_fingerprint",
    "top_ranked",
]

# Stored keys are placed by this number, so it must not change during the
# lifetime of a fleet's store.
PARTITIONS = 16
# Size of a request's fingerprint, in bytes.
FINGERPRINT_BYTES = 12
# Size of the digest of a caller's key, in bytes.
KEY_DIGEST_BYTES = 16


def partition_of(team: str, key: str, partitions: int = PARTITIONS) -> int:
    """Returns the partition of a team's key.

    Args:
        team: Name of the team.
        key: Idempotency key or job id.
        partitions: Number of partitions.
    """
    return xxhash.xxh3_64_intdigest(f"{team}\0{key}".encode()) % partitions


def rank(item: str, names: Iterable[str]) -> list[str]:
    """Returns names ordered by rendezvous hashing, highest score first.

    Args:
        item: Identifier of the item to place.
        names: Names of the candidates.
    """
    return sorted(names, key=_make_score_key(item), reverse=True)


def top_ranked(item: str, names: Iterable[str], number: int) -> list[str]:
    """Returns the first `number` names of `rank`.

    Args:
        item: Identifier of the item to place.
        names: Names of the candidates.
        number: Maximum number of names to return.
    """
    return heapq.nlargest(number, names, key=_make_score_key(item))


def _make_score_key(item: str) -> Callable[[str], int]:
    prefix = f"{item}\0".encode()
    return lambda name: xxhash.xxh3_64_intdigest(prefix + name.encode())


def key_digest(key: bytes) -> bytes:
    """Returns a digest of a caller's key, from which it cannot be found.

    Args:
        key: Key as the caller sends it.
    """
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


def request_fingerprint(*fields: bytes) -> str:
    """Returns what identifies a request that comes again.

    The hash is cryptographic, so that no caller can make a request with the
    fingerprint of another caller's.

    Args:
        fields: What both requests have in common.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
