"""Wiring of plumvane-sidecar."""

from __future__ import annotations

import anyio

from plumvane.chunks.client import ChunkClient
from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import OTHER_POLL_S, Directory
from plumvane.instances.reporter import Reporter
from plumvane.metrics import Metric, observe
from plumvane.peers import keys
from plumvane.peers.link import LinkPool
from plumvane.peers.messages import (
    FetchDocument,
    Message,
    Report,
    WorkWaiting,
)
from plumvane.peers.server import Call, PeerServer
from plumvane.process import run_program, supervise
from plumvane.settings import SidecarSettings
from plumvane.sidecar.batch import BatchWorker
from plumvane.sidecar.dispatcher import Dispatcher
from plumvane.upstreams.admission import make_admission
from plumvane.upstreams.engine import EngineClient
from plumvane.upstreams.gate import Gate
from plumvane.upstreams.orders import OrderSender
from plumvane.upstreams.runs import RunTable
from plumvane.upstreams.service import ServiceClient

__all__ = ["Sidecar", "run"]

SWEEP_S = 5.0
DRAIN_POLL_S = 0.05
# A drain ends after this, whatever still runs.
DRAIN_S = 300.0
# How long an answer that its entry has not acknowledged keeps a drain up.
ACKNOWLEDGE_S = 10.0


class Sidecar:
    """One sidecar process."""

    def __init__(self, settings: SidecarSettings) -> None:
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
        self._runs = RunTable()
        self._gate = Gate(make_admission(self._current.document.policies))
        self._server = PeerServer(str(process.bind_address), peer_keys)
        self._server.handle(FetchDocument, self._send_document)
        self._reporter = Reporter(
            process.name,
            self._directory,
            self._links,
            self._current,
            self._make_report,
        )
        self._upstream: EngineClient | ServiceClient
        self._batch: BatchWorker | None = None
        self._orders: OrderSender | None = None
        if settings.upstream.kind == "engine":
            self._upstream = EngineClient(
                settings.upstream.url, self._gate.observe_step
            )
            self._batch = BatchWorker(
                settings.upstream.serves,
                str(process.peer_address),
                self._gate,
                self._upstream,
                self._links,
                ChunkClient(self._directory, self._links),
                self._reporter,
            )
            self._orders = OrderSender(
                settings.upstream.serves,
                settings.upstream.url,
                self._current,
                self._links,
                self._entry_addresses,
            )
            self._server.handle(WorkWaiting, self._batch.wake)
        else:
            self._upstream = ServiceClient(settings.upstream.url)
        self._leaving = False
        observe(Metric.DOCUMENT_REVISION, lambda: self._current.revision)
        observe(Metric.UPSTREAM_ONLINE, lambda: self._gate.online)
        observe(Metric.UPSTREAM_BATCH, lambda: self._gate.batch)
        observe(Metric.UPSTREAM_LIMIT, lambda: self._gate.policy.limit())

    async def serve(self, stopping: anyio.Event) -> None:
        """Serves until the event is set, then drains."""
        async with anyio.create_task_group() as group:
            await group.start(self._server.run)
            group.start_soon(supervise, self._links.run)
            group.start_soon(supervise, self._directory.run)
            group.start_soon(supervise, self._reporter.run)
            group.start_soon(supervise, self._follow_document)
            group.start_soon(supervise, self._sweep)
            if self._orders is not None:
                group.start_soon(supervise, self._orders.run)
            batch_done = anyio.Event()
            if self._batch is not None:
                group.start_soon(self._run_batch, self._batch, batch_done)
            else:
                batch_done.set()
            async with anyio.create_task_group() as runs:
                dispatcher = Dispatcher(
                    self._runs,
                    self._gate,
                    self._upstream,
                    runs,
                    lambda: self._leaving,
                )
                dispatcher.register(self._server)
                await stopping.wait()
                await self._drain(batch_done)
            group.cancel_scope.cancel()

    async def _run_batch(self, batch: BatchWorker, done: anyio.Event) -> None:
        await batch.run()
        done.set()

    async def _drain(self, batch_done: anyio.Event) -> None:
        self._leaving = True
        if self._batch is not None:
            self._batch.leave()
        with anyio.move_on_after(DRAIN_S):
            await self._reporter.report()
            await batch_done.wait()
            while self._runs.active():
                await anyio.sleep(DRAIN_POLL_S)
            with anyio.move_on_after(ACKNOWLEDGE_S):
                while len(self._runs):
                    await anyio.sleep(DRAIN_POLL_S)

    async def _follow_document(self) -> None:
        """Puts each new document in force."""
        while True:
            document = self._current.document
            model = self._settings.upstream.serves
            policy = make_admission(document.policies)
            if type(policy) is not type(self._gate.policy):
                self._gate.policy = policy
            self._gate.policy.configure(
                document.policies,
                [
                    w
                    for w in document.workloads.values()
                    if w.kind == "online" and w.model == model
                ],
            )
            self._gate.refresh()
            await self._current.changed()

    def _entry_addresses(self) -> list[str]:
        return [i.address for i in self._directory.live("entry")]

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_S)
            self._runs.sweep()

    def _make_report(self) -> Report:
        process = self._settings.process
        return Report(
            process.name,
            "sidecar",
            str(process.peer_address),
            process.data_centre,
            self._settings.upstream.serves,
            self._current.revision,
            self._leaving,
            self._gate.load(),
        )

    async def _send_document(
        self, call: Call, message: FetchDocument
    ) -> Message:
        return self._current.answer(message)


async def _serve(settings: SidecarSettings, stopping: anyio.Event) -> None:
    await Sidecar(settings).serve(stopping)


def run() -> None:
    """Runs plumvane-sidecar."""
    run_program(SidecarSettings, _serve)
