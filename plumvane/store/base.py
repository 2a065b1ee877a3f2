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

# Expected revision of a key that must not exist.
ABSENT = 0
# The platform's limit on the writes and conditions of one transaction.
MAX_TRANSACTION_ENTRIES = 32
# The platform's limit on the size of a value.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Value of a key at a revision.

    Attributes:
        key: The key.
        value: The value, at most 1 MB; empty if the key was deleted.
        revision: Store-wide revision at which the key last changed.
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
        lease_id: Identifier; the store never reuses it.
        deadline: Monotonic time in seconds until which the holder may rely
            on the lease, measured from before the request was sent.
    """

    lease_id: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """Records under a prefix that changed.

    Attributes:
        records: Changed records, by ascending revision.
        revision: Revision to continue the watch from.
    """

    records: tuple[Record, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One write of a transaction.

    Attributes:
        key: The key.
        value: The new value; None deletes the key.
        lease_id: Lease the key is attached to, if any. The key is deleted when
            the lease ends.
    """

    key: str
    value: bytes | None
    lease_id: str | None = None


class Store(abc.ABC):
    """Key-value store with compare-and-swap, leases and watches.

    Every method raises `StoreUnavailableError` if the store does not respond;
    a write may have been applied nevertheless.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Record | None:
        """Returns the record of a key, or None if it is absent."""

    @abc.abstractmethod
    async def list(
        self, prefix: str, *, after_key: str = "", limit: int | None = None
    ) -> WatchResult:
        """Lists the records under a prefix, with the store's revision.

        Args:
            prefix: Prefix of the keys.
            after_key: Lists only keys greater than this one.
            limit: Maximum number of records; None for all.

        Returns:
            The records by ascending key.
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
        """Writes a key if it is at the expected revision.

        Args:
            key: The key.
            value: The new value, at most 1 MB.
            expected_revision: Revision the key must be at; `ABSENT` if the
                key must not exist; None for no condition.
            lease_id: Lease to attach the key to.

        Returns:
            The new revision.

        Raises:
            ConflictError: The key is at another revision.
            NotFoundError: The lease has expired.
            BodyTooLargeError: The value is larger than `MAX_VALUE_BYTES`.
            StoreUnavailableError: No response; the write may have been
                applied.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, expected_revision: int | None) -> None:
        """Deletes a key if it is at the expected revision.

        Raises:
            ConflictError: The key is at another revision.
            StoreUnavailableError: No response; the key may have been deleted.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, *, deadline: float
    ) -> WatchResult:
        """Waits for changes under a prefix.

        Args:
            prefix: Prefix of the keys.
            after_revision: Returns only changes after this revision.
            deadline: Monotonic time in seconds at which the watch returns an
                empty result.

        Returns:
            The latest change of each key, including deletions.

        Raises:
            HistoryLostError: The store has compacted the deletions since that
                revision; the caller must list the prefix again.
            StoreUnavailableError: No response.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease that expires unless it is renewed.

        Args:
            ttl_s: Time to live after the grant and each renewal, in seconds.
        """

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> Lease:
        """Renews a lease.

        Raises:
            NotFoundError: The lease has expired.
            StoreUnavailableError: No response.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: str) -> None:
        """Revokes a lease and deletes the keys attached to it."""


class TransactionalStore(Store):
    """Store that also supports transactions of several writes."""

    @abc.abstractmethod
    async def transact(
        self, writes: Sequence[Write], *, expected_by_key: Mapping[str, int]
    ) -> int:
        """Applies all writes if all keys are at the expected revisions.

        Args:
            writes: The writes. Writes and expected revisions together number
                at most `MAX_TRANSACTION_ENTRIES`.
            expected_by_key: Revision each key must be at; `ABSENT` for keys
                that must not exist.

        Returns:
            The revision of the written keys.

        Raises:
            ConflictError: A key is at another revision; nothing was applied.
            NotFoundError: A lease has expired; nothing was applied.
            StoreUnavailableError: No response; either all writes were applied
                or none. `not_run` is set if certainly none was.
        """

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int | None,
        lease_id: str | None = None,
    ) -> int:
        """See base class; runs a transaction of one write."""
        expected = {} if expected_revision is None else {key: expected_revision}
        return await self.transact(
            [Write(key, value, lease_id)], expected_by_key=expected
        )

    async def delete(self, key: str, *, expected_revision: int | None) -> None:
        """See base class; runs a transaction of one write."""
        expected = {} if expected_revision is None else {key: expected_revision}
        await self.transact([Write(key, None)], expected_by_key=expected)


async def list_pages(
    store: Store, prefix: str, limit: int, *, after_key: str = ""
) -> AsyncIterator[tuple[Record, ...]]:
    """Yields the records under a prefix in pages, by ascending key.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        limit: Maximum number of records in a page.
        after_key: Lists only keys greater than this one.
    """
    while True:
        page = await store.list(prefix, after_key=after_key, limit=limit)
        if page.records:
            yield page.records
        if len(page.records) < limit:
            return
        after_key = page.records[-1].key
