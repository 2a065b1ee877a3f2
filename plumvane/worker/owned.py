"""In-memory state of a batch job that this worker owns."""

from __future__ import annotations

import dataclasses
import os.path
from collections.abc import Sequence

import anyio

from plumvane.batch.jobstore import Commit
from plumvane.discovery.quarantine import Quarantined
from plumvane.platform.requests import item_prompt
from plumvane.serving.crashes import Prompt
from plumvane.serving.jobs import Item, ItemProgress, ItemResult, Job
from plumvane.serving.routes import Route, RouteTable

__all__ = ["ItemRun", "OwnedJob"]


@dataclasses.dataclass(slots=True)
class ItemRun:
    """Execution state of an item without a listed result.

    Attributes:
        item: The item.
        prompt: Identifiers of the parts of its prompt.
        texts: Data of the events received so far.
        last_event_id: Identifier of the last received event, or None.
        version: Software version of the upstreams that sent the events.
        upstream_id: Upstream that runs the item, or empty.
        scope: Cancel scope of the current run, or None.
        is_stopping: Whether the current run was told to stop.
        started: Monotonic time in seconds at which the last run started.
        is_done: Whether the item has an outcome.
        retry_at: Monotonic time in seconds before which no run starts.
        received_events: Number of events that the last run has received; None
            before the head of its response.
        saved_event_count: Number of events in the item's last checkpoint.
        held_by: Part of its prompt that crashes upstreams, for which it waits,
            or None.
    """

    item: Item
    prompt: Prompt = ()
    texts: list[str] = dataclasses.field(default_factory=list)
    last_event_id: int | None = None
    version: str = ""
    upstream_id: str = ""
    scope: anyio.CancelScope | None = None
    is_stopping: bool = False
    started: float = 0.0
    is_done: bool = False
    retry_at: float = 0.0
    received_events: int | None = None
    saved_event_count: int = 0
    held_by: Quarantined | None = None

    def add_event(self, event_id: int, text: str, version: str) -> None:
        """Adds an event that an upstream of a version has sent."""
        self.texts.append(text)
        self.last_event_id = event_id
        self.version = version

    def may_continue_at(self, version: str) -> bool:
        """Returns whether upstreams of a version may send the next event."""
        return self.last_event_id is None or self.version == version

    def discard_events(self) -> None:
        """Drops the received events, so that the item starts again."""
        self.texts = []
        self.last_event_id = None
        self.saved_event_count = 0

    def stop(self) -> None:
        """Cancels the current run, if any; received events are kept."""
        self.is_stopping = True
        if self.scope is not None:
            self.scope.cancel()


class OwnedJob:
    """A job's head as last written or read, and the runs of its items.

    Attributes:
        job: The head.
        revision: Revision of the head.
        outcomes: Outcomes not yet committed to the store.
        runs_by_id: Runs of the items without a listed result.
        route: The job's route, or None if the configuration lacks it.
        route_deadline: Monotonic time in seconds until which the job waits for
            its route, or None while it has one.
    """

    def __init__(
        self,
        job: Job,
        revision: int,
        items: list[Item],
        progress: Sequence[ItemProgress] = (),
    ) -> None:
        """Creates the state of a claimed job.

        Args:
            job: The job's head.
            revision: Revision of the head.
            items: All items of the job.
            progress: Checkpoints written by the previous owner.
        """
        self.job = job
        self.revision = revision
        self._owner = job.owner
        # The configuration that the route was taken from.
        self._routes: RouteTable | None = None
        self.route: Route | None = None
        self.route_deadline: float | None = None
        self._common_path = os.path.commonprefix([i.path for i in items])
        self.outcomes: list[ItemResult] = []
        # Failed runs by item, including those not yet committed to the head.
        self._failures_by_id = dict(job.failures_by_id)
        unlisted = set(job.pending_ids())
        self.runs_by_id = {
            item.item_id: ItemRun(item, item_prompt(item.headers))
            for item in items
            if item.item_id in unlisted
        }
        for saved in progress:
            run = self.runs_by_id.get(saved.item_id)
            if run is not None:
                run.texts = list(saved.texts)
                run.last_event_id = saved.last_event_id
                run.version = saved.version
                run.saved_event_count = len(run.texts)

    def has_other_owner(self) -> bool:
        """Returns whether another worker, or none, owns the job by now."""
        return self.job.owner != self._owner

    def unsaved_event_count(self) -> int:
        """Returns how many events of unfinished items have no checkpoint."""
        return sum(
            max(0, len(run.texts) - run.saved_event_count)
            for run in self.runs_by_id.values()
            if not run.is_done
        )

    def mark_saved(self, progress: Sequence[ItemProgress]) -> None:
        """Records that checkpoints of items were written."""
        for item in progress:
            run = self.runs_by_id.get(item.item_id)
            if run is not None:
                run.saved_event_count = len(item.texts)

    def has_unsaved_changes(self) -> bool:
        """Returns whether there are uncommitted outcomes or failures."""
        unsaved_failures = self._failures_by_id != self.job.failures_by_id
        return bool(self.outcomes) or unsaved_failures

    def has_all_outcomes(self) -> bool:
        """Returns whether each item has a result or an outcome."""
        return all(run.is_done for run in self.runs_by_id.values())

    def copy_head(self) -> Job:
        """Returns a copy of the head with the current failure counts."""
        job = Job.decode(self.job.encode())
        job.failures_by_id = dict(self._failures_by_id)
        return job

    def failure_count(self, item_id: str) -> int:
        """Returns the number of failed runs of an item."""
        return self._failures_by_id.get(item_id, 0)

    def record_failure(self, item_id: str) -> bool:
        """Counts a failed run of an item.

        Returns:
            Whether the item has used up its attempts.
        """
        self._failures_by_id[item_id] = self.failure_count(item_id) + 1
        return self.failure_count(item_id) >= self.job.max_attempts

    def progress(self) -> list[ItemProgress]:
        """Returns checkpoints of the items that have events but no outcome."""
        return [
            ItemProgress(
                run.item.item_id,
                run.last_event_id,
                list(run.texts),
                run.version,
            )
            for run in self.runs_by_id.values()
            if run.last_event_id is not None and not run.is_done
        ]

    def apply_routes(self, routes: RouteTable, deadline: float) -> bool:
        """Takes the job's route from a configuration.

        Args:
            routes: The configuration.
            deadline: Monotonic time in seconds until which the job waits for
                its route if the configuration lacks it.

        Returns:
            Whether the job begins to wait.
        """
        if routes is self._routes:
            return False
        self._routes = routes
        job = self.job
        if job.route_name:
            self.route = routes.find_batch(
                job.host, job.route_name, job.path_prefix
            )
        else:
            self.route = routes.match_batch(job.host, self._common_path)
        if self.route is not None:
            self.route_deadline = None
            return False
        if self.route_deadline is not None:
            return False
        self.route_deadline = deadline
        return bool(self.runs_by_id)

    def unrouted(self, now: float) -> list[ItemRun]:
        """Returns the items that end because the job's route stays removed.

        Args:
            now: Monotonic time in seconds.
        """
        if (
            self.job.is_ended
            or self.route_deadline is None
            or self.route_deadline > now
        ):
            return []
        return [
            run
            for run in self.runs_by_id.values()
            if not run.is_done and run.scope is None
        ]

    def startable(self, now: float) -> list[ItemRun]:
        """Returns the items that may start a run.

        Args:
            now: Monotonic time in seconds.
        """
        if self.job.is_ended:
            return []
        return [
            run
            for run in self.runs_by_id.values()
            if not run.is_done and run.scope is None and run.retry_at <= now
        ]

    def running(self) -> list[ItemRun]:
        """Returns the items that have a current run."""
        return [
            run for run in self.runs_by_id.values() if run.scope is not None
        ]

    def complete(self, run: ItemRun) -> None:
        """Records an item as completed, with its full text."""
        run.is_done = True
        text = "\n".join(run.texts)
        self.outcomes.append(ItemResult(run.item.item_id, True, text))

    def give_up(self, run: ItemRun) -> None:
        """Records an item as failed, without its text."""
        run.is_done = True
        self.outcomes.append(ItemResult(run.item.item_id, False, ""))

    def apply_head(self, job: Job, revision: int) -> None:
        """Adopts a head read from the store if it is newer.

        Runs and outcomes of items that the head lists are dropped, since a
        listed result is final.
        """
        if revision <= self.revision:
            return
        self.job = job
        self.revision = revision
        for item_id, count in job.failures_by_id.items():
            self._failures_by_id[item_id] = max(
                count, self.failure_count(item_id)
            )
        for item_id in job.listed_ids:
            run = self.runs_by_id.pop(item_id, None)
            if run is not None:
                run.stop()
        listed = set(job.listed_ids)
        self.outcomes = [o for o in self.outcomes if o.item_id not in listed]

    def apply_commit(
        self, commit: Commit, revision: int, outcomes: Sequence[ItemResult]
    ) -> None:
        """Adopts a head that was committed, unless a newer one is known.

        Args:
            commit: The commit.
            revision: New revision of the head.
            outcomes: Outcomes included in the commit.
        """
        committed_ids = {result.item_id for result in outcomes}
        if revision > self.revision:
            self.job = commit.job
            self.revision = revision
        self.outcomes = [
            o for o in self.outcomes if o.item_id not in committed_ids
        ]
        for item_id in committed_ids:
            self.runs_by_id.pop(item_id, None)
