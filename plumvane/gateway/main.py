"""Entry point of plumvane-gateway."""

from __future__ import annotations

import logging
import random

import anyio

from plumvane import clock, web
from plumvane.batch.jobstore import JobStore
from plumvane.discovery.confirmation import ConfigurationCheck
from plumvane.discovery.connect import connect
from plumvane.discovery.loads import LoadFollower
from plumvane.discovery.mirror import WATCH_S
from plumvane.discovery.origins import StreamOrigins
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.quotas import Quotas, quota_bounds
from plumvane.gateway.access import Access
from plumvane.gateway.admission import Admission, InTimeAdmission
from plumvane.gateway.app import GatewayApp, ReadinessApp
from plumvane.gateway.forwarder import Forwarder
from plumvane.gateway.jobs import BatchJobHandler
from plumvane.gateway.memory import MemoryBound
from plumvane.gateway.reads import JobReader
from plumvane.platform.terms import decode_terms
from plumvane.process import run_program, supervise
from plumvane.relay.client import UpstreamClient
from plumvane.serving.overload import OverloadPolicy
from plumvane.settings import GatewaySettings

__all__ = ["run"]

# Time for which new connections are still accepted after SIGTERM, in seconds:
# the load balancer checks readiness once a second and removes an instance after
# two failed checks.
DRAIN_DELAY_S = 2.4
# Time before the platform kills the process in which the requests that are left
# are ended with an answer, in seconds.
END_MARGIN_S = 0.4
# Longest wait of a watch of the operators' keys, as a share of the greatest age
# of a configuration that admits keys.
WATCH_SHARE = 0.4


def run() -> None:
    """Runs the program."""
    run_program(GatewaySettings, serve)


async def serve(settings: GatewaySettings, stopping: anyio.Event) -> None:
    """Serves callers until the event is set, then drains.

    Args:
        settings: Validated settings.
        stopping: Set when the process is to stop.
    """
    # GatewayApp logs each error itself, with the request id.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    rng = random.Random()
    terms = decode_terms(settings.terms.names)
    max_age_s = settings.teams.max_age_s
    store, view = connect(
        settings,
        rng,
        "gateway",
        operator_watch_s=min(WATCH_S, WATCH_SHARE * max_age_s),
    )
    origins = StreamOrigins(settings.process.name, store, view)
    origins.serve(store.server)
    quarantine = PromptQuarantine(settings.process.name, store)
    permits = Permits(settings.process.name, store, view.upstreams)
    admission = Admission()
    if decode_terms(settings.terms.names).has_scarce_places:
        admission = InTimeAdmission(view, OverloadPolicy(rng))
    forwarder = Forwarder(
        view,
        UpstreamClient(settings.process.data_centre),
        origins,
        quarantine,
        permits,
        rng,
        admission,
    )
    jobs = JobStore(store)
    job_handler = BatchJobHandler(jobs, JobReader(jobs, store))
    quotas = Quotas(store, quota_bounds(settings.quotas), view)
    memory = None
    if terms.has_scarce_places and settings.memory.limit_mb:
        memory = MemoryBound(settings.memory.limit_mb)
    check = ConfigurationCheck(view)
    app = GatewayApp(
        view,
        forwarder,
        job_handler,
        quotas=quotas,
        access=Access(view, max_age_s, check),
        memory=memory,
        check=check,
        apply_s=settings.routes.apply_ms / 1000,
    )
    readiness_app = ReadinessApp(view)
    callers, balancer = settings.callers, settings.balancer
    server = web.HttpServer(
        app, web.bind(callers.address.host, callers.address.port)
    )
    readiness_server = web.HttpServer(
        readiness_app, web.bind(balancer.address.host, balancer.address.port)
    )
    loads = LoadFollower(
        settings.process.name,
        store,
        view.upstreams,
        quarantine.apply,
        on_configuration=view.record_told_configuration,
    )
    async with anyio.create_task_group() as group:
        for task in (
            store.run,
            loads.run,
            origins.run,
            quarantine.run,
            quotas.run,
            view.run,
        ):
            group.start_soon(supervise, task)
        group.start_soon(server.run)
        group.start_soon(readiness_server.run)
        await stopping.wait()
        ends_at = clock.monotonic() + settings.process.grace_s - END_MARGIN_S
        readiness_app.is_draining = True
        app.drain(ends_at)
        await anyio.sleep(DRAIN_DELAY_S)
        server.stop()
        with anyio.move_on_after(clock.remaining(ends_at)):
            await server.wait_stopped()
        app.end_requests()
        with anyio.move_on_after(END_MARGIN_S):
            await server.wait_stopped()
        group.cancel_scope.cancel()


if __name__ == "__main__":
    run()
