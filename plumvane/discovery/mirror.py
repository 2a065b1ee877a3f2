"""Local copy of the keys under a prefix, kept current by watches."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import clock, events
from plumvane.errors import HistoryLostError, PlumvaneError
from plumvane.store.base import Record, Store, WatchResult

__all__ = ["OUTAGE_S", "WATCH_S", "Mirror"]

# Longest wait of one watch, in seconds; the platform's limit is 30. TCP
# keep-alive probes detect a dead connection in the meantime.
WATCH_S = 25.0
# Shortest time without a response that counts as an outage, in which leased
# keys may have expired, in seconds. After a connection reset a call succeeds
# well within it.
OUTAGE_S = 1.0
# Delay after a failed call, in seconds; the platform also charges for refused
# calls.
RETRY_S = 0.25


class Mirror:
    """Replicates the keys under a prefix.

    Changes are reported by ascending revision. A key that was deleted during a
    gap in the watched history is reported as deleted.
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
            on_change: Called with each changed or deleted record.
            pause_s: Delay between a change and the next watch, in seconds, to
                read frequent changes in batches.
            watch_s: Returns the longest wait of the next watch, in seconds.
        """
        self.records_by_key: dict[str, Record] = {}
        self.loaded = anyio.Event()
        self.is_failing = True
        # Monotonic time at which the last outage of the store ended.
        self.recovered_at = float("-inf")
        # Monotonic time up to which the copy includes all changes.
        self.current_at = float("-inf")
        # Monotonic time at which the watch that waits was begun, or None.
        self.waiting_since: float | None = None
        self._failing_since = clock.monotonic()
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        # Delay between a change and the next watch, in seconds.
        self.pause_s = pause_s
        self._watch_s = watch_s
        self._revision: int | None = None
        self._waiting: anyio.CancelScope | None = None
        # Held while keys are read without waiting.
        self._reading = anyio.Lock()

    @property
    def revision(self) -> int | None:
        """The store's revision up to which changes are known, or None."""
        return self._revision

    async def run(self) -> None:
        """Watches the prefix until cancelled."""
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
                self._record_failure(error)
                await anyio.sleep(RETRY_S)

    async def _step(self) -> None:
        if self._revision is None:
            async with self._reading:
                await self._load()
        else:
            await self._watch(self._revision)

    async def confirm(self) -> None:
        """Makes sure that the copy includes all changes up to the call.

        Raises:
            PlumvaneError: The store does not respond.
        """
        asked_at = clock.monotonic()
        async with self._reading:
            if self.current_at < asked_at:
                await self._read_changes()

    async def _read_changes(self) -> None:
        if self._revision is None:
            await self._load()
            return
        sent_at = clock.monotonic()
        try:
            result = await self._store.watch(
                self._prefix, self._revision, deadline=sent_at
            )
        except HistoryLostError:
            await self._load()
            self.end_wait()
            return
        self._apply_changes(result, sent_at)
        if result.records:
            self.end_wait()

    async def _load(self) -> None:
        sent_at = clock.monotonic()
        result = await self._store.list(self._prefix)
        self._record_success()
        keys = {record.key for record in result.records}
        deleted_keys = [key for key in self.records_by_key if key not in keys]
        for key in deleted_keys:
            self._apply(Record(key, b"", result.revision, deleted=True))
        for record in result.records:
            self._apply(record)
        self._revision = result.revision
        self.current_at = max(self.current_at, sent_at)
        self.loaded.set()

    async def _watch(self, revision: int) -> None:
        # After a failure the first watch returns at once: one that waits would
        # reveal that the store responds only when a key changes.
        wait_s = 0.0 if self.is_failing else self._watch_s()
        sent_at = clock.monotonic()
        result: WatchResult | None = None
        with anyio.CancelScope() as self._waiting:
            self.waiting_since = sent_at
            try:
                result = await self._store.watch(
                    self._prefix, revision, deadline=sent_at + wait_s
                )
            finally:
                self.waiting_since = None
        if result is None:
            return
        self._apply_changes(result, sent_at)
        if result.records:
            await anyio.sleep(self.pause_s)

    def _apply_changes(self, result: WatchResult, sent_at: float) -> None:
        """Applies the changes that a watch has reported.

        Args:
            result: Response to the watch.
            sent_at: Monotonic time in seconds at which it was sent.
        """
        self._record_success()
        # Another call may have reported some of them meanwhile.
        known_revision = self._revision or 0
        for record in result.records:
            if record.revision > known_revision:
                self._apply(record)
        self._revision = max(known_revision, result.revision)
        self.current_at = max(self.current_at, sent_at)

    def end_wait(self) -> None:
        """Begins a new watch in place of one that waits.

        The response to a watch that has not reported a change that is known
        otherwise may be lost.
        """
        if self.waiting_since is not None and self._waiting is not None:
            self._waiting.cancel()

    def _apply(self, record: Record) -> None:
        known = self.records_by_key.get(record.key)
        if known is not None and known.revision >= record.revision:
            return
        if record.deleted:
            if self.records_by_key.pop(record.key, None) is None:
                return
        else:
            self.records_by_key[record.key] = record
        try:
            self._on_change(record)
        except Exception as error:
            # A fault in one record must not end the following of all others.
            events.log(
                events.Event.RECORD_FAULT,
                key=record.key,
                revision=record.revision,
                error=repr(error),
            )

    def _record_success(self) -> None:
        if self.is_failing:
            now = clock.monotonic()
            down_s = now - self._failing_since
            if down_s >= OUTAGE_S:
                self.recovered_at = now
            events.log(
                events.Event.VIEW_CURRENT,
                prefix=self._prefix,
                down_s=round(down_s, 2),
            )
        self.is_failing = False

    def _record_failure(self, error: PlumvaneError) -> None:
        if not self.is_failing:
            self._failing_since = clock.monotonic()
            events.log(
                events.Event.VIEW_STALE,
                prefix=self._prefix,
                revision=self._revision,
                error=error.detail,
            )
        self.is_failing = True
