"""Which instance should own which partition."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from plumvane import hashing

__all__ = ["assign", "successors"]


def assign(partitions: int, names: Iterable[str]) -> dict[int, str]:
    """Returns the owner that each partition should have.

    Every instance that knows the same names gets the same answer. No
    instance has more than its share, rounded up.

    Args:
        partitions: Number of partitions.
        names: Names of the instances; at least one.
    """
    candidates = sorted(set(names))
    share = math.ceil(partitions / len(candidates))
    counts: Counter[str] = Counter()
    owners_by_partition: dict[int, str] = {}
    for number in range(partitions):
        for name in _ranked(number, candidates):
            if counts[name] < share:
                counts[name] += 1
                owners_by_partition[number] = name
                break
    return owners_by_partition


def successors(
    partition: int, partitions: int, names: Iterable[str]
) -> list[str]:
    """Returns who may take a partition, the most preferred first.

    Args:
        partition: Number of the partition.
        partitions: Number of partitions.
        names: Names of the instances.
    """
    candidates = set(names)
    if not candidates:
        return []
    first = assign(partitions, candidates)[partition]
    rest = _ranked(partition, candidates - {first})
    return [first, *rest]


def _ranked(partition: int, names: Iterable[str]) -> list[str]:
    return hashing.rank(f"partition-{partition}", names)
