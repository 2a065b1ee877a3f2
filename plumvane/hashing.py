"""Stable hashing of keys to partitions and of partitions to instances."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

__all__ = ["PARTITIONS", "partition_of", "rank"]

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
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{item}\0{name}".encode()),
        reverse=True,
    )
