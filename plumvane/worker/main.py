"""Entry point of plumvane-worker."""

from __future__ import annotations

import random

import anyio

from plumvane.discovery.connect import connect
from plumvane.discovery.loads import WORKER_ROLE, LoadFollower
from plumvane.discovery.origins import StreamOrigins
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.quotas import QuotaGrantor, quota_bounds
from plumvane.process import run_program, supervise
from plumvane.relay.client import UpstreamClient
from plumvane.relay.reports import ReportReader
from plumvane.settings import WorkerSettings
from plumvane.worker.retirement import Retirement
from plumvane.worker.worker import Worker

__all__ = ["run"]

# Longest time for handing jobs over after SIGTERM, in seconds. The platform
# kills the process after 8 s.
DRAIN_TIMEOUT_S = 5.0


def run() -> None:
    """Runs the program."""
    run_program(WorkerSettings, serve)


async def serve(settings: WorkerSettings, stopping: anyio.Event) -> None:
    """Runs batch jobs until the event is set, then hands them over.

    Args:
        settings: Validated settings.
        stopping: Set when the process should stop.
    """
    rng = random.Random()
    store, view = connect(settings, rng, WORKER_ROLE)
    quarantine = PromptQuarantine(settings.process.name, store)
    permits = Permits(settings.process.name, store, view.upstreams)
    permits.serve(store.server)
    bounds = quota_bounds(settings.quotas)
    QuotaGrantor(store, view, bounds).serve(store.server)
    worker = Worker(
        settings.process.name,
        store,
        view,
        UpstreamClient(settings.process.data_centre),
        ReportReader(),
        quarantine,
        permits,
        rng,
        plans_ahead=settings.batch.plan == "around_demand",
    )
    worker.results.serve(store.server)
    worker.feed.serve(store.server)
    view.on_configuration = worker.feed.send_configuration
    worker.attribution.serve(store.server)
    # Keeps copies of the gateways' records.
    StreamOrigins(settings.process.name, store, view).serve(store.server)
    loads = LoadFollower(
        settings.process.name,
        store,
        view.upstreams,
        worker.apply_message,
        is_worker=True,
        on_configuration=view.record_told_configuration,
    )
    retirement = Retirement(settings.process.name, store, worker.drain)
    view.on_operator_change = retirement.handle_operator_change
    async with anyio.create_task_group() as group:
        for task in (
            store.run,
            loads.run,
            view.run,
            quarantine.run,
            worker.run,
            retirement.run,
        ):
            group.start_soon(supervise, task)
        await stopping.wait()
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            await worker.drain()
        group.cancel_scope.cancel()


if __name__ == "__main__":
    run()
