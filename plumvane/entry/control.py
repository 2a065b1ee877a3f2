"""Calls to the sidecars and entries that run claimed requests."""

from __future__ import annotations

import anyio

from plumvane import clock
from plumvane.errors import DeadlineExceededError, LinkLostError, PlumvaneError
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    Acknowledge,
    CancelRun,
    Message,
    Settle,
    Settled,
    StopRun,
)
from plumvane.requests.claims import ClaimedRun
from plumvane.requests.ledger import RunControl

__all__ = ["LinkRunControl", "call_with_retries", "settle_run"]

# A sidecar that stays unreachable for this time is treated as lost.
SETTLE_TIMEOUT_S = 3.0
NOTIFY_TIMEOUT_S = 4.0
RETRY_INTERVAL_S = 0.1


async def call_with_retries(
    links: LinkPool, address: str, message: Message, *, deadline: float
) -> Message:
    """Calls a peer; retries over a new connection if the connection is lost.

    Args:
        links: Connections to the peers.
        address: Address of the peer.
        message: The message; the peer may receive it more than once.
        deadline: Monotonic time in seconds.

    Raises:
        LinkLostError: The peer was not reached by the deadline.
        PlumvaneError: The peer replied with an error.
    """
    while True:
        try:
            return await links.call(address, message, deadline=deadline)
        except (LinkLostError, DeadlineExceededError) as error:
            if clock.monotonic() >= deadline:
                raise LinkLostError(error.detail) from error
        await anyio.sleep(RETRY_INTERVAL_S)


async def settle_run(links: LinkPool, address: str, message: Settle) -> Settled:
    """Queries a sidecar for the state of a run; `unknown` if it is lost."""
    deadline = clock.monotonic() + SETTLE_TIMEOUT_S
    try:
        reply = await call_with_retries(
            links, address, message, deadline=deadline
        )
    except PlumvaneError:
        return Settled("unknown")
    return reply if isinstance(reply, Settled) else Settled("unknown")


class LinkRunControl(RunControl):
    """Controls runs through calls to the sidecars and entries."""

    def __init__(self, links: LinkPool) -> None:
        """Creates the control.

        Args:
            links: Connections to sidecars and entries.
        """
        self._links = links

    async def settle(self, run: ClaimedRun) -> Settled:
        """See base class."""
        claim = run.claim
        return await settle_run(
            self._links,
            claim.sidecar_address,
            Settle(claim.request_id, claim.deadline, run.claimed_at),
        )

    async def stop(self, run: ClaimedRun) -> None:
        """See base class."""
        claim = run.claim
        async with anyio.create_task_group() as group:
            if claim.entry_address:
                message = StopRun(claim.request_id)
                group.start_soon(self._notify, claim.entry_address, message)
            if claim.sidecar_address:
                cancel = CancelRun(claim.request_id)
                group.start_soon(self._notify, claim.sidecar_address, cancel)

    async def acknowledge(self, run: ClaimedRun) -> None:
        """See base class."""
        message = Acknowledge((run.claim.request_id,))
        await self._notify(run.claim.sidecar_address, message)

    async def _notify(self, address: str, message: Message) -> None:
        deadline = clock.monotonic() + NOTIFY_TIMEOUT_S
        try:
            await call_with_retries(
                self._links, address, message, deadline=deadline
            )
        except PlumvaneError:
            return
