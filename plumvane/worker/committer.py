"""Commits the results of owned batch jobs to the store."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import anyio

from plumvane import events, metrics
from plumvane.batch.jobstore import Commit, JobStore
from plumvane.errors import ConflictError, PlumvaneError
from plumvane.metrics import Metric
from plumvane.serving.jobs import ItemProgress, ItemResult
from plumvane.store.base import MAX_TRANSACTION_ENTRIES
from plumvane.worker.owned import OwnedJob
from plumvane.worker.results import ResultCache

__all__ = ["Committer", "log_commit_delayed"]

# Delay after a failed write, in seconds.
RETRY_S = 0.3
# Largest size of the texts in one transaction, in bytes. It keeps each call
# short.
MAX_TRANSACTION_BYTES = 500_000
# Most results in one transaction: three entries are reserved for the condition
# on the head, the head and the progress.
MAX_TRANSACTION_RESULTS = MAX_TRANSACTION_ENTRIES - 3


@dataclasses.dataclass(slots=True)
class _CommitDraft:
    """A commit of an owned job that is ready to be written.

    Attributes:
        owned: The job.
        commit: What to write.
        outcomes: Outcomes included in the commit.
    """

    owned: OwnedJob
    commit: Commit
    outcomes: Sequence[ItemResult]


class Committer:
    """Commits the state of owned jobs and resolves failed writes.

    A failed write may have been applied, so the job's head is then read from
    the store.
    """

    def __init__(self, jobs: JobStore, results: ResultCache) -> None:
        """Creates the committer.

        Args:
            jobs: The jobs in the store.
            results: Cache that is updated with committed results.
        """
        self._jobs = jobs
        self._results = results

    async def commit(
        self, owned: OwnedJob, progress: Sequence[ItemProgress] = ()
    ) -> None:
        """Commits a job's new results.

        Args:
            owned: The job.
            progress: Checkpoint of unfinished items, for the next owner.

        Raises:
            ConflictError: The head is at another revision than expected.
            StoreUnavailableError: The store did not answer; the results may
                have been written.
        """
        await self._write([_prepare(owned, progress)])

    async def commit_all(
        self, unsaved: Sequence[OwnedJob], *, with_progress: bool = False
    ) -> None:
        """Commits the new results of several jobs in few transactions.

        After a conflict the jobs are committed one by one, so that one job's
        conflict does not block the others. After any other failure their heads
        are read.

        Args:
            unsaved: The jobs.
            with_progress: Whether to write checkpoints of their items as well.
        """
        drafts = [
            _prepare(owned, owned.progress() if with_progress else ())
            for owned in unsaved
            if not owned.has_other_owner()
        ]
        for group in _split_into_transactions(drafts):
            try:
                await self._write(group)
            except ConflictError:
                for draft in group:
                    _log_conflict(draft.owned)
                    await self.commit_and_reconcile(draft.owned)
            except PlumvaneError as error:
                for draft in group:
                    log_commit_delayed(draft.owned, error)
                await anyio.sleep(RETRY_S)
                for draft in group:
                    await self._reconcile(draft.owned)

    async def read_missing_results(self, owned: OwnedJob) -> None:
        """Reads a job's results if its head lists some that are not known.

        The watch of the heads may report a write of this worker before its
        outcome is known.
        """
        if self._results.has_all_listed(owned.job):
            return
        try:
            results, _ = await self._jobs.results(owned.job.job_id)
        except PlumvaneError as error:
            log_commit_delayed(owned, error)
            return
        self._results.put(owned.job, results)

    async def commit_and_reconcile(self, owned: OwnedJob) -> None:
        """Commits a job's new results; after a failure, reads its head.

        Nothing is written for a job that another worker owns.
        """
        if owned.has_other_owner():
            return
        try:
            await self.commit(owned)
            return
        except ConflictError:
            _log_conflict(owned)
        except PlumvaneError as error:
            log_commit_delayed(owned, error)
            await anyio.sleep(RETRY_S)
        await self._reconcile(owned)

    async def _write(self, drafts: Sequence[_CommitDraft]) -> None:
        revision = await self._jobs.commit([draft.commit for draft in drafts])
        for draft in drafts:
            owned, results = draft.owned, draft.commit.results_by_position
            owned.apply_commit(draft.commit, revision, draft.outcomes)
            owned.mark_saved(draft.commit.progress)
            self._results.apply_commit(owned.job, results)
            for position, result in results.items():
                _report_listed(owned.job.job_id, position, result, revision)

    async def _reconcile(self, owned: OwnedJob) -> None:
        """Adopts the head in the store after a failed write."""
        try:
            job, revision = await self._jobs.head(owned.job.job_id)
        except PlumvaneError as error:
            log_commit_delayed(owned, error)
            return
        events.log(
            events.Event.JOB_RECONCILED,
            job=job.job_id,
            owner=job.owner,
            listed=len(job.listed_ids),
            revision=revision,
        )
        owned.apply_head(job, revision)
        if not owned.has_other_owner():
            await self.read_missing_results(owned)


def _prepare(
    owned: OwnedJob, progress: Sequence[ItemProgress] = ()
) -> _CommitDraft:
    job = owned.copy_head()
    job.has_progress = job.has_progress or bool(progress)
    results: dict[int, ItemResult] = {}
    outcomes = owned.outcomes[:MAX_TRANSACTION_RESULTS]
    for result in outcomes:
        position = job.append_result(result.item_id)
        if position is not None:
            results[position] = result
    commit = Commit(job, owned.revision, results, list(progress))
    return _CommitDraft(owned, commit, outcomes)


def _split_into_transactions(
    drafts: Sequence[_CommitDraft],
) -> list[list[_CommitDraft]]:
    """Splits commits into groups that each fit one transaction."""
    groups: list[list[_CommitDraft]] = []
    entries = size = 0
    for draft in drafts:
        commit_size = draft.commit.text_bytes()
        entries += draft.commit.entry_count
        size += commit_size
        if (
            not groups
            or entries > MAX_TRANSACTION_ENTRIES
            or size > MAX_TRANSACTION_BYTES
        ):
            groups.append([])
            entries, size = draft.commit.entry_count, commit_size
        groups[-1].append(draft)
    return groups


def log_commit_delayed(owned: OwnedJob, error: PlumvaneError) -> None:
    """Logs that a job's results could not be committed yet."""
    events.log(
        events.Event.COMMIT_DELAYED,
        job=owned.job.job_id,
        outcomes=len(owned.outcomes),
        error=str(error),
    )


def _log_conflict(owned: OwnedJob) -> None:
    events.log(
        events.Event.COMMIT_CONFLICT,
        job=owned.job.job_id,
        revision=owned.revision,
    )


def _report_listed(
    job_id: str, position: int, result: ItemResult, revision: int
) -> None:
    outcome = "done" if result.is_completed else "failed"
    metrics.add(Metric.BATCH_ITEMS, outcome=outcome)
    events.log(
        events.Event.ITEM_LISTED,
        job=job_id,
        item=result.item_id,
        position=position,
        completed=result.is_completed,
        digest=result.digest(),
        revision=revision,
    )
