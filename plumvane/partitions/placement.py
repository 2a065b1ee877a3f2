"""Assignment of partitions to instances."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from plumvane import hashing

__all__ = ["assign", "successors"]


def assign(partitions: int, names: Iterable[str]) -> dict[int, str]:
    """Returns the preferred owner of each partition.

    The result depends only on the arguments, so all instances that know the
    same names agree. No instance gets more than its equal share, rounded up.

    Args:
        partitions: Number of partitions.
        names: Names of the instances; at least one.
    """
    candidates = sorted(set(names))
    max_count = math.ceil(partitions / len(candidates))
    counts_by_name: Counter[str] = Counter()
    owners_by_partition: dict[int, str] = {}
    for number in range(partitions):
        for name in _ranked(number, candidates):
            if counts_by_name[name] < max_count:
                counts_by_name[name] += 1
                owners_by_partition[number] = name
                break
    return owners_by_partition


def successors(
    partition: int, partitions: int, names: Iterable[str]
) -> list[str]:
    """Returns the candidates for a partition's ownership, most preferred first.

    Args:
        partition: Number of the partition.
        partitions: Number of partitions.
        names: Names of the instances.
    """
    candidates = set(names)
    if not candidates:
        return []
    preferred = assign(partitions, candidates)[partition]
    rest = _ranked(partition, candidates - {preferred})
    return [preferred, *rest]


def _ranked(partition: int, names: Iterable[str]) -> list[str]:
    return hashing.rank(f"partition-{partition}", names)
