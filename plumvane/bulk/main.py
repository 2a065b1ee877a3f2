"""Wiring of plumvane-bulk."""

from __future__ import annotations

import anyio

from plumvane.chunks.client import ChunkClient
from plumvane.chunks.folder import ChunkFolder
from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import OTHER_POLL_S, Directory
from plumvane.instances.reporter import Reporter
from plumvane.metrics import Metric, observe
from plumvane.peers import keys
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    ChunkData,
    ChunksFound,
    ChunkStored,
    CopyChunk,
    FetchChunk,
    FetchDocument,
    FindChunks,
    Message,
    Report,
    StoreChunk,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.process import run_program, supervise
from plumvane.settings import BulkSettings

__all__ = ["Bulk", "run"]

# A leaving instance still serves reads for this.
LINGER_S = 1.0
# Pause between two passes over the chunks on the disk.
SCRUB_S = 20.0


class Bulk:
    """One bulk process."""

    def __init__(self, settings: BulkSettings) -> None:
        """Builds the parts.

        Args:
            settings: Checked settings.
        """
        process = settings.process
        peer_keys = keys.load(settings.keys)
        self._settings = settings
        self._current = CurrentDocument()
        self._links = LinkPool(process.name, peer_keys)
        self._directory = Directory(
            settings.platform.instances_url, OTHER_POLL_S
        )
        self._folder = ChunkFolder(settings.data.folder)
        self._chunks = ChunkClient(self._directory, self._links)
        self._server = PeerServer(str(process.bind_address), peer_keys)
        self._server.handle(StoreChunk, self._store)
        self._server.handle(FetchChunk, self._fetch)
        self._server.handle(FindChunks, self._find)
        self._server.handle(CopyChunk, self._copy)
        self._server.handle(FetchDocument, self._send_document)
        self._reporter = Reporter(
            process.name,
            self._directory,
            self._links,
            self._current,
            self._make_report,
        )
        self._leaving = False
        observe(Metric.DOCUMENT_REVISION, lambda: self._current.revision)

    async def serve(self, stopping: anyio.Event) -> None:
        """Serves until the event is set, then drains."""
        async with anyio.create_task_group() as group:
            await group.start(self._server.run)
            group.start_soon(supervise, self._links.run)
            group.start_soon(supervise, self._directory.run)
            group.start_soon(supervise, self._reporter.run)
            group.start_soon(supervise, self._scrub)
            await stopping.wait()
            self._leaving = True
            await self._reporter.report()
            await anyio.sleep(LINGER_S)
            group.cancel_scope.cancel()

    def _make_report(self) -> Report:
        process = self._settings.process
        return Report(
            process.name,
            "bulk",
            str(process.peer_address),
            process.data_centre,
            "",
            self._current.revision,
            self._leaving,
        )

    async def _scrub(self) -> None:
        while True:
            await self._folder.scrub()
            await anyio.sleep(SCRUB_S)

    async def _store(self, call: Call, message: StoreChunk) -> Message:
        await self._folder.store(message.digest, message.data)
        return ChunkStored(message.digest)

    async def _fetch(self, call: Call, message: FetchChunk) -> Message:
        return ChunkData(await self._folder.fetch(message.digest))

    async def _find(self, call: Call, message: FindChunks) -> Message:
        return ChunksFound(await self._folder.find(message.digests))

    async def _copy(self, call: Call, message: CopyChunk) -> Message:
        data = await self._chunks.fetch(message.digest, message.from_addresses)
        await self._folder.store(message.digest, data)
        return ChunkStored(message.digest)

    async def _send_document(
        self, call: Call, message: FetchDocument
    ) -> Message:
        return self._current.answer(message)


async def _serve(settings: BulkSettings, stopping: anyio.Event) -> None:
    await Bulk(settings).serve(stopping)


def run() -> None:
    """Runs plumvane-bulk."""
    run_program(BulkSettings, _serve)
