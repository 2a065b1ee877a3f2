"""Batch jobs of one partition."""

from __future__ import annotations

from collections.abc import Callable

from plumvane import clock, events
from plumvane.errors import (
    KeyReusedError,
    NotFoundError,
    StoreUnavailableError,
)
from plumvane.jobs.job import Job
from plumvane.jobs.order import ORDERS_BY_NAME
from plumvane.partitions.log import PartitionLog
from plumvane.partitions.records import (
    ItemsDone,
    ItemsFailed,
    JobAccepted,
    JobCancelled,
    LogRecord,
)
from plumvane.peers.messages import (
    FailedItem,
    JobState,
    PullWork,
    RangeDone,
    RangeGrant,
    SubmitJob,
)

__all__ = ["JobTable"]


class JobTable:
    """Accepts jobs, hands out ranges and takes results in."""

    def __init__(
        self,
        log: PartitionLog,
        partition: int,
        epoch: int,
        *,
        may_promise: Callable[[], bool],
    ) -> None:
        """Creates an empty table.

        Args:
            log: The partition's log.
            partition: Number of the partition.
            epoch: Epoch of the owner.
            may_promise: Whether the owner's lease covers an answer now.
        """
        self._log = log
        self._partition = partition
        self._epoch = epoch
        self._may_promise = may_promise
        self._jobs_by_id: dict[str, Job] = {}

    def apply(self, record: LogRecord) -> None:
        """Takes a record of the log in, in the order of the log."""
        if isinstance(record, JobAccepted):
            if record.job_id not in self._jobs_by_id:
                job = Job(record, self._partition, self._epoch)
                self._jobs_by_id[record.job_id] = job
        elif isinstance(record, ItemsDone):
            self._jobs_by_id[record.job_id].apply_done(record.results)
        elif isinstance(record, ItemsFailed):
            self._jobs_by_id[record.job_id].apply_failed(record.items)
        elif isinstance(record, JobCancelled):
            self._jobs_by_id[record.job_id].apply_cancelled()

    def start(self) -> None:
        """Queues the open items; called once all records are applied."""
        for job in self._jobs_by_id.values():
            if not job.cancelled:
                job.queue_open_items()

    async def submit(self, message: SubmitJob) -> JobState:
        """Accepts a job, or returns the one of the same id.

        Raises:
            KeyReusedError: The id was used with another input.
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
        """Returns a job's progress.

        Raises:
            NotFoundError: The team has no such job.
        """
        return self._job(job_id, team).describe()

    def jobs_of(self, team: str) -> list[JobState]:
        """Returns a team's jobs, oldest first."""
        found = [
            job.describe()
            for job in self._jobs_by_id.values()
            if job.accepted.team == team
        ]
        return sorted(found, key=lambda state: state.created)

    async def cancel(self, job_id: str, team: str) -> JobState:
        """Cancels a job; what is done stays readable.

        Raises:
            NotFoundError: The team has no such job.
        """
        job = self._job(job_id, team)
        if job.state == "running":
            await self._log.commit(JobCancelled(job_id))
            job.apply_cancelled()
        return job.describe()

    def pull(self, message: PullWork, batch_order: str) -> RangeGrant | None:
        """Hands out a range of the job that goes first.

        Args:
            message: What the sidecar can take.
            batch_order: Name of the order policy.
        """
        now = clock.wall()
        key = ORDERS_BY_NAME[batch_order]
        waiting = [
            job
            for job in self._jobs_by_id.values()
            if job.accepted.model == message.model and job.has_waiting
        ]
        if not waiting:
            return None
        job = min(waiting, key=lambda job: key(job, now))
        return job.grant(message.items, message.sidecar_address)

    async def report(self, report: RangeDone) -> bool:
        """Takes a sidecar's report on a range in.

        Returns:
            Whether the job still wants its items.
        """
        job = self._jobs_by_id.get(report.job_id)
        if job is None or job.cancelled:
            return False
        results, failed = job.accept(report)
        if results is not None:
            await self._log.commit(ItemsDone(report.job_id, results))
            job.apply_done(results)
        if failed:
            await self._give_up(job, report.job_id, failed)
        if job.state == "completed":
            events.log(events.Event.JOB_FINISHED, job=report.job_id)
        return True

    async def expire(self) -> None:
        """Takes lapsed claims of all jobs back."""
        now = clock.wall()
        for job_id, job in list(self._jobs_by_id.items()):
            failed = job.expire(now)
            if failed:
                await self._give_up(job, job_id, failed)

    async def _give_up(
        self, job: Job, job_id: str, failed: tuple[FailedItem, ...]
    ) -> None:
        await self._log.commit(ItemsFailed(job_id, failed))
        job.apply_failed(failed)
        for item in failed:
            events.log(
                events.Event.ITEM_FAILED,
                job=job_id,
                index=item.index,
                cause=item.cause,
            )

    async def _accept(self, message: SubmitJob) -> Job:
        if not self._may_promise():
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
        await self._log.commit(record)
        self.apply(record)
        job = self._jobs_by_id[message.job_id]
        if not job.has_waiting and job.remaining == job.items:
            job.queue_open_items()
        events.log(
            events.Event.JOB_ACCEPTED, job=message.job_id, items=job.items
        )
        return job

    def _job(self, job_id: str, team: str) -> Job:
        job = self._jobs_by_id.get(job_id)
        if job is None or job.accepted.team != team:
            raise NotFoundError(f"There is no job {job_id!r}.")
        return job
