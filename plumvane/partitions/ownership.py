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

# Interval between lease renewals, in seconds.
RENEW_INTERVAL_S = 1.0
# Time after which an instance without partitions revokes its lease, in seconds.
IDLE_LEASE_TIMEOUT_S = 5.0
# Delay before a takeover, in seconds, for each candidate that is preferred to
# this instance.
TAKEOVER_STAGGER_S = 1.0
# Time that owners have to register again after a store outage, in seconds.
OUTAGE_GRACE_S = 3.0
# Interval between searches for partitions to take over, in seconds.
TAKEOVER_CHECK_INTERVAL_S = 0.25
# Mean interval between checks whether compaction is due, in seconds.
COMPACTION_CHECK_INTERVAL_S = 2.0
# Longest wait for pending commits before a partition is released, in seconds.
DRAIN_TIMEOUT_S = 5.0

RecordApplier = Callable[[int, list[LogRecord], PartitionLog], None]


class Ownership:
    """Manages the partitions that one instance owns.

    It takes over, moves and releases partitions. Embedders provide a `Store`
    and a callback that rebuilds their state from a partition's records.
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
        """Initializes without partitions.

        Args:
            store: The platform's store.
            name: Name of this instance.
            address: Peer address of this instance.
            peers: Returns the peer addresses, by name, of all instances that
                may own partitions.
            on_taken: Called with the records of a partition after a takeover.
            on_lost: Called when a partition is no longer owned.
            links: Connections for planned moves; if None, partitions are
                released for others to take over.
            retention_s: Returns the retention period of results, in seconds.
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
        self._view = OwnerView(store, self._on_owner_changed)
        self._owned_by_partition: dict[int, OwnedPartition] = {}
        self._budget = CommitBudget(
            lambda: len(self._owned_by_partition), partitions
        )
        self._taking: set[int] = set()
        self._vacant_since: dict[int, float] = {}
        self._task_group: anyio.abc.TaskGroup | None = None
        self._lease_needed_at = 0.0
        self._leaving = False
        self._mover = PartitionMover(
            name,
            partitions,
            self._owned_by_partition,
            peers=peers,
            links=links,
            on_moved=self._stop_serving,
            is_leaving=lambda: self._leaving,
        )

    @property
    def address(self) -> str:
        """Peer address of this instance."""
        return self._address

    @property
    def owned(self) -> dict[int, OwnedPartition]:
        """Partitions owned by this instance, by number."""
        return self._owned_by_partition

    def owner(self, partition: int) -> Owner | None:
        """Returns the last known owner of a partition, or None."""
        owner = self._view.owner(partition)
        return owner if owner is not None and owner.name else None

    def owner_addresses(self) -> list[str]:
        """Returns the addresses of all known owners, sorted."""
        return self._view.addresses()

    def lapsed_owners(self) -> set[str]:
        """Returns the instances whose lease ended while they were owners.

        Instances without partitions hold no lease and are not included.
        """
        return self._view.lapsed_owners()

    def has_valid_lease(self) -> bool:
        """Returns whether the lease is valid for an answer given now."""
        return self._lease.is_valid()

    async def run(self) -> None:
        """Renews the lease, watches the owners and takes over partitions.

        Runs until cancelled.
        """
        async with anyio.create_task_group() as group:
            self._task_group = group
            group.start_soon(self._run_lease_renewal)
            group.start_soon(self._view.run)
            group.start_soon(self._mover.run)
            await self._run_takeovers()

    async def take_from_owner(self, partition: int, epoch: int) -> None:
        """Takes a partition at the request of its owner.

        The log is read while the owner still serves. One compare-and-swap then
        raises the epoch, after which only the changes since are read.

        Args:
            partition: Number of the partition.
            epoch: Epoch of the requesting owner.

        Raises:
            LeavingError: This instance is leaving or not running.
            NotOwnerError: The partition is no longer at that epoch, or taking
                it failed or is in progress.
            StoreUnavailableError: The store does not answer.
        """
        if self._leaving or self._task_group is None:
            raise LeavingError("The instance is leaving or not running.")
        if partition in self._owned_by_partition:
            return
        if partition in self._taking:
            raise NotOwnerError(
                f"Partition {partition} is being taken already."
            )
        prefetched = PrefetchedLog()
        await prefetched.load(SegmentStore(self._store, partition))
        await self._refresh_owner(partition)
        owner = self._view.owner(partition)
        if owner is None or owner.epoch != epoch:
            raise NotOwnerError(
                f"Partition {partition} is no longer at epoch {epoch}."
            )
        await self._take(partition, prefetched)
        if partition not in self._owned_by_partition:
            raise NotOwnerError(f"Partition {partition} could not be taken.")

    async def leave(self) -> None:
        """Moves all partitions to other instances, or releases them."""
        self._leaving = True
        async with anyio.create_task_group() as group:
            for partition in list(self._owned_by_partition.values()):
                group.start_soon(self._move_or_release, partition)
        await self._lease.revoke()

    async def _run_lease_renewal(self) -> None:
        while True:
            await anyio.sleep(RENEW_INTERVAL_S * random.uniform(0.8, 1.1))
            try:
                await self._maintain_lease()
            except StoreUnavailableError as error:
                events.log(events.Event.STORE_UNAVAILABLE, detail=error.detail)

    async def _maintain_lease(self) -> None:
        """Renews the lease, or revokes it if it is no longer needed."""
        now = clock.monotonic()
        if self._owned_by_partition or self._taking:
            self._lease_needed_at = now
        if self._owned_by_partition:
            await self._ensure_lease()
        elif self._lease.lease_id is None:
            return
        elif now - self._lease_needed_at < IDLE_LEASE_TIMEOUT_S:
            await self._ensure_lease()
        else:
            await self._lease.revoke()

    async def _ensure_lease(self) -> str:
        """Renews the lease; writes a new lease to all owner records."""
        lease_id, is_new = await self._lease.obtain()
        if is_new:
            for partition in list(self._owned_by_partition.values()):
                await self._register_owner(partition, lease_id)
        return lease_id

    async def _register_owner(
        self, partition: OwnedPartition, lease_id: str
    ) -> None:
        owner = Owner(partition.epoch, self._name, self._address, lease_id)
        try:
            partition.revision = await self._write_owner(
                partition.number, owner, partition.revision
            )
        except ConflictError:
            self._stop_serving(partition)

    def _on_owner_changed(self, number: int, owner: Owner) -> None:
        owned = self._owned_by_partition.get(number)
        if owned is not None and owner.epoch > owned.epoch:
            self._stop_serving(owned)

    async def _run_takeovers(self) -> None:
        while True:
            await anyio.sleep(TAKEOVER_CHECK_INTERVAL_S)
            for owned in list(self._owned_by_partition.values()):
                if owned.log.lost:
                    self._stop_serving(owned)
            if not self._view.is_loaded or self._leaving:
                continue
            for number in range(self._partitions):
                if self._should_take(number) and self._task_group is not None:
                    self._task_group.start_soon(self._try_take, number)

    def _should_take(self, number: int) -> bool:
        if number in self._owned_by_partition or number in self._taking:
            return False
        if not self._is_vacant(number):
            self._vacant_since.pop(number, None)
            return False
        now = clock.monotonic()
        since = self._vacant_since.setdefault(number, now)
        peers = set(self._peers()) | {self._name}
        candidates = successors(number, self._partitions, peers)
        wait_s = candidates.index(self._name) * TAKEOVER_STAGGER_S
        owner = self._view.owner(number)
        owner_listed = owner is not None and owner.name in peers - {self._name}
        if owner_listed and self._view.failed_within(2 * OUTAGE_GRACE_S):
            wait_s += OUTAGE_GRACE_S
        return now - since >= wait_s

    def _is_vacant(self, number: int) -> bool:
        """Returns whether no instance serves a partition.

        It must not be called for partitions that this instance serves: an
        owner record that names this instance is then left from an interrupted
        takeover.
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
        """Takes a partition from the last known owner.

        Raises:
            ConflictError: Another instance has written the owner record.
            NotOwnerError: An owner with a higher epoch has written.
            StoreUnavailableError: The store does not answer.
        """
        self._taking.add(number)
        try:
            lease_id = await self._ensure_lease()
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
            self._start_serving(
                OwnedPartition(number, epoch, log, revision), records
            )
            if self._lease.lease_id != lease_id:
                await self._ensure_lease()
                await self._register_under_new_lease(number)
        finally:
            self._taking.discard(number)

    async def _register_under_new_lease(self, number: int) -> None:
        """Registers a partition after the lease changed during its takeover."""
        owned = self._owned_by_partition.get(number)
        lease_id = self._lease.lease_id
        if owned is not None and lease_id is not None:
            await self._register_owner(owned, lease_id)

    def _start_serving(
        self, partition: OwnedPartition, records: list[LogRecord]
    ) -> None:
        """Starts to serve a partition after its takeover."""
        owner = self._view.owner(partition.number)
        if owner is not None and owner.epoch > partition.epoch:
            raise NotOwnerError(
                f"Partition {partition.number} was taken; "
                f"its epoch is {owner.epoch}."
            )
        if self._task_group is None:
            raise NotOwnerError("The instance is not running.")
        try:
            self._on_taken(partition.number, records, partition.log)
        except Exception as error:
            events.log(
                events.Event.TASK_FAILED, task="partition", error=repr(error)
            )
            raise NotOwnerError(
                f"The state of partition {partition.number} cannot be rebuilt."
            ) from error
        self._owned_by_partition[partition.number] = partition
        self._task_group.start_soon(self._run_partition, partition)
        events.log(
            events.Event.PARTITION_TAKEN,
            partition=partition.number,
            epoch=partition.epoch,
        )

    async def _run_partition(self, partition: OwnedPartition) -> None:
        try:
            with partition.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._run_compaction, partition)
                    await partition.log.run()
                    group.cancel_scope.cancel()
        except PlumvaneError as error:
            events.log(
                events.Event.TASK_FAILED, task="partition", error=repr(error)
            )

    async def _run_compaction(self, partition: OwnedPartition) -> None:
        compaction = Compaction(partition.log)
        while True:
            await anyio.sleep(
                COMPACTION_CHECK_INTERVAL_S * random.uniform(0.5, 1.5)
            )
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
        self._stop_serving(partition)
        try:
            await self._write_owner(
                partition.number,
                Owner(partition.epoch, "", "", ""),
                partition.revision,
            )
        except (ConflictError, StoreUnavailableError):
            return
        events.log(events.Event.PARTITION_RELEASED, partition=partition.number)

    def _stop_serving(self, partition: OwnedPartition) -> None:
        if self._owned_by_partition.get(partition.number) is not partition:
            return
        del self._owned_by_partition[partition.number]
        partition.log.lost = True
        partition.scope.cancel()
        self._on_lost(partition.number)

    async def _refresh_owner(self, number: int) -> None:
        """Reads a partition's owner record."""
        record = await self._store.get(owner_key(number))
        if record is not None:
            owner = msgspec.json.decode(record.value, type=Owner)
            self._view.apply_owner(number, owner, record.revision)

    async def _write_owner(
        self, number: int, owner: Owner, expected_revision: int
    ) -> int:
        """Writes an owner record; resolves a lost answer by reading it back.

        Returns:
            Revision of the owner record.

        Raises:
            ConflictError: Another instance has written the owner record.
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
