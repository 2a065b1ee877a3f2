"""Tests of workers' knowledge of job heads: claims, late answers, changes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel

from plumvane.batch.jobstore import JOB_PREFIX, Commit, JobStore
from plumvane.errors import (
    ConflictError,
    StoreUnavailableError,
)
from plumvane.serving.jobs import ItemResult
from plumvane.store.base import Record
from plumvane.store.memory import MemoryStore
from plumvane.worker.owned import OwnedJob
from tests.workers import (
    JOB_ROUTE,
    POLL_S,
    FakeEngine,
    items,
    make_worker,
    run_with_timeout,
    wait_until_listed,
)


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
