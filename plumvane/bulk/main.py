"""Main module of plumvane-bulk."""

from __future__ import annotations

import anyio

from plumvane import events
from plumvane.chunks.client import ChunkClient
from plumvane.chunks.folder import ChunkFolder
from plumvane.chunks.references import ReferenceTracker
from plumvane.member import Member
from plumvane.peers.messages import (
    ChunkData,
    ChunksFound,
    ChunkStored,
    CopyChunk,
    FetchChunk,
    FindChunks,
    Message,
    StoreChunk,
)
from plumvane.peers.server import Call
from plumvane.process import run_program, supervise
from plumvane.settings import BulkSettings

__all__ = ["Bulk", "run"]

# An instance still serves reads for this long after it has reported that it is
# leaving.
SHUTDOWN_DELAY_S = 1.0
# Delay between two passes over the chunks on the disk.
SCRUB_INTERVAL_S = 20.0


class Bulk:
    """A bulk process, which stores chunks on its disk."""

    def __init__(self, settings: BulkSettings) -> None:
        """Creates the components and registers the message handlers.

        Args:
            settings: Validated settings.
        """
        self._member = Member(settings, "bulk")
        self._folder = ChunkFolder(settings.data.folder)
        self._references = ReferenceTracker()
        self._chunks = ChunkClient(self._member.directory, self._member.links)
        server = self._member.server
        server.handle(StoreChunk, self._store)
        server.handle(FetchChunk, self._fetch)
        server.handle(FindChunks, self._find)
        server.handle(CopyChunk, self._replicate)

    async def serve(self, stopping: anyio.Event) -> None:
        """Serves until the event is set, then leaves the fleet."""
        async with anyio.create_task_group() as group:
            await self._member.start(group)
            group.start_soon(supervise, self._scrub)
            await stopping.wait()
            await self._member.leave()
            await anyio.sleep(SHUTDOWN_DELAY_S)
            group.cancel_scope.cancel()

    async def _scrub(self) -> None:
        while True:
            await self._folder.scrub()
            await self._remove_unreferenced()
            await anyio.sleep(SCRUB_INTERVAL_S)

    async def _remove_unreferenced(self) -> None:
        cutoff = self._references.removal_cutoff()
        if cutoff is None:
            return
        removed = await self._folder.remove_unreferenced(cutoff)
        if removed:
            events.log(events.Event.CHUNKS_REMOVED, chunks=removed)

    async def _store(self, call: Call, message: StoreChunk) -> Message:
        await self._folder.store(message.digest, message.data)
        return ChunkStored(message.digest)

    async def _fetch(self, call: Call, message: FetchChunk) -> Message:
        return ChunkData(await self._folder.fetch(message.digest))

    async def _find(self, call: Call, message: FindChunks) -> Message:
        self._references.record_query()
        return ChunksFound(await self._folder.find(message.digests))

    async def _replicate(self, call: Call, message: CopyChunk) -> Message:
        data = await self._chunks.fetch(message.digest, message.from_addresses)
        await self._folder.store(message.digest, data)
        return ChunkStored(message.digest)


async def _serve(settings: BulkSettings, stopping: anyio.Event) -> None:
    await Bulk(settings).serve(stopping)


def run() -> None:
    """Runs plumvane-bulk."""
    run_program(BulkSettings, _serve)
