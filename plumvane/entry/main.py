"""Wiring of plumvane-entry."""

from __future__ import annotations

import anyio
import anyio.abc

from plumvane.chunks.client import ChunkClient
from plumvane.entry.api import Api
from plumvane.entry.batches import BatchService
from plumvane.entry.host import PartitionHost
from plumvane.entry.owners import OwnerClient
from plumvane.entry.runner import RequestRunner
from plumvane.entry.status import FleetStatus
from plumvane.fleet.current import CurrentDocument, watch_store
from plumvane.fleet.revisions import DocumentStore
from plumvane.instances.directory import Directory
from plumvane.partitions.ownership import Ownership
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    DocumentData,
    Done,
    FetchDocument,
    FetchViews,
    Message,
    Report,
    ReportReply,
    TakePartition,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.process import run_program, supervise
from plumvane.settings import EntrySettings
from plumvane.store.http import HttpStore
from plumvane.web import HttpServer, Tls, bind

__all__ = ["Entry", "run"]

DRAIN_POLL_S = 0.05
# The platform's balancer needs this to see that the entry is not ready.
UNREADY_S = 0.5


class Entry:
    """One entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        """Builds the parts.

        Args:
            settings: Checked settings.
        """
        process = settings.process
        self._settings = settings
        self._address = str(process.peer_address)
        self._current = CurrentDocument()
        self._links = LinkPool(process.name)
        self._directory = Directory(settings.platform.instances_url)
        self._store = HttpStore(settings.platform.store_url or "")
        self._host = PartitionHost(
            self._current, self._links, lambda: self._ownership.may_promise()
        )
        self._ownership = Ownership(
            self._store,
            process.name,
            self._address,
            peers=self._entry_addresses,
            on_taken=self._host.take,
            on_lost=self._host.drop,
            links=self._links,
            retention_s=lambda: self._current.document.retention_s,
        )
        self._owners = OwnerClient(self._ownership, self._host, self._links)
        self._server = PeerServer(str(process.bind_address))
        self._server.handle(Report, self._take_report)
        self._server.handle(FetchDocument, self._send_document)
        self._server.handle(TakePartition, self._take_partition)
        self._host.register(self._server)
        self._status = FleetStatus(
            process.name, self._directory, self._links, self._current
        )
        self._server.handle(FetchViews, self._status.send_views)
        self._leaving = False

    async def serve(self, stopping: anyio.Event) -> None:
        """Serves until the event is set, then drains."""
        async with anyio.create_task_group() as group:
            await group.start(self._server.run)
            for task in (
                self._links.run,
                self._directory.run,
                self._ownership.run,
                self._host.expire_claims,
                self._watch_document,
            ):
                group.start_soon(supervise, task)
            async with anyio.create_task_group() as runs:
                runner = self._make_runner(runs)
                web = self._make_web(runner)
                group.start_soon(web.run)
                group.start_soon(supervise, runner.renew_claims)
                await stopping.wait()
                await self._drain(runner, web)
            group.cancel_scope.cancel()

    async def _drain(self, runner: RequestRunner, web: HttpServer) -> None:
        self._leaving = True
        await anyio.sleep(UNREADY_S)
        while runner.active:
            await anyio.sleep(DRAIN_POLL_S)
        await self._ownership.leave()
        web.stop()

    def _make_runner(self, group: anyio.abc.TaskGroup) -> RequestRunner:
        return RequestRunner(
            self._settings.process.name,
            self._address,
            self._owners,
            self._directory,
            self._links,
            self._current,
            group,
        )

    def _make_web(self, runner: RequestRunner) -> HttpServer:
        chunks = ChunkClient(self._directory, self._links)
        api = Api(
            self._current,
            runner,
            BatchService(self._owners, chunks, self._current),
            self._owners,
            DocumentStore(self._store, self._settings.process.name),
            self._directory,
            self._status,
            lambda: self._leaving,
        )
        http = self._settings.http
        tls = None
        if http.certificate_file and http.key_file:
            tls = Tls(str(http.certificate_file), str(http.key_file))
        bound = bind(http.address.host, http.address.port)
        return HttpServer(api.application(), bound, tls)

    async def _watch_document(self) -> None:
        await watch_store(self._store, self._current)

    def _entry_addresses(self) -> dict[str, str]:
        return {i.name: i.address for i in self._directory.live("entry")}

    async def _take_partition(
        self, call: Call, message: TakePartition
    ) -> Message:
        await self._ownership.take_from_owner(message.partition, message.epoch)
        return Done()

    async def _take_report(self, call: Call, message: Report) -> Message:
        self._directory.take_report(message)
        return ReportReply(
            self._current.revision, tuple(self._ownership.owner_addresses())
        )

    async def _send_document(
        self, call: Call, message: FetchDocument
    ) -> Message:
        return DocumentData(self._current.revision, self._current.data)


async def _serve(settings: EntrySettings, stopping: anyio.Event) -> None:
    await Entry(settings).serve(stopping)


def run() -> None:
    """Runs plumvane-entry."""
    run_program(EntrySettings, _serve)
