"""Results of one partition, by key."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import anyio

from plumvane.partitions.records import RequestCompleted
from plumvane.requests.claims import RequestKey

__all__ = ["ResultTable"]

# Most results checked for expiry in one sweep.
RESULTS_PER_SWEEP = 10_000


class ResultTable:
    """Holds the first result of each key and tracks which ones are stored."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._results_by_key: dict[RequestKey, RequestCompleted] = {}
        self._stored_events_by_key: dict[RequestKey, anyio.Event] = {}

    def __len__(self) -> int:
        return len(self._results_by_key)

    def get(self, key: RequestKey) -> RequestCompleted | None:
        """Returns the result of a key, or None."""
        return self._results_by_key.get(key)

    def add_stored(self, record: RequestCompleted) -> None:
        """Adds a stored result, unless the key has a result already."""
        self._results_by_key.setdefault((record.team, record.key), record)

    def add_unstored(self, record: RequestCompleted) -> None:
        """Adds a result that is not in the store yet."""
        key = (record.team, record.key)
        self._results_by_key[key] = record
        self._stored_events_by_key[key] = anyio.Event()

    def mark_stored(self, key: RequestKey) -> None:
        """Marks the result of a key as stored and wakes its waiters."""
        stored = self._stored_events_by_key.pop(key, None)
        if stored is not None:
            stored.set()

    def is_stored(self, key: RequestKey) -> bool:
        """Returns whether the existing result of a key is stored."""
        return key not in self._stored_events_by_key

    async def wait_stored(self, key: RequestKey) -> None:
        """Waits until the result of a key is stored."""
        stored = self._stored_events_by_key.get(key)
        if stored is not None:
            await stored.wait()

    def release_waiters(self) -> None:
        """Wakes all waiters; unstored results stay marked as unstored."""
        for stored in self._stored_events_by_key.values():
            stored.set()

    def remove(self, results: Iterable[RequestCompleted]) -> None:
        """Removes stored results that were moved to a chunk."""
        for record in results:
            key = (record.team, record.key)
            existing = self._results_by_key.get(key)
            if existing is None or key in self._stored_events_by_key:
                continue
            if existing.request_id == record.request_id:
                del self._results_by_key[key]

    def remove_before(self, time: float) -> int:
        """Removes stored results that were committed before a time.

        Args:
            time: Seconds since the Unix epoch.

        Returns:
            Number of removed results.
        """
        # In order of age, except for results that another entry held for some
        # time.
        oldest = itertools.islice(
            self._results_by_key.items(), RESULTS_PER_SWEEP
        )
        expired = [
            key
            for key, record in oldest
            if record.time < time and key not in self._stored_events_by_key
        ]
        for key in expired:
            del self._results_by_key[key]
        return len(expired)
