"""Results of one partition, by key."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import anyio

from plumvane.partitions.records import RequestCompleted
from plumvane.requests.claims import RequestKey

__all__ = ["ResultTable"]

# Results looked at for their age in one sweep.
SWEEP_RESULTS = 10_000


class ResultTable:
    """Keeps the first result of each key, and which ones are not stored."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._results_by_key: dict[RequestKey, RequestCompleted] = {}
        self._stored_by_key: dict[RequestKey, anyio.Event] = {}

    def __len__(self) -> int:
        return len(self._results_by_key)

    def get(self, key: RequestKey) -> RequestCompleted | None:
        """Returns the result of a key, or None."""
        return self._results_by_key.get(key)

    def add_stored(self, record: RequestCompleted) -> None:
        """Adds a result that is in the store; the first one stands."""
        self._results_by_key.setdefault((record.team, record.key), record)

    def hold(self, record: RequestCompleted) -> None:
        """Adds a result that is not in the store yet."""
        key = (record.team, record.key)
        self._results_by_key[key] = record
        self._stored_by_key[key] = anyio.Event()

    def mark_stored(self, key: RequestKey) -> None:
        """Takes in that the store holds the result of a key."""
        stored = self._stored_by_key.pop(key, None)
        if stored is not None:
            stored.set()

    def is_stored(self, key: RequestKey) -> bool:
        """Returns whether the store holds the result of a key that has one."""
        return key not in self._stored_by_key

    async def stored(self, key: RequestKey) -> None:
        """Waits until the store holds the result of a key."""
        stored = self._stored_by_key.get(key)
        if stored is not None:
            await stored.wait()

    def release_waiters(self) -> None:
        """Wakes everyone who waits; the results stay as they are."""
        for stored in self._stored_by_key.values():
            stored.set()

    def drop(self, results: Iterable[RequestCompleted]) -> None:
        """Drops stored results that are kept elsewhere now."""
        for record in results:
            key = (record.team, record.key)
            held = self._results_by_key.get(key)
            if held is None or key in self._stored_by_key:
                continue
            if held.request_id == record.request_id:
                del self._results_by_key[key]

    def forget_before(self, time: float) -> int:
        """Forgets stored results that were committed before a time.

        Args:
            time: Seconds since the Unix epoch.

        Returns:
            How many were forgotten.
        """
        # Oldest first, but for results that another entry held for a while.
        oldest = itertools.islice(self._results_by_key.items(), SWEEP_RESULTS)
        expired = [
            key
            for key, record in oldest
            if record.time < time and key not in self._stored_by_key
        ]
        for key in expired:
            del self._results_by_key[key]
        return len(expired)
