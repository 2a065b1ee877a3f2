"""In-memory store for tests and embedding applications."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Mapping, Sequence

import anyio

from plumvane import clock
from plumvane.errors import (
    BodyTooLargeError,
    ConflictError,
    HistoryLostError,
    NotFoundError,
)
from plumvane.store.base import (
    ABSENT,
    MAX_VALUE_BYTES,
    Lease,
    Record,
    TransactionalStore,
    WatchResult,
    Write,
)

__all__ = ["MemoryStore"]


@dataclasses.dataclass(slots=True)
class _LeaseState:
    """State of a granted lease.

    Attributes:
        ttl_s: Time to live after the grant and each renewal, in seconds.
        deadline: Monotonic time in seconds at which the lease expires.
        keys: Keys attached to the lease.
    """

    ttl_s: float
    deadline: float
    keys: set[str]


class MemoryStore(TransactionalStore):
    """Holds records and leases in dictionaries of one process."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self._records_by_key: dict[str, Record] = {}
        self._leases_by_id: dict[str, _LeaseState] = {}
        self._lease_ids_by_key: dict[str, str] = {}
        self._revision = 0
        self._compacted_revision = 0
        self._lease_numbers = itertools.count(1)
        self._changed = anyio.Event()

    async def get(self, key: str) -> Record | None:
        """See base class."""
        self.expire_leases()
        record = self._records_by_key.get(key)
        return None if record is None or record.deleted else record

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """See base class."""
        self.expire_leases()
        records = [
            record
            for key, record in self._records_by_key.items()
            if key.startswith(prefix) and key > after_key and not record.deleted
        ]
        records.sort(key=lambda record: record.key)
        return WatchResult(tuple(records[:limit]), self._revision)

    async def transact(
        self, writes: Sequence[Write], *, expected_by_key: Mapping[str, int]
    ) -> int:
        """See base class."""
        self.expire_leases()
        for write in writes:
            self._check_write(write)
        for key, expected in expected_by_key.items():
            self._check_revision(key, expected)
        revision = self._revision + 1
        for write in writes:
            self._apply(write, revision)
        return revision

    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """See base class."""
        while True:
            self.expire_leases()
            if not self._compacted_revision <= after_revision <= self._revision:
                raise HistoryLostError(
                    f"The store has no history since revision {after_revision}."
                )
            changes = self._changes_after(prefix, after_revision)
            if changes or clock.monotonic() >= deadline:
                return WatchResult(changes, self._revision)
            wake_at = min(deadline, self._next_expiry())
            with anyio.move_on_after(max(0.0, wake_at - clock.monotonic())):
                await self._changed.wait()

    async def grant_lease(self, ttl_s: float) -> Lease:
        """See base class."""
        lease_id = f"lease-{next(self._lease_numbers)}"
        deadline = clock.monotonic() + ttl_s
        self._leases_by_id[lease_id] = _LeaseState(ttl_s, deadline, set())
        return Lease(lease_id, deadline)

    async def renew_lease(self, lease_id: str) -> Lease:
        """See base class."""
        self.expire_leases()
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            raise NotFoundError(f"Lease {lease_id} has expired.")
        lease.deadline = clock.monotonic() + lease.ttl_s
        return Lease(lease_id, lease.deadline)

    async def revoke_lease(self, lease_id: str) -> None:
        """See base class."""
        lease = self._leases_by_id.pop(lease_id, None)
        if lease is not None:
            self._delete_keys(lease.keys)

    def expire_leases(self) -> None:
        """Deletes the leases whose deadline has passed, with their keys."""
        now = clock.monotonic()
        expired = [
            i for i, h in self._leases_by_id.items() if h.deadline <= now
        ]
        for lease_id in expired:
            self._delete_keys(self._leases_by_id.pop(lease_id).keys)

    def forget_history(self) -> None:
        """Drops the record of deletions; older watches must list again."""
        for key, record in list(self._records_by_key.items()):
            if record.deleted:
                del self._records_by_key[key]
        self._compacted_revision = self._revision
        self._changed.set()
        self._changed = anyio.Event()

    def _check_write(self, write: Write) -> None:
        if write.value is not None and len(write.value) > MAX_VALUE_BYTES:
            raise BodyTooLargeError(
                f"The value of {write.key} has {len(write.value)} bytes; "
                f"the limit is {MAX_VALUE_BYTES}."
            )
        lease_id = write.lease_id
        if lease_id is not None and lease_id not in self._leases_by_id:
            raise NotFoundError(f"Lease {lease_id} has expired.")

    def _apply(self, write: Write, revision: int | None = None) -> int:
        """Applies a write at the given revision, by default the next one."""
        self._detach_lease(write.key)
        if write.value is None:
            record = self._records_by_key.get(write.key)
            if record is None or record.deleted:
                return self._revision
            return self._write(write.key, b"", deleted=True, revision=revision)
        if write.lease_id is not None:
            self._leases_by_id[write.lease_id].keys.add(write.key)
            self._lease_ids_by_key[write.key] = write.lease_id
        return self._write(
            write.key, write.value, deleted=False, revision=revision
        )

    def _check_revision(self, key: str, expected: int | None) -> None:
        if expected is None:
            return
        record = self._records_by_key.get(key)
        revision = ABSENT
        if record is not None and not record.deleted:
            revision = record.revision
        if revision != expected:
            raise ConflictError(
                f"{key} is at revision {revision}, not {expected}."
            )

    def _detach_lease(self, key: str) -> None:
        lease_id = self._lease_ids_by_key.pop(key, None)
        if lease_id in self._leases_by_id:
            self._leases_by_id[lease_id].keys.discard(key)

    def _delete_keys(self, keys: set[str]) -> None:
        for key in keys:
            self._lease_ids_by_key.pop(key, None)
            self._write(key, b"", deleted=True)

    def _write(
        self,
        key: str,
        value: bytes,
        *,
        deleted: bool,
        revision: int | None = None,
    ) -> int:
        self._revision = revision or self._revision + 1
        self._records_by_key[key] = Record(key, value, self._revision, deleted)
        self._changed.set()
        self._changed = anyio.Event()
        return self._revision

    def _changes_after(
        self, prefix: str, after_revision: int
    ) -> tuple[Record, ...]:
        if after_revision >= self._revision:
            return ()
        records = [
            record
            for key, record in self._records_by_key.items()
            if record.revision > after_revision and key.startswith(prefix)
        ]
        return tuple(sorted(records, key=lambda record: record.revision))

    def _next_expiry(self) -> float:
        return min(
            (lease.deadline for lease in self._leases_by_id.values()),
            default=float("inf"),
        )
