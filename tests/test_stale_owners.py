"""Tests of owners that answer from memory after another instance took over.

A frozen, suspended or partitioned owner does not know of the takeover at first.
What it does not know it must not deny.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio

from plumvane.entry.host import PartitionHost
from plumvane.entry.owners import OwnerClient
from plumvane.errors import (
    LinkLostError,
    NotFoundError,
    NotOwnerError,
    PlumvaneError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import Directory
from plumvane.jobs.table import JobTable
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import (
    JobAccepted,
    LogRecord,
    RequestCompleted,
    RequestStarted,
)
from plumvane.peers.messages import (
    CancelRequest,
    Claim,
    ClaimResult,
    Done,
    FetchResults,
    JobCall,
    JobState,
    JobStates,
    Lookup,
    Message,
    Outcome,
    RangeDone,
    RangeGrant,
    Report,
    ResultPage,
    SubmitJob,
)
from plumvane.requests.ledger import OwnerState, RequestLedger
from plumvane.sidecar.range_reports import RangeReporter
from plumvane.sidecar.ranges import RangeRun
from plumvane.store.base import Store, WatchResult
from plumvane.store.memory import MemoryStore
from tests.chunks import MemoryChunks
from tests.jobs import job_record, range_report, result_ref

OUTER_DEADLINE_S = 15.0


class PagingStore(MemoryStore):
    """Store that runs a step before the second page of a listing."""

    def __init__(self) -> None:
        super().__init__()
        self.before_second_page: Callable[[], Awaitable[None]] | None = None

    async def list(self, prefix: str, **page: Any) -> WatchResult:
        if page.get("after_key") and self.before_second_page is not None:
            step, self.before_second_page = self.before_second_page, None
            await step()
        return await super().list(prefix, **page)


def run_with_timeout(steps: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


def completed(key: str, *, size: int = 10) -> RequestCompleted:
    outcome = Outcome(200, b"x" * size)
    return RequestCompleted("team", key, f"run-{key}", b"", outcome, 1e12)


def submission(record: JobAccepted) -> SubmitJob:
    return SubmitJob(
        0,
        record.job_id,
        record.team,
        b"d",
        record.model,
        record.chunks,
        record.deadline,
    )


@contextlib.asynccontextmanager
async def running_log(
    store: Store, epoch: int
) -> AsyncIterator[tuple[PartitionLog, list[LogRecord]]]:
    """Yields a log that accepts commits, and the records it recovered."""
    log = PartitionLog(store, 0, epoch)
    records = await log.recover()
    async with anyio.create_task_group() as group:
        group.start_soon(log.run)
        yield log, records
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def former_owner(store: Store) -> AsyncIterator[PartitionHost]:
    """Yields a host whose lease has lapsed and that still has partition 0."""
    unused: Any = None
    host = PartitionHost(
        CurrentDocument(),
        unused,
        lambda: False,
        store_is_down=lambda: False,
        claim_recovery=unused,
        address="former",
        chunks=MemoryChunks(),
    )
    async with running_log(store, 1) as (log, records):
        async with anyio.create_task_group() as group:
            group.start_soon(host.run)
            while host._group is None:
                await anyio.sleep(0)
            host.add_partition(0, records, log)
            yield host
            group.cancel_scope.cancel()


async def reply_of(host: PartitionHost, message: Message) -> Any:
    """Returns the reply to a call, or the error that it fails with."""
    try:
        return await host.handle(message)
    except PlumvaneError as error:
        return error


# Guards against a caller that gets 404 for a result that was stored and read.
def test_former_owner_does_not_deny_a_stored_result() -> None:
    async def steps() -> None:
        store = MemoryStore()
        async with (
            former_owner(store) as host,
            running_log(store, 2) as (
                log,
                _,
            ),
        ):
            await log.commit(completed("k"))
            for kind in (Lookup, CancelRequest):
                reply = await reply_of(host, kind(0, "team", "k"))
                assert isinstance(reply, NotOwnerError), repr(reply)

    run_with_timeout(steps)


# Guards against a caller that gets 404 for a job that the next owner accepted.
def test_former_owner_does_not_deny_an_accepted_job() -> None:
    async def steps() -> None:
        store = MemoryStore()
        async with (
            former_owner(store) as host,
            running_log(store, 2) as (
                log,
                _,
            ),
        ):
            record = job_record()
            await log.commit(record)
            call = JobCall(0, record.job_id, record.team)
            reply = await reply_of(host, call)
            assert isinstance(reply, NotOwnerError), repr(reply)

    run_with_timeout(steps)


# Guards against an empty last page for results that had been read before.
def test_former_owner_does_not_serve_an_incomplete_page_of_results() -> None:
    async def steps() -> None:
        store = MemoryStore()
        record = job_record(items=64)
        async with running_log(store, 1) as (log, _):
            await log.commit(record)
        async with (
            former_owner(store) as host,
            running_log(store, 2) as (
                log,
                records,
            ),
        ):
            table = JobTable(log, 0, 2, may_accept=lambda: True)
            for known in records:
                table.apply(known)
            grant = table.jobs()[0].grant(64, "sidecar")
            assert isinstance(grant, RangeGrant)
            await table.report(range_report(grant, result_ref(0, 64)))
            assert len(table.page(record.job_id, record.team, 0).results) == 1
            call = FetchResults(0, record.job_id, record.team)
            reply = await reply_of(host, call)
            is_denied = isinstance(reply, ResultPage) and not reply.results
            assert not is_denied, repr(reply)

    run_with_timeout(steps)


# Guards against a takeover that misses committed records of the former owner.
def test_takeover_reads_a_segment_that_was_closed_between_two_pages() -> None:
    async def steps() -> None:
        store = PagingStore()
        keys = [f"k{number}" for number in range(7)]
        async with running_log(store, 1) as (log, _):
            for key in keys:
                await log.commit(completed(key, size=70_000))
            # The eighth segment, the last one of the first page, is open.
            await log.commit(completed("open"))

            async def close_segment() -> None:
                await log.commit(completed("closing", size=70_000))
                await log.commit(completed("next"))

            store.before_second_page = close_segment
            records = await PartitionLog(store, 0, 2).recover()
        found = [r.key for r in records if isinstance(r, RequestCompleted)]
        assert found == [*keys, "open", "closing", "next"], found

    run_with_timeout(steps)


# Guards against a job that is listed twice, in two states, after a takeover.
def test_job_of_two_owners_is_listed_once() -> None:
    def state_of(done: int) -> JobState:
        state = "completed" if done == 64 else "running"
        return JobState("batch-1", state, 64, done, (), 1e12, 0.0)

    class FakeOwners:
        """Two owners with different states of one job."""

        address = "caller"

        def owner_addresses(self) -> list[str]:
            return ["former", "next"]

        async def call(
            self, address: str, message: Message, *, deadline: float
        ) -> Message:
            return JobStates((state_of(0 if address == "former" else 64),))

    async def steps() -> None:
        owners: Any = FakeOwners()
        unused: Any = None
        client = OwnerClient(owners, unused, owners, lambda: False)
        jobs = await client.list_jobs("intake", deadline=1e12)
        assert [job.state for job in jobs] == ["completed"], jobs

    run_with_timeout(steps)


# Guards against a non-idempotent request that runs twice after a takeover.
def test_takeover_between_two_pages_grants_no_completed_request_again() -> None:
    async def steps() -> None:
        store = PagingStore()
        unused: Any = None
        state = OwnerState(lambda: True, lambda: False, lambda: 1e12)
        async with running_log(store, 1) as (log, _):
            for number in range(7):
                await log.commit(completed(f"k{number}", size=70_000))
            await log.commit(completed("open"))

            async def close_segment() -> None:
                started = RequestStarted("team", "k", "r1", b"", 1e12, "s", 0.0)
                await log.commit(started)
                await log.commit(completed("k", size=70_000))
                await log.commit(completed("next"))

            store.before_second_page = close_segment
            async with (
                running_log(store, 2) as (new_log, records),
                anyio.create_task_group() as group,
            ):
                spawn: Any = group.start_soon
                ledger = RequestLedger(0, new_log, state, unused, spawn)
                for record in records:
                    ledger.apply(record)
                ledger.finish_recovery()
                claim = Claim(0, "team", "k", "r2", b"", False, 1e12, "e", "s")
                reply = await ledger.claim(claim)
                assert isinstance(reply, ClaimResult), repr(reply)

    run_with_timeout(steps)


# Guards against results that are lost as a former owner never had their job.
def test_results_are_kept_until_an_owner_that_has_the_job_accepts_them() -> (
    None
):
    accepted: list[RangeDone] = []

    class FakeOwners:
        """The owner that granted the range is lost; two others answer."""

        owners = ("former", "next")

        async def call(
            self, address: str, message: RangeDone, *, deadline: float
        ) -> Message:
            if address == "lost":
                raise LinkLostError("The owner was lost.")
            if address == "former":
                raise NotFoundError("The range is no longer needed.")
            accepted.append(message)
            return Done()

        async def store(self, data: bytes) -> tuple[str, tuple[str, ...]]:
            return "results", ("bulk",)

    async def steps() -> None:
        fakes: Any = FakeOwners()
        reporter = RangeReporter("sidecar", "first", fakes, fakes, fakes)
        grant = RangeGrant(0, "batch-1", 0, 1, "claim", 0.0, 1e12, ())
        run = RangeRun("lost", grant)
        run.add_result(0, b"{}")
        await reporter.finish(run)
        assert [report.results is not None for report in accepted] == [True]

    run_with_timeout(steps)


# Guards against calls to a former address that a late report brought back.
def test_late_report_does_not_restore_the_former_address() -> None:
    def listed(address: str) -> list[dict[str, str]]:
        return [
            {
                "name": "s",
                "role": "sidecar",
                "address": address,
                "data_centre": "a",
                "serves": "m",
                "state": "live",
            }
        ]

    directory = Directory("http://127.0.0.1:1/instances")
    directory.apply_listing(listed("127.0.0.1:1"))
    directory.apply_listing(listed("127.0.0.1:2"))
    directory.apply_report(
        Report("s", "sidecar", "127.0.0.1:1", "a", "m", 1, leaving=False)
    )
    assert [i.address for i in directory.live("sidecar")] == ["127.0.0.1:2"]
