"""How often each prompt prefix came to one entry of late."""

from __future__ import annotations

import collections
import dataclasses
import math

import xxhash

from plumvane import clock

__all__ = ["RATE_S", "PrefixRates", "decayed"]

# Time constant of decayed counts.
RATE_S = 10.0
# Prefixes that are kept; the one that came longest ago is forgotten first.
MAX_PREFIXES = 4096


def decayed(count: float, age_s: float) -> float:
    """Returns what is left of a count after a time."""
    return count * math.exp(-age_s / RATE_S)


@dataclasses.dataclass(slots=True)
class _Count:
    """A decayed count and when it was taken, monotonic."""

    count: float
    time: float


class PrefixRates:
    """Decayed counts of requests by prefix, in bounded memory."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self._counts_by_digest: collections.OrderedDict[int, _Count] = (
            collections.OrderedDict()
        )

    def add(self, prefix: str) -> float:
        """Counts a request; returns the decayed count of its prefix."""
        digest = xxhash.xxh3_64_intdigest(prefix.encode())
        now = clock.monotonic()
        known = self._counts_by_digest.get(digest)
        if known is None:
            known = self._counts_by_digest[digest] = _Count(0.0, now)
            if len(self._counts_by_digest) > MAX_PREFIXES:
                self._counts_by_digest.popitem(last=False)
        known.count = decayed(known.count, now - known.time) + 1.0
        known.time = now
        self._counts_by_digest.move_to_end(digest)
        return known.count
