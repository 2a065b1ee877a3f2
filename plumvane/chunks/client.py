"""Client that replicates chunks to bulk instances and reads them."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from plumvane import clock, hashing
from plumvane.chunks.folder import digest_of
from plumvane.errors import (
    BulkUnavailableError,
    LinkLostError,
    NotFoundError,
    PlumvaneError,
)
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import ChunkData, FetchChunk, StoreChunk

__all__ = ["REPLICATION_FACTOR", "ChunkClient"]

# Number of bulk instances that store each chunk.
REPLICATION_FACTOR = 2
CALL_TIMEOUT_S = 5.0
RETRY_AFTER_S = 5.0
# An instance whose call failed is tried last for this long.
DEPRIORITIZE_S = 10.0
# Pause before a chunk is sent again to instances whose connection was lost.
RECONNECT_PAUSE_S = 0.1


class ChunkClient:
    """Stores and fetches chunks at bulk instances."""

    def __init__(self, directory: Directory, links: LinkPool) -> None:
        """Creates the client.

        Args:
            directory: Directory of the instances.
            links: Connections to the bulk instances.
        """
        self._directory = directory
        self._links = links
        self._deprioritized_until_by_address: dict[str, float] = {}

    def available(self) -> bool:
        """Returns whether enough bulk instances are live to store a chunk."""
        return len(self._directory.live("bulk")) >= REPLICATION_FACTOR

    def rank_targets(
        self, digest: str, holders: list[Instance]
    ) -> list[Instance]:
        """Returns the candidates for a further replica, best first.

        Instances without a recently failed call come first, then those in data
        centres that have no replica yet, then those with the highest rendezvous
        hash.

        Args:
            digest: Digest of the chunk.
            holders: Instances that have a replica already.
        """
        holder_names = {instance.name for instance in holders}
        data_centres = {instance.data_centre for instance in holders}
        now = clock.monotonic()
        return sorted(
            (
                i
                for i in self._rank_instances(digest)
                if i.name not in holder_names
            ),
            key=lambda i: (
                self._deprioritized_until_by_address.get(i.address, 0.0) > now,
                i.data_centre in data_centres,
            ),
        )

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        """Stores a chunk on two instances, in two data centres if possible.

        If all instances were tried and too few hold the chunk, those whose
        connection was lost are tried once more, over a new connection.

        Returns:
            Digest of the chunk, and addresses of the instances that hold it.

        Raises:
            BulkUnavailableError: Fewer than two instances stored it.
        """
        if not self.available():
            raise BulkUnavailableError(
                f"Fewer than {REPLICATION_FACTOR} bulk instances are live.",
                retry_after_s=RETRY_AFTER_S,
            )
        digest = digest_of(data)
        holders: list[Instance] = []
        lost = await self._add_holders(holders, digest, data)
        if len(holders) < REPLICATION_FACTOR and lost:
            await anyio.sleep(RECONNECT_PAUSE_S)
            await self._add_holders(holders, digest, data, only=lost)
        if len(holders) < REPLICATION_FACTOR:
            raise BulkUnavailableError(
                f"{len(holders)} of {REPLICATION_FACTOR} bulk instances "
                "stored the chunk.",
                retry_after_s=RETRY_AFTER_S,
            )
        return digest, tuple(instance.address for instance in holders)

    async def fetch(self, digest: str, addresses: Iterable[str]) -> bytes:
        """Reads a chunk from the first instance that returns it intact.

        Args:
            digest: Digest of the chunk.
            addresses: Addresses of the instances that it was stored on.

        Raises:
            BulkUnavailableError: No instance returned it.
        """
        for address in self._rank_sources(digest, addresses):
            try:
                reply = await self._links.call(
                    address,
                    FetchChunk(digest),
                    deadline=clock.monotonic() + CALL_TIMEOUT_S,
                )
            except NotFoundError:
                continue
            except PlumvaneError:
                self._deprioritize(address)
                continue
            if isinstance(reply, ChunkData) and digest_of(reply.data) == digest:
                return reply.data
        raise BulkUnavailableError(
            f"No bulk instance gave chunk {digest}.",
            retry_after_s=RETRY_AFTER_S,
        )

    def _rank_instances(self, digest: str) -> list[Instance]:
        live_by_name = {i.name: i for i in self._directory.live("bulk")}
        return [
            live_by_name[name] for name in hashing.rank(digest, live_by_name)
        ]

    async def _add_holders(
        self,
        holders: list[Instance],
        digest: str,
        data: bytes,
        *,
        only: set[str] | None = None,
    ) -> set[str]:
        """Stores a chunk on further instances until enough hold it.

        Args:
            holders: Instances that hold the chunk; new ones are appended.
            digest: Digest of the chunk.
            data: The chunk.
            only: Names of the instances to try; all live ones by default.

        Returns:
            Names of the instances whose connection was lost.
        """
        tried: set[str] = set()
        lost: set[str] = set()
        while len(holders) < REPLICATION_FACTOR:
            candidates = [
                instance
                for instance in self.rank_targets(digest, holders)
                if instance.name not in tried
                and (only is None or instance.name in only)
            ]
            if not candidates:
                break
            target = candidates[0]
            tried.add(target.name)
            try:
                await self._links.call(
                    target.address,
                    StoreChunk(digest, data),
                    deadline=clock.monotonic() + CALL_TIMEOUT_S,
                )
            except PlumvaneError as error:
                self._deprioritize(target.address)
                if isinstance(error, LinkLostError):
                    lost.add(target.name)
                continue
            holders.append(target)
        return lost

    def _rank_sources(self, digest: str, addresses: Iterable[str]) -> list[str]:
        """Returns the addresses that may have a chunk, most likely first.

        Live instances that it was not stored on follow, since a lost replica
        may have been restored there.
        """
        live_addresses = [i.address for i in self._rank_instances(digest)]
        now = clock.monotonic()
        return sorted(
            dict.fromkeys([*addresses, *live_addresses]),
            key=lambda address: (
                address not in live_addresses,
                self._deprioritized_until_by_address.get(address, 0.0) > now,
            ),
        )

    def _deprioritize(self, address: str) -> None:
        """Moves an instance to the end of the candidates for a while."""
        self._deprioritized_until_by_address[address] = (
            clock.monotonic() + DEPRIORITIZE_S
        )
