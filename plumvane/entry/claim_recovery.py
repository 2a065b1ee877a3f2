"""Recovery of entries' claims by the new owner of a partition."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import clock
from plumvane.errors import DeadlineExceededError, LinkLostError, PlumvaneError
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import EntryClaims, FetchClaims, Message
from plumvane.peers.server import Call, PeerServer
from plumvane.requests.ledger import CLAIM_TIMEOUT_S, RequestLedger

__all__ = ["ClaimRecovery"]

RETRY_INTERVAL_S = 0.1

ClaimSource = Callable[[int], EntryClaims]


class ClaimRecovery:
    """Fetches the claims of all entries, and serves those of this entry.

    An unreachable entry whose lease lapsed while it owned partitions is
    treated as dead; an entry that owns none holds no lease. A claim that no
    entry has reported within `CLAIM_TIMEOUT_S` is orphaned, so recovery ends
    after that time.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        links: LinkPool,
        lapsed_owners: Callable[[], set[str]],
    ) -> None:
        """Creates the recovery.

        Args:
            name: Name of this entry.
            directory: Directory of the instances, with all entries.
            links: Connections to the entries.
            lapsed_owners: Returns the names of entries whose lease lapsed
                while they owned partitions.
        """
        self._name = name
        self._directory = directory
        self._links = links
        self._lapsed_owners = lapsed_owners
        self._own_claims: ClaimSource = _no_claims

    def register(self, server: PeerServer, own_claims: ClaimSource) -> None:
        """Registers the handler that serves this entry's claims.

        Args:
            server: Server that other entries call.
            own_claims: Returns this entry's claims on a partition.
        """
        self._own_claims = own_claims
        server.handle(FetchClaims, self._handle_fetch)

    async def run(self, partition: int, ledger: RequestLedger) -> None:
        """Adds the claims of all entries to a new owner's ledger."""
        with anyio.move_on_after(CLAIM_TIMEOUT_S):
            await self._directory.loaded.wait()
            ledger.recover_claims(self._own_claims(partition))
            async with anyio.create_task_group() as group:
                for entry in self._directory.with_role("entry"):
                    if entry.name != self._name:
                        group.start_soon(self._fetch, entry, partition, ledger)
        ledger.finish_recovery()

    async def _fetch(
        self, entry: Instance, partition: int, ledger: RequestLedger
    ) -> None:
        while True:
            try:
                reply = await self._links.call(
                    entry.address,
                    FetchClaims(partition),
                    deadline=clock.monotonic() + CLAIM_TIMEOUT_S,
                )
            except (LinkLostError, DeadlineExceededError):
                if entry.name in self._lapsed_owners():
                    return
            except PlumvaneError:
                return
            else:
                if isinstance(reply, EntryClaims):
                    ledger.recover_claims(reply)
                return
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _handle_fetch(self, call: Call, message: FetchClaims) -> Message:
        return self._own_claims(message.partition)


def _no_claims(partition: int) -> EntryClaims:
    return EntryClaims(())
