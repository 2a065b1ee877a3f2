"""Planned moves of partitions between instances."""

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

__all__ = ["PartitionMoves"]

REBALANCE_S = 2.0
# An instance must be listed for this long before partitions move to it.
STABLE_S = 5.0
MOVE_TIMEOUT_S = 10.0
MOVE_ATTEMPTS = 3


class PartitionMoves:
    """Asks other instances to take partitions that this one owns."""

    def __init__(
        self,
        name: str,
        partitions: int,
        owned_by_partition: dict[int, OwnedPartition],
        *,
        peers: Callable[[], dict[str, str]],
        links: LinkPool | None,
        drop: Callable[[OwnedPartition], None],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Creates the moves of one instance.

        Args:
            name: Name of this instance.
            partitions: Number of partitions.
            owned_by_partition: Partitions that this instance owns now.
            peers: Returns the peer addresses, by name, of all instances that
                may own.
            links: Connections to them; without any, nothing moves.
            drop: Called with a partition that another instance has taken.
            is_leaving: Returns whether this instance gives all of them up.
        """
        self._name = name
        self._partitions = partitions
        self._owned_by_partition = owned_by_partition
        self._peers = peers
        self._links = links
        self._drop = drop
        self._is_leaving = is_leaving
        self._listed_since: dict[str, float] = {}

    async def run(self) -> None:
        """Moves partitions to the instances that should have them, always."""
        while True:
            await anyio.sleep(REBALANCE_S * random.uniform(0.8, 1.2))
            stable = self._stable_peers()
            if self._is_leaving() or self._links is None or not stable:
                continue
            wanted = assign(self._partitions, {*stable, self._name})
            for partition in list(self._owned_by_partition.values()):
                target = wanted[partition.number]
                if target == self._name or target not in stable:
                    continue
                if not await self._move(partition, stable[target]):
                    break

    async def move_anywhere(self, partition: OwnedPartition) -> bool:
        """Moves a partition to one of the instances preferred for it.

        Returns:
            Whether one has taken it.
        """
        peers = {n: a for n, a in self._peers().items() if n != self._name}
        order = successors(partition.number, self._partitions, peers)
        for name in order[:MOVE_ATTEMPTS]:
            if await self._move(partition, peers[name]):
                return True
        return False

    def _stable_peers(self) -> dict[str, str]:
        """Returns the addresses of peers that were listed long enough."""
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
        """Asks another instance to take a partition over.

        Returns:
            Whether it has; if its answer was lost, this owner goes on until
            a commit is refused or the watch names the new owner.
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
        self._drop(partition)
        events.log(
            events.Event.PARTITION_MOVED,
            partition=partition.number,
            to=address,
        )
        return True
