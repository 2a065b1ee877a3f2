"""Reaches the sidecars and entries that run claimed requests."""

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

# A sidecar that cannot be reached for this is lost.
SETTLE_S = 3.0
STOP_S = 4.0
RETRY_S = 0.1


async def call_with_retries(
    links: LinkPool, address: str, message: Message, *, deadline: float
) -> Message:
    """Calls a peer again over a new connection while the link is lost.

    Args:
        links: Connections to the peers.
        address: Address of the peer.
        message: A message that the peer may get twice.
        deadline: Monotonic time in seconds.

    Raises:
        LinkLostError: The peer was not reached by the deadline.
        PlumvaneError: The peer's error.
    """
    while True:
        try:
            return await links.call(address, message, deadline=deadline)
        except (LinkLostError, DeadlineExceededError) as error:
            if clock.monotonic() >= deadline:
                raise LinkLostError(error.detail) from error
        await anyio.sleep(RETRY_S)


async def settle_run(links: LinkPool, address: str, message: Settle) -> Settled:
    """Asks a sidecar what became of a run; `unknown` if it is lost."""
    deadline = clock.monotonic() + SETTLE_S
    try:
        reply = await call_with_retries(
            links, address, message, deadline=deadline
        )
    except PlumvaneError:
        return Settled("unknown")
    return reply if isinstance(reply, Settled) else Settled("unknown")


class LinkRunControl(RunControl):
    """Reaches runs over the links to peers."""

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
                group.start_soon(self._tell, claim.entry_address, message)
            if claim.sidecar_address:
                cancel = CancelRun(claim.request_id)
                group.start_soon(self._tell, claim.sidecar_address, cancel)

    async def forget(self, run: ClaimedRun) -> None:
        """See base class."""
        message = Acknowledge((run.claim.request_id,))
        await self._tell(run.claim.sidecar_address, message)

    async def _tell(self, address: str, message: Message) -> None:
        deadline = clock.monotonic() + STOP_S
        try:
            await call_with_retries(
                self._links, address, message, deadline=deadline
            )
        except PlumvaneError:
            return
