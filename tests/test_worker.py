"""Tests of workers that share an in-memory store, without a network.

They cover claims, results, failover and the end of jobs.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.lowlevel

from plumvane import clock
from plumvane.batch.jobstore import JOB_PREFIX, Commit, JobStore
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    ConflictError,
    StoreUnavailableError,
)
from plumvane.platform.retirement import RetireState, retire_status
from plumvane.serving.jobs import ItemResult, Job
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.serving.upstreams import Upstream
from plumvane.store.base import Record
from plumvane.store.memory import MemoryStore
from plumvane.worker.items import ItemRunner
from plumvane.worker.owned import OwnedJob
from plumvane.worker.retirement import Retirement
from plumvane.worker.worker import DUE_SOON_S, _is_commit_urgent
from tests.gateways import make_listed_upstream
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
        await ItemRunner(
            view,
            caller,
            PromptQuarantine("worker", None),
            Permits("worker", None, view.upstreams),
            ItemDurationEstimator(),
        ).run(owned, run, upstream)
        assert engine.running == []
        assert not run.is_done

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


def test_partial_results_that_are_not_due_soon_share_a_commit() -> None:
    """Commits of all jobs are most of the store's writes at size."""

    def owned(due_s: float, done: int) -> OwnedJob:
        due_ms = int((clock.wall() + due_s) * 1000)
        job = Job("j", "h", ["i0", "i1"], [0, 0], 1, due_ms, due_ms, 2)
        made = OwnedJob(job, 1, list(items(2)))
        for run in list(made.runs_by_id.values())[:done]:
            made.complete(run)
        return made

    far, near = DUE_SOON_S + 10.0, DUE_SOON_S - 1.0
    assert not _is_commit_urgent(owned(near, 0))
    assert not _is_commit_urgent(owned(far, 1))
    assert _is_commit_urgent(owned(near, 1)), "it is due soon"
    assert _is_commit_urgent(owned(far, 2)), "the job is done"

    class CountingStore(MemoryStore):
        commits = 0

        async def transact(self, *args: Any, **kwargs: Any) -> int:
            self.commits += 1
            return await super().transact(*args, **kwargs)

    async def steps() -> None:
        store = CountingStore()
        await JobStore(store).accept("j", "h", items(12), JOB_ROUTE)
        async with anyio.create_task_group() as group:
            group.start_soon(make_worker("w1", store, SlowEngine()).run)
            await wait_until_listed(store, "j", 12)
            group.cancel_scope.cancel()
        # Besides the submission, the registration and the claim.
        assert store.commits <= 3 + 4, "results of 0.9 s share a commit"

    run_with_timeout(steps)


class SlowEngine(FakeEngine):
    """Engine whose items end 0.15 s after each other."""

    def _reply(self, item_id: str, after: int) -> Any:
        reply = super()._reply(item_id, after)
        events = reply.iter_body

        async def iter_body() -> AsyncIterator[bytes]:
            await anyio.sleep(0.15 * int(item_id[1:]))
            async for part in events():
                yield part

        reply.iter_body = iter_body
        return reply
