"""Tests of workers that share an in-memory store, without a network.

They cover claims, results, failover and the end of jobs.
"""

from __future__ import annotations

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import anyio
import anyio.lowlevel

from plumvane import clock
from plumvane.batch.jobstore import JOB_PREFIX, Commit, JobStore
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    ConflictError,
    StoreUnavailableError,
    UpstreamLostError,
)
from plumvane.platform.retirement import RetireState, retire_status
from plumvane.relay.client import Attempt
from plumvane.relay.reports import ReportReader
from plumvane.serving.jobs import Item, ItemResult, Job
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.serving.routes import RouteKind, RouteTable, Service
from plumvane.serving.upstreams import Upstream
from plumvane.store.base import Record
from plumvane.store.memory import MemoryStore
from plumvane.worker.items import ItemRunner
from plumvane.worker.owned import OwnedJob
from plumvane.worker.retirement import Retirement
from plumvane.worker.worker import Worker
from tests.gateways import SERVICE, make_listed_upstream, make_route

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
    return Worker(name, store, view, caller, NoReports(), rng)


def items(count: int) -> tuple[Item, ...]:
    return tuple(Item(f"i{n}", "/p/x", {}, b"body") for n in range(count))


def results_reader(store: MemoryStore, job_id: str) -> Callable[[], Any]:
    """Returns a function that reads a job's results in order of position."""
    jobs = JobStore(store)

    async def read() -> list[ItemResult]:
        found, _ = await jobs.results(job_id)
        return [found[position] for position in sorted(found)]

    return read


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


def test_all_items_are_listed_once_with_their_full_text() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        await JobStore(store).accept("j", "h", items(40), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            for name in ("w1", "w2", "w3"):
                group.start_soon(make_worker(name, store, engine).run)
            found = await wait_until_listed(store, "j", 40)
            group.cancel_scope.cancel()
        assert sorted(r.item_id for r in found) == sorted(
            i.item_id for i in items(40)
        )
        assert {r.text for r in found} == {FULL_TEXT}
        assert len(engine.starts) == 40, "one worker runs the job"

    run_with_timeout(steps)


def test_interrupted_item_resumes_after_its_last_event() -> None:
    async def steps() -> None:
        store = MemoryStore()
        engine = FakeEngine(break_at_by_item={"i0": 3})
        await JobStore(store).accept("j", "h", items(1), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            found = await wait_until_listed(store, "j", 1)
            group.cancel_scope.cancel()
        assert found == [ItemResult("i0", True, FULL_TEXT)]
        assert engine.starts == [("i0", None), ("i0", 2)]

    run_with_timeout(steps)


# Guards against texts whose parts come from two software versions.
def test_interrupted_item_resumes_only_at_the_version_that_began_it() -> None:
    async def steps() -> None:
        store = MemoryStore()
        # The others have ended when it is resumed, so any upstream is free.
        engine = FakeEngine(break_at_by_item={"i1": 3, "i3": 3})
        await JobStore(store).accept("j", "h", items(4), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            worker = make_worker("w1", store, engine, ("1", "2", "1", "2"))
            group.start_soon(worker.run)
            found = await wait_until_listed(store, "j", 4)
            group.cancel_scope.cancel()
        assert {r.text for r in found} == {FULL_TEXT}
        assert len(engine.starts) == 6
        for versions in engine.versions_by_item.values():
            assert len(set(versions)) == 1

    run_with_timeout(steps)


def test_item_starts_again_if_its_version_is_gone() -> None:
    async def steps() -> None:
        store = MemoryStore()
        engine = FakeEngine(break_at_by_item={"i0": 3})
        await JobStore(store).accept("j", "h", items(1), JOB_ROUTE)
        worker = make_worker("w1", store, engine, ("1",))
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            while not engine.starts or engine.running:
                await anyio.sleep(POLL_S)
            # A checkpoint is handed over, and only another version is left.
            await worker.drain()
            after = make_worker("w2", store, engine, ("2",))
            group.start_soon(after.run)
            found = await wait_until_listed(store, "j", 1)
            group.cancel_scope.cancel()
        assert [r.text for r in found] == [FULL_TEXT]
        assert engine.starts == [("i0", None), ("i0", None)]
        assert engine.versions_by_item == {"i0": ["1", "2"]}

    run_with_timeout(steps)


def test_items_fail_after_max_attempts_or_at_once_if_unprocessable() -> None:
    async def steps() -> None:
        store = MemoryStore()
        engine = FakeEngine(
            failures_left_by_item={"i0": 9, "i1": 1}, unprocessable_ids={"i2"}
        )
        await JobStore(store).accept("j", "h", items(3), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            found = await wait_until_listed(store, "j", 3)
            group.cancel_scope.cancel()
        outcomes = {r.item_id: r.is_completed for r in found}
        assert outcomes == {"i0": False, "i1": True, "i2": False}
        starts = [item_id for item_id, _ in engine.starts]
        assert [starts.count(i) for i in ("i0", "i1", "i2")] == [2, 2, 1]

    run_with_timeout(steps)


def test_draining_worker_hands_over_the_progress_of_its_items() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine(is_paused=True)
        await JobStore(store).accept("j", "h", items(3), JOB_ROUTE)
        first = make_worker("w1", store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(first.run)
            while len(engine.running) < 3:
                await anyio.sleep(POLL_S)
            await anyio.sleep(0.1)
            await first.drain()
            assert engine.running == []
            engine.is_paused = False
            group.start_soon(make_worker("w2", store, engine).run)
            found = await wait_until_listed(store, "j", 3)
            group.cancel_scope.cancel()
        assert {r.text for r in found} == {FULL_TEXT}
        assert {after for _, after in engine.starts[3:]} == {2}

    run_with_timeout(steps)


def test_jobs_of_a_lost_worker_move_without_duplicate_results() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        await JobStore(store).accept("j", "h", items(60), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            lost = anyio.CancelScope()

            async def run_first() -> None:
                with lost:
                    await make_worker("w1", store, engine).run()

            group.start_soon(run_first)
            await wait_until_listed(store, "j", 1)
            engine.is_paused = True
            lost.cancel()
            engine.is_paused = False
            group.start_soon(make_worker("w2", store, engine).run)
            found = await wait_until_listed(store, "j", 60)
            group.cancel_scope.cancel()
        ids = [r.item_id for r in found]
        assert len(ids) == len(set(ids)) == 60

    run_with_timeout(steps)


def test_ended_job_stops_its_items() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine(is_paused=True)
        await JobStore(store).accept("j", "h", items(3), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            while len(engine.running) < 3:
                await anyio.sleep(POLL_S)
            assert await JobStore(store).end("j")
            while engine.running:
                await anyio.sleep(POLL_S)
            started = len(engine.starts)
            await anyio.sleep(0.5)
            assert len(engine.starts) == started
            group.cancel_scope.cancel()

    run_with_timeout(steps)


def test_results_whose_commit_lost_its_answer_are_listed_once() -> None:
    async def steps() -> None:
        store, engine = LostAnswerStore(), FakeEngine()
        await JobStore(store).accept("j", "h", items(5), JOB_ROUTE)
        store.answers_to_lose = 6
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            found = await wait_until_listed(store, "j", 5)
            group.cancel_scope.cancel()
        assert sorted(r.item_id for r in found) == [f"i{n}" for n in range(5)]

    run_with_timeout(steps)


class LostAnswerStore(MemoryStore):
    """Store that applies transactions but loses the answers of some.

    Attributes:
        answers_to_lose: Number of next answers that are lost.
    """

    answers_to_lose = 0

    async def transact(self, writes: Any, *, expected_by_key: Any) -> int:
        revision = await super().transact(
            writes, expected_by_key=expected_by_key
        )
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreUnavailableError("lost")
        return revision


def test_two_writers_of_one_job_cannot_list_an_item_twice() -> None:
    async def steps() -> None:
        store = MemoryStore()
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(1), JOB_ROUTE)
        job, revision = await jobs.head("j")
        other = Job.decode(job.encode())
        for writer, is_first in ((job, True), (other, False)):
            position = writer.append_result("i0")
            assert position == 0
            result = ItemResult("i0", True, "x")
            commit = Commit(writer, revision, {0: result})
            try:
                await jobs.commit([commit])
                assert is_first
            except ConflictError:
                assert not is_first

    run_with_timeout(steps)


def test_job_is_accepted_once_and_not_due_before_its_target() -> None:
    async def steps() -> None:
        store = MemoryStore()
        jobs = JobStore(store)
        before = clock.wall() * 1000
        await jobs.accept("j", "h", items(2), JOB_ROUTE)
        try:
            await jobs.accept("j", "h", items(2), JOB_ROUTE)
            raise AssertionError("the job was accepted twice")
        except ConflictError:
            pass
        job, _ = await jobs.head("j")
        assert job.due_ms >= before + 18_000 - 1
        record = await store.get(JOB_PREFIX + "j")
        assert isinstance(record, Record)

    run_with_timeout(steps)


def test_item_that_is_stopped_before_its_task_begins_does_not_run() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine(is_paused=True)
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(1), JOB_ROUTE)
        job, revision = await jobs.head("j")
        owned = OwnedJob(job, revision, list(items(1)))
        view = FleetView(store, "a", random.Random(1))
        caller: Any = engine
        upstream = Upstream(make_listed_upstream("u0"))
        run = owned.runs_by_id["i0"]
        run.scope = anyio.CancelScope()
        run.scope.cancel()
        await ItemRunner(view, caller, ItemDurationEstimator()).run(
            owned, run, upstream
        )
        assert engine.running == []
        assert not run.is_done

    run_with_timeout(steps)


def test_claim_is_retried_after_its_answer_and_reread_fail() -> None:
    class FailingStore(MemoryStore):
        loses_answer = True
        head_is_unreadable = True

        async def transact(self, writes: Any, *, expected_by_key: Any) -> int:
            revision = await super().transact(
                writes, expected_by_key=expected_by_key
            )
            if self.loses_answer and any(
                w.key.startswith(JOB_PREFIX) for w in writes
            ):
                self.loses_answer = False
                raise StoreUnavailableError("lost")
            return revision

        async def get(self, key: str) -> Record | None:
            if self.head_is_unreadable and key.startswith(JOB_PREFIX):
                raise StoreUnavailableError("slow")
            return await super().get(key)

    async def steps() -> None:
        store, engine = FailingStore(), FakeEngine()
        store.loses_answer = False
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        store.loses_answer = True
        worker = make_worker("w1", store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            # The watch shows the claim while reads of the head still fail.
            while not any(h.owner for h, _ in worker._heads_by_id.values()):
                await anyio.sleep(POLL_S)
            await anyio.sleep(1.0)
            store.head_is_unreadable = False
            await wait_until_listed(store, "j", 2)
            group.cancel_scope.cancel()

    run_with_timeout(steps)


def test_job_that_ends_while_it_is_claimed_runs_no_item() -> None:
    class EndingStore(MemoryStore):
        ends_job_on_item_read = False

        async def get(self, key: str) -> Record | None:
            record = await super().get(key)
            if self.ends_job_on_item_read and "/items/" in key:
                self.ends_job_on_item_read = False
                await JobStore(self).end("j")
                # Leaves the worker time to see the end before the claim is
                # complete.
                await anyio.sleep(1.0)
            return record

    async def steps() -> None:
        store, engine = EndingStore(), FakeEngine(is_paused=True)
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        store.ends_job_on_item_read = True
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            while store.ends_job_on_item_read:
                await anyio.sleep(POLL_S)
            await anyio.sleep(2.0)
            assert engine.starts == []
            group.cancel_scope.cancel()

    run_with_timeout(steps)


def test_head_removed_before_its_claim_starts_does_not_end_the_worker() -> None:
    async def steps() -> None:
        store = MemoryStore()
        worker = make_worker("w1", store, FakeEngine())
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        worker._heads_by_id["j"] = await JobStore(store).head("j")
        worker._incarnations_by_name["w1"] = "w1/0"
        worker._mirror.loaded.set()

        async def remove_head() -> None:
            while not worker._claiming_ids:
                await anyio.lowlevel.checkpoint()
            worker._heads_by_id.clear()

        async with anyio.create_task_group() as group:
            group.start_soon(remove_head)
            group.start_soon(worker._claim_jobs, group)
            while "j" not in worker._owned_by_id:
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    run_with_timeout(steps)


def test_failures_that_are_counted_during_a_commit_are_kept() -> None:
    async def steps() -> None:
        store = MemoryStore()
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(2), JOB_ROUTE)
        job, revision = await jobs.head("j")
        owned = OwnedJob(job, revision, list(items(2)))
        assert not owned.record_failure("i0")
        commit = Commit(Job.decode(owned.job.encode()), revision, {})
        assert not owned.record_failure("i1")
        owned.apply_commit(commit, await jobs.commit([commit]), [])
        assert owned.record_failure("i1"), "max_attempts is two"

    run_with_timeout(steps)


# Guards against items of an ended job that go on, since the late answer of an
# older commit hides the end.
def test_late_answer_of_a_commit_does_not_undo_a_newer_head() -> None:
    async def steps() -> None:
        store = MemoryStore()
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(3), JOB_ROUTE)
        job, revision = await jobs.head("j")
        owned = OwnedJob(job, revision, list(items(3)))
        result = ItemResult("i0", True, "x")
        owned.outcomes.append(result)
        committed = owned.copy_head()
        committed.append_result("i0")
        commit = Commit(committed, revision, {0: result})
        revision = await jobs.commit([commit])
        await jobs.end("j")
        # The watch reports the end before the commit's answer arrives.
        owned.apply_head(*await jobs.head("j"))
        owned.apply_commit(commit, revision, [result])
        assert owned.job.is_ended
        assert owned.outcomes == []

    run_with_timeout(steps)


def test_unreadable_head_does_not_stop_other_jobs() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        await store.put(JOB_PREFIX + "bad", b"?", expected_revision=None)
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, engine).run)
            await wait_until_listed(store, "j", 2)
            group.cancel_scope.cancel()

    run_with_timeout(steps)


def test_items_of_a_killed_worker_resume_from_their_last_checkpoint() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        await JobStore(store).accept("j", "h", items(2), JOB_ROUTE)
        lost = make_worker("w1", store, engine)
        # Without upstreams the progress stays as it is set below.
        lost._view.upstreams.upstreams_by_id.clear()
        async with anyio.create_task_group() as group:
            group.start_soon(lost.run)
            while "j" not in lost._owned_by_id:
                await anyio.sleep(POLL_S)
            run = lost._owned_by_id["j"].runs_by_id["i1"]
            run.texts = [f"t{n}" for n in range(30)]
            run.last_event_id = 30
            while not (await JobStore(store).head("j"))[0].has_progress:
                await anyio.sleep(POLL_S)
            # Kills the worker: it hands nothing over.
            group.cancel_scope.cancel()
        after = make_worker("w1", store, engine)
        after._view.upstreams.upstreams_by_id.clear()
        async with anyio.create_task_group() as group:
            group.start_soon(after.run)
            while "j" not in after._owned_by_id:
                await anyio.sleep(POLL_S)
            runs = after._owned_by_id["j"].runs_by_id
            assert runs["i1"].last_event_id == 30
            assert runs["i1"].texts == [f"t{n}" for n in range(30)]
            assert runs["i0"].last_event_id is None
            group.cancel_scope.cancel()

    run_with_timeout(steps)


# Guards against a worker that lets go of a job that it has just claimed again,
# because a round of commits still knows its earlier ownership: the runs of the
# items go on, unknown to the worker, and all items are run again.
def test_end_of_an_old_commit_does_not_release_a_job_claimed_again() -> None:
    async def steps() -> None:
        store, engine = MemoryStore(), FakeEngine()
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(2), JOB_ROUTE)
        worker = make_worker("w1", store, engine)
        await worker._claim(*await jobs.head("j"))
        former = worker._owned_by_id["j"]
        former.outcomes.append(ItemResult("i0", True, "x"))

        async def commit_all(unsaved: Any, **options: Any) -> None:
            # While the commit waits, the job goes to another worker and back.
            for owner in ("w2/1", ""):
                job, revision = await jobs.head("j")
                job.owner = owner
                await jobs.commit([Commit(job, revision, {})])
                record = await store.get(JOB_PREFIX + "j")
                assert record is not None
                worker._apply_change(record)
            await worker._claim(*await jobs.head("j"))
            assert worker._owned_by_id["j"] is not former

        worker._committer.commit_all = commit_all  # type: ignore[method-assign]
        with anyio.move_on_after(0.5):
            await worker._commit_results()
        job, _ = await jobs.head("j")
        assert job.owner == worker._incarnation
        assert "j" in worker._owned_by_id

    run_with_timeout(steps)


# Guards against a head that is replaced by an older one, which the watch does
# not report again: a job without an owner is then not claimed.
def test_late_answer_of_a_read_does_not_undo_a_newer_head() -> None:
    class SlowStore(MemoryStore):
        """Store whose next read of a head is answered late."""

        before_answer: Callable[[], Awaitable[None]] | None = None

        async def get(self, key: str) -> Record | None:
            record = await super().get(key)
            if self.before_answer is not None and key.startswith(JOB_PREFIX):
                step, self.before_answer = self.before_answer, None
                await step()
            return record

    async def steps() -> None:
        store, engine = SlowStore(), FakeEngine()
        jobs = JobStore(store)
        await jobs.accept("j", "h", items(2), JOB_ROUTE)
        worker = make_worker("w1", store, engine)

        async def change_owner(owner: str) -> None:
            job, revision = await jobs.head("j")
            job.owner = owner
            await jobs.commit([Commit(job, revision, {})])
            record = await store.get(JOB_PREFIX + "j")
            assert record is not None
            worker._apply_change(record)

        await change_owner("w2/1")
        store.before_answer = lambda: change_owner("")
        await worker._reload_head("j")
        _, revision = await jobs.head("j")
        assert worker._heads_by_id["j"][1] == revision

    run_with_timeout(steps)


# Guards against refused calls of the store, which are charged, after each job.
def test_completed_job_is_not_claimed_again() -> None:
    class ConflictCountingStore(MemoryStore):
        """Store that counts refused transactions."""

        conflicts = 0

        async def transact(self, writes: Any, *, expected_by_key: Any) -> int:
            try:
                return await super().transact(
                    writes, expected_by_key=expected_by_key
                )
            except ConflictError:
                self.conflicts += 1
                raise

    async def steps() -> None:
        store, engine = ConflictCountingStore(), FakeEngine()
        worker = make_worker("w1", store, engine)
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            for number in range(5):
                job_id = f"j{number}"
                await JobStore(store).accept(job_id, "h", items(2), JOB_ROUTE)
                await wait_until_listed(store, job_id, 2)
                await anyio.sleep(0.7)
            group.cancel_scope.cancel()
        assert store.conflicts == 0, store.conflicts

    run_with_timeout(steps)


# Guards against a worker process that ends by itself when the operators retire
# it while the store does not answer.
def test_retirement_goes_on_while_the_store_does_not_answer() -> None:
    class DownStore(MemoryStore):
        """Store that answers no end of a lease at first."""

        is_down = True

        async def revoke_lease(self, lease_id: str) -> None:
            if self.is_down:
                self.is_down = False
                raise StoreUnavailableError("down")
            await super().revoke_lease(lease_id)

    async def steps() -> None:
        store, engine = DownStore(), FakeEngine()
        worker = make_worker("w1", store, engine)
        retirement = Retirement("w1", store, worker.drain)
        key, _ = retire_status("w1", RetireState.COMPLETED)
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            while not worker._is_registered():
                await anyio.sleep(POLL_S)
            group.start_soon(retirement.run)
            retirement._requested.set()
            while b"completed" not in getattr(
                await store.get(key), "value", b""
            ):
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    run_with_timeout(steps)
