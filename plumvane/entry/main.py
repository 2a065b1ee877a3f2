"""Entry point of plumvane-entry."""

from __future__ import annotations

import contextlib

import anyio
import anyio.abc
from starlette.requests import Request as HttpRequest
from starlette.responses import Response

from plumvane import hashing, metrics
from plumvane.chunks.client import ChunkClient
from plumvane.chunks.replicator import ChunkReplicator
from plumvane.console.app import Console
from plumvane.console.sessions import Sessions
from plumvane.entry.api import Api
from plumvane.entry.batches import BatchService
from plumvane.entry.checks import NAMES_BY_POLICY
from plumvane.entry.claim_recovery import ClaimRecovery
from plumvane.entry.fleet_api import FleetApi
from plumvane.entry.gauges import register_entry_gauges
from plumvane.entry.host import PartitionHost
from plumvane.entry.owners import OwnerClient
from plumvane.entry.runner import RequestRunner
from plumvane.entry.status import FleetStatus
from plumvane.errors import StoreUnavailableError
from plumvane.fleet.current import CurrentDocument, PeerWatch, watch_store
from plumvane.fleet.revisions import DocumentStore
from plumvane.instances.directory import Directory
from plumvane.limits.teams import TeamLimits
from plumvane.partitions.ownership import Ownership
from plumvane.peers import keys
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    Done,
    FetchDocument,
    FetchViews,
    Message,
    OrderLease,
    PlanLoad,
    Report,
    ReportReply,
    TakePartition,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.process import freeze_loaded, run_program, supervise
from plumvane.settings import EntrySettings
from plumvane.store.http import HttpStore
from plumvane.upstreams.order_leases import OrderLeases
from plumvane.web import HttpServer, Tls, bind

__all__ = ["Entry", "run"]

DRAIN_POLL_INTERVAL_S = 0.05
# Requests still running after this time are cancelled.
DRAIN_TIMEOUT_S = 300.0
# Time for the platform's load balancer to see that the entry is not ready.
UNREADY_DELAY_S = 0.5
# Number of other entries from which an entry fetches newer documents.
DOCUMENT_PEER_COUNT = 3


class Entry:
    """One entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        """Creates the components.

        Args:
            settings: Validated settings.
        """
        process = settings.process
        peer_keys = keys.load(settings.keys)
        self._settings = settings
        self._name = process.name
        self._address = str(process.peer_address)
        self._current = CurrentDocument()
        self._links = LinkPool(process.name, peer_keys)
        self._directory = Directory(settings.platform.instances_url)
        self._store = HttpStore(settings.platform.store_url or "")
        self._claim_recovery = ClaimRecovery(
            process.name,
            self._directory,
            self._links,
            lambda: self._ownership.lapsed_owners(),
        )
        self._chunks = ChunkClient(self._directory, self._links)
        self._host = PartitionHost(
            self._current,
            self._links,
            lambda: self._ownership.has_valid_lease(),
            store_is_down=self._store.is_down,
            claim_recovery=self._claim_recovery,
            address=self._address,
            chunks=self._chunks,
        )
        self._ownership = Ownership(
            self._store,
            process.name,
            self._address,
            peers=self._entry_addresses,
            on_taken=self._host.add_partition,
            on_lost=self._host.remove_partition,
            links=self._links,
            retention_s=lambda: self._current.document.retention_s,
        )
        self._replicator = ChunkReplicator(
            self._directory, self._links, self._chunks, self._host.chunks
        )
        self._owners = OwnerClient(
            self._ownership, self._host, self._links, self._store.is_down
        )
        self._server = PeerServer(str(process.bind_address), peer_keys)
        self._server.handle_sync(Report, self._handle_report)
        self._server.handle(FetchDocument, self._send_document)
        self._order_leases = OrderLeases(
            self._store,
            self._current,
            lambda model: {
                i.address for i in self._directory.live("sidecar", model)
            },
        )
        self._server.handle(OrderLease, self._grant_order_lease)
        self._server.handle(PlanLoad, self._plan_load)
        self._server.handle(TakePartition, self._take_partition)
        self._host.register(self._server)
        self._status = FleetStatus(
            process.name, self._directory, self._links, self._current
        )
        self._server.handle(FetchViews, self._status.handle_fetch_views)
        self._documents = DocumentStore(self._store, process.name)
        self._peer_watch = PeerWatch(
            self._links, self._current, self._document_peers
        )
        self._is_draining = False

    async def serve(self, stopping: anyio.Event) -> None:
        """Serves until the event is set, then drains."""
        async with anyio.create_task_group() as group:
            await group.start(self._server.run)
            for task in (
                self._links.run,
                self._directory.run,
                self._host.run,
                self._ownership.run,
                self._host.expire_claims,
                self._host.wake_sidecars,
                self._replicator.run,
                self._watch_document,
                self._peer_watch.run,
                self._documents.run,
            ):
                group.start_soon(supervise, task)
            async with anyio.create_task_group() as request_group:
                runner = self._make_runner(request_group)
                runner.register(self._server)
                self._claim_recovery.register(
                    self._server, runner.claims_for_partition
                )
                web = self._make_web(runner)
                group.start_soon(web.run)
                group.start_soon(supervise, runner.renew_claims)
                await stopping.wait()
                if not await self._drain(runner, web):
                    request_group.cancel_scope.cancel()
            group.cancel_scope.cancel()

    async def _drain(self, runner: RequestRunner, web: HttpServer) -> bool:
        """Waits for running requests, moves the partitions, stops the server.

        Returns:
            Whether all requests and responses ended within
            `DRAIN_TIMEOUT_S`. The caller cancels the remaining ones.
        """
        self._is_draining = True
        with anyio.move_on_after(DRAIN_TIMEOUT_S) as timeout_scope:
            await anyio.sleep(UNREADY_DELAY_S)
            while runner.active_count:
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            await self._ownership.leave()
            with contextlib.suppress(StoreUnavailableError):
                await self._documents.flush()
            web.stop()
            await web.stopped()
        return not timeout_scope.cancelled_caught

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
        batches = BatchService(self._owners, self._chunks, self._current)
        api = Api(
            self._current,
            runner,
            batches,
            self._owners,
            self._directory,
            FleetApi(self._current, self._documents, self._status),
            TeamLimits(
                lambda: self._current.document,
                lambda: len(self._directory.live("entry")),
            ),
            lambda: self._is_draining,
        )
        http = self._settings.http
        tls = None
        if http.certificate_file and http.key_file:
            tls = Tls(str(http.certificate_file), str(http.key_file))
        listener = bind(http.address.host, http.address.port)
        app = api.application()
        app.mount("/console", self._make_console(batches, tls).application())
        app.add_route("/metrics", _serve_metrics)
        metrics.configure()
        register_entry_gauges(
            self._current,
            self._directory,
            self._host,
            self._ownership.owned,
            self._owners,
        )
        # All modules, such as OpenTelemetry and the console, are now loaded.
        freeze_loaded()
        return HttpServer(metrics.TimedApp(app), listener, tls)

    def _make_console(self, batches: BatchService, tls: Tls | None) -> Console:
        return Console(
            self._current,
            self._documents,
            Sessions(self._store),
            names_by_policy=NAMES_BY_POLICY,
            instances=self._status.instances,
            jobs=batches.list,
            is_secure=tls is not None,
        )

    async def _watch_document(self) -> None:
        await watch_store(self._store, self._current)

    def _entry_addresses(self) -> dict[str, str]:
        return {i.name: i.address for i in self._directory.live("entry")}

    async def _grant_order_lease(
        self, call: Call, message: OrderLease
    ) -> Message:
        return await self._order_leases.grant(message)

    async def _plan_load(self, call: Call, message: PlanLoad) -> Message:
        await self._order_leases.plan_load(message)
        return Done()

    async def _take_partition(
        self, call: Call, message: TakePartition
    ) -> Message:
        await self._ownership.take_from_owner(message.partition, message.epoch)
        return Done()

    def _document_peers(self) -> list[str]:
        names = [n for n in self._entry_addresses() if n != self._name]
        chosen = hashing.rank(self._name, names)[:DOCUMENT_PEER_COUNT]
        instances = [self._directory.by_name(name) for name in chosen]
        return [instance.address for instance in instances if instance]

    def _handle_report(self, message: Report) -> Message:
        self._directory.apply_report(message)
        self._peer_watch.hint(message.address, message.revision)
        return ReportReply(
            self._current.revision, tuple(self._ownership.owner_addresses())
        )

    async def _send_document(
        self, call: Call, message: FetchDocument
    ) -> Message:
        return self._current.answer(message)


async def _serve_metrics(http: HttpRequest) -> Response:
    return Response(
        metrics.exposition(), headers={"content-type": metrics.CONTENT_TYPE}
    )


async def _serve(settings: EntrySettings, stopping: anyio.Event) -> None:
    await Entry(settings).serve(stopping)


def run() -> None:
    """Runs plumvane-entry."""
    run_program(EntrySettings, _serve)
