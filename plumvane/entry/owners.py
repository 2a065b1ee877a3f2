"""Client of partition owners, in this process or at another entry."""

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

RETRY_INTERVAL_S = 0.1
RETRY_AFTER_S = 2.0
# A partition may be unavailable for this time before calls on it fail. A
# takeover completes within it unless the store is down.
UNAVAILABLE_TIMEOUT_S = 20.0
STORE_OUTAGE_TIMEOUT_S = 2.0
# A failed call that took at least this long is taken to have reached its owner.
REACHED_OWNER_S = 3.0


class OwnerClient:
    """Finds the owner of a partition and calls it, locally or at a peer."""

    def __init__(
        self,
        ownership: Ownership,
        host: PartitionHost,
        links: LinkPool,
        store_is_down: Callable[[], bool],
    ) -> None:
        """Creates the client.

        Args:
            ownership: Maps partitions to their owners.
            host: Handles calls on the partitions owned here.
            links: Connections to other entries.
            store_is_down: Returns whether the store is currently unavailable.
        """
        self._store_is_down = store_is_down
        self._ownership = ownership
        self._host = host
        self._links = links

    async def call(
        self, partition: int, message: Message, *, deadline: float
    ) -> Message:
        """Calls the owner of a partition; retries while ownership changes.

        Args:
            partition: Number of the partition.
            message: The message; the owner may receive it more than once.
            deadline: Monotonic time in seconds.

        Raises:
            NotOwnerError: No owner was reached by the deadline, or for
                `UNAVAILABLE_TIMEOUT_S` without interruption
                (`STORE_OUTAGE_TIMEOUT_S` while the store is down).
            DeadlineExceededError: The owner did not reply in time.
            PlumvaneError: The owner replied with an error.
        """
        unavailable_since: float | None = None
        last_error: PlumvaneError = NotOwnerError(
            f"Partition {partition} currently has no owner.",
            retry_after_s=RETRY_AFTER_S,
        )
        while clock.monotonic() < deadline:
            sent_at = clock.monotonic()
            try:
                return await self._call_once(partition, message, deadline)
            except (NotOwnerError, LinkLostError) as error:
                last_error = error
            now = clock.monotonic()
            if unavailable_since is None or now - sent_at >= REACHED_OWNER_S:
                unavailable_since = now
            if now - unavailable_since >= self._unavailable_timeout_s():
                break
            await anyio.sleep(RETRY_INTERVAL_S * random.uniform(0.5, 1.5))
        raise NotOwnerError(last_error.detail, retry_after_s=RETRY_AFTER_S)

    async def list_jobs(self, team: str, *, deadline: float) -> list[JobState]:
        """Lists a team's jobs; owners that fail to reply are skipped.

        Of a job that two owners list, the state with more progress is kept: a
        former owner does not learn of progress after a takeover.
        """
        message = JobList(team)
        jobs_by_id: dict[str, JobState] = {}
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
                for job in reply.jobs:
                    known = jobs_by_id.setdefault(job.job_id, job)
                    if _progress(job) > _progress(known):
                        jobs_by_id[job.job_id] = job
        return sorted(jobs_by_id.values(), key=lambda job: job.created)

    def unowned_partitions(self) -> list[int]:
        """Returns the partitions without a known owner."""
        return [
            partition
            for partition in range(hashing.PARTITIONS)
            if self._ownership.owner(partition) is None
        ]

    def _unavailable_timeout_s(self) -> float:
        """Returns how long a partition may be unavailable before calls fail."""
        return (
            STORE_OUTAGE_TIMEOUT_S
            if self._store_is_down()
            else UNAVAILABLE_TIMEOUT_S
        )

    async def _call_once(
        self, partition: int, message: Message, deadline: float
    ) -> Message:
        if partition in self._ownership.owned:
            try:
                with anyio.fail_after(clock.remaining(deadline)):
                    return await self._host.handle(message)
            except TimeoutError:
                raise DeadlineExceededError(
                    "The owner did not reply in time."
                ) from None
        owner = self._ownership.owner(partition)
        if owner is None or owner.address == self._ownership.address:
            raise NotOwnerError(
                f"Partition {partition} currently has no owner."
            )
        return await self._links.call(owner.address, message, deadline=deadline)


def _progress(job: JobState) -> tuple[bool, int]:
    """Returns a value that grows while a job makes progress."""
    return job.state != "running", job.done + job.failed_count
