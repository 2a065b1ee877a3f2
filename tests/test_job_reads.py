"""Tests of batch job reads that the owning worker answers from memory.

Callers read each job about twice a second, at an instance in any data centre,
and wait for the next result. Store calls are limited and expensive, so such
reads must not reach the store while a worker owns the job. A worker with a
stale view must not answer that no further result is listed.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import eliot

from plumvane import clock
from plumvane.batch.jobstore import Commit, JobStore
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
from tests.gateways import make_route

OUTER_DEADLINE_S = 15.0
ITEMS = tuple(Item(f"i{n}", "/b/x", {}, b"body%d" % n) for n in range(4))
JOB_ROUTE = make_route(RouteKind.BATCH, path_prefix="/b/", retention_s=60.0)


class CountingStore(MemoryStore):
    """Store that counts read calls."""

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
    """A worker's jobs, result cache and committer, without a scheduler."""

    def __init__(self, name: str, store: MemoryStore) -> None:
        self.name = name
        self.is_current = True
        self.owner_name = ""
        self.is_unresponsive = False
        self.owned_by_id: dict[str, OwnedJob] = {}
        self.jobs = JobStore(store)
        self.results = ResultCache(
            self.owned_by_id,
            lambda: self.is_current,
            lambda job_id: self.owner_name,
        )
        self.committer = Committer(self.jobs, self.results)

    async def own(self, job_id: str) -> OwnedJob:
        """Takes ownership of a job that has no results."""
        job, revision = await self.jobs.head(job_id)
        owned = OwnedJob(job, revision, list(ITEMS))
        self.owned_by_id[job_id] = owned
        self.results.put(job, {})
        return owned

    async def list_item(self, owned: OwnedJob, item_id: str) -> None:
        """Completes an item and commits its result."""
        await self.list_outcome(owned, item_id, f"text of {item_id}")

    async def list_outcome(
        self, owned: OwnedJob, item_id: str, text: str
    ) -> None:
        """Completes an item with a text and commits its result."""
        owned.outcomes.append(ItemResult(item_id, True, text))
        await self.committer.commit_all([owned])

    async def answer(self, message: Message) -> Message:
        """Answers one call."""
        call: Any = None
        if isinstance(message, ReadResults):
            return await self.results._read_results(call, message)
        assert isinstance(message, ReadBody)
        return await self.results._read_body(call, message)


class FakePeers:
    """Peer calls to workers by name, without a network."""

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
        """Passes a call to a worker."""
        self.calls += 1
        worker = self._workers_by_address[address]
        if worker.is_unresponsive:
            raise DeadlineExceededError("No reply.")
        return await worker.answer(message)


def make_reader(store: MemoryStore, *workers: WorkerParts) -> JobReader:
    peers: Any = FakePeers(*workers)
    return JobReader(JobStore(store), peers)


async def accept_job(store: MemoryStore, job_id: str = "j") -> None:
    await JobStore(store).accept(job_id, "h", ITEMS, JOB_ROUTE)


async def claim_job(worker: WorkerParts, owner: str) -> None:
    """Writes a new owner to a job's head."""
    job, revision = await worker.jobs.head("j")
    job.owner = owner
    await worker.jobs.commit([Commit(job, revision, {})])


def deadline_in(seconds: float = 0.0) -> float:
    return clock.monotonic() + seconds


def read_at(position: int, wait_s: float = 0.0) -> ReadResults:
    return ReadResults("j", position, clock.wall() + wait_s)


def run_with_timeout(steps: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


def test_waiting_read_is_answered_by_the_commit() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
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

    run_with_timeout(steps)


def test_reads_at_many_gateways_make_no_store_calls() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        readers = [make_reader(store, worker) for _ in range(20)]
        store.reads = 0
        for count, item in enumerate(ITEMS, start=1):
            await worker.list_item(owned, item.item_id)
            for reader in readers:
                known = await reader.results("j", count - 1, deadline_in())
                assert known.results_by_position[count - 1].item_id == (
                    item.item_id
                )
                if count < len(ITEMS):
                    known = await reader.results("j", count, deadline_in())
                    assert count not in known.results_by_position
        assert store.reads == 0
        assert await readers[0].results("j", 0, deadline_in())

    run_with_timeout(steps)


def test_worker_with_a_stale_view_serves_only_listed_results() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        worker = WorkerParts("w1", store)
        await worker.list_item(await worker.own("j"), "i0")
        worker.is_current = False
        assert isinstance(await worker.answer(read_at(0)), JobResults)
        assert await worker.answer(read_at(1)) == NotRunHere("")
        # Another worker claimed the job and listed another result.
        other = WorkerParts("w2", store)
        job, revision = await other.jobs.head("j")
        taken_over = OwnedJob(job, revision, list(ITEMS))
        await other.list_item(taken_over, "i3")
        known = await make_reader(store, worker).results("j", 1, deadline_in())
        assert known.results_by_position[1].item_id == "i3"

    run_with_timeout(steps)


def test_read_follows_the_worker_that_owns_the_job() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
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
            reader = make_reader(store, *parts)
            position = len(job.listed_ids)
            known = await reader.results("j", position, deadline_in())
            assert position in known.results_by_position
            assert store.reads == 0

    run_with_timeout(steps)


def test_unresponsive_worker_is_skipped_and_the_store_is_read() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        worker = WorkerParts("w1", store)
        await worker.list_item(await worker.own("j"), "i0")
        worker.is_unresponsive = True
        peers: Any = FakePeers(worker)
        reader = JobReader(JobStore(store), peers)
        for _ in range(5):
            known = await reader.results("j", 1, deadline_in())
            assert known.results_by_position[0].item_id == "i0"
        assert peers.calls == 1
        try:
            await reader.results("absent", 0, deadline_in())
            raise AssertionError("the job does not exist")
        except NotFoundError:
            pass

    run_with_timeout(steps)


def test_results_of_an_unanswered_write_are_served_once_reconciled() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        writer = OwnedJob(owned.copy_head(), owned.revision, list(ITEMS))
        # The same outcome is committed without an answer to the worker.
        await WorkerParts("lost", store).list_item(writer, "i1")
        await worker.list_item(owned, "i1")
        found = await worker.answer(read_at(0))
        assert isinstance(found, JobResults)
        assert [decode_result(r).item_id for r in found.results] == ["i1"]
        # A result that the worker does not know is read from the store.
        writer = OwnedJob(owned.copy_head(), owned.revision, list(ITEMS))
        await WorkerParts("lost", store).list_item(writer, "i2")
        await worker.list_item(owned, "i3")
        found = await worker.answer(read_at(0))
        assert isinstance(found, JobResults)
        assert [decode_result(r) for r in found.results] == [
            ItemResult("i1", True, "text of i1"),
            ItemResult("i2", True, "text of i2"),
        ]

    run_with_timeout(steps)


# Guards against a former owner that serves its own run of an item in place of
# the run that the new owner listed: two results at one position.
def test_former_owner_does_not_serve_its_own_run_of_a_listed_item() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        former = WorkerParts("w1", store)
        frozen = await former.own("j")
        frozen.outcomes.append(ItemResult("i1", True, "run of w1"))
        owner = WorkerParts("w2", store)
        await claim_job(owner, "w2/1")
        taken_over = await owner.own("j")
        await owner.list_outcome(taken_over, "i1", "run of w2")
        # The former owner wakes up and commits its run.
        await former.committer.commit_all([frozen])
        known = await make_reader(store, former).results("j", 0, deadline_in())
        assert known.results_by_position[0].text == "run of w2"

    run_with_timeout(steps)


# Guards against a former owner that goes on listing results of a job.
def test_former_owner_writes_nothing_once_it_knows_the_new_owner() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        former = WorkerParts("w1", store)
        await claim_job(former, "w1/1")
        owned = await former.own("j")
        owned.outcomes.append(ItemResult("i1", True, "run of w1"))
        await claim_job(WorkerParts("w2", store), "w2/1")
        # The first commit is refused; the watch reports the claim meanwhile.
        owned.apply_head(*await former.jobs.head("j"))
        await former.committer.commit_all([owned])
        await former.committer.commit_and_reconcile(owned)
        job, _ = await former.jobs.head("j")
        assert (job.owner, job.listed_ids) == ("w2/1", [])

    run_with_timeout(steps)


# Guards against an owner that answers "no result" at a position that its own
# unanswered write has listed and that callers may have read elsewhere.
def test_owner_does_not_deny_a_result_of_its_unanswered_write() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        owned.outcomes.append(ItemResult("i1", True, "text of i1"))
        writer = OwnedJob(owned.copy_head(), owned.revision, list(ITEMS))
        await WorkerParts("lost", store).list_item(writer, "i1")
        # The watch of the heads reports the write before its outcome is known.
        owned.apply_head(*await worker.jobs.head("j"))
        reader = make_reader(store, worker)
        known = await reader.results("j", 0, deadline_in())
        assert known.results_by_position[0].text == "text of i1"
        # A later commit does not hide the gap.
        await worker.list_item(owned, "i2")
        reader = make_reader(store, worker)
        known = await reader.results("j", 0, deadline_in())
        assert known.results_by_position[0].text == "text of i1"

        # The worker reads the result and serves it again.
        await worker.committer.read_missing_results(owned)
        reply = await worker.answer(read_at(0))
        assert isinstance(reply, JobResults)
        assert [decode_result(r).item_id for r in reply.results] == ["i1", "i2"]

    run_with_timeout(steps)


def test_log_names_the_source_of_a_read_and_the_listed_result() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store, "logged")
        worker = WorkerParts("w1", store)
        owned = await worker.own("logged")
        reader = make_reader(store, worker)
        await worker.list_item(owned, "i1")
        for _ in range(2):
            await reader.results("logged", 0, deadline_in())
        await make_reader(store).results("logged", 0, deadline_in())

    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        run_with_timeout(steps)
    finally:
        eliot.remove_destination(lines.append)
    # The first destination also receives the lines of earlier tests.
    lines = [line for line in lines if line.get("job") == "logged"]
    listed = [line for line in lines if line["event"] == 5013]
    reads = [line for line in lines if line["event"] == 5020]
    assert len(listed) == 1
    assert [line["source"] for line in reads] == ["w1", "cache", "store"]
    assert {line["digest"] for line in reads} == {listed[0]["digest"]}


def test_conflict_of_one_job_does_not_block_the_others() -> None:
    async def steps() -> None:
        store = CountingStore()
        worker = WorkerParts("w1", store)
        jobs = []
        for number in range(20):
            await accept_job(store, f"j{number}")
            jobs.append(await worker.own(f"j{number}"))
        await worker.jobs.end("j7")
        for owned in jobs:
            for item in ITEMS[:3]:
                owned.outcomes.append(ItemResult(item.item_id, True, "t"))
        await worker.committer.commit_all(jobs)
        for number in range(20):
            results, _ = await worker.jobs.results(f"j{number}")
            assert len(results) == (0 if number == 7 else 3), number

    run_with_timeout(steps)


class CompactedStore(CountingStore):
    """Store that compacts its history at each change."""

    async def watch(self, prefix: str, after: int, **named: Any) -> Any:
        found = await self.list(prefix)
        if after < found.revision:
            raise HistoryLostError("forgotten")
        return await super().watch(prefix, after, **named)


def test_reads_continue_after_the_store_lost_its_history() -> None:
    async def steps() -> None:
        store = CompactedStore()
        await accept_job(store, "ended")
        await accept_job(store)
        jobs = JobStore(store)
        await jobs.end("ended")
        await accept_job(store, "later")
        reader = make_reader(store)
        store.reads = 0
        known = await reader.results("ended", 0, deadline_in(5.0))
        assert known.results_by_position == {}
        assert store.reads == 1, "an ended job lists no more results"
        known = await reader.results("j", 0, deadline_in(0.1))
        assert known.results_by_position == {}
        assert store.reads < 10

    run_with_timeout(steps)


def test_item_body_is_read_from_its_worker_or_the_store() -> None:
    async def steps() -> None:
        store = CountingStore()
        await accept_job(store)
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        store.reads = 0
        reader = make_reader(store, worker)
        assert await reader.body("j", "i1") == b"body1"
        assert store.reads == 0
        await worker.list_item(owned, "i1")
        assert await reader.body("j", "i1") == b"body1"
        assert isinstance(await worker.answer(ReadBody("j", "i0")), ItemBody)

    run_with_timeout(steps)
