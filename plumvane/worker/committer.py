"""Writes the results of owned batch jobs to the store."""

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

__all__ = ["Committer", "log_delay"]

# Pause after a write that failed, in seconds.
RETRY_S = 0.3
# Text of results in one transaction, in bytes, so that one call stays short.
MAX_TRANSACTION_BYTES = 500_000
# Results in one transaction, beside the head's condition, the head and the
# progress.
MAX_RESULTS = MAX_TRANSACTION_ENTRIES - 3


@dataclasses.dataclass(slots=True)
class _Draft:
    """A job's next state and what it lists.

    Attributes:
        owned: The job.
        commit: What is written.
        taken: Outcomes that are in it.
    """

    owned: OwnedJob
    commit: Commit
    taken: Sequence[ItemResult]


class Committer:
    """Writes what owned jobs have, and settles writes that failed."""

    def __init__(self, jobs: JobStore, results: ResultCache) -> None:
        """Creates the committer.

        Args:
            jobs: The jobs in the store.
            results: Told what is listed.
        """
        self._jobs = jobs
        self._results = results

    async def commit(
        self, owned: OwnedJob, progress: Sequence[ItemProgress] = ()
    ) -> None:
        """Writes a job's new results.

        Args:
            owned: The job.
            progress: Progress of items that is left for the next owner.

        Raises:
            ConflictError: The head stands at another revision.
            StoreUnavailableError: No answer; the results may be listed.
        """
        await self._write([_draft(owned, progress)])

    async def commit_all(
        self, unsaved: Sequence[OwnedJob], *, with_progress: bool = False
    ) -> None:
        """Writes the new results of some jobs in few transactions.

        After a failure each job is written by itself or its head is read, so
        that one job's conflict does not hold the others up.

        Args:
            unsaved: The jobs.
            with_progress: Whether how far their items are is written too.
        """
        drafts = [
            _draft(owned, owned.progress() if with_progress else ())
            for owned in unsaved
        ]
        for group in _groups(drafts):
            try:
                await self._write(group)
            except ConflictError:
                for draft in group:
                    await self.commit_and_settle(draft.owned)
            except PlumvaneError as error:
                for draft in group:
                    log_delay(draft.owned, error)
                await anyio.sleep(RETRY_S)
                for draft in group:
                    await self._settle(draft.owned)

    async def commit_and_settle(self, owned: OwnedJob) -> None:
        """Writes a job's new results; after a failure its head is read."""
        try:
            await self.commit(owned)
            return
        except ConflictError:
            events.log(
                events.Event.COMMIT_CONFLICT,
                job=owned.job.job_id,
                revision=owned.revision,
            )
        except PlumvaneError as error:
            log_delay(owned, error)
            await anyio.sleep(RETRY_S)
        await self._settle(owned)

    async def _write(self, drafts: Sequence[_Draft]) -> None:
        revision = await self._jobs.commit([draft.commit for draft in drafts])
        for draft in drafts:
            owned, results = draft.owned, draft.commit.results_by_position
            owned.take_commit(draft.commit, revision, draft.taken)
            owned.take_saved(draft.commit.progress)
            self._results.take_commit(owned.job, results)
            for position, result in results.items():
                _note_listed(owned, position, result)

    async def _settle(self, owned: OwnedJob) -> None:
        try:
            job, revision = await self._jobs.head(owned.job.job_id)
        except PlumvaneError as error:
            log_delay(owned, error)
            return
        self._results.settle(owned, job)
        owned.take_head(job, revision)


def _draft(owned: OwnedJob, progress: Sequence[ItemProgress] = ()) -> _Draft:
    job = owned.copy_head()
    job.has_progress = job.has_progress or bool(progress)
    results: dict[int, ItemResult] = {}
    taken = owned.outcomes[:MAX_RESULTS]
    for result in taken:
        position = job.append_result(result.item_id)
        if position is not None:
            results[position] = result
    commit = Commit(job, owned.revision, results, list(progress))
    return _Draft(owned, commit, taken)


def _groups(drafts: Sequence[_Draft]) -> list[list[_Draft]]:
    """Parts drafts so that each group fits a transaction."""
    groups: list[list[_Draft]] = []
    entries = size = 0
    for draft in drafts:
        draft_size = draft.commit.text_size()
        entries += draft.commit.entries
        size += draft_size
        if (
            not groups
            or entries > MAX_TRANSACTION_ENTRIES
            or size > MAX_TRANSACTION_BYTES
        ):
            groups.append([])
            entries, size = draft.commit.entries, draft_size
        groups[-1].append(draft)
    return groups


def log_delay(owned: OwnedJob, error: PlumvaneError) -> None:
    """Logs that a job's results wait for the store."""
    events.log(
        events.Event.COMMIT_DELAYED,
        job=owned.job.job_id,
        outcomes=len(owned.outcomes),
        error=str(error),
    )


def _note_listed(owned: OwnedJob, position: int, result: ItemResult) -> None:
    outcome = "done" if result.is_completed else "failed"
    metrics.add(Metric.BATCH_ITEMS, outcome=outcome)
    events.log(
        events.Event.ITEM_LISTED,
        job=owned.job.job_id,
        item=result.item_id,
        position=position,
        completed=result.is_completed,
        revision=owned.revision,
    )
