"""Cached owners of all partitions and leases of the owners."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import msgspec

from plumvane import clock
from plumvane.errors import HistoryLostError, StoreUnavailableError
from plumvane.partitions.lease import INSTANCE_PREFIX
from plumvane.store.base import ABSENT, Record, Store, WatchResult

__all__ = ["Owner", "OwnerView", "owner_key"]

OWNERS_PREFIX = "owners/"
PARTITION_PREFIX = "owners/partition/"
# Longest wait of one watch call, in seconds.
WATCH_TIMEOUT_S = 20.0


class Owner(msgspec.Struct, frozen=True):
    """Owner record of a partition.

    Attributes:
        epoch: Ownership number; each takeover increments it.
        name: Name of the owner; empty if the partition was released.
        address: Peer address of the owner.
        lease_id: Identifier of the owner's lease.
    """

    epoch: int
    name: str
    address: str
    lease_id: str


class OwnerView:
    """Owners and leases, kept current by a watch of the store."""

    def __init__(
        self, store: Store, on_owner: Callable[[int, Owner], None]
    ) -> None:
        """Creates an empty view.

        Args:
            store: The platform's store.
            on_owner: Called with each changed owner record.
        """
        self._store = store
        self._on_owner = on_owner
        self._owners_by_partition: dict[int, Owner] = {}
        self._revisions_by_partition: dict[int, int] = {}
        self._leases_by_instance: dict[str, str] = {}
        self._lapsed_instances: set[str] = set()
        self._watch_revision: int | None = None
        self._last_failure_at = float("-inf")

    @property
    def is_loaded(self) -> bool:
        """Whether the owners were listed and the watch can continue."""
        return self._watch_revision is not None

    def failed_within(self, seconds: float) -> bool:
        """Returns whether the watch has failed recently.

        Args:
            seconds: Largest age of the failure.
        """
        return clock.monotonic() - self._last_failure_at < seconds

    def owner(self, partition: int) -> Owner | None:
        """Returns the last known owner record of a partition, or None."""
        return self._owners_by_partition.get(partition)

    def revision(self, partition: int) -> int:
        """Returns the revision of a partition's owner record."""
        return self._revisions_by_partition.get(partition, ABSENT)

    def addresses(self) -> list[str]:
        """Returns the addresses of all known owners, sorted."""
        found = {o.address for o in self._owners_by_partition.values()}
        return sorted(found - {""})

    def has_live_lease(self, owner: Owner) -> bool:
        """Returns whether an owner's lease is still registered."""
        return self._leases_by_instance.get(owner.name) == owner.lease_id

    def lapsed_owners(self) -> set[str]:
        """Returns the instances whose lease ended while they were owners."""
        return set(self._lapsed_instances)

    async def run(self) -> None:
        """Watches the owner records and leases until cancelled."""
        while True:
            try:
                if self._watch_revision is None:
                    self._apply_listing(await self._store.list(OWNERS_PREFIX))
                    continue
                result = await self._store.watch(
                    OWNERS_PREFIX,
                    self._watch_revision,
                    deadline=clock.monotonic() + WATCH_TIMEOUT_S,
                )
            except HistoryLostError:
                self._watch_revision = None
                continue
            except StoreUnavailableError:
                self._last_failure_at = clock.monotonic()
                await anyio.sleep(random.uniform(0.2, 1.0))
                continue
            for record in result.records:
                self._apply(record)
            self._watch_revision = result.revision

    def apply_owner(self, partition: int, owner: Owner, revision: int) -> None:
        """Applies an owner record unless a newer one is known."""
        if revision <= self.revision(partition):
            return
        self._owners_by_partition[partition] = owner
        self._revisions_by_partition[partition] = revision
        self._on_owner(partition, owner)

    def _apply_listing(self, result: WatchResult) -> None:
        """Applies a complete listing; leases missing from it have ended."""
        listed = {record.key for record in result.records}
        for name in list(self._leases_by_instance):
            if INSTANCE_PREFIX + name not in listed:
                self._end_lease(name)
        for record in result.records:
            self._apply(record)
        self._watch_revision = result.revision

    def _apply(self, record: Record) -> None:
        if record.key.startswith(INSTANCE_PREFIX):
            name = record.key.removeprefix(INSTANCE_PREFIX)
            if record.deleted:
                self._end_lease(name)
            else:
                self._leases_by_instance[name] = record.value.decode()
                self._lapsed_instances.discard(name)
        elif not record.deleted:
            self.apply_owner(
                int(record.key.removeprefix(PARTITION_PREFIX)),
                msgspec.json.decode(record.value, type=Owner),
                record.revision,
            )

    def _end_lease(self, name: str) -> None:
        lease_id = self._leases_by_instance.pop(name, None)
        owners = self._owners_by_partition.values()
        if any((o.name, o.lease_id) == (name, lease_id) for o in owners):
            self._lapsed_instances.add(name)


def owner_key(partition: int) -> str:
    """Returns the key of a partition's owner record."""
    return f"{PARTITION_PREFIX}{partition:04}"
