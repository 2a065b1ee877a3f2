"""A batch job that this worker runs."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import anyio

from plumvane.batch.jobstore import Commit
from plumvane.serving.jobs import Item, ItemProgress, ItemResult, Job

__all__ = ["ItemRun", "OwnedJob"]


@dataclasses.dataclass(slots=True)
class ItemRun:
    """An item and how far it is.

    Attributes:
        item: The item.
        texts: Data of the events that it has.
        last_event_id: Number of the last of them, or None.
        upstream_id: Upstream that runs it now, or empty.
        scope: Cancels its run.
        is_stopping: Whether its run was told to end.
        started: Monotonic time in seconds at which its run started.
        is_done: Whether it has an outcome.
        retry_at: Monotonic time in seconds before which it does not start.
        saved_events: Events that the store has of it.
    """

    item: Item
    texts: list[str] = dataclasses.field(default_factory=list)
    last_event_id: int | None = None
    upstream_id: str = ""
    scope: anyio.CancelScope | None = None
    is_stopping: bool = False
    started: float = 0.0
    is_done: bool = False
    retry_at: float = 0.0
    saved_events: int = 0

    def stop(self) -> None:
        """Ends its run, if it has one; what it has so far stays."""
        self.is_stopping = True
        if self.scope is not None:
            self.scope.cancel()


class OwnedJob:
    """A job's head as this worker last wrote or read it, and its runs."""

    def __init__(
        self,
        job: Job,
        revision: int,
        items: list[Item],
        progress: Sequence[ItemProgress] = (),
    ) -> None:
        """Takes a job over.

        Args:
            job: Its head.
            revision: Revision of the head.
            items: All its items.
            progress: How far some of them are.
        """
        self.job = job
        self.revision = revision
        # Results that the store does not list yet.
        self.outcomes: list[ItemResult] = []
        # Failed runs by item, those among them that the head does not have yet.
        self._failures_by_id = dict(job.failures_by_id)
        unlisted = set(job.pending_ids())
        self.runs_by_id = {
            item.item_id: ItemRun(item)
            for item in items
            if item.item_id in unlisted
        }
        for left in progress:
            run = self.runs_by_id.get(left.item_id)
            if run is not None:
                run.texts = list(left.texts)
                run.last_event_id = left.last_event_id
                run.saved_events = len(run.texts)

    def unsaved_events(self) -> int:
        """Returns the events of its items that the store does not have."""
        return sum(
            len(run.texts) - run.saved_events
            for run in self.runs_by_id.values()
            if not run.is_done
        )

    def take_saved(self, progress: Sequence[ItemProgress]) -> None:
        """Takes in that the progress of some items was written."""
        for item in progress:
            run = self.runs_by_id.get(item.item_id)
            if run is not None:
                run.saved_events = len(item.texts)

    def has_unsaved(self) -> bool:
        """Returns whether the head in the store lacks something."""
        unsaved_failures = self._failures_by_id != self.job.failures_by_id
        return bool(self.outcomes) or unsaved_failures

    def copy_head(self) -> Job:
        """Returns a head with the failures so far, to be changed further."""
        job = Job.decode(self.job.encode())
        job.failures_by_id = dict(self._failures_by_id)
        return job

    def failures(self, item_id: str) -> int:
        """Returns how many runs of an item have failed."""
        return self._failures_by_id.get(item_id, 0)

    def add_failure(self, item_id: str) -> bool:
        """Counts a failed run.

        Returns:
            Whether the item has failed for the last time.
        """
        self._failures_by_id[item_id] = self.failures(item_id) + 1
        return self.failures(item_id) >= self.job.max_attempts

    def progress(self) -> list[ItemProgress]:
        """Returns how far the items are that have no outcome yet."""
        return [
            ItemProgress(run.item.item_id, run.last_event_id, list(run.texts))
            for run in self.runs_by_id.values()
            if run.last_event_id is not None and not run.is_done
        ]

    def waiting(self, now: float) -> list[ItemRun]:
        """Returns the items that could start."""
        if self.job.is_ended:
            return []
        return [
            run
            for run in self.runs_by_id.values()
            if not run.is_done and run.scope is None and run.retry_at <= now
        ]

    def running(self) -> list[ItemRun]:
        """Returns the items that run."""
        return [
            run for run in self.runs_by_id.values() if run.scope is not None
        ]

    def complete(self, run: ItemRun) -> None:
        """Takes the whole text of an item in."""
        run.is_done = True
        text = "\n".join(run.texts)
        self.outcomes.append(ItemResult(run.item.item_id, True, text))

    def give_up(self, run: ItemRun) -> None:
        """Gives an item up."""
        run.is_done = True
        self.outcomes.append(ItemResult(run.item.item_id, False, ""))

    def take_head(self, job: Job, revision: int) -> None:
        """Takes in a head that the store holds, unless it is older."""
        if revision <= self.revision:
            return
        self.job = job
        self.revision = revision
        for item_id, count in job.failures_by_id.items():
            self._failures_by_id[item_id] = max(count, self.failures(item_id))
        for item_id in job.listed_ids:
            run = self.runs_by_id.pop(item_id, None)
            if run is not None:
                run.stop()
        listed = set(job.listed_ids)
        self.outcomes = [o for o in self.outcomes if o.item_id not in listed]

    def take_commit(
        self, commit: Commit, revision: int, taken: Sequence[ItemResult]
    ) -> None:
        """Takes in that results were written.

        Args:
            commit: What was written.
            revision: Revision of the head.
            taken: Outcomes that were in it.
        """
        taken_ids = {result.item_id for result in taken}
        self.job = commit.job
        self.revision = revision
        self.outcomes = [o for o in self.outcomes if o.item_id not in taken_ids]
        for item_id in taken_ids:
            self.runs_by_id.pop(item_id, None)
