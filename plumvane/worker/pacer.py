"""Starts items of batch jobs at upstreams, and preempts them for callers."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import anyio
import anyio.abc

from plumvane import clock
from plumvane.discovery.view import FleetView
from plumvane.relay.reports import ReportReader
from plumvane.serving.assignment import chosen_worker
from plumvane.serving.pacing import (
    BATCH_COOLDOWN_S,
    ItemDurationEstimator,
    ItemPriority,
    RunningItem,
    UpstreamState,
    item_priority,
    plan_batch_items,
    preemption_candidates,
)
from plumvane.serving.upstreams import Upstream
from plumvane.worker.items import ItemRunner
from plumvane.worker.owned import ItemRun, OwnedJob

__all__ = ["Pacer"]

# Age of a load that another worker should have sent from which on it is read
# here too, in seconds: three of its readings.
STALE_LOAD_S = 0.3


class Pacer:
    """Applies the policy of pacing to the jobs of one worker."""

    def __init__(
        self,
        name: str,
        view: FleetView,
        reports: ReportReader,
        runner: ItemRunner,
        speed: ItemDurationEstimator,
        rng: random.Random,
    ) -> None:
        """Creates the pacer.

        Args:
            name: Name of this worker.
            view: Routes and upstreams in force.
            reports: Asks upstreams for their load.
            runner: Runs items.
            speed: How fast items run.
            rng: Draws services of split routes.
        """
        self._name = name
        self._view = view
        self._reports = reports
        self._runner = runner
        self._speed = speed
        self._rng = rng
        self._held_until_by_id: dict[str, float] = {}

    async def read_loads(self, workers: Collection[str]) -> list[Upstream]:
        """Reads the loads of the engines that fall to this worker.

        Others are read by the other workers, which send what they read; those
        whose load is stale are read too.

        Args:
            workers: Names of the workers that share the upstreams, this one
                among them.

        Returns:
            The engines that fall to this worker.
        """
        now = clock.monotonic()
        engines = self._engines()
        own = [
            upstream
            for upstream in engines
            if chosen_worker(upstream.upstream_id, workers) == self._name
        ]
        stale = [
            upstream
            for upstream in engines
            if upstream not in own and upstream.load_age(now) > STALE_LOAD_S
        ]
        await self._reports.read([*own, *stale])
        return own

    def _engines(self) -> list[Upstream]:
        routes = self._view.routes
        if routes is None:
            return []
        return [
            upstream
            for service in routes.services_by_name.values()
            if service.is_engine
            for upstream in self._view.upstreams.ready(service.name)
        ]

    async def pace(
        self,
        jobs: Collection[OwnedJob],
        workers: Collection[str],
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Starts and preempts items once.

        Args:
            jobs: The jobs of this worker.
            workers: Names of the workers that share the upstreams, this one
                among them.
            group: Runs the items that start.
        """
        jobs_by_service: dict[str, list[OwnedJob]] = {}
        for owned in jobs:
            service = self._service(owned)
            if service is not None:
                jobs_by_service.setdefault(service, []).append(owned)
        for service, served in jobs_by_service.items():
            await self._pace_service(service, served, workers, group)

    def _service(self, owned: OwnedJob) -> str | None:
        """Returns the service of a job's route, or None if it has none."""
        run = next(iter(owned.runs_by_id.values()), None)
        if run is None or self._view.routes is None:
            return None
        route = self._view.routes.match(owned.job.host, run.item.path)
        return route.choose_service(self._rng) if route is not None else None

    async def _pace_service(
        self,
        service: str,
        jobs: list[OwnedJob],
        workers: Collection[str],
        group: anyio.abc.TaskGroup,
    ) -> None:
        now = clock.monotonic()
        upstreams_by_id = {
            upstream.upstream_id: upstream
            for upstream in self._view.upstreams.ready(service)
            if not upstream.is_ejected(now)
        }
        self._forget_holds(now)
        running_by_upstream = self._running_by_upstream(jobs)
        preemptible_by_id = {
            upstream_id: preemption_candidates(
                running_by_upstream.get(upstream_id, []),
                protects_urgent=chosen_worker(upstream_id, workers)
                == self._name,
            )
            for upstream_id in upstreams_by_id
        }
        states = [
            self._state(upstream, len(preemptible_by_id[upstream_id]), now)
            for upstream_id, upstream in upstreams_by_id.items()
        ]
        waiting = self._waiting(jobs, now)
        urgent = sum(priority.is_urgent for priority, _, _ in waiting)
        todo = plan_batch_items(
            states, urgent, len(waiting) - urgent, len(workers)
        )
        for upstream_id, count in todo.preemptions_by_id.items():
            for run in preemptible_by_id[upstream_id][:count]:
                run.stop()
        for (_, owned, run), upstream_id in zip(
            waiting, todo.starts, strict=False
        ):
            run.scope = anyio.CancelScope()
            group.start_soon(
                self._runner.run, owned, run, upstreams_by_id[upstream_id]
            )

    def _forget_holds(self, now: float) -> None:
        self._held_until_by_id = {
            upstream_id: until
            for upstream_id, until in self._held_until_by_id.items()
            if until > now
        }

    def _state(
        self, upstream: Upstream, preemptible_items: int, now: float
    ) -> UpstreamState:
        upstream_id = upstream.upstream_id
        waiting = upstream.waiting(now)
        if waiting:
            self._held_until_by_id[upstream_id] = now + BATCH_COOLDOWN_S
        return UpstreamState(
            upstream_id=upstream_id,
            slots=upstream.slots,
            load=upstream.estimated_load(now),
            waiting=waiting,
            preemptible_items=preemptible_items,
            is_cooling_down=upstream_id in self._held_until_by_id,
        )

    def _priority(self, owned: OwnedJob, run: ItemRun) -> ItemPriority:
        remaining_s = self._speed.remaining_s(
            run.item.output_tokens, len(run.texts)
        )
        return item_priority(owned.job.due_ms / 1000, remaining_s, clock.wall())

    def _waiting(
        self, jobs: Iterable[OwnedJob], now: float
    ) -> list[tuple[ItemPriority, OwnedJob, ItemRun]]:
        """Returns the items that could start, by priority."""
        found = [
            (self._priority(owned, run), owned, run)
            for owned in jobs
            for run in owned.waiting(now)
        ]
        return sorted(found, key=lambda row: row[0])

    def _running_by_upstream(
        self, jobs: Iterable[OwnedJob]
    ) -> dict[str, list[RunningItem[ItemRun]]]:
        found: dict[str, list[RunningItem[ItemRun]]] = {}
        for owned in jobs:
            for run in owned.running():
                if not run.is_stopping:
                    is_urgent = self._priority(owned, run).is_urgent
                    item = RunningItem(run, is_urgent, run.started)
                    found.setdefault(run.upstream_id, []).append(item)
        return found
