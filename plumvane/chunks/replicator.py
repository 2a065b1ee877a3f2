"""Restores the replication factor of chunks."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator

import anyio

from plumvane import clock, events
from plumvane.chunks.client import REPLICATION_FACTOR, ChunkClient
from plumvane.errors import PlumvaneError
from plumvane.instances.directory import Directory, Instance
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    ChunkRef,
    ChunksFound,
    CopyChunk,
    FindChunks,
)

__all__ = ["ChunkReplicator"]

PASS_INTERVAL_S = 10.0
# Digests in one call, and the delay between calls.
DIGESTS_PER_CALL = 500
CALL_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 5.0


class ChunkReplicator:
    """Compares the referenced chunks with those that bulk instances hold.

    A chunk is copied only if it is under-replicated in two consecutive passes,
    so that a short outage of an instance causes no copies.
    """

    def __init__(
        self,
        directory: Directory,
        links: LinkPool,
        chunks: ChunkClient,
        list_refs: Callable[[], Iterator[ChunkRef]],
    ) -> None:
        """Creates the replicator.

        Args:
            directory: Directory of the instances.
            links: Connections to the bulk instances.
            chunks: Client that ranks the instances for new replicas.
            list_refs: Yields the references to all chunks in use.
        """
        self._directory = directory
        self._links = links
        self._chunks = chunks
        self._list_refs = list_refs
        self._previously_underreplicated: set[str] = set()

    async def run(self) -> None:
        """Checks all referenced chunks periodically; never returns."""
        while True:
            await anyio.sleep(PASS_INTERVAL_S)
            await self.check_all()

    async def check_all(self) -> None:
        """Checks all referenced chunks once."""
        underreplicated: set[str] = set()
        digests = iter([ref.digest for ref in self._list_refs()])
        while batch := list(itertools.islice(digests, DIGESTS_PER_CALL)):
            await self._check_batch(batch, underreplicated)
            await anyio.sleep(CALL_INTERVAL_S)
        self._previously_underreplicated = underreplicated

    async def _check_batch(
        self, digests: list[str], underreplicated: set[str]
    ) -> None:
        holders_by_digest: dict[str, list[Instance]] = {d: [] for d in digests}
        for instance in self._directory.live("bulk"):
            for digest in await self._find(instance, digests):
                holders_by_digest[digest].append(instance)
        for digest, holders in holders_by_digest.items():
            if len(holders) >= REPLICATION_FACTOR:
                continue
            underreplicated.add(digest)
            if digest in self._previously_underreplicated:
                await self._replicate(digest, holders)

    async def _find(
        self, instance: Instance, digests: Iterable[str]
    ) -> tuple[str, ...]:
        try:
            reply = await self._links.call(
                instance.address,
                FindChunks(tuple(digests)),
                deadline=clock.monotonic() + CALL_TIMEOUT_S,
            )
        except PlumvaneError:
            return ()
        return reply.digests if isinstance(reply, ChunksFound) else ()

    async def _replicate(self, digest: str, holders: list[Instance]) -> None:
        if not holders:
            events.log(events.Event.CHUNK_MISSING, chunk=digest)
            return
        sources = tuple(instance.address for instance in holders)
        for target in self._chunks.rank_targets(digest, holders):
            try:
                await self._links.call(
                    target.address,
                    CopyChunk(digest, sources),
                    deadline=clock.monotonic() + CALL_TIMEOUT_S,
                )
            except PlumvaneError:
                continue
            events.log(events.Event.CHUNK_COPIED, chunk=digest, to=target.name)
            return
