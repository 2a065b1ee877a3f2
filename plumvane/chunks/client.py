"""Keeps chunks on two bulk instances and reads them back."""

from __future__ import annotations

from collections.abc import Iterable

from plumvane import clock, hashing
from plumvane.chunks.folder import digest_of
from plumvane.errors import BulkUnavailableError, PlumvaneError
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import ChunkData, FetchChunk, StoreChunk

__all__ = ["COPIES", "ChunkClient"]

COPIES = 2
CALL_TIMEOUT_S = 5.0
RETRY_AFTER_S = 5.0


class ChunkClient:
    """Stores and fetches chunks at bulk instances."""

    def __init__(self, directory: Directory, links: LinkPool) -> None:
        """Creates the client.

        Args:
            directory: Where the bulk instances are.
            links: Connections to them.
        """
        self._directory = directory
        self._links = links

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        """Stores a chunk at two instances, in two data centres if there are.

        Returns:
            The chunk's digest and the addresses that hold it.

        Raises:
            BulkUnavailableError: Fewer than two instances took it.
        """
        digest = digest_of(data)
        held: list[Instance] = []
        untried = self._ranked(digest)
        while untried and len(held) < COPIES:
            centres = {instance.data_centre for instance in held}
            untried.sort(key=lambda i: i.data_centre in centres)
            instance = untried.pop(0)
            if await self._store_at(instance.address, digest, data):
                held.append(instance)
        if len(held) < COPIES:
            raise BulkUnavailableError(
                f"{len(held)} of {COPIES} bulk instances took the chunk.",
                retry_after_s=RETRY_AFTER_S,
            )
        return digest, tuple(instance.address for instance in held)

    async def fetch(self, digest: str, addresses: Iterable[str]) -> bytes:
        """Reads a chunk from the first instance that has it.

        Args:
            digest: The chunk's digest.
            addresses: Where it was stored.

        Raises:
            BulkUnavailableError: No instance gave it.
        """
        others = [i.address for i in self._ranked(digest)]
        for address in dict.fromkeys([*addresses, *others]):
            try:
                reply = await self._links.call(
                    address,
                    FetchChunk(digest),
                    deadline=clock.monotonic() + CALL_TIMEOUT_S,
                )
            except PlumvaneError:
                continue
            if isinstance(reply, ChunkData) and digest_of(reply.data) == digest:
                return reply.data
        raise BulkUnavailableError(
            f"No bulk instance gave chunk {digest}.",
            retry_after_s=RETRY_AFTER_S,
        )

    def _ranked(self, digest: str) -> list[Instance]:
        by_name = {i.name: i for i in self._directory.live("bulk")}
        return [by_name[name] for name in hashing.rank(digest, by_name)]

    async def _store_at(self, address: str, digest: str, data: bytes) -> bool:
        try:
            await self._links.call(
                address,
                StoreChunk(digest, data),
                deadline=clock.monotonic() + CALL_TIMEOUT_S,
            )
        except PlumvaneError:
            return False
        return True
