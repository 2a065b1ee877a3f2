"""Stable hashing of keys to partitions and of partitions to instances."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

import xxhash

__all__ = ["PARTITIONS", "partition_of", "rank", "top_ranked"]

# Fixed for the life of a fleet's store.
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
    """Returns names by rendezvous hashing, the most preferred first.

    Args:
        item: What is placed.
        names: Where it may be placed.
    """
    return sorted(names, key=_score_of(item), reverse=True)


def top_ranked(item: str, names: Iterable[str], number: int) -> list[str]:
    """Returns the first names of `rank`.

    Args:
        item: What is placed.
        names: Where it may be placed.
        number: How many names at most.
    """
    return heapq.nlargest(number, names, key=_score_of(item))


def _score_of(item: str) -> Callable[[str], int]:
    prefix = f"{item}\0".encode()
    return lambda name: xxhash.xxh3_64_intdigest(prefix + name.encode())
