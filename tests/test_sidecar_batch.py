"""Tests of the batch worker with an engine that the test controls."""

from __future__ import annotations

import json
import types
from collections.abc import AsyncIterator
from typing import Any, cast
from unittest import mock

import anyio
import msgspec

from plumvane import clock
from plumvane.errors import NotFoundError
from plumvane.fleet.document import Policies
from plumvane.jobs.job import Job
from plumvane.jobs.scheduler import RangeScheduler
from plumvane.peers.messages import (
    Done,
    Message,
    OfferWork,
    PullWork,
    RangeDone,
    RangeGrant,
    WorkWaiting,
)
from plumvane.sidecar import batch
from plumvane.sidecar.batch import BatchWorker
from plumvane.sidecar.items import MAX_ADMISSION_DELAY_S
from plumvane.sidecar.rate import ItemRate
from plumvane.upstreams.admission import Fixed
from plumvane.upstreams.admission_controller import AdmissionController
from plumvane.upstreams.engine import CompletionChunk
from tests.jobs import INPUT_CHUNK_ITEMS, job_record

ITEMS = 400
SLOTS = 4
OUTER_DEADLINE_S = 30.0
LONG_S = 3600.0


class _KnownRate(ItemRate):
    """A rate that is known before any item has been completed."""

    per_s = 10.0


class _FakeFleet:
    """Fakes of an owner, the bulk instances and an engine.

    Attributes:
        jobs: Jobs of the owner.
        started: Items that the engine has started, as job id and index.
        completion_permits: Number of items that the engine may complete.
        owners: Peer addresses of the owners.
    """

    def __init__(self) -> None:
        self.jobs: list[Job] = []
        self.started: list[tuple[str, int]] = []
        self.completion_permits = anyio.Semaphore(0)
        self.owners = ["owner"]
        self._scheduler = RangeScheduler("owner")
        self._admission = AdmissionController(
            Fixed(Policies(fixed_concurrency=SLOTS))
        )

    def submit(
        self, job_id: str, items: int, due_s: float, team: str = "team"
    ) -> Job:
        """Adds a job that is due after a time."""
        deadline = clock.wall() + due_s
        record = job_record(job_id, items, deadline=deadline, team=team)
        self.jobs.append(Job(record, 0, 1))
        return self.jobs[-1]

    async def call(
        self, owner: str, message: Message, *, deadline: float
    ) -> Message:
        """Handles a message as the owner."""
        if isinstance(message, OfferWork):
            return self._scheduler.offer(message, self.jobs, "least_slack")
        if isinstance(message, PullWork):
            grant = self._scheduler.pull(message, self.jobs, "least_slack", {})
            return grant or RangeGrant(0, "", 0, 0, "", 0.0, 0.0, ())
        assert isinstance(message, RangeDone)
        job = next(j for j in self.jobs if j.accepted.job_id == message.job_id)
        if not message.finished and not job.renew(message):
            raise NotFoundError("The claim is not valid.")
        results, failed = job.process_report(message)
        if results is not None:
            job.apply_done(results)
        job.apply_failed(failed)
        return Done()

    def available(self) -> bool:
        """Returns whether results can be stored."""
        return True

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        """Accepts a chunk of results without storing it."""
        return "results", ("bulk",)

    async def fetch(self, digest: str, addresses: tuple[str, ...]) -> bytes:
        """Returns a chunk of input; all chunks are the same."""
        body = {"model": "model", "prompt": "item", "max_tokens": 1}
        line = json.dumps({"custom_id": "item", "body": body}).encode()
        return msgspec.msgpack.encode([line] * INPUT_CHUNK_ITEMS)

    async def stream(
        self, request_id: str, body: dict[str, Any], **resume: Any
    ) -> AsyncIterator[CompletionChunk]:
        """Starts an item and completes it once the test permits that."""
        claim_id, index, _ = request_id.rsplit(":", 2)
        self.started.append((claim_id.split(":")[0], int(index)))
        await self.completion_permits.acquire()
        yield CompletionChunk("word", 1, "stop")

    async def cancel(self, request_id: str) -> None:
        """Does nothing: no stream has to be stopped."""

    async def wake_if_sampled(self, worker: BatchWorker) -> None:
        """Wakes the worker if the owner samples it for an urgent job."""
        for _ in self._scheduler.sample_busy_sidecars(self.jobs, "least_slack"):
            await worker.wake(cast(Any, None), WorkWaiting())

    def complete_items(self, items: int) -> None:
        """Permits the engine to complete a number of items."""
        for _ in range(items):
            self.completion_permits.release()

    def queued_items(self, job: Job) -> int:
        """Returns the number of queued items of an urgent job."""
        due = job.accepted.deadline + MAX_ADMISSION_DELAY_S
        return sum(entry[1] == due for entry in self._admission._batch_queue)

    def total_queued_items(self) -> int:
        """Returns the number of queued items of all jobs."""
        return len(self._admission._batch_queue)

    def worker(self) -> BatchWorker:
        """Returns a worker whose engine has a few slots."""
        fleet = cast(Any, self)
        return BatchWorker(
            "model", "sidecar", self._admission, fleet, fleet, fleet, fleet
        )


async def _wait_until(condition: Any) -> None:
    while not condition():
        await anyio.sleep(0.01)


def test_late_job_does_not_delay_others_in_the_admission_queue() -> None:
    async def check() -> None:
        fleet = _FakeFleet()
        worker = fleet.worker()
        worker._rate = _KnownRate()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                late = fleet.submit("late", ITEMS, 0.001)
                await _wait_until(lambda: late.claims)
                landing = fleet.submit("landing", SLOTS, 86_400.0)
                await fleet.wake_if_sampled(worker)
                await _wait_until(
                    lambda: fleet.queued_items(landing) == landing.items
                )
                fleet.started.clear()
                fleet.complete_items(SLOTS + landing.items)
                await _wait_until(lambda: landing.state == "completed")
                ended = [job for job, _ in fleet.started[: landing.items]]
                worker.leave()
        assert ended == ["landing"] * landing.items

    anyio.run(check)


def test_running_range_is_released_for_an_urgent_job() -> None:
    async def check() -> None:
        fleet = _FakeFleet()
        lax = fleet.submit("lax", ITEMS, 86_400.0)
        worker = fleet.worker()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                await _wait_until(lambda: len(fleet.started) == SLOTS)
                urgent = fleet.submit("urgent", 2, 3600.0)
                await fleet.wake_if_sampled(worker)
                await _wait_until(
                    lambda: fleet.queued_items(urgent) == urgent.items
                )
                # Items that the engine has started are completed and kept.
                fleet.complete_items(SLOTS + urgent.items)
                await _wait_until(lambda: urgent.state == "completed")
                worker.leave()
        assert lax.remaining == lax.waiting_items == ITEMS - SLOTS
        assert len(fleet.started) == len(set(fleet.started))
        assert not lax._attempts_by_index and not lax._losses_by_index

    anyio.run(check)


def test_items_are_admitted_in_the_order_of_range_grants() -> None:
    async def check() -> None:
        fleet = _FakeFleet()
        first = fleet.submit("first", ITEMS, 80_000.0, "depot")
        second = fleet.submit("second", ITEMS, 86_400.0, "other")
        worker = fleet.worker()
        worker._rate = _KnownRate()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                await _wait_until(lambda: first.claims and second.claims)
                done, waiting = first.claims[0].items, second.claims[0].items
                fleet.complete_items(done)
                # The next range of the first team has the earlier deadline.
                await _wait_until(lambda: first.remaining == ITEMS - done)
                await _wait_until(lambda: first.claims)
                queued_items = waiting - SLOTS + first.claims[0].items
                await _wait_until(
                    lambda: fleet.total_queued_items() == queued_items
                )
                fleet.complete_items(waiting - SLOTS)
                await _wait_until(lambda: len(fleet.started) == done + waiting)
                worker.leave()
                fleet.complete_items(SLOTS)
        assert [job for job, _ in fleet.started[done:]] == ["second"] * waiting

    anyio.run(check)


def _make_idle_worker() -> BatchWorker:
    """Returns a worker without owners, so it has nothing to pull."""
    unused: Any = None
    chunks: Any = types.SimpleNamespace(available=lambda: True)
    reporter: Any = types.SimpleNamespace(owners=())
    return BatchWorker("m", "a", unused, unused, unused, chunks, reporter)


def test_idle_worker_ends_when_the_sidecar_leaves() -> None:
    async def check() -> None:
        worker = _make_idle_worker()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                await anyio.wait_all_tasks_blocked()
                worker.leave()

    with (
        mock.patch.object(batch, "IDLE_MIN_S", LONG_S),
        mock.patch.object(batch, "IDLE_MAX_S", LONG_S),
        mock.patch.object(batch, "BLOCKED_MAX_S", LONG_S),
    ):
        anyio.run(check)
