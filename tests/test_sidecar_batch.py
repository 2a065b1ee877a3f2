"""Batch worker of a sidecar before an engine that waits for the test."""

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
PLACES = 4
OUTER_DEADLINE_S = 30.0
LONG_S = 3600.0


class _KnownRate(ItemRate):
    """A rate that is known before an item has ended."""

    per_s = 10.0


class _Fleet:
    """An owner, bulk instances and an engine in one.

    Attributes:
        jobs: Jobs of the owner.
        started: Items that the engine got, as job id and index.
        places: Items that may end, for a test to add to.
        owners: Peer addresses of the owners.
    """

    def __init__(self) -> None:
        self.jobs: list[Job] = []
        self.started: list[tuple[str, int]] = []
        self.places = anyio.Semaphore(0)
        self.owners = ["owner"]
        self._scheduler = RangeScheduler("owner")
        self._admission = AdmissionController(
            Fixed(Policies(fixed_concurrency=PLACES))
        )

    def submit(
        self, job_id: str, items: int, due_s: float, team: str = "team"
    ) -> Job:
        """Adds a job."""
        deadline = clock.wall() + due_s
        record = job_record(job_id, items, deadline=deadline, team=team)
        self.jobs.append(Job(record, 0, 1))
        return self.jobs[-1]

    async def call(
        self, owner: str, message: Message, *, deadline: float
    ) -> Message:
        """Answers as the owner."""
        if isinstance(message, OfferWork):
            return self._scheduler.offer(message, self.jobs, "least_slack")
        if isinstance(message, PullWork):
            grant = self._scheduler.pull(message, self.jobs, "least_slack", {})
            return grant or RangeGrant(0, "", 0, 0, "", 0.0, 0.0, ())
        assert isinstance(message, RangeDone)
        job = next(j for j in self.jobs if j.accepted.job_id == message.job_id)
        if not message.finished and not job.renew(message):
            raise NotFoundError("The range is not wanted.")
        results, failed = job.process_report(message)
        if results is not None:
            job.apply_done(results)
        job.apply_failed(failed)
        return Done()

    def available(self) -> bool:
        """Returns whether results can be stored."""
        return True

    async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
        """Takes a chunk of results."""
        return "results", ("bulk",)

    async def fetch(self, digest: str, addresses: tuple[str, ...]) -> bytes:
        """Returns a chunk of input; all are alike."""
        body = {"model": "model", "prompt": "item", "max_tokens": 1}
        line = json.dumps({"custom_id": "item", "body": body}).encode()
        return msgspec.msgpack.encode([line] * INPUT_CHUNK_ITEMS)

    async def stream(
        self, request_id: str, body: dict[str, Any], **resume: Any
    ) -> AsyncIterator[CompletionChunk]:
        """Runs an item once the test lets it end."""
        claim_id, index, _ = request_id.rsplit(":", 2)
        self.started.append((claim_id.split(":")[0], int(index)))
        await self.places.acquire()
        yield CompletionChunk("word", 1, "stop")

    async def cancel(self, request_id: str) -> None:
        """Ends a stream."""

    async def wake_busy(self, worker: BatchWorker) -> None:
        """Wakes the sidecar if the owner would."""
        for _ in self._scheduler.sample_busy_sidecars(self.jobs, "least_slack"):
            await worker.wake(cast(Any, None), WorkWaiting())

    def end(self, items: int) -> None:
        """Lets items that run end."""
        for _ in range(items):
            self.places.release()

    def queued(self, job: Job) -> int:
        """Returns how many items of a job wait for admission."""
        due = job.accepted.deadline + MAX_ADMISSION_DELAY_S
        return sum(place[1] == due for place in self._admission._batch_queue)

    def all_queued(self) -> int:
        """Returns how many items wait for admission."""
        return len(self._admission._batch_queue)

    def worker(self) -> BatchWorker:
        """Returns the worker of a sidecar whose engine has few places."""
        fleet = cast(Any, self)
        return BatchWorker(
            "model", "sidecar", self._admission, fleet, fleet, fleet, fleet
        )


async def _until(condition: Any) -> None:
    while not condition():
        await anyio.sleep(0.01)


def test_job_set_aside_delays_no_other_at_the_gate() -> None:
    async def check() -> None:
        fleet = _Fleet()
        worker = fleet.worker()
        worker._rate = _KnownRate()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                late = fleet.submit("late", ITEMS, 0.001)
                await _until(lambda: late.claims)
                landing = fleet.submit("landing", PLACES, 86_400.0)
                await fleet.wake_busy(worker)
                await _until(lambda: fleet.queued(landing) == landing.items)
                fleet.started.clear()
                fleet.end(PLACES + landing.items)
                await _until(lambda: landing.state == "completed")
                ended = [job for job, _ in fleet.started[: landing.items]]
                worker.leave()
        assert ended == ["landing"] * landing.items

    anyio.run(check)


def test_running_range_gives_way_to_an_urgent_job() -> None:
    async def check() -> None:
        fleet = _Fleet()
        lax = fleet.submit("lax", ITEMS, 86_400.0)
        worker = fleet.worker()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                await _until(lambda: len(fleet.started) == PLACES)
                urgent = fleet.submit("urgent", 2, 3600.0)
                await fleet.wake_busy(worker)
                await _until(lambda: fleet.queued(urgent) == urgent.items)
                # The items that the engine has begun end and are kept.
                fleet.end(PLACES + urgent.items)
                await _until(lambda: urgent.state == "completed")
                worker.leave()
        assert lax.remaining == lax.waiting_items == ITEMS - PLACES
        assert len(fleet.started) == len(set(fleet.started))
        assert not lax._attempts_by_index and not lax._losses_by_index

    anyio.run(check)


def test_teams_take_turns_at_the_gate_as_their_ranges_were_handed_out() -> None:
    async def check() -> None:
        fleet = _Fleet()
        first = fleet.submit("first", ITEMS, 80_000.0, "depot")
        second = fleet.submit("second", ITEMS, 86_400.0, "other")
        worker = fleet.worker()
        worker._rate = _KnownRate()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                await _until(lambda: first.claims and second.claims)
                done, waiting = first.claims[0].items, second.claims[0].items
                fleet.end(done)
                # The next range of the first team, which is due earlier.
                await _until(lambda: first.remaining == ITEMS - done)
                await _until(lambda: first.claims)
                queued = waiting - PLACES + first.claims[0].items
                await _until(lambda: fleet.all_queued() == queued)
                fleet.end(waiting - PLACES)
                await _until(lambda: len(fleet.started) == done + waiting)
                worker.leave()
                fleet.end(PLACES)
        assert [job for job, _ in fleet.started[done:]] == ["second"] * waiting

    anyio.run(check)


def _idle_worker() -> BatchWorker:
    """Returns a worker without owners, which has nothing to pull."""
    unused: Any = None
    chunks: Any = types.SimpleNamespace(available=lambda: True)
    reporter: Any = types.SimpleNamespace(owners=())
    return BatchWorker("m", "a", unused, unused, unused, chunks, reporter)


def test_idle_worker_ends_when_the_sidecar_leaves() -> None:
    async def check() -> None:
        worker = _idle_worker()
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
