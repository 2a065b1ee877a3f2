"""Owns batch jobs: claims them, has their items run, hands them over."""

from __future__ import annotations

import random
import secrets

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.batch.jobstore import (
    JOB_PREFIX,
    LIVE_PREFIX,
    WORKER_PREFIX,
    Commit,
    JobStore,
)
from plumvane.discovery.mirror import WATCH_S, Mirror
from plumvane.discovery.registration import Registration
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    ConflictError,
    NotFoundError,
    PlumvaneError,
    ProtocolError,
    StoreUnavailableError,
)
from plumvane.relay.caller import UpstreamCaller
from plumvane.relay.reports import ReportReader
from plumvane.serving.assignment import chosen_worker
from plumvane.serving.jobs import Item, ItemResult, Job
from plumvane.serving.pacing import ItemDurationEstimator
from plumvane.store.base import Record, TransactionalStore
from plumvane.worker.committer import Committer, log_delay
from plumvane.worker.feed import LoadFeed
from plumvane.worker.items import ItemRunner
from plumvane.worker.owned import ItemRun, OwnedJob
from plumvane.worker.pacer import Pacer
from plumvane.worker.results import ResultCache

__all__ = ["Worker"]

# Time after which a silent worker's jobs go to others, in seconds; jobs are
# due in 18 s.
LEASE_TTL_S = 3.0
# Pause between two renewals, in seconds: two may be lost before the lease ends.
RENEW_S = 1.0
# Pause between two readings of changed jobs, and time of a watch while this
# worker has jobs, in seconds; together they stay below the age at which it is
# no longer certain of its jobs.
JOB_PAUSE_S = 0.4
OWNER_WATCH_S = 0.2
# Age of the known heads up to which nobody else can have listed a result that
# a caller may rely on, in seconds: callers may count on what another instance
# told them after one.
CERTAIN_S = 0.8
# How often items are started and stopped, in seconds: online requests wait
# for a slot at most so long.
PACE_S = 0.1
# How long results are gathered for one transaction, in seconds.
COMMIT_S = 0.3
# Time between two writings of how far items are, in seconds: so much of each
# item's run is lost with its worker. A job with fewer new events is left out.
CHECKPOINT_S = 2.0
SAVED_EVENTS = 20
# Pause after a claim that failed, in seconds; refused calls are charged too.
STORE_RETRY_S = 0.3
# Pause between two looks whether stopped items have ended, in seconds.
STOP_POLL_S = 0.02


class Worker:
    """Runs the batch jobs that fall to this instance."""

    def __init__(
        self,
        name: str,
        store: TransactionalStore,
        view: FleetView,
        caller: UpstreamCaller,
        reports: ReportReader,
        rng: random.Random,
    ) -> None:
        """Creates the worker.

        Args:
            name: Name of the instance.
            store: The platform's store.
            view: Routes and upstreams in force.
            caller: Sends items to upstreams.
            reports: Asks upstreams for their load.
            rng: Draws services of split routes.
        """
        self._name = name
        self._incarnation = f"{name}/{secrets.token_hex(4)}"
        self._jobs = JobStore(store)
        self._view = view
        self._live = Mirror(
            store,
            LIVE_PREFIX,
            self._take_change,
            pause_s=JOB_PAUSE_S,
            watch_s=self._watch_s,
        )
        speed = ItemDurationEstimator()
        runner = ItemRunner(view, caller, speed)
        self._pacer = Pacer(name, view, reports, runner, speed, rng)
        self._incarnations_by_name: dict[str, str] = {}
        self._heads_by_id: dict[str, tuple[Job, int]] = {}
        self._owned_by_id: dict[str, OwnedJob] = {}
        self.results = ResultCache(
            self._owned_by_id, self._is_certain, self._owner_name
        )
        self.feed = LoadFeed()
        self._committer = Committer(self._jobs, self.results)
        self._claiming_ids: set[str] = set()
        self._is_leaving = False
        self._registration = Registration(
            store,
            WORKER_PREFIX + name,
            self._incarnation.encode(),
            ttl_s=LEASE_TTL_S,
            renew_s=RENEW_S,
            is_present=self._is_registered,
        )

    def _is_registered(self) -> bool:
        found = self._incarnations_by_name.get(self._name)
        return found == self._incarnation

    def _watch_s(self) -> float:
        return OWNER_WATCH_S if self._owned_by_id else WATCH_S

    def _is_certain(self) -> bool:
        age_s = clock.monotonic() - self._live.current_at
        return age_s < CERTAIN_S and not self._is_leaving

    def _owner_name(self, job_id: str) -> str:
        found = self._heads_by_id.get(job_id)
        return found[0].owner.rpartition("/")[0] if found else ""

    async def run(self) -> None:
        """Works until it is cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._live.run)
            group.start_soon(self._registration.run)
            group.start_soon(self._claim_jobs, group)
            group.start_soon(self._pace, group)
            group.start_soon(self._commit_results)

    async def leave(self) -> None:
        """Stops all items and hands the jobs to other workers.

        What the items have so far is left in the store for the next owners.
        """
        self._is_leaving = True
        # Items that were chosen just before this may still start.
        while running := self._running():
            for run in running:
                run.stop()
            await anyio.sleep(STOP_POLL_S)
        for owned in list(self._owned_by_id.values()):
            await self._release(owned)
        await self._registration.end()

    def _running(self) -> list[ItemRun]:
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
            log_delay(owned, error)
        self._drop(owned, "this worker leaves")

    # Heads and workers

    def _take_change(self, record: Record) -> None:
        if record.key.startswith(WORKER_PREFIX):
            self._take_worker(record)
        elif record.key.startswith(JOB_PREFIX):
            self._take_head(record)

    def _take_worker(self, record: Record) -> None:
        name = record.key.removeprefix(WORKER_PREFIX)
        if record.deleted:
            self._incarnations_by_name.pop(name, None)
        else:
            self._incarnations_by_name[name] = record.value.decode()

    def _take_head(self, record: Record) -> None:
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
        if job.is_open():
            self._heads_by_id[job_id] = (job, record.revision)
        else:
            self._heads_by_id.pop(job_id, None)
        owned = self._owned_by_id.get(job_id)
        if owned is not None:
            owned.take_head(job, record.revision)
            self._drop_if_lost(owned)

    def _drop_if_lost(self, owned: OwnedJob) -> None:
        if not owned.job.is_open():
            self._drop(owned, "the job is not open")
        elif owned.job.owner != self._incarnation:
            self._drop(owned, f"{owned.job.owner or 'nobody'} owns it")

    def _drop(self, owned: OwnedJob, reason: str) -> None:
        if self._owned_by_id.pop(owned.job.job_id, None) is None:
            return
        for run in owned.running():
            run.stop()
        events.log(
            events.Event.JOB_RELEASED,
            job=owned.job.job_id,
            revision=owned.revision,
            reason=reason,
        )

    # Claims

    async def _claim_jobs(self, group: anyio.abc.TaskGroup) -> None:
        await self._live.loaded.wait()
        while not self._is_leaving:
            for job_id in list(self._heads_by_id):
                if self._should_claim(job_id):
                    self._claiming_ids.add(job_id)
                    group.start_soon(self._claim, *self._heads_by_id[job_id])
            await anyio.sleep(PACE_S)

    def _should_claim(self, job_id: str) -> bool:
        if job_id in self._owned_by_id or job_id in self._claiming_ids:
            return False
        job, _ = self._heads_by_id[job_id]
        if job.owner == self._incarnation:
            # The claim was written, but its answer or the items were not had.
            return True
        if job.owner in self._incarnations_by_name.values():
            return False
        chosen = chosen_worker(job_id, self._incarnations_by_name)
        return chosen == self._name

    async def _claim(self, job: Job, revision: int) -> None:
        job_id, before = job.job_id, job.owner
        try:
            job = Job.decode(job.encode())
            job.owner = self._incarnation
            revision = await self._jobs.commit([Commit(job, revision, {})])
            items = await self._items(job)
            progress = await self._jobs.progress(job)
            results: dict[int, ItemResult] = {}
            if job.listed_ids:
                results, _ = await self._jobs.results(job_id)
            owned = OwnedJob(job, revision, items, progress)
            self._owned_by_id[job_id] = owned
            self.results.put(job, results)
            events.log(
                events.Event.JOB_CLAIMED,
                job=job_id,
                revision=revision,
                owner_before=before,
                listed=len(job.listed_ids),
                items=len(job.item_ids),
                in_progress=len(progress),
                age_s=round(clock.wall() - job.submitted_ms / 1000, 2),
            )
            # The head may have changed while the items were read.
            newest = self._live.records_by_key.get(JOB_PREFIX + job_id)
            if newest is not None:
                self._take_head(newest)
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
        """Reads a head whose state is not certain."""
        try:
            job, revision = await self._jobs.head(job_id)
        except NotFoundError:
            self._heads_by_id.pop(job_id, None)
            return
        except StoreUnavailableError:
            return
        if not job.is_open():
            self._heads_by_id.pop(job_id, None)
            return
        self._heads_by_id[job_id] = (job, revision)

    async def _items(self, job: Job) -> list[Item]:
        items: list[Item] = []
        for chunk in sorted(set(job.chunk_by_item)):
            items.extend(await self._jobs.items(job, chunk))
        return items

    # Items and results

    async def _pace(self, group: anyio.abc.TaskGroup) -> None:
        while not self._is_leaving:
            await anyio.sleep(PACE_S)
            if not self._view.is_known():
                continue
            started = clock.monotonic()
            workers = list(self._incarnations_by_name)
            self.feed.send(await self._pacer.read_loads(workers), started)
            if self._owned_by_id:
                await self._pacer.pace(
                    list(self._owned_by_id.values()), workers, group
                )

    async def _commit_results(self) -> None:
        next_checkpoint = clock.monotonic() + CHECKPOINT_S
        while True:
            await anyio.sleep(COMMIT_S)
            is_checkpoint = clock.remaining(next_checkpoint) <= 0
            if is_checkpoint:
                next_checkpoint = clock.monotonic() + CHECKPOINT_S
            unsaved = [
                owned
                for owned in self._owned_by_id.values()
                if owned.has_unsaved()
                or (is_checkpoint and owned.unsaved_events() >= SAVED_EVENTS)
            ]
            await self._committer.commit_all(
                unsaved, with_progress=is_checkpoint
            )
            for owned in unsaved:
                self._drop_if_lost(owned)
