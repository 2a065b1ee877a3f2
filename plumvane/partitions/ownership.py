"""Ownership of partitions by leases and compare-and-swap in the store."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from plumvane import clock, events, hashing
from plumvane.errors import (
    ConflictError,
    NotFoundError,
    NotOwnerError,
    StoreUnavailableError,
)
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import LogRecord
from plumvane.store.base import ABSENT, Lease, Store

__all__ = ["Owner", "OwnedPartition", "Ownership"]

LEASE_TTL_S = 3.0
RENEW_S = 1.0
# An owner stops promising this long before its lease lapses.
LEASE_MARGIN_S = 0.3
WATCH_S = 20.0
# A less preferred instance waits this long per rank before it takes over.
TAKEOVER_STAGGER_S = 1.0
CHECK_S = 0.25
PREFIX = "owners/"
PARTITION_PREFIX = "owners/partition/"
INSTANCE_PREFIX = "owners/instance/"

RecordApplier = Callable[[int, list[LogRecord], PartitionLog], None]


class Owner(msgspec.Struct, frozen=True):
    """Who owns a partition.

    Attributes:
        epoch: Rises by one with each takeover.
        name: Instance that owns it; empty if it was released.
        address: Peer address of the owner.
        lease_id: Lease of the owner.
    """

    epoch: int
    name: str
    address: str
    lease_id: str


class OwnedPartition:
    """A partition that this instance owns.

    Attributes:
        number: Number of the partition.
        epoch: Epoch of this ownership.
        log: Its log.
    """

    def __init__(
        self,
        number: int,
        epoch: int,
        log: PartitionLog,
        scope: anyio.CancelScope,
    ) -> None:
        self.number = number
        self.epoch = epoch
        self.log = log
        self.scope = scope


class Ownership:
    """Takes, keeps and releases partitions for one instance.

    Embedders give it a `Store` and a callback that rebuilds their state from
    a partition's records.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        address: str,
        *,
        peers: Callable[[], list[str]],
        on_taken: RecordApplier,
        on_lost: Callable[[int], None],
        partitions: int = hashing.PARTITIONS,
    ) -> None:
        """Creates the ownership of no partition.

        Args:
            store: The platform's store.
            name: Name of this instance.
            address: Peer address of this instance.
            peers: Returns the names of all instances that may own.
            on_taken: Called with the records of a partition just taken.
            on_lost: Called when a partition is no longer owned.
            partitions: Number of partitions.
        """
        self._store = store
        self._name = name
        self._address = address
        self._peers = peers
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._partitions = partitions
        self._lease: Lease | None = None
        self._owners_by_partition: dict[int, Owner] = {}
        self._revisions_by_partition: dict[int, int] = {}
        self._leases_by_instance: dict[str, str] = {}
        self._owned_by_partition: dict[int, OwnedPartition] = {}
        self._vacant_since: dict[int, float] = {}
        self._watch_revision = 0
        self._leaving = False

    @property
    def address(self) -> str:
        """Peer address of this instance."""
        return self._address

    @property
    def owned(self) -> dict[int, OwnedPartition]:
        """Partitions that this instance owns, by number."""
        return self._owned_by_partition

    def owner(self, partition: int) -> Owner | None:
        """Returns the last known owner of a partition, or None."""
        owner = self._owners_by_partition.get(partition)
        return owner if owner is not None and owner.name else None

    def owner_addresses(self) -> list[str]:
        """Returns the addresses of all known owners, sorted."""
        found = {o.address for o in self._owners_by_partition.values()}
        return sorted(found - {""})

    def lease_holders(self) -> set[str]:
        """Returns the names of the instances that hold a lease."""
        return set(self._leases_by_instance)

    def may_promise(self) -> bool:
        """Returns whether the lease covers an answer given now."""
        if self._lease is None:
            return False
        return clock.monotonic() < self._lease.deadline - LEASE_MARGIN_S

    async def run(self) -> None:
        """Keeps the lease, watches the owners and takes over; runs always."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._keep_lease)
            group.start_soon(self._watch)
            await self._take_over(group)

    async def release_all(self) -> None:
        """Gives all partitions up after their pending commits."""
        self._leaving = True
        for partition in list(self._owned_by_partition.values()):
            await self._release(partition)
        if self._lease is not None:
            try:
                await self._store.revoke_lease(self._lease.lease_id)
            except StoreUnavailableError:
                return

    async def _keep_lease(self) -> None:
        while True:
            try:
                await self._renew()
            except StoreUnavailableError as error:
                events.log(events.Event.STORE_UNAVAILABLE, detail=error.detail)
            await anyio.sleep(RENEW_S * random.uniform(0.8, 1.1))

    async def _renew(self) -> None:
        if self._leaving:
            return
        if self._lease is not None:
            try:
                self._lease = await self._store.renew_lease(
                    self._lease.lease_id
                )
                return
            except NotFoundError:
                events.log(events.Event.LEASE_LOST, instance=self._name)
                self._lease = None
        lease = await self._store.grant_lease(LEASE_TTL_S)
        await self._store.put(
            INSTANCE_PREFIX + self._name,
            lease.lease_id.encode(),
            expected_revision=None,
            lease_id=lease.lease_id,
        )
        self._lease = lease
        await self._reclaim(lease)

    async def _reclaim(self, lease: Lease) -> None:
        """Puts the new lease into the records of partitions still owned."""
        for partition in list(self._owned_by_partition.values()):
            owner = Owner(
                partition.epoch, self._name, self._address, lease.lease_id
            )
            try:
                await self._write_owner(partition.number, owner)
            except ConflictError:
                self._drop(partition.number)

    async def _watch(self) -> None:
        while True:
            try:
                if self._watch_revision == 0:
                    result = await self._store.list(PREFIX)
                else:
                    result = await self._store.watch(
                        PREFIX,
                        self._watch_revision,
                        deadline=clock.monotonic() + WATCH_S,
                    )
            except StoreUnavailableError:
                await anyio.sleep(random.uniform(0.2, 1.0))
                continue
            for record in result.records:
                self._take_record(
                    record.key, record.value, record.revision, record.deleted
                )
            self._watch_revision = result.revision

    def _take_record(
        self, key: str, value: bytes, revision: int, deleted: bool
    ) -> None:
        if key.startswith(INSTANCE_PREFIX):
            name = key.removeprefix(INSTANCE_PREFIX)
            if deleted:
                self._leases_by_instance.pop(name, None)
            else:
                self._leases_by_instance[name] = value.decode()
            return
        number = int(key.removeprefix(PARTITION_PREFIX))
        if revision <= self._revisions_by_partition.get(number, 0):
            return
        owner = msgspec.json.decode(value, type=Owner)
        self._owners_by_partition[number] = owner
        self._revisions_by_partition[number] = revision
        owned = self._owned_by_partition.get(number)
        if owned is not None and owner.epoch > owned.epoch:
            self._drop(number)

    async def _take_over(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.sleep(CHECK_S)
            if self._watch_revision == 0 or self._leaving:
                continue
            for number in range(self._partitions):
                owned = self._owned_by_partition.get(number)
                if owned is not None and owned.log.lost:
                    self._drop(number)
                elif owned is None and self._should_take(number):
                    await self._try_take(number, group)

    def _should_take(self, number: int) -> bool:
        if not self._is_vacant(number) or not self.may_promise():
            self._vacant_since.pop(number, None)
            return False
        now = clock.monotonic()
        since = self._vacant_since.setdefault(number, now)
        names = set(self._peers()) | {self._name}
        order = hashing.rank(f"partition-{number}", names)
        return now - since >= order.index(self._name) * TAKEOVER_STAGGER_S

    def _is_vacant(self, number: int) -> bool:
        owner = self._owners_by_partition.get(number)
        if owner is None or not owner.name:
            return True
        return self._leases_by_instance.get(owner.name) != owner.lease_id

    async def _try_take(self, number: int, group: anyio.abc.TaskGroup) -> None:
        try:
            await self._take(number, group)
        except (ConflictError, NotOwnerError):
            self._vacant_since.pop(number, None)
        except StoreUnavailableError as error:
            events.log(events.Event.STORE_UNAVAILABLE, detail=error.detail)

    async def _take(self, number: int, group: anyio.abc.TaskGroup) -> None:
        if self._lease is None:
            return
        current = self._owners_by_partition.get(number)
        epoch = (current.epoch if current else 0) + 1
        owner = Owner(epoch, self._name, self._address, self._lease.lease_id)
        await self._write_owner(number, owner)
        log = PartitionLog(self._store, number, epoch)
        records = await log.recover()
        self._on_taken(number, records, log)
        scope = anyio.CancelScope()
        self._owned_by_partition[number] = OwnedPartition(
            number, epoch, log, scope
        )
        group.start_soon(self._run_log, log, scope)
        events.log(events.Event.PARTITION_TAKEN, partition=number, epoch=epoch)

    async def _run_log(
        self, log: PartitionLog, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await log.run()

    async def _release(self, partition: OwnedPartition) -> None:
        await partition.log.drained()
        self._drop(partition.number)
        try:
            await self._write_owner(
                partition.number, Owner(partition.epoch, "", "", "")
            )
        except (ConflictError, StoreUnavailableError):
            return
        events.log(events.Event.PARTITION_RELEASED, partition=partition.number)

    def _drop(self, number: int) -> None:
        partition = self._owned_by_partition.pop(number, None)
        if partition is not None:
            partition.log.lost = True
            partition.scope.cancel()
            self._on_lost(number)

    async def _write_owner(self, number: int, owner: Owner) -> None:
        """Writes a partition's owner over the last known record.

        Raises:
            ConflictError: Another instance wrote first.
            StoreUnavailableError: The store does not answer.
        """
        key = f"{PARTITION_PREFIX}{number:04}"
        value = msgspec.json.encode(owner)
        expected = self._revisions_by_partition.get(number, ABSENT)
        try:
            revision = await self._store.put(
                key, value, expected_revision=expected
            )
        except (ConflictError, StoreUnavailableError):
            record = await self._store.get(key)
            if record is None or record.value != value:
                raise
            revision = record.revision
        self._take_record(key, value, revision, False)
