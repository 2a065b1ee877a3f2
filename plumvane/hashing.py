"""Stable hashing of keys to partitions and of partitions to instances."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

import xxhash

__all__ = ["PARTITIONS", "partition_of", "rank", "top_ranked"]

# Stored keys are placed by this number, so it must not change during the
# lifetime of a fleet's store.
PARTITIONS = 16


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
