"""Claims batch jobs, paces their items and commits their results."""

from __future__ import annotations

import random
import secrets
from collections.abc import Sequence

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
from plumvane.discovery.registration import Registration
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    ConflictError,
    NotFoundError,
    PlumvaneError,
    StoreUnavailableError,
)
from plumvane.metrics import Metric
from plumvane.relay.caller import UpstreamCaller
from plumvane.relay.reports import ReportReader
from plumvane.serving.assignment import chosen_worker
from plumvane.serving.jobs import Item, ItemProgress, ItemResult, Job
from plumvane.serving.pacing import (
    HOLD_S,
    PROTECTED_ITEMS,
    Place,
    is_urgent,
    plan,
)
from plumvane.serving.upstreams import Upstream
from plumvane.store.base import (
    MAX_TRANSACTION_ENTRIES,
    Record,
    TransactionalStore,
)
from plumvane.worker.items import ItemRunner
from plumvane.worker.owned import ItemRun, OwnedJob

__all__ = ["Worker"]

# Time after which a silent worker's jobs go to others, in seconds; jobs are
# due in 18 s.
LEASE_TTL_S = 3.0
RENEW_S = 1.0
# Pause between two readings of changed jobs, in seconds.
JOB_PAUSE_S = 0.3
# How often items are started and stopped, in seconds: online requests wait
# for a slot at most so long.
PACE_S = 0.1
# How long results are gathered for one transaction, in seconds.
COMMIT_S = 0.25
STORE_RETRY_S = 0.3
# Pause between two looks whether stopped items have ended, in seconds.
STOP_POLL_S = 0.02
# Results in one transaction, beside the head's condition, the head and the
# progress.
MAX_RESULTS = MAX_TRANSACTION_ENTRIES - 3


class Worker:
    """Runs the batch jobs that fall to this instance."""

    def __init__(
        self,
        name: str,
        store: TransactionalStore,
        view: FleetView,
        rng: random.Random,
    ) -> None:
        """Creates the worker.

        Args:
            name: Name of the instance.
            store: The platform's store.
            view: Routes and upstreams in force.
            rng: Spreads retries.
        """
        self._name = name
        self._incarnation = f"{name}/{secrets.token_hex(4)}"
        self._jobs = JobStore(store)
        self._view = view
        self._rng = rng
        self._live = Mirror(
            store, LIVE_PREFIX, self._take_change, pause_s=JOB_PAUSE_S
        )
        self._runner = ItemRunner(view, UpstreamCaller())
        self._reports = ReportReader()
        self._incarnations_by_name: dict[str, str] = {}
        self._heads_by_id: dict[str, tuple[Job, int]] = {}
        self._owned_by_id: dict[str, OwnedJob] = {}
        self._claiming_ids: set[str] = set()
        self._held_until_by_id: dict[str, float] = {}
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
        for owned in self._owned_by_id.values():
            for run in owned.running():
                self._stop(run)
        while any(owned.running() for owned in self._owned_by_id.values()):
            await anyio.sleep(STOP_POLL_S)
        for owned in list(self._owned_by_id.values()):
            await self._release(owned)
        await self._registration.end()

    async def _release(self, owned: OwnedJob) -> None:
        owned.job.owner = ""
        try:
            await self._commit(owned, owned.progress())
        except PlumvaneError as error:
            self._log_delay(owned, error)
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
        job = Job.decode(record.value)
        if job.is_open():
            self._heads_by_id[job_id] = (job, record.revision)
        else:
            self._heads_by_id.pop(job_id, None)
        owned = self._owned_by_id.get(job_id)
        if owned is not None and record.revision > owned.revision:
            owned.take_head(job, record.revision)
            if not job.is_open():
                self._drop(owned, "the job is not open")
            elif job.owner != self._incarnation:
                self._drop(owned, f"{job.owner or 'nobody'} owns it")

    def _drop(self, owned: OwnedJob, reason: str) -> None:
        self._owned_by_id.pop(owned.job.job_id, None)
        for run in owned.running():
            self._stop(run)
        events.log(
            events.Event.JOB_RELEASED,
            job=owned.job.job_id,
            revision=owned.revision,
            reason=reason,
        )

    @staticmethod
    def _stop(run: ItemRun) -> None:
        run.is_stopping = True
        if run.scope is not None:
            run.scope.cancel()

    # Claims

    async def _claim_jobs(self, group: anyio.abc.TaskGroup) -> None:
        await self._live.loaded.wait()
        while not self._is_leaving:
            for job_id in list(self._heads_by_id):
                if self._should_claim(job_id):
                    self._claiming_ids.add(job_id)
                    group.start_soon(self._claim, job_id)
            await anyio.sleep(PACE_S)

    def _should_claim(self, job_id: str) -> bool:
        if job_id in self._owned_by_id or job_id in self._claiming_ids:
            return False
        job, _ = self._heads_by_id[job_id]
        if job.owner in self._incarnations_by_name.values():
            return False
        chosen = chosen_worker(job_id, self._incarnations_by_name)
        return chosen == self._name

    async def _claim(self, job_id: str) -> None:
        try:
            job, revision = self._heads_by_id[job_id]
            before = job.owner
            job = Job.decode(job.encode())
            job.owner = self._incarnation
            revision = await self._jobs.commit([Commit(job, revision, {})])
            items = await self._items(job)
            progress = await self._jobs.progress(job)
            self._owned_by_id[job_id] = OwnedJob(job, revision, items, progress)
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
        if job.owner == self._incarnation and job_id not in self._owned_by_id:
            # The claim was written though its answer was lost.
            job.owner = ""
        self._heads_by_id[job_id] = (job, revision)

    async def _items(self, job: Job) -> list[Item]:
        items: list[Item] = []
        for chunk in sorted(set(job.chunk_by_item)):
            items.extend(await self._jobs.items(job, chunk))
        return items

    # Pacing

    async def _pace(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.sleep(PACE_S)
            if not self._owned_by_id or not self._view.is_known():
                continue
            for service in self._services():
                await self._pace_service(service, group)

    def _services(self) -> set[str]:
        found = set()
        for owned in self._owned_by_id.values():
            service = self._service(owned)
            if service is not None:
                found.add(service)
        return found

    def _service(self, owned: OwnedJob) -> str | None:
        """Returns the service of a job's route, or None if it has none."""
        run = next(iter(owned.runs_by_id.values()), None)
        if run is None or self._view.routes is None:
            return None
        route = self._view.routes.match(owned.job.host, run.item.path)
        return route.choose_service(self._rng) if route is not None else None

    async def _pace_service(
        self, service: str, group: anyio.abc.TaskGroup
    ) -> None:
        now = clock.monotonic()
        upstreams = {
            u.upstream_id: u
            for u in self._view.upstreams.ready(service)
            if not u.is_ejected(now)
        }
        await self._reports.read(list(upstreams.values()))
        now = clock.monotonic()
        waiting = self._waiting(service, now)
        places = [self._place(u, now) for u in upstreams.values()]
        urgent = sum(self._is_urgent(owned) for owned, _ in waiting)
        todo = plan(
            places,
            urgent,
            len(waiting) - urgent,
            len(self._incarnations_by_name),
        )
        for upstream_id, count in todo.stops_by_id.items():
            self._stop_newest(upstream_id, count)
        for (owned, run), upstream_id in zip(
            waiting, todo.starts, strict=False
        ):
            run.scope = anyio.CancelScope()
            group.start_soon(
                self._runner.run, owned, run, upstreams[upstream_id]
            )

    def _waiting(
        self, service: str, now: float
    ) -> list[tuple[OwnedJob, ItemRun]]:
        """Returns the items that could start, in the order of their turn.

        The job that is due first is first; late ones come last.
        """
        if self._is_leaving:
            return []
        wall_ms = clock.wall() * 1000
        jobs = sorted(
            self._owned_by_id.values(),
            key=lambda owned: (owned.job.due_ms < wall_ms, owned.job.due_ms),
        )
        return [
            (owned, run)
            for owned in jobs
            if self._service(owned) == service
            for run in owned.waiting(now)
        ]

    def _place(self, upstream: Upstream, now: float) -> Place:
        upstream_id = upstream.upstream_id
        waiting = upstream.waiting(now)
        if waiting:
            self._held_until_by_id[upstream_id] = now + HOLD_S
        return Place(
            upstream_id=upstream_id,
            slots=upstream.slots,
            load=upstream.estimated_load(now),
            waiting=waiting,
            yielding_items=len(self._yielding_at(upstream_id)),
            is_held=self._held_until_by_id.get(upstream_id, 0.0) > now,
        )

    @staticmethod
    def _is_urgent(owned: OwnedJob) -> bool:
        return is_urgent(owned.job.due_ms / 1000, clock.wall())

    def _yielding_at(self, upstream_id: str) -> list[ItemRun]:
        """Returns the items at an upstream that may be stopped, newest first.

        The oldest of the urgent ones stay, up to a bound: if more did, online
        requests would wait for all of them.
        """
        running = [
            (self._is_urgent(owned), -run.started, run)
            for owned in self._owned_by_id.values()
            for run in owned.running()
            if run.upstream_id == upstream_id and not run.is_stopping
        ]
        running.sort(key=lambda entry: entry[:2])
        urgent = sum(is_urgent for is_urgent, _, _ in running)
        kept = min(urgent, PROTECTED_ITEMS)
        return [run for _, _, run in running[: len(running) - kept]]

    def _stop_newest(self, upstream_id: str, count: int) -> None:
        for run in self._yielding_at(upstream_id)[:count]:
            self._stop(run)

    # Commits

    async def _commit_results(self) -> None:
        while True:
            await anyio.sleep(COMMIT_S)
            changed = [
                owned
                for owned in self._owned_by_id.values()
                if owned.outcomes or owned.has_unsaved_failures
            ]
            for owned in changed:
                await self._commit_or_reload(owned)

    async def _commit_or_reload(self, owned: OwnedJob) -> None:
        try:
            await self._commit(owned)
        except ConflictError:
            events.log(
                events.Event.COMMIT_CONFLICT,
                job=owned.job.job_id,
                revision=owned.revision,
            )
            await self._reload_owned(owned)
        except PlumvaneError as error:
            self._log_delay(owned, error)
            await anyio.sleep(STORE_RETRY_S)
            await self._reload_owned(owned)
        if not owned.job.is_open():
            self._drop(owned, "the job is not open")

    async def _commit(
        self, owned: OwnedJob, progress: Sequence[ItemProgress] = ()
    ) -> None:
        """Writes a job's new results; on errors nothing is taken in here."""
        job = Job.decode(owned.job.encode())
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
            outcome = "done" if result.is_completed else "failed"
            metrics.add(Metric.BATCH_ITEMS, outcome=outcome)
            events.log(
                events.Event.ITEM_LISTED,
                job=job.job_id,
                item=result.item_id,
                position=position,
                completed=result.is_completed,
                revision=revision,
            )

    @staticmethod
    def _log_delay(owned: OwnedJob, error: PlumvaneError) -> None:
        events.log(
            events.Event.COMMIT_DELAYED,
            job=owned.job.job_id,
            outcomes=len(owned.outcomes),
            error=str(error),
        )

    async def _reload_owned(self, owned: OwnedJob) -> None:
        """Reads the head again after a write whose outcome is not certain."""
        job_id = owned.job.job_id
        try:
            job, revision = await self._jobs.head(job_id)
        except PlumvaneError as error:
            events.log(
                events.Event.COMMIT_DELAYED, job=job_id, error=str(error)
            )
            return
        owned.take_head(job, revision)
        if job.owner != self._incarnation:
            self._drop(owned, f"{job.owner or 'nobody'} owns it")
