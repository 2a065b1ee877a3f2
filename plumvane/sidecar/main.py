"""Main module of plumvane-sidecar."""

from __future__ import annotations

import anyio

from plumvane.chunks.client import ChunkClient
from plumvane.fleet.document import Policies
from plumvane.member import Member
from plumvane.metrics import Metric, observe
from plumvane.peers.messages import WorkWaiting
from plumvane.process import run_program, supervise
from plumvane.settings import SidecarSettings
from plumvane.sidecar.batch import BatchWorker
from plumvane.sidecar.dispatcher import Dispatcher
from plumvane.upstreams.admission import make_admission
from plumvane.upstreams.admission_controller import AdmissionController
from plumvane.upstreams.engine import EngineClient
from plumvane.upstreams.orders import OrderSender
from plumvane.upstreams.runs import RunTable
from plumvane.upstreams.service import ServiceClient

__all__ = ["Sidecar", "run"]

SWEEP_INTERVAL_S = 5.0
DRAIN_POLL_INTERVAL_S = 0.05
# Time limit of a drain, after which the remaining runs are cancelled.
DRAIN_TIMEOUT_S = 300.0
# Time that a drain waits for entries to acknowledge outcomes.
ACKNOWLEDGE_TIMEOUT_S = 10.0


class Sidecar:
    """A sidecar process, which runs requests and batch items at an upstream."""

    def __init__(self, settings: SidecarSettings) -> None:
        """Creates the components.

        Args:
            settings: Validated settings.
        """
        self._serves = settings.upstream.serves
        self._runs = RunTable()
        self._admission = AdmissionController(make_admission(Policies()))
        self._member = Member(
            settings, "sidecar", serves=self._serves, load=self._admission.load
        )
        self._upstream: EngineClient | ServiceClient
        self._batch_worker: BatchWorker | None = None
        self._order_sender: OrderSender | None = None
        if settings.upstream.kind == "engine":
            self._upstream = EngineClient(
                settings.upstream.url, self._admission.observe_step
            )
            self._batch_worker = self._make_batch_worker(self._upstream)
            self._order_sender = OrderSender(
                self._serves,
                settings.upstream.url,
                self._member.address,
                self._member.current,
                self._member.links,
                self._entry_addresses,
            )
            self._member.server.handle(WorkWaiting, self._batch_worker.wake)
        else:
            self._upstream = ServiceClient(settings.upstream.url)
        observe(Metric.UPSTREAM_ONLINE, lambda: self._admission.online)
        observe(Metric.UPSTREAM_BATCH, lambda: self._admission.batch)
        observe(Metric.UPSTREAM_LIMIT, lambda: self._admission.policy.limit())

    async def serve(self, stopping: anyio.Event) -> None:
        """Serves until the event is set, then drains."""
        async with anyio.create_task_group() as group:
            await self._member.start(group)
            group.start_soon(supervise, self._apply_documents)
            group.start_soon(supervise, self._sweep_runs)
            if self._order_sender is not None:
                group.start_soon(supervise, self._order_sender.run)
            batch_done = anyio.Event()
            if self._batch_worker is not None:
                group.start_soon(
                    self._run_batch, self._batch_worker, batch_done
                )
            else:
                batch_done.set()
            async with anyio.create_task_group() as run_group:
                dispatcher = Dispatcher(
                    self._runs,
                    self._admission,
                    self._upstream,
                    run_group,
                    lambda: self._member.leaving,
                )
                dispatcher.register(self._member.server)
                await stopping.wait()
                if not await self._drain(batch_done):
                    run_group.cancel_scope.cancel()
            group.cancel_scope.cancel()

    async def _run_batch(self, worker: BatchWorker, done: anyio.Event) -> None:
        await worker.run()
        done.set()

    async def _drain(self, batch_done: anyio.Event) -> bool:
        """Waits for the running work; returns whether it ended in time."""
        self._member.leaving = True
        if self._batch_worker is not None:
            self._batch_worker.leave()
        with anyio.move_on_after(DRAIN_TIMEOUT_S) as drain_scope:
            await self._member.leave()
            await batch_done.wait()
            while self._runs.active():
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            with anyio.move_on_after(ACKNOWLEDGE_TIMEOUT_S):
                while len(self._runs):
                    await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        return not drain_scope.cancelled_caught

    async def _apply_documents(self) -> None:
        """Applies each new revision of the document to the admission policy."""
        while True:
            document = self._member.current.document
            policy = make_admission(document.policies)
            if type(policy) is not type(self._admission.policy):
                self._admission.policy = policy
            self._admission.policy.configure(
                document.policies,
                [
                    workload
                    for workload in document.workloads.values()
                    if workload.kind == "online"
                    and workload.model == self._serves
                ],
            )
            self._admission.refresh()
            await self._member.current.changed()

    def _make_batch_worker(self, engine: EngineClient) -> BatchWorker:
        member = self._member
        return BatchWorker(
            self._serves,
            member.address,
            self._admission,
            engine,
            member.links,
            ChunkClient(member.directory, member.links),
            member.reporter,
        )

    def _entry_addresses(self) -> list[str]:
        return [i.address for i in self._member.directory.live("entry")]

    async def _sweep_runs(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self._runs.sweep()


async def _serve(settings: SidecarSettings, stopping: anyio.Event) -> None:
    await Sidecar(settings).serve(stopping)


def run() -> None:
    """Runs plumvane-sidecar."""
    run_program(SidecarSettings, _serve)
