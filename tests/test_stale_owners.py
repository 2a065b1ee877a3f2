"""Tests of owners that answer from memory after another instance took over.

A frozen, suspended or partitioned owner does not know of the takeover at first.
What it does not know it must not deny.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio

from plumvane.errors import (
    LinkLostError,
    NotFoundError,
)
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import (
    LogRecord,
    RequestCompleted,
    RequestStarted,
)
from plumvane.peers.messages import (
    Claim,
    ClaimResult,
    Done,
    Message,
    Outcome,
    RangeDone,
    RangeGrant,
)
from plumvane.requests.ledger import OwnerState, RequestLedger
from plumvane.sidecar.range_reports import RangeReporter
from plumvane.sidecar.ranges import RangeRun
from plumvane.store.base import Store, WatchResult
from plumvane.store.memory import MemoryStore

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
