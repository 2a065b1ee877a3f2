"""Recent request counts by prompt prefix at one entry."""

from __future__ import annotations

import collections
import dataclasses
import math

import xxhash

from plumvane import clock

__all__ = ["DECAY_TIME_CONSTANT_S", "PrefixCounts", "decay"]

# Time constant of the exponential decay of counts, in seconds.
DECAY_TIME_CONSTANT_S = 10.0
# Largest number of prefixes kept; the least recently used is evicted first.
MAX_PREFIXES = 4096


def decay(count: float, age_s: float) -> float:
    """Returns a count after exponential decay over a time in seconds."""
    return count * math.exp(-age_s / DECAY_TIME_CONSTANT_S)


@dataclasses.dataclass(slots=True)
class _Count:
    """A decayed count and the monotonic time of its last update."""

    count: float
    time: float


class PrefixCounts:
    """Decayed request counts by prefix, in bounded memory."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self._counts_by_digest: collections.OrderedDict[int, _Count] = (
            collections.OrderedDict()
        )

    def add(self, prefix: str) -> float:
        """Counts a request; returns the decayed count of its prefix."""
        digest = xxhash.xxh3_64_intdigest(prefix.encode())
        now = clock.monotonic()
        entry = self._counts_by_digest.get(digest)
        if entry is None:
            entry = self._counts_by_digest[digest] = _Count(0.0, now)
            if len(self._counts_by_digest) > MAX_PREFIXES:
                self._counts_by_digest.popitem(last=False)
        entry.count = decay(entry.count, now - entry.time) + 1.0
        entry.time = now
        self._counts_by_digest.move_to_end(digest)
        return entry.count
