"""Reads of batch jobs at their worker: what is certain, and calls it spares.

Pattern: callers read each job about twice a second, at an instance in any data
centre, with a wait for the next result; the store's calls are few and dear.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from plumvane import clock
from plumvane.batch.jobstore import JobStore
from plumvane.discovery.loads import WORKER_ROLE
from plumvane.discovery.relayed import PeerEntry
from plumvane.errors import (
    DeadlineExceededError,
    HistoryLostError,
    NotFoundError,
)
from plumvane.gateway.reads import JobReader
from plumvane.peers.messages import Message
from plumvane.peers.messages.reads import (
    ItemBody,
    JobResults,
    NotRunHere,
    ReadBody,
    ReadResults,
)
from plumvane.serving.jobs import Item, ItemResult, decode_result
from plumvane.serving.routes import RouteKind
from plumvane.store.memory import MemoryStore
from plumvane.worker.committer import Committer
from plumvane.worker.owned import OwnedJob
from plumvane.worker.results import ResultCache
from tests.gateways import route

OUTER_DEADLINE_S = 15.0
ITEMS = tuple(Item(f"i{n}", "/b/x", {}, b"body%d" % n) for n in range(4))
JOB_ROUTE = route(RouteKind.BATCH, path_prefix="/b/", retention_s=60.0)


class CountingStore(MemoryStore):
    """Counts the calls that read."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def get(self, key: str) -> Any:
        self.reads += 1
        return await super().get(key)

    async def list(self, prefix: str, **named: Any) -> Any:
        self.reads += 1
        return await super().list(prefix, **named)

    async def watch(self, prefix: str, after: int, **named: Any) -> Any:
        self.reads += 1
        return await super().watch(prefix, after, **named)


class WorkerParts:
    """A worker's jobs, results and committer, without pacing."""

    def __init__(self, name: str, store: MemoryStore) -> None:
        self.name = name
        self.is_certain = True
        self.owner_name = ""
        self.is_silent = False
        self.owned_by_id: dict[str, OwnedJob] = {}
        self.jobs = JobStore(store)
        self.results = ResultCache(
            self.owned_by_id,
            lambda: self.is_certain,
            lambda job_id: self.owner_name,
        )
        self.committer = Committer(self.jobs, self.results)

    async def own(self, job_id: str) -> OwnedJob:
        """Owns a job from its acceptance on."""
        job, revision = await self.jobs.head(job_id)
        owned = OwnedJob(job, revision, list(ITEMS))
        self.owned_by_id[job_id] = owned
        self.results.put(job, {})
        return owned

    async def list_item(self, owned: OwnedJob, item_id: str) -> None:
        """Completes an item and writes its result."""
        owned.outcomes.append(ItemResult(item_id, True, f"text of {item_id}"))
        await self.committer.commit_all([owned])

    async def answer(self, message: Message) -> Message:
        """Serves one call."""
        call: Any = None
        if isinstance(message, ReadResults):
            return await self.results._read_results(call, message)
        assert isinstance(message, ReadBody)
        return await self.results._read_body(call, message)


class Peers:
    """Workers by name, called without a network."""

    def __init__(self, *workers: WorkerParts) -> None:
        self.calls = 0
        self.links = self
        self._workers_by_address = {w.name: w for w in workers}
        self.peers_by_name = {
            "gateway": PeerEntry("gateway", "gateway"),
            **{w.name: PeerEntry(w.name, WORKER_ROLE) for w in workers},
        }

    async def call(
        self, address: str, message: Message, *, deadline: float
    ) -> Message:
        """Has a worker serve a call."""
        self.calls += 1
        worker = self._workers_by_address[address]
        if worker.is_silent:
            raise DeadlineExceededError("No reply.")
        return await worker.answer(message)


def reader(store: MemoryStore, *workers: WorkerParts) -> JobReader:
    peers: Any = Peers(*workers)
    return JobReader(JobStore(store), peers)


async def accepted(store: MemoryStore, job_id: str = "j") -> None:
    await JobStore(store).accept(job_id, "h", ITEMS, JOB_ROUTE)


def soon(seconds: float = 0.0) -> float:
    return clock.monotonic() + seconds


def read_at(position: int, wait_s: float = 0.0) -> ReadResults:
    return ReadResults("j", position, clock.wall() + wait_s)


def play(steps: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


def test_waiting_read_is_answered_by_the_commit() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accepted(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        found: list[Message] = []

        async def read() -> None:
            found.append(await worker.answer(read_at(0, OUTER_DEADLINE_S)))

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await anyio.sleep(0.05)
            assert found == []
            await worker.list_item(owned, "i2")
        assert isinstance(found[0], JobResults)
        assert found[0].total == 4
        assert [decode_result(r).item_id for r in found[0].results] == ["i2"]

    play(steps)


def test_reads_at_many_gateways_cost_the_store_nothing() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accepted(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        readers = [reader(store, worker) for _ in range(20)]
        store.reads = 0
        for count, item in enumerate(ITEMS, start=1):
            await worker.list_item(owned, item.item_id)
            for one in readers:
                known = await one.results("j", count - 1, soon())
                assert known.results_by_position[count - 1].item_id == (
                    item.item_id
                )
                if count < len(ITEMS):
                    known = await one.results("j", count, soon())
                    assert count not in known.results_by_position
        assert store.reads == 0
        assert await readers[0].results("j", 0, soon())

    play(steps)


def test_worker_that_is_not_certain_tells_only_what_is_listed() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accepted(store)
        worker = WorkerParts("w1", store)
        await worker.list_item(await worker.own("j"), "i0")
        worker.is_certain = False
        assert isinstance(await worker.answer(read_at(0)), JobResults)
        assert await worker.answer(read_at(1)) == NotRunHere("")
        # Another worker took the job over and listed more.
        other = WorkerParts("w2", store)
        job, revision = await other.jobs.head("j")
        taken = OwnedJob(job, revision, list(ITEMS))
        await other.list_item(taken, "i3")
        known = await reader(store, worker).results("j", 1, soon())
        assert known.results_by_position[1].item_id == "i3"

    play(steps)


def test_read_follows_the_worker_that_owns_the_job() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accepted(store)
        parts = [WorkerParts("w1", store), WorkerParts("w2", store)]
        for owner, other in (parts, reversed(parts)):
            other.owner_name, owner.owner_name = owner.name, ""
            other.owned_by_id.clear()
            other.results._entries_by_id.clear()
            job, revision = await owner.jobs.head("j")
            owned = OwnedJob(job, revision, list(ITEMS))
            owner.owned_by_id["j"] = owned
            owner.results.put(job, (await owner.jobs.results("j"))[0])
            await owner.list_item(owned, f"i{len(job.listed_ids)}")
            store.reads = 0
            one = reader(store, *parts)
            position = len(job.listed_ids)
            known = await one.results("j", position, soon())
            assert position in known.results_by_position
            assert store.reads == 0

    play(steps)


def test_silent_worker_is_left_out_and_the_store_is_asked() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accepted(store)
        worker = WorkerParts("w1", store)
        await worker.list_item(await worker.own("j"), "i0")
        worker.is_silent = True
        peers: Any = Peers(worker)
        one = JobReader(JobStore(store), peers)
        for _ in range(5):
            known = await one.results("j", 1, soon())
            assert known.results_by_position[0].item_id == "i0"
        assert peers.calls == 1
        try:
            await one.results("absent", 0, soon())
            raise AssertionError("the job does not exist")
        except NotFoundError:
            pass

    play(steps)


def test_results_of_a_write_without_an_answer_are_told_once_it_is_settled() -> (
    None
):
    async def steps() -> None:
        store = CountingStore()
        await accepted(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        writer = OwnedJob(owned.copy_head(), owned.revision, list(ITEMS))
        # The same outcome is written, and the worker does not learn of it.
        await WorkerParts("lost", store).list_item(writer, "i1")
        await worker.list_item(owned, "i1")
        found = await worker.answer(read_at(0))
        assert isinstance(found, JobResults)
        assert [decode_result(r).item_id for r in found.results] == ["i1"]
        # One that the worker has never seen leaves it uncertain.
        writer = OwnedJob(owned.copy_head(), owned.revision, list(ITEMS))
        await WorkerParts("lost", store).list_item(writer, "i2")
        await worker.list_item(owned, "i3")
        assert await worker.answer(read_at(0)) == NotRunHere("")

    play(steps)


def test_conflict_of_one_job_does_not_hold_up_the_others() -> None:
    async def steps() -> None:
        store = CountingStore()
        worker = WorkerParts("w1", store)
        jobs = []
        for number in range(20):
            await accepted(store, f"j{number}")
            jobs.append(await worker.own(f"j{number}"))
        await worker.jobs.end("j7")
        for owned in jobs:
            for item in ITEMS[:3]:
                owned.outcomes.append(ItemResult(item.item_id, True, "t"))
        await worker.committer.commit_all(jobs)
        for number in range(20):
            results, _ = await worker.jobs.results(f"j{number}")
            assert len(results) == (0 if number == 7 else 3), number

    play(steps)


class ForgettingStore(CountingStore):
    """Forgets its history at each change."""

    async def watch(self, prefix: str, after: int, **named: Any) -> Any:
        found = await self.list(prefix)
        if after < found.revision:
            raise HistoryLostError("forgotten")
        return await super().watch(prefix, after, **named)


def test_reads_go_on_when_the_history_is_forgotten() -> None:
    async def steps() -> None:
        store = ForgettingStore()
        await accepted(store, "ended")
        await accepted(store)
        jobs = JobStore(store)
        await jobs.end("ended")
        await accepted(store, "later")
        one = reader(store)
        store.reads = 0
        known = await one.results("ended", 0, soon(5.0))
        assert known.results_by_position == {}
        assert store.reads == 1, "nothing will be listed, so nothing is awaited"
        known = await one.results("j", 0, soon(0.1))
        assert known.results_by_position == {}
        assert store.reads < 10

    play(steps)


def test_body_of_an_item_is_read_at_its_worker_or_in_the_store() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accepted(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        store.reads = 0
        one = reader(store, worker)
        assert await one.body("j", "i1") == b"body1"
        assert store.reads == 0
        await worker.list_item(owned, "i1")
        assert await one.body("j", "i1") == b"body1"
        assert isinstance(await worker.answer(ReadBody("j", "i0")), ItemBody)

    play(steps)
