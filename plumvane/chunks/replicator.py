"""Copies chunks again that have too few copies."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator

import anyio

from plumvane import clock, events
from plumvane.chunks.client import COPIES, ChunkClient
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

PASS_S = 10.0
# Chunks in one question, and the pause between questions.
CHUNKS_PER_CALL = 500
PAUSE_S = 0.5
CALL_TIMEOUT_S = 5.0


class ChunkReplicator:
    """Compares a reference list with what the bulk instances hold.

    A chunk that is short of copies in two passes in a row is copied, so that
    an instance that is silent for a moment causes no copies.
    """

    def __init__(
        self,
        directory: Directory,
        links: LinkPool,
        chunks: ChunkClient,
        refs: Callable[[], Iterator[ChunkRef]],
    ) -> None:
        """Creates the keeper.

        Args:
            directory: Where the bulk instances are.
            links: Connections to them.
            chunks: Chooses where copies go.
            refs: Yields the reference list.
        """
        self._directory = directory
        self._links = links
        self._chunks = chunks
        self._refs = refs
        self._short_before: set[str] = set()

    async def run(self) -> None:
        """Makes passes over the reference list; runs always."""
        while True:
            await anyio.sleep(PASS_S)
            await self.check_all()

    async def check_all(self) -> None:
        """Makes one pass over the reference list."""
        short: set[str] = set()
        digests = iter([ref.digest for ref in self._refs()])
        while batch := list(itertools.islice(digests, CHUNKS_PER_CALL)):
            await self._check(batch, short)
            await anyio.sleep(PAUSE_S)
        self._short_before = short

    async def _check(self, digests: list[str], short: set[str]) -> None:
        holders_by_digest: dict[str, list[Instance]] = {d: [] for d in digests}
        for instance in self._directory.live("bulk"):
            for digest in await self._find(instance, digests):
                holders_by_digest[digest].append(instance)
        for digest, holders in holders_by_digest.items():
            if len(holders) >= COPIES:
                continue
            short.add(digest)
            if digest in self._short_before:
                await self._copy(digest, holders)

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

    async def _copy(self, digest: str, holders: list[Instance]) -> None:
        if not holders:
            events.log(events.Event.CHUNK_MISSING, chunk=digest)
            return
        sources = tuple(instance.address for instance in holders)
        for target in self._chunks.targets(digest, holders):
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
