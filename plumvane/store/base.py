"""Interface of the platform's key-value store."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import AsyncIterator, Mapping, Sequence

__all__ = [
    "ABSENT",
    "MAX_TRANSACTION_ENTRIES",
    "MAX_VALUE_BYTES",
    "Lease",
    "Record",
    "Store",
    "TransactionalStore",
    "WatchResult",
    "Write",
    "list_pages",
]

# Expected revision of a key that must not exist yet.
ABSENT = 0
# Most writes and conditions of one transaction, the platform's limit.
MAX_TRANSACTION_ENTRIES = 32
# The platform's limit on one value.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One key's value.

    Attributes:
        key: The key.
        value: The value, at most 1 MB; empty if the key was deleted.
        revision: Store-wide revision of the key's last change.
        deleted: Whether the key was deleted at this revision.
    """

    key: str
    value: bytes
    revision: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease granted by the store.

    Attributes:
        lease_id: Identifier; a lapsed id is never granted again.
        deadline: Monotonic time in seconds until which the holder may rely
            on the lease, counted from before the call was sent.
    """

    lease_id: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """What changed below a prefix.

    Attributes:
        records: Changed records in the order of their revisions.
        revision: Revision to watch on from.
    """

    records: tuple[Record, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write of a transaction.

    Attributes:
        key: The key.
        value: The new value; None deletes the key.
        lease_id: Lease whose end deletes the key, if any.
    """

    key: str
    value: bytes | None
    lease_id: str | None = None


class Store(abc.ABC):
    """A store with compare-and-swap by revision, leases and watches.

    Every method raises `StoreUnavailableError` if the store does not answer;
    a write may then still have taken effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Record | None:
        """Returns the record of a key, or None if it is absent."""

    @abc.abstractmethod
    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """Returns records below a prefix, and the store's revision.

        Args:
            prefix: Prefix of the keys.
            after_key: Only greater keys are returned.
            limit: Most records that are returned; None for all.

        Returns:
            The records in the order of their keys.
        """

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int | None,
        lease_id: str | None = None,
    ) -> int:
        """Writes a key if it stands at the expected revision.

        Args:
            key: The key.
            value: The new value, at most 1 MB.
            expected_revision: Revision of the key that must still stand;
                `ABSENT` if the key must not exist; None for any.
            lease_id: Lease whose end deletes the key.

        Returns:
            The new revision.

        Raises:
            ConflictError: The key stands at another revision.
            NotFoundError: The lease has lapsed.
            BodyTooLargeError: The value is over `MAX_VALUE_BYTES`.
            StoreUnavailableError: No answer; the write may have happened.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, expected_revision: int | None) -> None:
        """Deletes a key if it stands at the expected revision.

        Raises:
            ConflictError: The key stands at another revision.
            StoreUnavailableError: No answer; the key may be gone.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """Waits for changes below a prefix.

        Args:
            prefix: Prefix of the keys.
            after_revision: Only later changes are returned.
            deadline: Monotonic time in seconds at which an empty result is
                returned.

        Returns:
            The changes, the newest for each key, deletions among them.

        Raises:
            HistoryLostError: The store no longer knows what was deleted
                since that revision; the caller must list again.
            StoreUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease that lapses unless it is renewed.

        Args:
            ttl_s: Seconds to live from each renewal.
        """

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> Lease:
        """Renews a lease.

        Raises:
            NotFoundError: The lease has lapsed.
            StoreUnavailableError: No answer.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: str) -> None:
        """Ends a lease and deletes the keys that hang on it."""


class TransactionalStore(Store):
    """A store that also takes several writes under one condition."""

    @abc.abstractmethod
    async def transact(
        self, writes: Sequence[Write], *, expected_by_key: Mapping[str, int]
    ) -> int:
        """Applies all writes if all keys stand at the expected revisions.

        Args:
            writes: The writes; at most `MAX_TRANSACTION_ENTRIES` together
                with the expected revisions.
            expected_by_key: Revisions that must still stand, `ABSENT` for
                keys that must not exist.

        Returns:
            The revision of the written keys.

        Raises:
            ConflictError: A key stands at another revision; nothing was done.
            NotFoundError: A lease has lapsed; nothing was done.
            StoreUnavailableError: No answer; all or nothing may have
                happened. `not_run` says that it is certain that nothing did.
        """

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int | None,
        lease_id: str | None = None,
    ) -> int:
        """See base class; a transaction of one write."""
        expected = {} if expected_revision is None else {key: expected_revision}
        return await self.transact(
            [Write(key, value, lease_id)], expected_by_key=expected
        )

    async def delete(self, key: str, *, expected_revision: int | None) -> None:
        """See base class; a transaction of one write."""
        expected = {} if expected_revision is None else {key: expected_revision}
        await self.transact([Write(key, None)], expected_by_key=expected)


async def list_pages(
    store: Store, prefix: str, limit: int, *, after_key: str = ""
) -> AsyncIterator[tuple[Record, ...]]:
    """Yields the records below a prefix page by page, by ascending key.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        limit: Most records in a page.
        after_key: Only greater keys are returned.
    """
    while True:
        page = await store.list(prefix, after_key=after_key, limit=limit)
        if page.records:
            yield page.records
        if len(page.records) < limit:
            return
        after_key = page.records[-1].key
