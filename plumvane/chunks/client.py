"""Keeps chunks on two bulk instances and reads them back."""

from __future__ import annotations

from collections.abc import Iterable

from plumvane import clock, hashing
from plumvane.chunks.folder import digest_of
from plumvane.errors import (
    BulkUnavailableError,
    NotFoundError,
    PlumvaneError,
)
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import ChunkData, FetchChunk, StoreChunk

__all__ = ["COPIES", "ChunkClient"]

COPIES = 2
CALL_TIMEOUT_S = 5.0
RETRY_AFTER_S = 5.0
# An instance that did not answer is tried last for this.
AVOID_S = 10.0


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
        self._avoid_until_by_address: dict[str, float] = {}

    def available(self) -> bool:
        """Returns whether enough instances are live to keep a chunk safe."""
        return len(self._directory.live("bulk")) >= COPIES

    def targets(self, digest: str, holders: list[Instance]) -> list[Instance]:
        """Returns where a further copy may go, the best place first.

        Args:
            digest: The chunk's digest.
            holders: Instances that hold it.
        """
        names = {instance.name for instance in holders}
        centres = {instance.data_centre for instance in holders}
        now = clock.monotonic()
        return sorted(
            (i for i in self._ranked(digest) if i.name not in names),
            key=lambda i: (
                self._avoid_until_by_address.get(i.address, 0.0) > now,
                i.data_centre in centres,
            ),
        )

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        """Stores a chunk at two instances, in two data centres if there are.

        Returns:
            The chunk's digest and the addresses that hold it.

        Raises:
            BulkUnavailableError: Fewer than two instances took it.
        """
        if not self.available():
            raise BulkUnavailableError(
                f"Fewer than {COPIES} bulk instances are live.",
                retry_after_s=RETRY_AFTER_S,
            )
        digest = digest_of(data)
        held: list[Instance] = []
        tried: set[str] = set()
        while len(held) < COPIES:
            targets = [
                instance
                for instance in self.targets(digest, held)
                if instance.name not in tried
            ]
            if not targets:
                raise BulkUnavailableError(
                    f"{len(held)} of {COPIES} bulk instances took the chunk.",
                    retry_after_s=RETRY_AFTER_S,
                )
            tried.add(targets[0].name)
            if await self._store_at(targets[0].address, digest, data):
                held.append(targets[0])
        return digest, tuple(instance.address for instance in held)

    async def fetch(self, digest: str, addresses: Iterable[str]) -> bytes:
        """Reads a chunk from the first instance that has it.

        Args:
            digest: The chunk's digest.
            addresses: Where it was stored.

        Raises:
            BulkUnavailableError: No instance gave it.
        """
        for address in self._sources(digest, addresses):
            try:
                reply = await self._links.call(
                    address,
                    FetchChunk(digest),
                    deadline=clock.monotonic() + CALL_TIMEOUT_S,
                )
            except NotFoundError:
                continue
            except PlumvaneError:
                self._avoid(address)
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
            self._avoid(address)
            return False
        return True

    def _sources(self, digest: str, addresses: Iterable[str]) -> list[str]:
        """Returns where a chunk may be, the likeliest place first."""
        live = [i.address for i in self._ranked(digest)]
        now = clock.monotonic()
        return sorted(
            dict.fromkeys([*addresses, *live]),
            key=lambda address: (
                address not in live,
                self._avoid_until_by_address.get(address, 0.0) > now,
            ),
        )

    def _avoid(self, address: str) -> None:
        """Tries an instance that did not answer last for a while."""
        self._avoid_until_by_address[address] = clock.monotonic() + AVOID_S
