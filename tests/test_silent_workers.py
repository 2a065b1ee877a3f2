"""Tests that a worker that is only silent keeps its jobs.

The pattern is a store that is silent or expires leases under load: workers lose
their registrations while they run items, and are still heard by their peers.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from plumvane import clock
from plumvane.batch.jobstore import WORKER_PREFIX, JobStore
from plumvane.peers.messages.loads import RunningItems
from plumvane.serving.jobs import Job
from plumvane.store.base import Write
from plumvane.store.memory import MemoryStore
from plumvane.worker import heard
from plumvane.worker.heard import HeardWorkers
from plumvane.worker.worker import Worker
from tests.workers import (
    FULL_TEXT,
    JOB_ROUTE,
    POLL_S,
    FakeEngine,
    items,
    make_worker,
    run_with_timeout,
    wait_until_listed,
)

ITEMS = 4


class Fleet:
    """An owner of a job whose items run, and another worker."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.engine = FakeEngine(is_paused=True)
        self.owner = make_worker("w1", self.store, self.engine)
        self.other = make_worker("w2", self.store, self.engine)
        # Whether the other worker hears the owner.
        self.is_heard = True

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs both workers until the block ends; the owner has begun."""
        await JobStore(self.store).accept("j", "h", items(ITEMS), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(self.owner.run)
            while len(self.engine.running) < ITEMS:
                await anyio.sleep(POLL_S)
            group.start_soon(self.other.run)
            group.start_soon(self._hear)
            while "w2" not in self.other._incarnations_by_name:
                await anyio.sleep(POLL_S)
            yield
            group.cancel_scope.cancel()

    async def _hear(self) -> None:
        while True:
            if self.is_heard:
                self.other.apply_message(
                    self.owner._scheduler.running_items(self.owner._incarnation)
                )
            await anyio.sleep(POLL_S)

    async def expire_registration(self) -> None:
        key = WORKER_PREFIX + "w1"
        await self.store.transact([Write(key, None)], expected_by_key={})
        while "w1" in self.other._incarnations_by_name:
            await anyio.sleep(POLL_S)

    async def head(self) -> Job:
        return (await JobStore(self.store).head("j"))[0]


def test_worker_that_loses_its_registration_keeps_its_running_items() -> None:
    async def steps() -> None:
        fleet = Fleet()
        async with fleet.running():
            await fleet.expire_registration()
            while "w1" not in fleet.other._incarnations_by_name:
                await anyio.sleep(POLL_S)
            fleet.engine.is_paused = False
            listed = await wait_until_listed(fleet.store, "j", ITEMS)
        assert {result.text for result in listed} == {FULL_TEXT}
        assert len(fleet.engine.starts) == ITEMS, "no item was run again"
        assert (await fleet.head()).owner == fleet.owner._incarnation

    run_with_timeout(steps)


def test_worker_that_is_not_heard_any_more_loses_its_jobs() -> None:
    async def steps() -> None:
        fleet = Fleet()
        async with fleet.running():
            fleet.owner._registration._has_ended = True
            fleet.is_heard = False
            await fleet.expire_registration()
            while (await fleet.head()).owner != fleet.other._incarnation:
                await anyio.sleep(POLL_S)

    run_with_timeout(steps)


def test_worker_that_hands_over_is_not_waited_for() -> None:
    known = HeardWorkers()
    known.record("w1", "w1/a", 1.0)
    known.record_removal("w1", 1.1)
    assert known.incarnations_by_name(1.2) == {"w1": "w1/a"}
    known.record("w1", "", 1.3)
    assert known.incarnations_by_name(1.4) == {}


def test_heard_worker_counts_for_a_bounded_time_without_registration() -> None:
    known = HeardWorkers()
    known.record("w1", "w1/a", 1.0)
    assert known.incarnations_by_name(1.0) == {}, "it is registered"
    known.record_removal("w1", 1.0)
    now = 1.0 + heard.MAX_UNREGISTERED_S
    known.record("w1", "w1/a", now)
    assert known.incarnations_by_name(now - 0.1) == {"w1": "w1/a"}
    assert known.incarnations_by_name(now + 0.1) == {}


def test_leaving_worker_tells_the_others_at_once() -> None:
    async def steps() -> None:
        worker: Worker = make_worker("w1", MemoryStore(), FakeEngine())
        sent: list[RunningItems] = []
        worker.feed.send_items = sent.append  # type: ignore[method-assign]
        with anyio.move_on_after(clock.monotonic()):
            await worker.drain()
        assert sent == [RunningItems("w1", "")]

    run_with_timeout(steps)


# Guards against requests that wait for the items of a worker that has none: the
# others would leave preemptions to it.
def test_worker_without_jobs_announces_no_items() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine(is_paused=True)
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(ITEMS), JOB_ROUTE)
        worker = make_worker("w1", store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            while not worker._scheduler.running_items("w1/a").counts:
                await anyio.sleep(POLL_S)
            await jobs.end("j")
            while worker._owned_by_id:
                await anyio.sleep(POLL_S)
            while worker._scheduler.running_items("w1/a").counts:
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    run_with_timeout(steps)
