"""Table of the batch jobs of one partition."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import anyio

from plumvane import clock, events, metrics
from plumvane.errors import (
    KeyReusedError,
    NotFoundError,
    NotOwnerError,
    StoreUnavailableError,
)
from plumvane.jobs.job import Job
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import (
    ItemsDone,
    ItemsFailed,
    JobAccepted,
    JobCancelled,
    LogRecord,
)
from plumvane.peers.messages import (
    ChunkRef,
    FailedItem,
    JobState,
    RangeDone,
    ResultPage,
    SubmitJob,
)

__all__ = ["JobTable"]


class JobTable:
    """Accepts jobs and commits their progress to the partition's log."""

    def __init__(
        self,
        log: PartitionLog,
        partition: int,
        epoch: int,
        *,
        may_accept: Callable[[], bool],
    ) -> None:
        """Creates an empty table.

        Args:
            log: Log of the partition.
            partition: Number of the partition.
            epoch: Epoch of the owner.
            may_accept: Returns whether a new job can be recorded now.
        """
        self._log = log
        self._partition = partition
        self._epoch = epoch
        self._may_accept = may_accept
        self._jobs_by_id: dict[str, Job] = {}
        # Commits of results in progress, by digest of their chunk.
        self._commits_by_digest: dict[str, anyio.Event] = {}

    def apply(self, record: LogRecord) -> None:
        """Applies a record of the log; records must come in log order."""
        if isinstance(record, JobAccepted):
            if record.job_id not in self._jobs_by_id:
                job = Job(record, self._partition, self._epoch)
                self._jobs_by_id[record.job_id] = job
        elif isinstance(record, ItemsDone | ItemsFailed | JobCancelled):
            existing = self._jobs_by_id.get(record.job_id)
            if existing is not None:
                _apply_progress(existing, record)

    def start(self) -> None:
        """Starts the recovery of all jobs; call it after applying the log."""
        now = clock.wall()
        for job in self._jobs_by_id.values():
            job.start_recovery(now)

    def jobs(self) -> list[Job]:
        """Returns all jobs of the partition."""
        return list(self._jobs_by_id.values())

    def chunks(self) -> Iterator[ChunkRef]:
        """Yields references to all chunks of inputs and results."""
        for job in self.jobs():
            yield from job.chunks()

    async def submit(self, message: SubmitJob) -> JobState:
        """Accepts a job, or returns the existing job with the same id.

        Raises:
            KeyReusedError: The id was used with a different input.
            StoreUnavailableError: The job cannot be recorded now.
        """
        job = self._jobs_by_id.get(message.job_id)
        if job is None:
            job = await self._accept(message)
        if job.accepted.digest != message.digest:
            raise KeyReusedError(
                "The job's key was used with another input.", not_run=True
            )
        return job.describe()

    def show(self, job_id: str, team: str) -> JobState:
        """Returns the state of a job.

        Raises:
            NotFoundError: The team has no such job.
        """
        return self._job(job_id, team).describe()

    def page(self, job_id: str, team: str, from_item: int) -> ResultPage:
        """Returns the page of a job's results that starts at an item.

        Raises:
            NotFoundError: The team has no such job.
        """
        return self._job(job_id, team).page(from_item)

    def jobs_of(self, team: str) -> list[JobState]:
        """Returns the states of a team's jobs, oldest first."""
        states = [
            job.describe() for job in self.jobs() if job.accepted.team == team
        ]
        return sorted(states, key=lambda state: state.created)

    async def cancel(self, job_id: str, team: str) -> JobState:
        """Cancels a job; results committed so far stay readable.

        Raises:
            NotFoundError: The team has no such job.
        """
        job = self._job(job_id, team)
        if job.state == "running":
            await self._commit(JobCancelled(job_id))
        return job.describe()

    async def report(self, report: RangeDone) -> bool:
        """Processes a sidecar's report on a range.

        Returns:
            False if the sidecar should drop the range's remaining items.
        """
        job = self._jobs_by_id.get(report.job_id)
        if job is None:
            return False
        was_running = job.state == "running"
        should_continue = (
            job.renew(report) if not report.finished else was_running
        )
        results, failed = job.process_report(report)
        if results is not None:
            await self._commit_results(ItemsDone(report.job_id, results))
        if failed:
            await self._commit_failures(report.job_id, failed)
        if was_running and job.state == "completed":
            events.log(events.Event.JOB_FINISHED, job=report.job_id)
        return should_continue

    async def expire(self) -> None:
        """Revokes expired claims and removes jobs past their retention."""
        now = clock.wall()
        self._remove_expired(now)
        for job_id, job in list(self._jobs_by_id.items()):
            failed = job.expire(now)
            if failed:
                await self._commit_failures(job_id, failed)

    async def revoke_stale_claims(
        self, sidecar_address: str, incarnation: str
    ) -> None:
        """Revokes the claims of a sidecar's earlier processes."""
        for job_id, job in list(self._jobs_by_id.items()):
            failed = job.revoke_stale_claims(sidecar_address, incarnation)
            if failed:
                await self._commit_failures(job_id, failed)

    def _remove_expired(self, now: float) -> None:
        """Removes ended jobs whose records the log no longer retains."""
        for job_id, job in list(self._jobs_by_id.items()):
            is_needed = self._log.live.is_live(job.accepted, now)
            if job.state != "running" and not is_needed:
                del self._jobs_by_id[job_id]

    async def _commit_results(self, record: ItemsDone) -> None:
        """Commits a chunk of results once, even if reported concurrently."""
        digest = record.results.digest
        pending = self._commits_by_digest.get(digest)
        if pending is not None:
            await pending.wait()
            if self._log.lost:
                raise NotOwnerError("Another instance took over.")
            return
        self._commits_by_digest[digest] = anyio.Event()
        try:
            await self._commit(record)
            metrics.add(
                metrics.Metric.BATCH_ITEMS,
                record.results.items,
                outcome="done",
            )
        finally:
            self._commits_by_digest.pop(digest).set()

    async def _commit(self, record: LogRecord) -> None:
        """Commits and applies a record, even if the caller is cancelled.

        Raises:
            NotOwnerError: Another instance has taken over the partition.
        """
        with anyio.CancelScope(shield=True):
            await self._log.commit(record)
            self.apply(record)

    async def _commit_failures(
        self, job_id: str, failed: tuple[FailedItem, ...]
    ) -> None:
        await self._commit(ItemsFailed(job_id, failed))
        metrics.add(metrics.Metric.BATCH_ITEMS, len(failed), outcome="failed")
        for item in failed:
            events.log(
                events.Event.ITEM_FAILED,
                job=job_id,
                index=item.index,
                cause=item.cause,
            )

    async def _accept(self, message: SubmitJob) -> Job:
        if not self._may_accept():
            raise StoreUnavailableError(
                "The store does not answer, so the job cannot be recorded.",
                not_run=True,
                retry_after_s=2.0,
            )
        record = JobAccepted(
            message.job_id,
            message.team,
            message.digest,
            message.model,
            message.chunks,
            message.deadline,
            clock.wall(),
        )
        await self._commit(record)
        job = self._jobs_by_id[message.job_id]
        events.log(
            events.Event.JOB_ACCEPTED, job=message.job_id, items=job.items
        )
        return job

    def _job(self, job_id: str, team: str) -> Job:
        job = self._jobs_by_id.get(job_id)
        if job is None or job.accepted.team != team:
            raise NotFoundError(f"There is no job {job_id!r}.")
        return job


def _apply_progress(
    job: Job, record: ItemsDone | ItemsFailed | JobCancelled
) -> None:
    if isinstance(record, ItemsDone):
        job.apply_done(record.results)
    elif isinstance(record, ItemsFailed):
        job.apply_failed(record.items)
    else:
        job.apply_cancelled()
