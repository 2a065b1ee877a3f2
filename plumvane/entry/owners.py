"""Calls to the owner of a partition, wherever it is."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from plumvane import clock, hashing
from plumvane.entry.host import PartitionHost
from plumvane.errors import (
    DeadlineExceededError,
    LinkLostError,
    NotOwnerError,
    PlumvaneError,
)
from plumvane.partitions.ownership import Ownership
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import JobList, JobState, JobStates, Message

__all__ = ["OwnerClient"]

RETRY_S = 0.1
RETRY_AFTER_S = 2.0
# A takeover is over within this, unless the store is down.
PATIENCE_S = 20.0
OUTAGE_PATIENCE_S = 2.0
# A call that lasted this long had reached its owner.
REACHED_S = 3.0


class OwnerClient:
    """Finds a partition's owner and calls it, here or at a peer."""

    def __init__(
        self,
        ownership: Ownership,
        host: PartitionHost,
        links: LinkPool,
        store_is_down: Callable[[], bool],
    ) -> None:
        """Creates the client.

        Args:
            ownership: Knows the owners.
            host: The partitions owned here.
            links: Connections to other entries.
            store_is_down: Whether the store does not answer now.
        """
        self._store_is_down = store_is_down
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
            NotOwnerError: No owner was found by the deadline, or for
                `PATIENCE_S` on end.
            DeadlineExceededError: The owner did not answer in time.
            PlumvaneError: The owner's error.
        """
        failing_since: float | None = None
        last: PlumvaneError = NotOwnerError(
            f"Partition {partition} has no owner now.",
            retry_after_s=RETRY_AFTER_S,
        )
        while clock.monotonic() < deadline:
            sent = clock.monotonic()
            try:
                return await self._call_once(partition, message, deadline)
            except (NotOwnerError, LinkLostError) as error:
                last = error
            now = clock.monotonic()
            if failing_since is None or now - sent >= REACHED_S:
                failing_since = now
            if now - failing_since >= self._patience_s():
                break
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

    def unowned_partitions(self) -> list[int]:
        """Returns the partitions that no instance is known to own."""
        return [
            number
            for number in range(hashing.PARTITIONS)
            if self._ownership.owner(number) is None
        ]

    def _patience_s(self) -> float:
        """Returns how long an owner may be out of reach on end."""
        return OUTAGE_PATIENCE_S if self._store_is_down() else PATIENCE_S

    async def _call_once(
        self, partition: int, message: Message, deadline: float
    ) -> Message:
        if partition in self._ownership.owned:
            try:
                with anyio.fail_after(clock.remaining(deadline)):
                    return await self._host.handle(message)
            except TimeoutError:
                raise DeadlineExceededError(
                    "The owner did not answer in time."
                ) from None
        owner = self._ownership.owner(partition)
        if owner is None or owner.address == self._ownership.address:
            raise NotOwnerError(f"Partition {partition} has no owner now.")
        return await self._links.call(owner.address, message, deadline=deadline)
