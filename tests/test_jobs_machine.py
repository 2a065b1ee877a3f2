"""State machine test of a batch job with takeovers and lost responses."""

from __future__ import annotations

import asyncio
import collections
import os
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from plumvane.errors import NotOwnerError, StoreUnavailableError
from plumvane.jobs import job as jobs_job
from plumvane.jobs.job import Job
from plumvane.jobs.table import JobTable
from plumvane.partitions import budget, segments
from plumvane.partitions.log import PartitionLog
from plumvane.peers.messages import (
    ChunkRef,
    FailedItem,
    FailureKind,
    RangeDone,
    RangeGrant,
    SubmitJob,
)
from plumvane.store.memory import MemoryStore
from tests.jobs import job_record, range_report, renewal_report

ITEMS = 24
MAX_ATTEMPTS = 2
MAX_LOSSES = 2
FAR_FUTURE = 1e12
LONG = os.environ.get("HYPOTHESIS_PROFILE") == "long"


class _LossyStore(MemoryStore):
    """A store that loses writes, or responses to successful writes."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []

    async def put(self, *args: Any, **fields: Any) -> int:
        fault = self.faults.pop() if self.faults else ""
        if fault == "write":
            raise StoreUnavailableError("The write was lost.")
        revision = await super().put(*args, **fields)
        if fault == "answer":
            raise StoreUnavailableError("The answer was lost.")
        return revision


class _Oracle:
    """Model of what owners have acknowledged for the job.

    Attributes:
        closed: Items whose result or permanent failure was acknowledged.
        digest_by_item: Chunk of the first result seen for each item.
        errors: Number of errors reported for each item under a known claim.
        losses: Number of claims on each item alone that were lost or whose
            report said so.
        cancelled: Whether a cancellation was acknowledged.
    """

    def __init__(self) -> None:
        self.closed: set[int] = set()
        self.digest_by_item: dict[int, str] = {}
        self.errors: collections.Counter[int] = collections.Counter()
        self.losses: collections.Counter[int] = collections.Counter()
        self.cancelled = False

    def check(self, job: Job) -> None:
        """Checks that the job agrees with all that was acknowledged."""
        page = job.page(0)
        assert page.last
        seen = collections.Counter(i for r in page.results for i in r.covered())
        seen.update(item.index for item in page.failed)
        assert all(count == 1 for count in seen.values()), "listed twice"
        assert self.closed <= seen.keys(), "an acknowledged item is open"
        assert job.remaining == ITEMS - len(seen)
        for results in page.results:
            for index in results.covered():
                first = self.digest_by_item.setdefault(index, results.digest)
                assert first == results.digest, "a result has changed"
        for item in page.failed:
            if item.kind is FailureKind.ERROR:
                assert self.errors[item.index] >= MAX_ATTEMPTS
            elif item.kind is FailureKind.LOST:
                assert self.losses[item.index] >= MAX_LOSSES
        assert not self.cancelled or job.state == "cancelled"
        assert not (self.cancelled and job.has_waiting)


class JobMachine(stateful.RuleBasedStateMachine):
    """Events at the owners and sidecars of one job, in any order."""

    claims: stateful.Bundle[RangeGrant] = stateful.Bundle("claims")
    reports: stateful.Bundle[RangeDone] = stateful.Bundle("reports")

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.store = _LossyStore()
        self.oracle = _Oracle()
        self.tables: list[JobTable] = []
        self.result_count = 0
        self.patches = [
            mock.patch.object(budget, "COMMITS_PER_S", 1e9),
            mock.patch.object(segments, "RETRY_S", 0.0),
            # Low limits, so that short runs reach them.
            mock.patch.object(jobs_job, "MAX_ATTEMPTS", MAX_ATTEMPTS),
            mock.patch.object(jobs_job, "MAX_LOSSES", MAX_LOSSES),
        ]
        for patch in self.patches:
            patch.start()
        self.take_over()
        record = job_record(items=ITEMS)
        message = SubmitJob(
            0, "batch-1", "intake", b"d", "model", record.chunks, 0.0
        )
        self.runner.run(self.tables[-1].submit(message))

    @property
    def job(self) -> Job:
        """The job at the newest owner."""
        return self.tables[-1].jobs()[0]

    @stateful.rule()
    def take_over(self) -> None:
        """Starts a new owner of the partition; former owners keep running."""
        epoch = len(self.tables) + 1
        log = PartitionLog(self.store, 0, epoch)
        table = JobTable(log, 0, epoch, may_accept=lambda: True)
        for record in self.runner.run(log.recover()):
            table.apply(record)
        table.start()
        self.runner.get_loop().create_task(log.run())
        self.tables.append(table)

    @stateful.rule(fault=st.sampled_from(["answer", "write"]))
    def inject_store_fault(self, fault: str) -> None:
        """Makes one of the next writes to the store fail."""
        self.store.faults.append(fault)

    @stateful.rule(
        target=claims, items=st.integers(1, 12), by_former_owner=st.booleans()
    )
    def grant(self, items: int, by_former_owner: bool) -> Any:
        """Grants a range, by the current or the former owner."""
        job = self._table(by_former_owner).jobs()[0]
        grant = job.grant(items, "sidecar", f"process-{len(self.tables)}")
        if grant is None:
            return stateful.multiple()
        assert not (self.oracle.cancelled and not by_former_owner)
        return grant

    @stateful.rule(
        target=reports,
        grant=claims,
        outcomes=st.lists(
            st.sampled_from(["result", "untried", *FailureKind]),
            min_size=12,
            max_size=12,
        ),
        finished=st.booleans(),
        by_former_owner=st.booleans(),
    )
    def report(
        self,
        grant: RangeGrant,
        outcomes: list[Any],
        finished: bool,
        by_former_owner: bool,
    ) -> RangeDone:
        """Reports a range with any mix of outcomes."""
        indexes = range(grant.first_item, grant.first_item + grant.items)
        by_index = dict(zip(indexes, outcomes, strict=False))
        results = tuple(i for i in indexes if by_index.get(i) == "result")
        failed = tuple(
            FailedItem(i, "cause", kind)
            for i, kind in by_index.items()
            if isinstance(kind, FailureKind)
        )
        self.result_count += 1
        ref = ChunkRef(
            f"results-{self.result_count}",
            grant.first_item,
            grant.items,
            ("bulk",),
            results,
        )
        report = range_report(
            grant,
            ref if results else None,
            failed if finished else (),
            finished=finished,
        )
        self._send(report, by_former_owner)
        return report

    @stateful.rule(report=reports, by_former_owner=st.booleans())
    def resend_report(self, report: RangeDone, by_former_owner: bool) -> None:
        """Sends a report again, as after a lost response."""
        self._send(report, by_former_owner)

    @stateful.rule(grant=claims)
    def report_concurrently(self, grant: RangeGrant) -> None:
        """Reports two results of a range concurrently, so commits overlap."""
        table = self.tables[-1]
        indexes = range(grant.first_item, grant.first_item + grant.items)
        calls = []
        for _ in range(2):
            self.result_count += 1
            ref = ChunkRef(
                f"results-{self.result_count}",
                grant.first_item,
                grant.items,
                (),
            )
            calls.append(table.report(range_report(grant, ref)))

        async def both() -> None:
            await asyncio.gather(*calls)

        if self._run(table, both()):
            self.oracle.closed.update(indexes)

    @stateful.rule(grant=claims, by_former_owner=st.booleans())
    def renew(self, grant: RangeGrant, by_former_owner: bool) -> None:
        """Renews a claim, which may have expired or ended."""
        self._send(renewal_report(grant), by_former_owner)

    @stateful.rule()
    def expire_claims(self) -> None:
        """Expires all claims."""
        self._count_losses(lambda claim: True)
        self._run(self.tables[-1], self._expire())

    @stateful.rule()
    def restart_sidecar(self) -> None:
        """Revokes claims as when a new process of the sidecar asks for work."""
        name = f"process-{len(self.tables)}-{self.result_count}"
        self._count_losses(lambda claim: claim.incarnation != name)
        table = self.tables[-1]
        self._run(table, table.revoke_stale_claims("sidecar", name))

    @stateful.precondition(lambda self: self.result_count > 4)
    @stateful.rule(by_former_owner=st.booleans())
    def cancel(self, by_former_owner: bool) -> None:
        """Cancels the job."""
        table = self._table(by_former_owner)
        was_running = table.jobs()[0].state == "running"
        if self._run(table, table.cancel("batch-1", "intake")) and was_running:
            self.oracle.cancelled = self.oracle.cancelled or bool(
                table.jobs()[0].cancelled
            )

    @stateful.invariant()
    def matches_oracle(self) -> None:
        """Checks the newest owner's job against the oracle."""
        if self.tables and self.tables[-1].jobs():
            self.oracle.check(self.job)

    def teardown(self) -> None:
        """Runs the job to its end; every item must get an outcome."""
        try:
            self._drain()
        finally:
            for patch in self.patches:
                patch.stop()
            self.runner.close()

    def _drain(self) -> None:
        self.store.faults.clear()
        self.runner.run(self._expire())
        while (grant := self.job.grant(ITEMS, "sidecar")) is not None:
            indexes = tuple(
                i
                for i in range(grant.first_item, grant.first_item + grant.items)
                if i not in grant.skip
            )
            ref = ChunkRef("last", grant.first_item, grant.items, (), indexes)
            self.runner.run(self.tables[-1].report(range_report(grant, ref)))
        assert self.job.state in ("completed", "cancelled")

    def _table(self, by_former_owner: bool) -> JobTable:
        return (
            self.tables[-2]
            if by_former_owner and len(self.tables) > 1
            else self.job_table
        )

    @property
    def job_table(self) -> JobTable:
        """The table of the newest owner."""
        return self.tables[-1]

    async def _expire(self) -> None:
        with mock.patch("plumvane.clock.wall", lambda: FAR_FUTURE):
            await self.tables[-1].expire()

    def _count_losses(self, is_lost: Any) -> None:
        for claim in self.job.claims:
            if claim.items == 1 and is_lost(claim):
                self.oracle.losses[claim.first_item] += 1

    def _send(self, report: RangeDone, by_former_owner: bool) -> None:
        table = self._table(by_former_owner)
        known = report.claim_id in [
            claim.claim_id for claim in table.jobs()[0].claims
        ]
        for item in report.failed if known else ():
            if item.kind is FailureKind.ERROR:
                self.oracle.errors[item.index] += 1
            elif item.kind is FailureKind.LOST and report.items == 1:
                self.oracle.losses[item.index] += 1
        if not self._run(table, table.report(report)):
            return
        if report.results is not None:
            self.oracle.closed.update(report.results.covered())
        self.oracle.closed.update(
            item.index
            for item in report.failed
            if item.kind is FailureKind.REFUSED
        )

    def _run(self, table: JobTable, call: Any) -> bool:
        """Runs a call; returns False if a former owner rejected it."""
        try:
            self.runner.run(call)
        except NotOwnerError:
            assert table is not self.tables[-1]
            return False
        return True


JobMachine.TestCase.settings = hypothesis.settings(
    derandomize=not LONG,
    max_examples=3000 if LONG else 150,
    stateful_step_count=60,
    deadline=None,
)


def test_job_matches_oracle() -> None:
    stateful.run_state_machine_as_test(
        JobMachine, settings=JobMachine.TestCase.settings
    )
