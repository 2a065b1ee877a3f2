"""Messages for calls of the platform's store that a peer relays."""

from __future__ import annotations

from plumvane.peers.messages.base import Message
from plumvane.store.base import Record, Write

__all__ = [
    "GrantStoreLease",
    "ReadStore",
    "RenewStoreLease",
    "RevokeStoreLease",
    "StoreLease",
    "StoreRecords",
    "StoreWritten",
    "WatchStore",
    "WriteStore",
]


class ReadStore(Message, frozen=True, tag="storeread"):
    """Reads one key, or all keys with a prefix.

    Attributes:
        key: The key or the prefix.
        is_prefix: Whether `key` is a prefix.
        after_key: Only keys greater than this are read.
        limit: Maximum number of keys to read, or None for all.
    """

    key: str
    is_prefix: bool = False
    after_key: str = ""
    limit: int | None = None


class WatchStore(Message, frozen=True, tag="storewatch"):
    """Waits for changes of keys with a prefix.

    Attributes:
        prefix: The prefix.
        after_revision: Only changes after this revision are returned.
        deadline: Unix time in seconds at which an empty reply is sent.
    """

    prefix: str
    after_revision: int
    deadline: float


class StoreRecords(Message, frozen=True, tag="storerecords"):
    """Records that were read or have changed.

    Attributes:
        records: The records.
        revision: Revision of the store; 0 if a single key was read.
    """

    records: tuple[Record, ...]
    revision: int = 0


class WriteStore(Message, frozen=True, tag="storewrite"):
    """Applies writes atomically if all conditions hold.

    Attributes:
        writes: The writes.
        expected_by_key: Revision that each of these keys must have.
    """

    writes: tuple[Write, ...]
    expected_by_key: dict[str, int]


class StoreWritten(Message, frozen=True, tag="storewritten"):
    """Confirms that the writes were applied.

    Attributes:
        revision: Revision of the written keys.
    """

    revision: int


class GrantStoreLease(Message, frozen=True, tag="storegrant"):
    """Requests a lease.

    Attributes:
        ttl_s: Time to live in seconds, from the grant and each renewal.
    """

    ttl_s: float


class RenewStoreLease(Message, frozen=True, tag="storerenew"):
    """Renews a lease.

    Attributes:
        lease_id: Identifier of the lease.
    """

    lease_id: str


class RevokeStoreLease(Message, frozen=True, tag="storerevoke"):
    """Revokes a lease.

    Attributes:
        lease_id: Identifier of the lease.
    """

    lease_id: str


class StoreLease(Message, frozen=True, tag="storelease"):
    """State of a lease.

    Attributes:
        lease_id: Identifier of the lease.
        deadline: Unix time in seconds at which the lease expires.
    """

    lease_id: str
    deadline: float
