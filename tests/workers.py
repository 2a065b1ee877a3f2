"""Shared fixtures: workers over an in-memory store and a scripted engine."""

from __future__ import annotations

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import anyio
import anyio.lowlevel

from plumvane.batch.jobstore import JobStore
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    UpstreamLostError,
)
from plumvane.platform.requests import ResponseHead
from plumvane.relay.client import Attempt, UpstreamClient
from plumvane.relay.reports import ReportReader
from plumvane.serving.jobs import Item, ItemResult, Job
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.serving.routes import RouteKind, RouteTable, Service
from plumvane.serving.upstreams import Upstream
from plumvane.store.memory import MemoryStore
from plumvane.worker.items import ITEM_IDLE_TIMEOUT_S, ItemRunner
from plumvane.worker.owned import ItemRun, OwnedJob
from plumvane.worker.worker import Worker
from tests.gateways import SERVICE, make_listed_upstream, make_route

__all__ = [
    "EVENTS",
    "FULL_TEXT",
    "FakeEngine",
    "JOB_ROUTE",
    "NoReports",
    "OUTER_DEADLINE_S",
    "POLL_S",
    "items",
    "make_worker",
    "results_reader",
    "run_item_at",
    "run_with_timeout",
    "wait_until_listed",
]

OUTER_DEADLINE_S = 15.0
POLL_S = 0.01
EVENTS = 4
JOB_ROUTE = make_route(
    RouteKind.BATCH,
    is_resumable=True,
    max_attempts=2,
    completion_target_s=18.0,
    retention_s=60.0,
)


@dataclasses.dataclass
class FakeEngine:
    """Upstreams that run items event by event.

    Attributes:
        starts: Item, and event after which it was asked to resume, of each run.
        failures_left_by_item: Number of next runs of an item that answer 500.
        unprocessable_ids: Items that are answered 422.
        break_at_by_item: Event in place of which an item's next run fails.
        is_paused: Whether runs wait after their second event.
        running: Items that run now.
        versions_by_item: Versions of the upstreams that ran an item, in order.
    """

    starts: list[tuple[str, int | None]] = dataclasses.field(
        default_factory=list
    )
    failures_left_by_item: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    unprocessable_ids: set[str] = dataclasses.field(default_factory=set)
    break_at_by_item: dict[str, int] = dataclasses.field(default_factory=dict)
    is_paused: bool = False
    running: list[str] = dataclasses.field(default_factory=list)
    versions_by_item: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )

    @contextlib.asynccontextmanager
    async def send(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[Any]:
        item_id = attempt.request_id
        self.starts.append((item_id, attempt.last_event_id))
        self.running.append(item_id)
        versions = self.versions_by_item.setdefault(item_id, [])
        versions.append(upstream.listed.version)
        try:
            yield self._reply(item_id, attempt.last_event_id or 0)
        finally:
            self.running.remove(item_id)

    def _reply(self, item_id: str, after: int) -> Any:
        status = 200
        if item_id in self.unprocessable_ids:
            status = 422
        elif self.failures_left_by_item.get(item_id, 0):
            self.failures_left_by_item[item_id] -= 1
            status = 500
        return _FakeReply(status, self, item_id, after)


@dataclasses.dataclass
class _FakeReply:
    status: int
    engine: FakeEngine
    item_id: str
    after: int
    head: ResponseHead = ResponseHead("", True, False, False, "", None)

    async def iter_body(self) -> AsyncIterator[bytes]:
        break_at = self.engine.break_at_by_item.pop(self.item_id, None)
        for number in range(self.after + 1, EVENTS + 1):
            if number == break_at:
                raise UpstreamLostError("broken")
            while self.engine.is_paused and number > 2:
                await anyio.sleep(POLL_S)
            yield f"id: {number}\ndata: t{number}\n\n".encode()


class NoReports(ReportReader):
    """Reader that reads no loads, so that upstreams have only estimates."""

    def __init__(self) -> None:
        """Creates a reader without connections."""

    async def read(self, upstreams: Any) -> None:
        """Reads nothing."""


def make_worker(
    name: str,
    store: MemoryStore,
    engine: FakeEngine,
    versions: Sequence[str] = ("1", "1"),
    quarantine: PromptQuarantine | None = None,
) -> Worker:
    rng = random.Random(1)
    view = FleetView(store, "a", rng)
    view.routes = RouteTable(
        1, [JOB_ROUTE], [Service(SERVICE, "/health", True)], 1, 1.0
    )
    view._entries.loaded.set()
    for number, version in enumerate(versions):
        view.add_upstream(make_listed_upstream(f"u{number}", version=version))
    caller: Any = engine
    return Worker(
        name,
        store,
        view,
        caller,
        NoReports(),
        quarantine or PromptQuarantine(name, None),
        Permits(name, None, view.upstreams),
        rng,
    )


def items(count: int) -> tuple[Item, ...]:
    return tuple(Item(f"i{n}", "/p/x", {}, b"body") for n in range(count))


def results_reader(store: MemoryStore, job_id: str) -> Callable[[], Any]:
    """Returns a function that reads a job's results in order of position."""
    jobs = JobStore(store)

    async def read() -> list[ItemResult]:
        found, _ = await jobs.results(job_id)
        return [found[position] for position in sorted(found)]

    return read


async def run_item_at(
    port: int, output_tokens: int = 0, runs: int = 1, body: bytes = b"body"
) -> tuple[OwnedJob, ItemRun, FleetView]:
    """Runs an item at the upstream `u0`, with a real client.

    Args:
        port: Port of the upstream on loopback.
        output_tokens: Largest number of tokens that the item generates.
        runs: Number of runs, one after the other.
        body: Body of the item.

    Returns:
        Its job, its state and the upstreams.
    """
    view = FleetView(MemoryStore(), "a", random.Random(1))
    view.upstreams.put(make_listed_upstream("u0", port=port))
    runner = ItemRunner(
        view,
        UpstreamClient(),
        PromptQuarantine("worker", None),
        Permits("worker", None, view.upstreams),
        ItemDurationEstimator(),
    )
    job = Job(
        job_id="j",
        host="h",
        item_ids=["i0"],
        chunk_by_item=[0],
        submitted_ms=0,
        due_ms=0,
        retention_ms=0,
        max_attempts=2,
    )
    owned = OwnedJob(job, 1, [Item("i0", "/p/x", {}, body, output_tokens)])
    item = owned.runs_by_id["i0"]
    upstream = view.upstreams.upstreams_by_id["u0"]
    for _ in range(runs):
        with anyio.fail_after(3 * ITEM_IDLE_TIMEOUT_S):
            await runner.run(owned, item, upstream)
    return owned, item, view


async def wait_until_listed(
    store: MemoryStore, job_id: str, count: int
) -> list[ItemResult]:
    read = results_reader(store, job_id)
    while len(found := await read()) < count:
        await anyio.sleep(POLL_S)
    return list(found)


def run_with_timeout(steps: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


FULL_TEXT = "\n".join(f"t{n}" for n in range(1, EVENTS + 1))
