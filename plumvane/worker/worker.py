"""Claims batch jobs, runs their items and hands them over."""

from __future__ import annotations

import functools
import random
import secrets

import anyio
import anyio.abc

from plumvane import clock, events, metrics
from plumvane.batch.jobstore import (
    JOB_PREFIX,
    LIVE_PREFIX,
    WORKER_PREFIX,
    Commit,
    JobStore,
)
from plumvane.discovery.mirror import Mirror
from plumvane.discovery.permits import Permits
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.registration import Registration
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    ConflictError,
    NotFoundError,
    PlumvaneError,
    ProtocolError,
    StoreUnavailableError,
)
from plumvane.metrics import Metric
from plumvane.peers.messages import Message
from plumvane.peers.messages.loads import RunningItems
from plumvane.process import supervise
from plumvane.relay.client import UpstreamClient
from plumvane.relay.reports import ReportReader
from plumvane.serving.assignment import chosen_worker
from plumvane.serving.jobs import Item, ItemResult, Job
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.store.base import Record, TransactionalStore
from plumvane.worker.attribution import CrashAttribution
from plumvane.worker.committer import Committer, log_commit_delayed
from plumvane.worker.feed import LoadFeed
from plumvane.worker.heard import HeardWorkers
from plumvane.worker.items import ItemRunner
from plumvane.worker.owned import ItemRun, OwnedJob
from plumvane.worker.results import ResultCache
from plumvane.worker.scheduler import ItemScheduler
from plumvane.worker.unrouted import UnroutedItems

__all__ = ["Worker"]

# Time after which other workers claim the jobs of a worker that stopped
# renewing its lease, in seconds. It is short because jobs are due in 18 s.
LEASE_TTL_S = 3.0
# Interval between lease renewals, in seconds: two may fail before the lease
# expires.
RENEW_S = 1.0
# Pause after a watch that returned changes, and longest watch while this worker
# owns jobs, in seconds. Their sum is below MAX_VIEW_AGE_S, so that the view of
# the heads stays current between watches.
WATCH_PAUSE_S = 0.4
OWNER_WATCH_S = 0.2
# Longest watch of a worker without jobs, in seconds: a new job waits so long if
# the response that reports it is lost.
IDLE_WATCH_S = 4.0
# Largest age of the known heads, in seconds, at which this worker answers that
# no further result is listed. An older view may miss results that another owner
# has listed; one second after another instance returned a result, a caller may
# rely on it at every instance.
MAX_VIEW_AGE_S = 0.8
# Interval between scheduling rounds, in seconds: the longest that an online
# request waits for an item's slot.
SCHEDULING_INTERVAL_S = 0.1
# Interval between checks for items whose route stays removed, in seconds.
UNROUTED_INTERVAL_S = 0.5
# Interval between commits, in seconds; the results of an interval share
# transactions.
COMMIT_INTERVAL_S = 0.3
# The same for results of jobs that still run and are not due soon, and the time
# before the due time from which a job is, in seconds.
PARTIAL_COMMIT_INTERVAL_S = 0.9
DUE_SOON_S = 3.0
# Interval between checkpoints of items, in seconds: the progress that an item
# loses with its worker. A job with fewer new events than the minimum is not
# checkpointed.
CHECKPOINT_INTERVAL_S = 2.0
MIN_CHECKPOINT_EVENTS = 20
# Delay after a failed claim, in seconds. Refused calls are charged as well.
STORE_RETRY_S = 0.3
# Interval between checks for the end of stopped items, in seconds.
STOP_POLL_S = 0.02


class Worker:
    """Runs the batch jobs that are assigned to this instance."""

    def __init__(
        self,
        name: str,
        store: TransactionalStore,
        view: FleetView,
        caller: UpstreamClient,
        reports: ReportReader,
        quarantine: PromptQuarantine,
        permits: Permits,
        rng: random.Random,
        *,
        plans_ahead: bool = False,
    ) -> None:
        """Creates the worker.

        Args:
            name: Name of the instance.
            store: The platform's store.
            view: Routes and upstreams in force.
            caller: Sends items to upstreams.
            reports: Reads the load of upstreams.
            quarantine: Parts of prompts that crash upstreams.
            permits: Permits for upstreams that limit their rate.
            rng: Chooses services of split routes.
            plans_ahead: Whether items run around forecast online demand.
        """
        self._name = name
        self._incarnation = f"{name}/{secrets.token_hex(4)}"
        self._jobs = JobStore(store)
        self._view = view
        self._mirror = Mirror(
            store,
            LIVE_PREFIX,
            self._apply_change,
            pause_s=WATCH_PAUSE_S,
            watch_s=self._watch_s,
        )
        self._quarantine = quarantine
        speed = ItemDurationEstimator()
        runner = ItemRunner(view, caller, quarantine, permits, speed)
        self._scheduler = ItemScheduler(
            name,
            view,
            reports,
            runner,
            quarantine,
            speed,
            rng,
            plans_ahead=plans_ahead,
        )
        metrics.observe(Metric.RESERVED_SLOTS, self._scheduler.reserved_slots)
        # Registered workers, including this one.
        self._incarnations_by_name: dict[str, str] = {}
        self._heard = HeardWorkers()
        self._heads_by_id: dict[str, tuple[Job, int]] = {}
        self._owned_by_id: dict[str, OwnedJob] = {}
        self.results = ResultCache(
            self._owned_by_id, self._is_current, self._owner_name
        )
        self.feed = LoadFeed()
        self.attribution = CrashAttribution(store, view, quarantine, self.feed)
        self._committer = Committer(self._jobs, self.results)
        self._unrouted = UnroutedItems(view)
        self._claiming_ids: set[str] = set()
        self._is_draining = False
        self._registration = Registration(
            store,
            WORKER_PREFIX + name,
            self._incarnation.encode(),
            ttl_s=LEASE_TTL_S,
            renew_s=RENEW_S,
            is_present=self._is_registered,
        )

    def _is_registered(self) -> bool:
        registered = self._incarnations_by_name.get(self._name)
        return registered == self._incarnation

    def apply_message(self, message: Message) -> None:
        """Applies a message that another worker streams beside the loads."""
        if isinstance(message, RunningItems):
            self._heard.record(
                message.worker, message.incarnation, clock.monotonic()
            )
            self._scheduler.apply_running_items(message)
        else:
            self._quarantine.apply(message)

    def _watch_s(self) -> float:
        return OWNER_WATCH_S if self._owned_by_id else IDLE_WATCH_S

    def _is_current(self) -> bool:
        age_s = clock.monotonic() - self._mirror.current_at
        return age_s < MAX_VIEW_AGE_S and not self._is_draining

    def _owner_name(self, job_id: str) -> str:
        head = self._heads_by_id.get(job_id)
        return head[0].owner.rpartition("/")[0] if head else ""

    async def run(self) -> None:
        """Claims and runs jobs until it is cancelled."""
        async with anyio.create_task_group() as group:
            for task in (
                self._mirror.run,
                self._registration.run,
                self.attribution.run,
                functools.partial(self._claim_jobs, group),
                functools.partial(self._schedule_items, group),
                self._scheduler.read_silent_loads,
                self._give_up_unrouted,
                self._commit_results,
            ):
                group.start_soon(supervise, task)

    async def drain(self) -> None:
        """Stops all items and hands the jobs over to other workers.

        The progress of the items is written to the store for the next owners.
        """
        self._is_draining = True
        self._heard.record(self._name, "", clock.monotonic())
        self.feed.send_items(RunningItems(self._name, ""))
        # Items scheduled just before this point may still start.
        while running := self._running_items():
            for run in running:
                run.stop()
            await anyio.sleep(STOP_POLL_S)
        for owned in list(self._owned_by_id.values()):
            await self._release(owned)
        await self._registration.end()

    def _running_items(self) -> list[ItemRun]:
        return [
            run
            for owned in self._owned_by_id.values()
            for run in owned.running()
        ]

    async def _release(self, owned: OwnedJob) -> None:
        owned.job.owner = ""
        try:
            await self._committer.commit(owned, owned.progress())
        except PlumvaneError as error:
            log_commit_delayed(owned, error)
        self._drop(owned, "this worker is draining")

    # Job heads and workers

    def _apply_change(self, record: Record) -> None:
        if record.key.startswith(WORKER_PREFIX):
            self._apply_worker(record)
        elif record.key.startswith(JOB_PREFIX):
            self._apply_head(record)

    def _apply_worker(self, record: Record) -> None:
        name = record.key.removeprefix(WORKER_PREFIX)
        if record.deleted:
            if self._incarnations_by_name.pop(name, None) is not None:
                self._heard.record_removal(name, clock.monotonic())
        else:
            self._incarnations_by_name[name] = record.value.decode()

    def _live_incarnations(self) -> dict[str, str]:
        """Returns the incarnations of all live workers, by name.

        Those that have lost their registration but are still heard are live.
        """
        heard = self._heard.incarnations_by_name(clock.monotonic())
        return {**heard, **self._incarnations_by_name}

    def _apply_head(self, record: Record) -> None:
        job_id = record.key.removeprefix(JOB_PREFIX)
        if record.deleted:
            self._heads_by_id.pop(job_id, None)
            return
        try:
            job = Job.decode(record.value)
        except ProtocolError as error:
            events.log(
                events.Event.JOB_UNREADABLE,
                job=job_id,
                revision=record.revision,
                error=error.detail,
            )
            return
        self._record_head(job, record.revision)
        owned = self._owned_by_id.get(job_id)
        if owned is not None:
            owned.apply_head(job, record.revision)
            self._drop_if_lost(owned)
        if not job.is_open():
            self._heads_by_id.pop(job_id, None)

    def _record_head(self, job: Job, revision: int) -> None:
        """Records a job's head unless a newer one is known.

        The head of a job that is complete or has ended stays until the watch
        has reported it, so that an older report does not open the job again.
        """
        known = self._heads_by_id.get(job.job_id)
        if known is None or known[1] < revision:
            self._heads_by_id[job.job_id] = (job, revision)

    def _drop_if_lost(self, owned: OwnedJob) -> None:
        if self._owned_by_id.get(owned.job.job_id) is owned:
            self._record_head(owned.job, owned.revision)
        if not owned.job.is_open():
            self._drop(owned, "the job has ended or is complete")
        elif owned.job.owner != self._incarnation:
            self._drop(
                owned, f"the job is owned by {owned.job.owner or 'nobody'}"
            )

    def _drop(self, owned: OwnedJob, reason: str) -> None:
        for run in owned.running():
            run.stop()
        # The job may have been claimed again since.
        if self._owned_by_id.get(owned.job.job_id) is not owned:
            return
        del self._owned_by_id[owned.job.job_id]
        events.log(
            events.Event.JOB_RELEASED,
            job=owned.job.job_id,
            revision=owned.revision,
            reason=reason,
        )

    # Claims

    async def _claim_jobs(self, group: anyio.abc.TaskGroup) -> None:
        await self._mirror.loaded.wait()
        while not self._is_draining:
            for job_id in list(self._heads_by_id):
                if self._should_claim(job_id):
                    self._claiming_ids.add(job_id)
                    group.start_soon(self._claim, *self._heads_by_id[job_id])
            await anyio.sleep(SCHEDULING_INTERVAL_S)

    def _should_claim(self, job_id: str) -> bool:
        if job_id in self._owned_by_id or job_id in self._claiming_ids:
            return False
        job, _ = self._heads_by_id[job_id]
        if not job.is_open():
            return False
        if job.owner == self._incarnation:
            # A previous claim was written, but its answer was lost or its items
            # could not be read.
            return True
        incarnations_by_name = self._live_incarnations()
        if job.owner in incarnations_by_name.values():
            return False
        return chosen_worker(job_id, incarnations_by_name) == self._name

    async def _claim(self, job: Job, revision: int) -> None:
        job_id, previous_owner = job.job_id, job.owner
        try:
            job = Job.decode(job.encode())
            job.owner = self._incarnation
            revision = await self._jobs.commit([Commit(job, revision, {})])
            items = await self._read_items(job)
            progress = await self._jobs.progress(job)
            results: dict[int, ItemResult] = {}
            if job.listed_ids:
                results, _ = await self._jobs.results(job_id)
            owned = OwnedJob(job, revision, items, progress)
            self._owned_by_id[job_id] = owned
            self.results.put(job, results)
            if previous_owner:
                self._scheduler.record_takeover()
            events.log(
                events.Event.JOB_CLAIMED,
                job=job_id,
                revision=revision,
                owner_before=previous_owner,
                listed=len(job.listed_ids),
                items=len(job.item_ids),
                in_progress=len(progress),
                age_s=round(clock.wall() - job.submitted_ms / 1000, 2),
            )
            # The head may have changed while the items were being read.
            latest = self._mirror.records_by_key.get(JOB_PREFIX + job_id)
            if latest is not None:
                self._apply_head(latest)
        except ConflictError:
            await self._reload_head(job_id)
        except PlumvaneError as error:
            events.log(
                events.Event.COMMIT_DELAYED, job=job_id, error=str(error)
            )
            await anyio.sleep(STORE_RETRY_S)
            await self._reload_head(job_id)
        finally:
            self._claiming_ids.discard(job_id)

    async def _reload_head(self, job_id: str) -> None:
        """Reads a job's head again after a claim that failed."""
        try:
            job, revision = await self._jobs.head(job_id)
        except NotFoundError:
            self._heads_by_id.pop(job_id, None)
            return
        except StoreUnavailableError:
            return
        self._record_head(job, revision)

    async def _read_items(self, job: Job) -> list[Item]:
        items: list[Item] = []
        for chunk in sorted(set(job.chunk_by_item)):
            items.extend(await self._jobs.items(job, chunk))
        return items

    # Items and results

    async def _schedule_items(self, group: anyio.abc.TaskGroup) -> None:
        while not self._is_draining:
            await anyio.sleep(SCHEDULING_INTERVAL_S)
            if not self._view.is_loaded():
                continue
            started = clock.monotonic()
            self._heard.record(self._name, self._incarnation, started)
            workers = list(self._live_incarnations())
            own = await self._scheduler.read_loads(workers)
            self.feed.send(own, started)
            self.feed.send_silent(own)
            await self._scheduler.schedule(
                list(self._owned_by_id.values()), workers, group
            )
            self.feed.send_items(
                self._scheduler.running_items(self._incarnation)
            )

    async def _give_up_unrouted(self) -> None:
        while not self._is_draining:
            await anyio.sleep(UNROUTED_INTERVAL_S)
            await self._unrouted.give_up(list(self._owned_by_id.values()))

    async def _commit_results(self) -> None:
        next_checkpoint = clock.monotonic() + CHECKPOINT_INTERVAL_S
        next_partial = clock.monotonic()
        while True:
            await anyio.sleep(COMMIT_INTERVAL_S)
            is_checkpoint = clock.remaining(next_checkpoint) <= 0
            if is_checkpoint:
                next_checkpoint = clock.monotonic() + CHECKPOINT_INTERVAL_S
            elif clock.remaining(next_partial) > 0 and not any(
                map(_is_commit_urgent, self._owned_by_id.values())
            ):
                continue
            next_partial = clock.monotonic() + PARTIAL_COMMIT_INTERVAL_S
            unsaved = [
                owned
                for owned in self._owned_by_id.values()
                if owned.has_unsaved_changes()
                or (
                    is_checkpoint
                    and owned.unsaved_event_count() >= MIN_CHECKPOINT_EVENTS
                )
            ]
            await self._committer.commit_all(
                unsaved, with_progress=is_checkpoint
            )
            for owned in unsaved:
                self._drop_if_lost(owned)
            for owned in list(self._owned_by_id.values()):
                await self._committer.read_missing_results(owned)


def _is_commit_urgent(owned: OwnedJob) -> bool:
    """Returns whether a caller waits for the uncommitted results of a job."""
    if not owned.outcomes:
        return False
    is_due = owned.job.due_ms / 1000 - clock.wall() < DUE_SOON_S
    return is_due or owned.has_all_outcomes()
