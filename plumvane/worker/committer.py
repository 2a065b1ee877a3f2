"""Writes the results of owned batch jobs to the store."""

from __future__ import annotations

from collections.abc import Sequence

import anyio

from plumvane import events, metrics
from plumvane.batch.jobstore import Commit, JobStore
from plumvane.errors import ConflictError, PlumvaneError
from plumvane.metrics import Metric
from plumvane.serving.jobs import ItemProgress, ItemResult
from plumvane.store.base import MAX_TRANSACTION_ENTRIES
from plumvane.worker.owned import OwnedJob

__all__ = ["Committer", "log_delay"]

# Pause after a write that failed, in seconds.
RETRY_S = 0.3
# Results in one transaction, beside the head's condition, the head and the
# progress.
MAX_RESULTS = MAX_TRANSACTION_ENTRIES - 3


class Committer:
    """Writes what owned jobs have, and settles writes that failed."""

    def __init__(self, jobs: JobStore) -> None:
        """Creates the committer.

        Args:
            jobs: The jobs in the store.
        """
        self._jobs = jobs

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
        job = owned.copy_head()
        job.has_progress = bool(progress)
        results: dict[int, ItemResult] = {}
        taken = owned.outcomes[:MAX_RESULTS]
        for result in taken:
            position = job.list_result(result.item_id)
            if position is not None:
                results[position] = result
        commit = Commit(job, owned.revision, results, list(progress))
        revision = await self._jobs.commit([commit])
        owned.take_commit(commit, revision, taken)
        for position, result in results.items():
            _note_listed(owned, position, result)

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
        try:
            owned.take_head(*await self._jobs.head(owned.job.job_id))
        except PlumvaneError as error:
            log_delay(owned, error)


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
