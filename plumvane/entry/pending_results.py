"""Results that an entry keeps until the partition's owner has stored them."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from plumvane import clock
from plumvane.entry.owners import OwnerClient
from plumvane.errors import PlumvaneError
from plumvane.peers.messages import Committed, Complete

__all__ = ["PendingResults"]

# Minimum timeout of a commit, even if the request's deadline is closer.
MIN_COMMIT_TIMEOUT_S = 10.0
# Initial and maximum backoff before a result is sent again.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0

StoredCallback = Callable[[], Awaitable[None]]


class PendingResults:
    """Sends results to partition owners until each result is durable."""

    def __init__(self, owners: OwnerClient, group: anyio.abc.TaskGroup) -> None:
        """Creates an empty set of pending results.

        Args:
            owners: Calls partition owners.
            group: Task group of the retries, which may outlive the requests.
        """
        self._owners = owners
        self._group = group
        self._results_by_id: dict[str, Complete] = {}

    def __len__(self) -> int:
        return len(self._results_by_id)

    def for_partition(self, partition: int) -> tuple[Complete, ...]:
        """Returns the pending results of a partition."""
        return tuple(
            result
            for result in self._results_by_id.values()
            if result.partition == partition
        )

    async def commit(
        self, message: Complete, deadline: float, on_stored: StoredCallback
    ) -> Committed:
        """Commits a result; keeps it for retries until it is durable.

        Args:
            message: The result.
            deadline: Deadline of the request, seconds since the epoch.
            on_stored: Called once the store has the request's result.

        Returns:
            The committed result of the request; may be that of another run.

        Raises:
            PlumvaneError: No owner accepted the result in time; it stays
                pending.
        """
        self._results_by_id[message.request_id] = message
        timeout_s = max(MIN_COMMIT_TIMEOUT_S, deadline - clock.wall())
        durable = False
        try:
            reply = await self._send(message, timeout_s)
            durable = reply.durable
            return reply
        finally:
            self._group.start_soon(
                self._retry_until_durable, message, on_stored, durable
            )

    async def _retry_until_durable(
        self, message: Complete, on_stored: StoredCallback, durable: bool
    ) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while not durable:
            await anyio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            try:
                durable = (
                    await self._send(message, MIN_COMMIT_TIMEOUT_S)
                ).durable
            except PlumvaneError:
                continue
        del self._results_by_id[message.request_id]
        await on_stored()

    async def _send(self, message: Complete, timeout_s: float) -> Committed:
        reply = await self._owners.call(
            message.partition, message, deadline=clock.monotonic() + timeout_s
        )
        if not isinstance(reply, Committed):
            raise PlumvaneError("The owner sent a reply of an unexpected type.")
        return reply
