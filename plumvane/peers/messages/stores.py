"""Calls of the platform's store that a peer makes for another instance."""

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
    """Reads one key, or all keys below a prefix.

    Attributes:
        key: The key or the prefix.
        is_prefix: Whether it is a prefix.
        after_key: Only greater keys are read.
        limit: Most keys that are read; None for all.
    """

    key: str
    is_prefix: bool = False
    after_key: str = ""
    limit: int | None = None


class WatchStore(Message, frozen=True, tag="storewatch"):
    """Waits for changes below a prefix.

    Attributes:
        prefix: The prefix.
        after_revision: Only later changes are told.
        deadline: Unix time in seconds at which an empty reply is sent.
    """

    prefix: str
    after_revision: int
    deadline: float


class StoreRecords(Message, frozen=True, tag="storerecords"):
    """What was read or has changed.

    Attributes:
        records: The records.
        revision: The store's revision; 0 for the read of one key.
    """

    records: tuple[Record, ...]
    revision: int = 0


class WriteStore(Message, frozen=True, tag="storewrite"):
    """Applies writes under conditions, all or none.

    Attributes:
        writes: The writes.
        expected_by_key: Revisions that must still stand.
    """

    writes: tuple[Write, ...]
    expected_by_key: dict[str, int]


class StoreWritten(Message, frozen=True, tag="storewritten"):
    """The writes were applied.

    Attributes:
        revision: Revision of the written keys.
    """

    revision: int


class GrantStoreLease(Message, frozen=True, tag="storegrant"):
    """Asks for a lease.

    Attributes:
        ttl_s: Seconds to live from each renewal.
    """

    ttl_s: float


class RenewStoreLease(Message, frozen=True, tag="storerenew"):
    """Renews a lease.

    Attributes:
        lease_id: The lease.
    """

    lease_id: str


class RevokeStoreLease(Message, frozen=True, tag="storerevoke"):
    """Ends a lease.

    Attributes:
        lease_id: The lease.
    """

    lease_id: str


class StoreLease(Message, frozen=True, tag="storelease"):
    """A lease.

    Attributes:
        lease_id: The lease.
        deadline: Unix time in seconds until which it holds.
    """

    lease_id: str
    deadline: float
