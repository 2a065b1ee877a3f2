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
    LeavingError,
    NotOwnerError,
    PlumvaneError,
    StoreUnavailableError,
)
from plumvane.partitions.budget import CommitBudget
from plumvane.partitions.compaction import Compaction
from plumvane.partitions.lease import InstanceLease
from plumvane.partitions.log import (
    DEFAULT_RETENTION_S,
    PartitionLog,
    PrefetchedLog,
)
from plumvane.partitions.moves import PartitionMover
from plumvane.partitions.owned import OwnedPartition
from plumvane.partitions.placement import successors
from plumvane.partitions.records import LogRecord
from plumvane.partitions.segments import SegmentStore
from plumvane.partitions.view import Owner, OwnerView, owner_key
from plumvane.peers.link import LinkPool
from plumvane.store.base import Store

__all__ = ["OwnedPartition", "Owner", "Ownership"]

RENEW_S = 1.0
# An instance that owns nothing gives its lease back after this.
IDLE_LEASE_S = 5.0
# A less preferred instance waits this long per rank before it takes over.
TAKEOVER_STAGGER_S = 1.0
# After an outage of the store, owners get this long to register again.
OUTAGE_GRACE_S = 3.0
CHECK_S = 0.25
COMPACT_S = 2.0
DRAIN_TIMEOUT_S = 5.0

RecordApplier = Callable[[int, list[LogRecord], PartitionLog], None]


class Ownership:
    """Takes, keeps, moves and releases partitions for one instance.

    Embedders give it a `Store` and a callback that rebuilds their state from
    a partition's records.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        address: str,
        *,
        peers: Callable[[], dict[str, str]],
        on_taken: RecordApplier,
        on_lost: Callable[[int], None],
        links: LinkPool | None = None,
        retention_s: Callable[[], float] = lambda: DEFAULT_RETENTION_S,
        partitions: int = hashing.PARTITIONS,
    ) -> None:
        """Creates the ownership of no partition.

        Args:
            store: The platform's store.
            name: Name of this instance.
            address: Peer address of this instance.
            peers: Returns the peer addresses, by name, of all instances that
                may own.
            on_taken: Called with the records of a partition just taken.
            on_lost: Called when a partition is no longer owned.
            links: Connections for planned moves; without them partitions are
                released and taken over.
            retention_s: Returns how long results are kept, in seconds.
            partitions: Number of partitions.
        """
        self._store = store
        self._name = name
        self._address = address
        self._peers = peers
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._retention_s = retention_s
        self._partitions = partitions
        self._lease = InstanceLease(store, name)
        self._view = OwnerView(store, self._note_owner)
        self._owned_by_partition: dict[int, OwnedPartition] = {}
        self._budget = CommitBudget(
            lambda: len(self._owned_by_partition), partitions
        )
        self._taking: set[int] = set()
        self._vacant_since: dict[int, float] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._needed = 0.0
        self._leaving = False
        self._mover = PartitionMover(
            name,
            partitions,
            self._owned_by_partition,
            peers=peers,
            links=links,
            on_moved=self._drop,
            is_leaving=lambda: self._leaving,
        )

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
        owner = self._view.owner(partition)
        return owner if owner is not None and owner.name else None

    def owner_addresses(self) -> list[str]:
        """Returns the addresses of all known owners, sorted."""
        return self._view.addresses()

    def lapsed_owners(self) -> set[str]:
        """Returns the names of instances whose lease lapsed while they owned.

        An instance without partitions holds no lease and is not named.
        """
        return self._view.lapsed_owners()

    def may_promise(self) -> bool:
        """Returns whether the lease covers an answer given now."""
        return self._lease.is_valid()

    async def run(self) -> None:
        """Keeps the lease, watches the owners and takes over; runs always."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._keep_lease)
            group.start_soon(self._view.run)
            group.start_soon(self._mover.run)
            await self._take_over()

    async def take_from_owner(self, partition: int, epoch: int) -> None:
        """Takes a partition whose owner asks for it.

        The log is read while the owner still serves; then one
        compare-and-swap moves the epoch, and only the rest is read.

        Args:
            partition: Number of the partition.
            epoch: Epoch of the owner that asks.

        Raises:
            LeavingError: This instance leaves, too.
            NotOwnerError: The partition is not at that epoch any more.
            StoreUnavailableError: The store does not answer.
        """
        if self._leaving or self._group is None:
            raise LeavingError("The instance takes no partition.")
        if partition in self._owned_by_partition:
            return
        if partition in self._taking:
            raise NotOwnerError("The partition is being taken.")
        prefetched = PrefetchedLog()
        await prefetched.load(SegmentStore(self._store, partition))
        await self._refresh(partition)
        owner = self._view.owner(partition)
        if owner is None or owner.epoch != epoch:
            raise NotOwnerError("The partition has moved meanwhile.")
        await self._take(partition, prefetched)
        if partition not in self._owned_by_partition:
            raise NotOwnerError("The partition was not taken.")

    async def leave(self) -> None:
        """Moves all partitions to other instances, or gives them up."""
        self._leaving = True
        async with anyio.create_task_group() as group:
            for partition in list(self._owned_by_partition.values()):
                group.start_soon(self._move_or_release, partition)
        await self._lease.revoke()

    async def _keep_lease(self) -> None:
        while True:
            await anyio.sleep(RENEW_S * random.uniform(0.8, 1.1))
            try:
                await self._look_after_lease()
            except StoreUnavailableError as error:
                events.log(events.Event.STORE_UNAVAILABLE, detail=error.detail)

    async def _look_after_lease(self) -> None:
        """Renews the lease, or gives it back if nothing needs it."""
        now = clock.monotonic()
        if self._owned_by_partition or self._taking:
            self._needed = now
        if self._owned_by_partition:
            await self._obtain_lease()
        elif self._lease.lease_id is None:
            return
        elif now - self._needed < IDLE_LEASE_S:
            await self._obtain_lease()
        else:
            await self._lease.revoke()

    async def _obtain_lease(self) -> str:
        """Renews the lease; a new one goes into all owner records."""
        lease_id, is_new = await self._lease.obtain()
        if is_new:
            for partition in list(self._owned_by_partition.values()):
                await self._reclaim(partition, lease_id)
        return lease_id

    async def _reclaim(self, partition: OwnedPartition, lease_id: str) -> None:
        owner = Owner(partition.epoch, self._name, self._address, lease_id)
        try:
            partition.revision = await self._write_owner(
                partition.number, owner, partition.revision
            )
        except ConflictError:
            self._drop(partition)

    def _note_owner(self, number: int, owner: Owner) -> None:
        owned = self._owned_by_partition.get(number)
        if owned is not None and owner.epoch > owned.epoch:
            self._drop(owned)

    async def _take_over(self) -> None:
        while True:
            await anyio.sleep(CHECK_S)
            for owned in list(self._owned_by_partition.values()):
                if owned.log.lost:
                    self._drop(owned)
            if not self._view.is_loaded or self._leaving:
                continue
            for number in range(self._partitions):
                if self._should_take(number) and self._group is not None:
                    self._group.start_soon(self._try_take, number)

    def _should_take(self, number: int) -> bool:
        if number in self._owned_by_partition or number in self._taking:
            return False
        if not self._is_vacant(number):
            self._vacant_since.pop(number, None)
            return False
        now = clock.monotonic()
        since = self._vacant_since.setdefault(number, now)
        peers = set(self._peers()) | {self._name}
        order = successors(number, self._partitions, peers)
        wait_s = order.index(self._name) * TAKEOVER_STAGGER_S
        owner = self._view.owner(number)
        is_listed = owner is not None and owner.name in peers - {self._name}
        if is_listed and self._view.failed_within(2 * OUTAGE_GRACE_S):
            wait_s += OUTAGE_GRACE_S
        return now - since >= wait_s

    def _is_vacant(self, number: int) -> bool:
        """Returns whether nobody serves a partition.

        A record that names this instance, which does not serve it, comes
        from a takeover that was broken off.
        """
        owner = self._view.owner(number)
        if owner is None or not owner.name or owner.name == self._name:
            return True
        return not self._view.has_live_lease(owner)

    async def _try_take(self, number: int) -> None:
        if number in self._taking or number in self._owned_by_partition:
            return
        try:
            await self._take(number, None)
        except (ConflictError, NotOwnerError):
            self._vacant_since.pop(number, None)
        except StoreUnavailableError as error:
            events.log(events.Event.STORE_UNAVAILABLE, detail=error.detail)

    async def _take(
        self, number: int, prefetched: PrefetchedLog | None
    ) -> None:
        """Takes a partition as its record now stands.

        Raises:
            ConflictError: Another instance wrote the record first.
            NotOwnerError: Another owner of a higher epoch has written.
            StoreUnavailableError: The store does not answer.
        """
        self._taking.add(number)
        try:
            lease_id = await self._obtain_lease()
            current = self._view.owner(number)
            epoch = (current.epoch if current else 0) + 1
            revision = await self._write_owner(
                number,
                Owner(epoch, self._name, self._address, lease_id),
                self._view.revision(number),
            )
            log = PartitionLog(
                self._store,
                number,
                epoch,
                retention_s=self._retention_s,
                budget=self._budget,
            )
            records = await log.recover(prefetched)
            self._begin(OwnedPartition(number, epoch, log, revision), records)
            if self._lease.lease_id != lease_id:
                await self._obtain_lease()
                await self._reclaim_under_new_lease(number)
        finally:
            self._taking.discard(number)

    async def _reclaim_under_new_lease(self, number: int) -> None:
        """Registers a partition whose lease changed while it was taken."""
        owned = self._owned_by_partition.get(number)
        lease_id = self._lease.lease_id
        if owned is not None and lease_id is not None:
            await self._reclaim(owned, lease_id)

    def _begin(
        self, partition: OwnedPartition, records: list[LogRecord]
    ) -> None:
        """Starts to serve a partition that was taken."""
        owner = self._view.owner(partition.number)
        if owner is not None and owner.epoch > partition.epoch:
            raise NotOwnerError("The partition was taken meanwhile.")
        if self._group is None:
            raise NotOwnerError("The instance does not run.")
        try:
            self._on_taken(partition.number, records, partition.log)
        except Exception as error:
            events.log(
                events.Event.TASK_FAILED, task="partition", error=repr(error)
            )
            raise NotOwnerError("The state cannot be rebuilt.") from error
        self._owned_by_partition[partition.number] = partition
        self._group.start_soon(self._run_partition, partition)
        events.log(
            events.Event.PARTITION_TAKEN,
            partition=partition.number,
            epoch=partition.epoch,
        )

    async def _run_partition(self, partition: OwnedPartition) -> None:
        try:
            with partition.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._compact, partition)
                    await partition.log.run()
                    group.cancel_scope.cancel()
        except PlumvaneError as error:
            events.log(
                events.Event.TASK_FAILED, task="partition", error=repr(error)
            )

    async def _compact(self, partition: OwnedPartition) -> None:
        compaction = Compaction(partition.log)
        while True:
            await anyio.sleep(COMPACT_S * random.uniform(0.5, 1.5))
            if compaction.is_due():
                await compaction.run()

    async def _move_or_release(self, partition: OwnedPartition) -> None:
        if not await self._mover.move_to_successor(partition):
            await self._release(partition)

    async def _release(self, partition: OwnedPartition) -> None:
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            await partition.log.wait_drained()
        if self._owned_by_partition.get(partition.number) is not partition:
            return
        self._drop(partition)
        try:
            await self._write_owner(
                partition.number,
                Owner(partition.epoch, "", "", ""),
                partition.revision,
            )
        except (ConflictError, StoreUnavailableError):
            return
        events.log(events.Event.PARTITION_RELEASED, partition=partition.number)

    def _drop(self, partition: OwnedPartition) -> None:
        if self._owned_by_partition.get(partition.number) is not partition:
            return
        del self._owned_by_partition[partition.number]
        partition.log.lost = True
        partition.scope.cancel()
        self._on_lost(partition.number)

    async def _refresh(self, number: int) -> None:
        """Reads a partition's record."""
        record = await self._store.get(owner_key(number))
        if record is not None:
            owner = msgspec.json.decode(record.value, type=Owner)
            self._view.apply_owner(number, owner, record.revision)

    async def _write_owner(
        self, number: int, owner: Owner, expected_revision: int
    ) -> int:
        """Writes a partition's owner; settles a lost answer by reading.

        Returns:
            The record's revision.

        Raises:
            ConflictError: Another instance wrote first.
            StoreUnavailableError: The store does not answer.
        """
        key = owner_key(number)
        value = msgspec.json.encode(owner)
        try:
            revision = await self._store.put(
                key, value, expected_revision=expected_revision
            )
        except (ConflictError, StoreUnavailableError):
            record = await self._store.get(key)
            if record is None:
                raise
            found = msgspec.json.decode(record.value, type=Owner)
            self._view.apply_owner(number, found, record.revision)
            if found != owner:
                raise
            revision = record.revision
        self._view.apply_owner(number, owner, revision)
        return revision
