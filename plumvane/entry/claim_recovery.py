"""Fetches entries' claims for a partition that was just taken over."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import clock
from plumvane.errors import DeadlineExceededError, LinkLostError, PlumvaneError
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import EntryClaims, FetchClaims, Message
from plumvane.peers.server import Call, PeerServer
from plumvane.requests.ledger import CLAIM_SILENCE_S, RequestLedger

__all__ = ["ClaimRecovery"]

RETRY_S = 0.1

ClaimSource = Callable[[int], EntryClaims]


class ClaimRecovery:
    """Asks all entries for their claims on a partition, and answers so too.

    An entry that cannot be reached and whose lease lapsed while it owned
    partitions is taken for dead; one that owns none holds no lease. A
    claim that no entry has announced by `CLAIM_SILENCE_S` is orphaned, so
    nothing waits for longer.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        links: LinkPool,
        lapsed_owners: Callable[[], set[str]],
    ) -> None:
        """Creates the inheritance.

        Args:
            name: Name of this entry.
            directory: Knows the entries.
            links: Connections to them.
            lapsed_owners: Returns the names of entries whose lease lapsed
                while they owned partitions.
        """
        self._name = name
        self._directory = directory
        self._links = links
        self._lapsed_owners = lapsed_owners
        self._own_claims: ClaimSource = _no_claims

    def register(self, server: PeerServer, own_claims: ClaimSource) -> None:
        """Answers other entries with the claims of this one.

        Args:
            server: Server that the others call.
            own_claims: Returns this entry's claims on a partition.
        """
        self._own_claims = own_claims
        server.handle(FetchClaims, self._send)

    async def run(self, partition: int, ledger: RequestLedger) -> None:
        """Announces all entries' claims to a new owner's ledger."""
        with anyio.move_on_after(CLAIM_SILENCE_S):
            await self._directory.loaded.wait()
            ledger.announce(self._own_claims(partition))
            async with anyio.create_task_group() as group:
                for entry in self._directory.with_role("entry"):
                    if entry.name != self._name:
                        group.start_soon(self._ask, entry, partition, ledger)
        ledger.finish_inheriting()

    async def _ask(
        self, entry: Instance, partition: int, ledger: RequestLedger
    ) -> None:
        while True:
            try:
                reply = await self._links.call(
                    entry.address,
                    FetchClaims(partition),
                    deadline=clock.monotonic() + CLAIM_SILENCE_S,
                )
            except (LinkLostError, DeadlineExceededError):
                if entry.name in self._lapsed_owners():
                    return
            except PlumvaneError:
                return
            else:
                if isinstance(reply, EntryClaims):
                    ledger.announce(reply)
                return
            await anyio.sleep(RETRY_S)

    async def _send(self, call: Call, message: FetchClaims) -> Message:
        return self._own_claims(message.partition)


def _no_claims(partition: int) -> EntryClaims:
    return EntryClaims(())
