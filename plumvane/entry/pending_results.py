"""Results that an entry holds until their owner has stored them."""

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

# Least time that a commit gets, also at the end of a request's deadline.
COMMIT_S = 10.0
# Pause before a result that is not stored is sent again, and its bound.
RETRY_S = 0.5
RETRY_MAX_S = 4.0

OnStored = Callable[[], Awaitable[None]]


class PendingResults:
    """Sends results to their owners until each is durable."""

    def __init__(self, owners: OwnerClient, group: anyio.abc.TaskGroup) -> None:
        """Creates an empty holder.

        Args:
            owners: Calls partition owners.
            group: Task group of the sendings; they outlive the requests.
        """
        self._owners = owners
        self._group = group
        self._results_by_id: dict[str, Complete] = {}

    def __len__(self) -> int:
        return len(self._results_by_id)

    def for_partition(self, partition: int) -> tuple[Complete, ...]:
        """Returns the results held for a partition."""
        return tuple(
            result
            for result in self._results_by_id.values()
            if result.partition == partition
        )

    async def commit(
        self, message: Complete, deadline: float, on_stored: OnStored
    ) -> Committed:
        """Has a result committed; holds it on if it is not durable.

        Args:
            message: The result.
            deadline: Deadline of the request, seconds since the epoch.
            on_stored: Called once the store holds the request's result.

        Returns:
            Which run's result stands.

        Raises:
            PlumvaneError: No owner took it in time; it is held on.
        """
        self._results_by_id[message.request_id] = message
        left_s = max(COMMIT_S, deadline - clock.wall())
        durable = False
        try:
            reply = await self._send(message, left_s)
            durable = reply.durable
            return reply
        finally:
            self._group.start_soon(self._hold, message, on_stored, durable)

    async def _hold(
        self, message: Complete, on_stored: OnStored, durable: bool
    ) -> None:
        """Sends a result again until it is durable."""
        pause_s = RETRY_S
        while not durable:
            await anyio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(RETRY_MAX_S, pause_s * 2)
            try:
                durable = (await self._send(message, COMMIT_S)).durable
            except PlumvaneError:
                continue
        del self._results_by_id[message.request_id]
        await on_stored()

    async def _send(self, message: Complete, timeout_s: float) -> Committed:
        reply = await self._owners.call(
            message.partition, message, deadline=clock.monotonic() + timeout_s
        )
        if not isinstance(reply, Committed):
            raise PlumvaneError("The owner's reply is not understood.")
        return reply
