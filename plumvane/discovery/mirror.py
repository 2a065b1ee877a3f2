"""Copy of the keys below a prefix of the store, kept current by watches."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import clock, events
from plumvane.errors import HistoryLostError, PlumvaneError
from plumvane.store.base import Record, Store

__all__ = ["WATCH_S", "Mirror"]

# Time of one watch, in seconds, below the platform's limit of 30; a connection
# that went silent is found by its probes.
WATCH_S = 25.0
# Time without an answer after which entries may have lapsed, in seconds; a
# connection that is reset is followed by a success well within it.
OUTAGE_S = 1.0
# Pause after a call that failed, in seconds: refused calls are charged too.
RETRY_S = 0.25


class Mirror:
    """Follows the keys below a prefix.

    Changes are passed on in the order of their revisions. A key that was
    deleted while the history was not seen is passed on as deleted.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        on_change: Callable[[Record], None],
        *,
        pause_s: float = 0.0,
        watch_s: Callable[[], float] = lambda: WATCH_S,
    ) -> None:
        """Creates an empty copy.

        Args:
            store: The store.
            prefix: Prefix of the keys.
            on_change: Told each changed or deleted record.
            pause_s: Seconds between a change and the next watch, so that
                frequent changes are read together.
            watch_s: Returns the longest time of the next watch, in seconds.
        """
        self.records_by_key: dict[str, Record] = {}
        self.loaded = anyio.Event()
        self.is_failing = True
        # Monotonic time at which the store was back after an outage.
        self.returned_at = float("-inf")
        # Monotonic time as of which the copy is complete.
        self.current_at = float("-inf")
        self._failing_since = clock.monotonic()
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._pause_s = pause_s
        self._watch_s = watch_s
        self._revision: int | None = None

    async def run(self) -> None:
        """Follows the prefix until it is cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                self._revision = None
                events.log(
                    events.Event.HISTORY_LOST,
                    prefix=self._prefix,
                    error=error.detail,
                )
            except PlumvaneError as error:
                self._take_failure(error)
                await anyio.sleep(RETRY_S)

    async def _step(self) -> None:
        if self._revision is None:
            await self._load()
        else:
            await self._watch(self._revision)

    async def _load(self) -> None:
        sent = clock.monotonic()
        found = await self._store.list(self._prefix)
        self._take_success()
        keys = {record.key for record in found.records}
        gone = [key for key in self.records_by_key if key not in keys]
        for key in gone:
            self._take(Record(key, b"", found.revision, deleted=True))
        for record in found.records:
            self._take(record)
        self._revision = found.revision
        self.current_at = sent
        self.loaded.set()

    async def _watch(self, revision: int) -> None:
        # After a failure a watch that waits would not tell when the store is
        # back, but only when something changes.
        wait_s = 0.0 if self.is_failing else self._watch_s()
        sent = clock.monotonic()
        found = await self._store.watch(
            self._prefix, revision, deadline=sent + wait_s
        )
        self._take_success()
        for record in found.records:
            self._take(record)
        self._revision = max(revision, found.revision)
        self.current_at = sent
        if found.records:
            await anyio.sleep(self._pause_s)

    def _take(self, record: Record) -> None:
        known = self.records_by_key.get(record.key)
        if known is not None and known.revision >= record.revision:
            return
        if record.deleted:
            if self.records_by_key.pop(record.key, None) is None:
                return
        else:
            self.records_by_key[record.key] = record
        self._on_change(record)

    def _take_success(self) -> None:
        if self.is_failing:
            now = clock.monotonic()
            down_s = now - self._failing_since
            if down_s >= OUTAGE_S:
                self.returned_at = now
            events.log(
                events.Event.VIEW_CURRENT,
                prefix=self._prefix,
                down_s=round(down_s, 2),
            )
        self.is_failing = False

    def _take_failure(self, error: PlumvaneError) -> None:
        if not self.is_failing:
            self._failing_since = clock.monotonic()
            events.log(
                events.Event.VIEW_STALE,
                prefix=self._prefix,
                revision=self._revision,
                error=error.detail,
            )
        self.is_failing = True
