"""Tests of a partition's job table and its log."""

from __future__ import annotations

import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio

from plumvane import clock
from plumvane.errors import KeyReusedError, StoreUnavailableError
from plumvane.jobs.job import Job
from plumvane.jobs.table import JobTable
from plumvane.partitions.log import DEFAULT_RETENTION_S, PartitionLog
from plumvane.partitions.records import ItemsDone, JobAccepted, JobEnded
from plumvane.peers.messages import FailedItem, RangeGrant, SubmitJob
from plumvane.store.memory import MemoryStore
from tests.jobs import job_record, range_report, result_ref


class _BlockingStore(MemoryStore):
    """A store whose writes wait until a test unblocks them."""

    def __init__(self) -> None:
        super().__init__()
        self.unblocked = anyio.Event()
        self.unblocked.set()
        self.writes = 0

    async def put(self, *args: object, **fields: object) -> int:
        self.writes += 1
        await self.unblocked.wait()
        return await super().put(*args, **fields)  # type: ignore[arg-type]


@asynccontextmanager
async def _running_table(
    store: MemoryStore, epoch: int = 1, *, may_accept: bool = True
) -> AsyncIterator[JobTable]:
    log = PartitionLog(store, 0, epoch)
    table = JobTable(log, 0, epoch, may_accept=lambda: may_accept)
    for record in await log.recover():
        table.apply(record)
    table.start()
    async with anyio.create_task_group() as group:
        group.start_soon(log.run)
        yield table
        group.cancel_scope.cancel()


def _submit(record: JobAccepted, digest: bytes = b"d") -> SubmitJob:
    return SubmitJob(
        0,
        record.job_id,
        record.team,
        digest,
        record.model,
        record.chunks,
        record.deadline,
    )


def _job(table: JobTable) -> Job:
    return table.jobs()[0]


def _grant(table: JobTable, items: int = 64) -> RangeGrant:
    grant = _job(table).grant(items, "sidecar")
    assert grant is not None
    return grant


def _run(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Makes a coroutine a test with a time limit."""

    @functools.wraps(test)
    def run() -> None:
        async def bounded() -> None:
            with anyio.fail_after(30.0):
                await test()

        anyio.run(bounded)

    return run


@_run
async def test_resubmitted_job_is_not_duplicated() -> None:
    store = MemoryStore()
    record = job_record(items=64)
    async with _running_table(store) as table:
        async with anyio.create_task_group() as group:
            group.start_soon(table.submit, _submit(record))
            group.start_soon(table.submit, _submit(record))
        assert _grant(table).items == 64
        await table.submit(_submit(record))
        assert not _job(table).has_waiting
    async with _running_table(store, 2) as table:
        state = await table.submit(_submit(record))
        assert (len(table.jobs()), state.items) == (1, 64)


@_run
async def test_key_reused_with_different_input_is_rejected() -> None:
    record = job_record()
    async with _running_table(MemoryStore()) as table:
        await table.submit(_submit(record))
        try:
            await table.submit(_submit(record, b"other"))
        except KeyReusedError as error:
            assert error.not_run
        else:
            raise AssertionError("the different input was accepted")


@_run
async def test_job_is_refused_as_not_run_without_a_lease() -> None:
    async with _running_table(MemoryStore(), may_accept=False) as table:
        try:
            await table.submit(_submit(job_record()))
        except StoreUnavailableError as error:
            assert error.not_run and error.retry_after_s
        else:
            raise AssertionError("the job was accepted")
        assert table.jobs() == []


@_run
async def test_commit_is_applied_when_its_caller_is_cancelled() -> None:
    store = _BlockingStore()
    async with _running_table(store) as table:
        await table.submit(_submit(job_record(items=64)))
        grant = _grant(table)
        store.unblocked = anyio.Event()
        async with anyio.create_task_group() as callers:
            callers.start_soon(
                table.report, range_report(grant, result_ref(0, 64))
            )
            await anyio.wait_all_tasks_blocked()
            callers.cancel_scope.cancel()
            store.unblocked.set()
        assert _job(table).state == "completed"


@_run
async def test_concurrently_reported_results_are_committed_once() -> None:
    store = _BlockingStore()
    async with _running_table(store) as table:
        await table.submit(_submit(job_record(items=64)))
        report = range_report(_grant(table), result_ref(0, 64))
        store.unblocked = anyio.Event()
        async with anyio.create_task_group() as callers:
            for _ in range(5):
                callers.start_soon(table.report, report)
            await anyio.wait_all_tasks_blocked()
            assert not _job(table).describe().done
            store.unblocked.set()
    records = await PartitionLog(store, 0, 2).recover()
    assert [type(r).__name__ for r in records] == ["JobAccepted", "ItemsDone"]


@_run
async def test_results_under_a_claim_of_a_former_owner_count() -> None:
    store = MemoryStore()
    async with _running_table(store) as table:
        await table.submit(_submit(job_record(items=64)))
        grant = _grant(table)
    async with _running_table(store, 2) as table:
        failed = (FailedItem(63, "engine error"),)
        assert await table.report(
            range_report(grant, result_ref(0, 63), failed)
        )
        state = _job(table).describe()
        assert (state.done, state.failed_count) == (63, 0)
        assert _grant(table).first_item == 63


@_run
async def test_cancelled_job_accepts_results_and_stops_its_ranges() -> None:
    async with _running_table(MemoryStore()) as table:
        await table.submit(_submit(job_record(items=64)))
        grant = _grant(table)
        state = await table.cancel("batch-1", "intake")
        assert state.state == "cancelled"
        assert not await table.report(range_report(grant, finished=False))
        assert not await table.report(range_report(grant, result_ref(0, 8)))
        assert _job(table).describe().done == 8


def test_ended_job_is_removed_after_its_retention() -> None:
    async def check() -> None:
        async with _running_table(MemoryStore()) as table:
            for job_id in ("old", "young", "running"):
                await table.submit(_submit(job_record(job_id, 10)))
            for job_id in ("old", "young"):
                await table._commit(ItemsDone(job_id, result_ref(0, 10)))
            await table.expire()
            assert len(table.jobs()) == 3
            past = clock.wall() - DEFAULT_RETENTION_S - 1
            await table._commit(JobEnded("old", past))
            await table._commit(JobEnded("young", clock.wall()))
            await table.expire()
            ids = [job.accepted.job_id for job in table.jobs()]
            assert ids == ["young", "running"]

    anyio.run(check)
