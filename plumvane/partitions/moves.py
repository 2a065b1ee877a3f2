"""Planned moves of partitions to other instances."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from plumvane import clock, events
from plumvane.errors import PlumvaneError
from plumvane.partitions.owned import OwnedPartition
from plumvane.partitions.placement import assign, successors
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import TakePartition

__all__ = ["PartitionMover"]

# Mean interval between rebalancing rounds, in seconds.
REBALANCE_S = 2.0
# Time for which an instance must be listed before partitions move to it, in
# seconds.
STABLE_S = 5.0
MOVE_TIMEOUT_S = 10.0
# Number of instances that a leaving instance asks to take a partition.
MOVE_ATTEMPTS = 3


class PartitionMover:
    """Moves partitions that this instance owns to other instances."""

    def __init__(
        self,
        name: str,
        partitions: int,
        owned_by_partition: dict[int, OwnedPartition],
        *,
        peers: Callable[[], dict[str, str]],
        links: LinkPool | None,
        on_moved: Callable[[OwnedPartition], None],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Creates the mover of one instance's partitions.

        Args:
            name: Name of this instance.
            partitions: Number of partitions.
            owned_by_partition: Partitions that this instance currently owns.
            peers: Returns the peer addresses, by name, of all instances that
                may own partitions.
            links: Connections to peers; if None, no partition moves.
            on_moved: Called with a partition that another instance has taken.
            is_leaving: Returns whether this instance gives up all of its
                partitions; it does not rebalance then.
        """
        self._name = name
        self._partitions = partitions
        self._owned_by_partition = owned_by_partition
        self._peers = peers
        self._links = links
        self._on_moved = on_moved
        self._is_leaving = is_leaving
        self._listed_since: dict[str, float] = {}

    async def run(self) -> None:
        """Periodically moves partitions to their preferred owners."""
        while True:
            await anyio.sleep(REBALANCE_S * random.uniform(0.8, 1.2))
            stable = self._stable_peers()
            if self._is_leaving() or self._links is None or not stable:
                continue
            preferred_owners = assign(self._partitions, {*stable, self._name})
            for partition in list(self._owned_by_partition.values()):
                target = preferred_owners[partition.number]
                if target == self._name or target not in stable:
                    continue
                if not await self._move(partition, stable[target]):
                    break

    async def move_to_successor(self, partition: OwnedPartition) -> bool:
        """Moves a partition to one of the most preferred other instances.

        Returns:
            Whether an instance has taken the partition.
        """
        peers = {n: a for n, a in self._peers().items() if n != self._name}
        candidates = successors(partition.number, self._partitions, peers)
        for name in candidates[:MOVE_ATTEMPTS]:
            if await self._move(partition, peers[name]):
                return True
        return False

    def _stable_peers(self) -> dict[str, str]:
        """Returns the addresses of peers listed for at least `STABLE_S`."""
        now = clock.monotonic()
        peers = self._peers()
        self._listed_since = {
            name: self._listed_since.get(name, now) for name in peers
        }
        return {
            name: address
            for name, address in peers.items()
            if now - self._listed_since[name] >= STABLE_S and name != self._name
        }

    async def _move(self, partition: OwnedPartition, address: str) -> bool:
        """Asks another instance to take a partition.

        Returns:
            Whether this instance no longer owns the partition. If the answer
            is lost, this instance remains the owner until a commit is refused
            or the watch reports the new owner.
        """
        if self._links is None:
            return False
        try:
            await self._links.call(
                address,
                TakePartition(partition.number, partition.epoch),
                deadline=clock.monotonic() + MOVE_TIMEOUT_S,
            )
        except PlumvaneError as error:
            events.log(
                events.Event.MOVE_FAILED,
                partition=partition.number,
                error=error.detail,
            )
            return partition.number not in self._owned_by_partition
        self._on_moved(partition)
        events.log(
            events.Event.PARTITION_MOVED,
            partition=partition.number,
            to=address,
        )
        return True
