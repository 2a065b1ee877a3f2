"""Calls to the owner of a partition, wherever it is."""

from __future__ import annotations

import random

import anyio

from plumvane import clock, hashing
from plumvane.entry.host import PartitionHost
from plumvane.errors import LinkLostError, NotOwnerError, PlumvaneError
from plumvane.partitions.ownership import Ownership
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import JobList, JobState, JobStates, Message

__all__ = ["OwnerClient"]

RETRY_S = 0.1
RETRY_AFTER_S = 2.0


class OwnerClient:
    """Finds a partition's owner and calls it, here or at a peer."""

    def __init__(
        self, ownership: Ownership, host: PartitionHost, links: LinkPool
    ) -> None:
        """Creates the client.

        Args:
            ownership: Knows the owners.
            host: The partitions owned here.
            links: Connections to other entries.
        """
        self._ownership = ownership
        self._host = host
        self._links = links

    async def call(
        self, partition: int, message: Message, *, deadline: float
    ) -> Message:
        """Calls the owner; looks it up again while it moves.

        The message must be one that the owner may get twice.

        Args:
            partition: Number of the partition.
            message: The message.
            deadline: Monotonic time in seconds.

        Raises:
            NotOwnerError: No owner was found by the deadline.
            PlumvaneError: The owner's error.
        """
        last: PlumvaneError = NotOwnerError(
            f"Partition {partition} has no owner now.",
            retry_after_s=RETRY_AFTER_S,
        )
        while clock.monotonic() < deadline:
            try:
                return await self._call_once(partition, message, deadline)
            except (NotOwnerError, LinkLostError) as error:
                last = error
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))
        raise NotOwnerError(last.detail, retry_after_s=RETRY_AFTER_S)

    async def list_jobs(self, team: str, *, deadline: float) -> list[JobState]:
        """Returns a team's jobs from all owners that answer."""
        message = JobList(team)
        found: list[JobState] = []
        for address in self._ownership.owner_addresses():
            try:
                if address == self._ownership.address:
                    reply = await self._host.handle(message)
                else:
                    reply = await self._links.call(
                        address, message, deadline=deadline
                    )
            except PlumvaneError:
                continue
            if isinstance(reply, JobStates):
                found.extend(reply.jobs)
        return sorted(found, key=lambda job: job.created)

    def without_owner(self) -> list[int]:
        """Returns the partitions that no instance is known to own."""
        return [
            number
            for number in range(hashing.PARTITIONS)
            if self._ownership.owner(number) is None
        ]

    async def _call_once(
        self, partition: int, message: Message, deadline: float
    ) -> Message:
        if partition in self._ownership.owned:
            return await self._host.handle(message)
        owner = self._ownership.owner(partition)
        if owner is None or owner.address == self._ownership.address:
            raise NotOwnerError(f"Partition {partition} has no owner now.")
        return await self._links.call(owner.address, message, deadline=deadline)
