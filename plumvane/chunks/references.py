"""Decides when unreferenced chunks may be removed."""

from __future__ import annotations

from plumvane import clock

__all__ = ["RETENTION_S", "ReferenceTracker"]

# A chunk is removed once no owner has queried it, and it has not been written,
# for this long.
RETENTION_S = 7 * 86_400.0
# Time within which the owners query every chunk that they reference.
QUERY_CYCLE_S = 3600.0
# If no owner sends a query for longer than this, that time starts again.
MAX_QUERY_GAP_S = 600.0


class ReferenceTracker:
    """Tracks whether the owners' queries show which chunks are referenced.

    Each owner periodically queries all bulk instances for its chunks, to find
    missing replicas. An instance that has received no queries, after a start or
    during a network partition, cannot tell which chunks are referenced.
    """

    def __init__(self) -> None:
        """Creates the state of an instance that has received no query."""
        self._last_query_at = float("-inf")
        self._queried_since = float("-inf")

    def record_query(self) -> None:
        """Records that an owner has queried chunks."""
        now = clock.monotonic()
        if now - self._last_query_at > MAX_QUERY_GAP_S:
            self._queried_since = now
        self._last_query_at = now

    def removal_cutoff(self) -> float | None:
        """Returns the time before which a chunk's last reference must be.

        Returns:
            Seconds since the Unix epoch, or None if no chunk may be removed
            now.
        """
        now = clock.monotonic()
        is_current = now - self._last_query_at <= MAX_QUERY_GAP_S
        if not is_current or now - self._queried_since < QUERY_CYCLE_S:
            return None
        return clock.wall() - RETENTION_S
