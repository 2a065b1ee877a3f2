"""Starts batch items at upstreams and preempts them for online requests."""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Collection, Iterable, Sequence

import anyio
import anyio.abc

from plumvane import clock, events
from plumvane.discovery.quarantine import PromptQuarantine
from plumvane.discovery.view import FleetView
from plumvane.peers.messages.loads import ItemCount, RunningItems
from plumvane.relay.reports import ReportReader
from plumvane.serving.assignment import chosen_worker
from plumvane.serving.pacing import (
    BATCH_COOLDOWN_S,
    PLANS_BY_NAME,
    URGENT_S,
    ItemDurationEstimator,
    ItemPriority,
    Outlook,
    RunningItem,
    ServiceItems,
    UpstreamState,
    item_priority,
    move_pays,
    pair_by_pace,
    preemption_candidates,
    urgent_s,
)
from plumvane.serving.preemptions import PreemptibleItems, PreemptionShares
from plumvane.serving.upstreams import MAX_LOAD_AGE_S, Upstream
from plumvane.worker.items import ItemRunner
from plumvane.worker.outlook import ServiceOutlook
from plumvane.worker.owned import ItemRun, OwnedJob
from plumvane.worker.trials import ItemTrials
from plumvane.worker.unrouted import apply_routes

__all__ = ["ItemScheduler"]

# Age above which a load that another worker should have sent is read here too,
# in seconds: three reading intervals.
STALE_LOAD_AGE_S = 0.3
# Interval in which engines that are silent are asked for their load, in
# seconds; an answer ends their ejection.
SILENT_READ_INTERVAL_S = 0.5
# Time after items were stopped before a wave in which no more are, in seconds:
# the counts of the other workers do not yet show what these have stopped.
STOP_PAUSE_S = 0.25
# Time after the start of a worker within which jobs that it takes over were
# interrupted by the restart that it is part of, in seconds.
RESTART_S = 5.0
# Items that a worker moves from slowed upstreams in a round; each takes a slot
# at a fast one, and reads its prompt again.
MOVES_PER_ROUND = 1

WaitingItem = tuple[ItemPriority, OwnedJob, ItemRun]


class ItemScheduler:
    """Starts and preempts the items of one worker's jobs."""

    def __init__(
        self,
        name: str,
        view: FleetView,
        reports: ReportReader,
        runner: ItemRunner,
        quarantine: PromptQuarantine,
        speed: ItemDurationEstimator,
        rng: random.Random,
        *,
        plans_ahead: bool = False,
    ) -> None:
        """Creates the scheduler.

        Args:
            name: Name of this worker.
            view: Routes and upstreams in force.
            reports: Reads the load of upstreams.
            runner: Runs items.
            quarantine: Parts of prompts that crash upstreams.
            speed: Estimate of how fast items run.
            rng: Chooses services of split routes.
            plans_ahead: Whether items run around the waves of online requests
                that are forecast, instead of in any free slot.
        """
        self._plan = PLANS_BY_NAME[
            "around_demand" if plans_ahead else "free_slots"
        ]
        self._plans_ahead = plans_ahead
        self._outlooks_by_service: dict[str, ServiceOutlook] = {}
        self._restart_deadline = clock.monotonic() + RESTART_S
        self._is_restart = False
        self._no_stops_until_by_service: dict[str, float] = {}
        self._name = name
        self._view = view
        self._reports = reports
        self._runner = runner
        self._quarantine = quarantine
        self._trials = ItemTrials()
        self._speed = speed
        self._rng = rng
        self._cooldown_until_by_id: dict[str, float] = {}
        self._shares = PreemptionShares(name)
        self._items_by_upstream: dict[str, PreemptibleItems] = {}

    async def read_loads(self, workers: Collection[str]) -> list[Upstream]:
        """Reads the loads of the engines that are assigned to this worker.

        The other workers read and send the loads of the remaining engines;
        those whose load is stale are read here too.

        Args:
            workers: Names of all workers that share the upstreams, including
                this one.

        Returns:
            The engines that are assigned to this worker.
        """
        now = clock.monotonic()
        engines = self._engines()
        for service in {upstream.listed.service for upstream in engines}:
            self._view.upstreams.update_paces(service, now)
        own = [
            upstream
            for upstream in engines
            if chosen_worker(upstream.upstream_id, workers) == self._name
        ]
        stale = [
            upstream
            for upstream in engines
            if upstream not in own and upstream.load_age(now) > STALE_LOAD_AGE_S
        ]
        # The others need not wait for the timeout of a silent one.
        await self._reports.read(
            [
                upstream
                for upstream in [*own, *stale]
                if not upstream.is_silent()
            ]
        )
        return own

    async def read_silent_loads(self) -> None:
        """Asks silent engines for their load until cancelled."""
        while True:
            await anyio.sleep(SILENT_READ_INTERVAL_S)
            await self._reports.read(
                [
                    upstream
                    for upstream in self._engines()
                    if upstream.is_silent()
                ]
            )

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

    async def schedule(
        self,
        jobs: Collection[OwnedJob],
        workers: Collection[str],
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Runs one round of starting and preempting items.

        Args:
            jobs: The jobs of this worker.
            workers: Names of all workers that share the upstreams, including
                this one.
            group: Task group in which items run.
        """
        self._record_demand(jobs, clock.monotonic())
        self._items_by_upstream = {}
        jobs_by_service: dict[str, list[OwnedJob]] = {}
        for owned in jobs:
            apply_routes(owned, self._view)
            if owned.route is not None:
                service = owned.route.choose_service(self._rng)
                jobs_by_service.setdefault(service, []).append(owned)
        for service, service_jobs in jobs_by_service.items():
            await self._schedule_service(service, service_jobs, workers, group)

    def running_items(self, incarnation: str) -> RunningItems:
        """Returns the preemptible items that the last round left running.

        Args:
            incarnation: Incarnation of this worker.
        """
        return RunningItems(
            self._name,
            incarnation,
            tuple(
                ItemCount(
                    upstream_id, items.normal, items.urgent, items.protected
                )
                for upstream_id, items in self._items_by_upstream.items()
            ),
        )

    def apply_running_items(self, message: RunningItems) -> None:
        """Records the items that another worker runs."""
        self._shares.update(
            message.worker,
            {
                row.upstream_id: PreemptibleItems(
                    row.normal, row.urgent, row.protected
                )
                for row in message.counts
            },
            clock.monotonic(),
        )

    def record_takeover(self) -> None:
        """Records that a job was taken over that another process had owned."""
        if not self._is_restart and clock.remaining(self._restart_deadline) > 0:
            self._is_restart = True
            for outlook in self._outlooks_by_service.values():
                outlook.hold_back()

    def reserved_slots(self) -> list[tuple[float, dict[str, str]]]:
        """Returns the slots that are kept for online requests, by service."""
        return [
            (float(outlook.reserved), {"service": service})
            for service, outlook in self._outlooks_by_service.items()
        ]

    def _record_demand(self, jobs: Iterable[OwnedJob], now: float) -> None:
        """Records what online requests take of each service's slots.

        Upstreams whose load is not known count like the others; if half of
        them are unknown, nothing is recorded.
        """
        own_by_upstream: dict[str, int] = {}
        for owned in jobs:
            for run in owned.running():
                own_by_upstream[run.upstream_id] = (
                    own_by_upstream.get(run.upstream_id, 0) + 1
                )
        upstreams_by_service: dict[str, list[Upstream]] = {}
        for upstream in self._engines():
            others = self._shares.items_of_others(upstream.upstream_id, now)
            own = self._items_by_upstream.get(
                upstream.upstream_id, PreemptibleItems(0, 0)
            )
            upstream.record_preemptible_items(
                own.normal + own.urgent + others.normal + others.urgent, now
            )
            upstreams_by_service.setdefault(upstream.listed.service, []).append(
                upstream
            )
        if not self._plans_ahead:
            return
        for service, upstreams in upstreams_by_service.items():
            requests, items, waiting, known = 0, 0, 0, 0
            for upstream in upstreams:
                load = upstream.load
                if load is None or upstream.load_age(now) > MAX_LOAD_AGE_S:
                    continue
                items += own_by_upstream.get(upstream.upstream_id, 0)
                items += self._shares.items_of_others(
                    upstream.upstream_id, now
                ).total
                known += 1
                requests += load.running + load.waiting
                waiting += load.waiting
            if 2 * known > len(upstreams):
                scale = len(upstreams) / known
                outlook = self._outlooks_by_service.get(service)
                if outlook is None:
                    outlook = ServiceOutlook(service)
                    self._outlooks_by_service[service] = outlook
                    if self._is_restart:
                        outlook.hold_back()
                outlook.record(
                    requests * scale,
                    items * scale,
                    waiting,
                    sum(upstream.slots for upstream in upstreams),
                    now,
                )

    def _outlook(
        self,
        service: str,
        states: Sequence[UpstreamState],
        running_by_upstream: dict[str, list[RunningItem[ItemRun]]],
        workers: int,
        now: float,
    ) -> Outlook | None:
        """Returns what online requests of a service leave to items, if known.

        Args:
            service: Name of the service.
            states: States of its upstreams.
            running_by_upstream: Items of this worker, by upstream.
            workers: Number of workers that share the upstreams.
            now: Monotonic time in seconds.
        """
        forecast = self._outlooks_by_service.get(service)
        if forecast is None:
            return None
        own = [
            item.is_urgent
            for state in states
            for item in running_by_upstream.get(state.upstream_id, ())
        ]
        others = [
            self._shares.items_of_others(state.upstream_id, now)
            for state in states
        ]
        items = ServiceItems(
            normal=own.count(False) + sum(row.normal for row in others),
            urgent=own.count(True)
            + sum(row.urgent + row.protected for row in others),
            own_normal=own.count(False),
        )
        outlook = forecast.outlook(
            sum(state.slots for state in states),
            len(states),
            items,
            workers,
            now,
        )
        if outlook is None or not outlook.stops:
            return outlook
        if now < self._no_stops_until_by_service.get(service, 0.0):
            return dataclasses.replace(outlook, stops=0, starts=0)
        self._no_stops_until_by_service[service] = now + STOP_PAUSE_S
        return outlook

    async def _schedule_service(
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
        self._expire_cooldowns(now)
        busy_s = self._busy_s(service, upstreams_by_id.values(), now)
        running_by_upstream = self._running_by_upstream(jobs, busy_s)
        self._move_late_items(jobs, running_by_upstream, upstreams_by_id, now)
        preemptible_by_id = {
            upstream_id: preemption_candidates(
                running_by_upstream.get(upstream_id, []),
                protects_urgent=chosen_worker(upstream_id, workers)
                == self._name,
            )
            for upstream_id in upstreams_by_id
        }
        states = [
            self._upstream_state(upstream, preemptible_by_id[upstream_id], now)
            for upstream_id, upstream in upstreams_by_id.items()
        ]
        outlook = self._outlook(
            service, states, running_by_upstream, len(workers), now
        )
        preemptions = self._plan(states, 0, 0, len(workers), outlook)
        for upstream_id, count in preemptions.preemptions_by_id.items():
            self._shares.record_preemptions(upstream_id, count, now)
            for item in preemptible_by_id[upstream_id][:count]:
                item.run.stop()
            del preemptible_by_id[upstream_id][:count]
        if outlook is not None:
            outlook = dataclasses.replace(outlook, stops=0)
        self._items_by_upstream.update(
            (
                upstream_id,
                dataclasses.replace(
                    _count_items(items),
                    protected=sum(
                        not item.run.is_stopping
                        for item in running_by_upstream.get(upstream_id, ())
                    )
                    - len(items),
                ),
            )
            for upstream_id, items in preemptible_by_id.items()
            if items or running_by_upstream.get(upstream_id)
        )
        waiting = self._waiting(jobs, now, busy_s)
        self._discard_events_of_gone_versions(service, waiting)
        versions_by_id = {
            upstream_id: upstream.listed.version
            for upstream_id, upstream in upstreams_by_id.items()
        }
        for version, group_items in _group_by_version(
            waiting, set(versions_by_id.values())
        ):
            fitting = [
                state
                for state in states
                if version in (None, versions_by_id[state.upstream_id])
                and not upstreams_by_id[state.upstream_id].is_held(now)
            ]
            urgent = sum(priority.is_urgent for priority, _, _ in group_items)
            plan = self._plan(
                fitting,
                urgent,
                len(group_items) - urgent,
                len(workers),
                outlook,
            )
            if outlook is not None:
                outlook = dataclasses.replace(
                    outlook,
                    starts=max(0, outlook.starts - len(plan.starts)),
                    urgent_starts=max(
                        0, outlook.urgent_starts - len(plan.starts)
                    ),
                )
            starts = pair_by_pace(
                [-row[0].negated_remaining_s for row in group_items],
                plan.starts,
                {
                    i: u.pace if self._plans_ahead else 1.0
                    for i, u in upstreams_by_id.items()
                },
            )
            for (priority, owned, run), upstream_id in zip(
                group_items, starts, strict=False
            ):
                run.scope = anyio.CancelScope()
                if run.held_by is not None:
                    self._trials.record_start(run.held_by, now)
                start = functools.partial(
                    self._runner.run, is_urgent=priority.is_urgent
                )
                group.start_soon(
                    start, owned, run, upstreams_by_id[upstream_id]
                )
            states = _with_starts(states, plan.starts)

    def _discard_events_of_gone_versions(
        self, service: str, waiting: Sequence[WaitingItem]
    ) -> None:
        """Has items start again that no upstream of the service can continue.

        While no upstream is listed at all, the events are kept: the listing may
        be incomplete.
        """
        versions = {
            upstream.listed.version
            for upstream in self._view.upstreams.ready(service)
        }
        for _, owned, run in waiting:
            if versions and not any(map(run.may_continue_at, versions)):
                events.log(
                    events.Event.ITEM_RESTARTED,
                    job=owned.job.job_id,
                    item=run.item.item_id,
                    version=run.version,
                    events=len(run.texts),
                )
                run.discard_events()

    def _expire_cooldowns(self, now: float) -> None:
        self._cooldown_until_by_id = {
            upstream_id: until
            for upstream_id, until in self._cooldown_until_by_id.items()
            if until > now
        }

    def _upstream_state(
        self,
        upstream: Upstream,
        preemptible: Sequence[RunningItem[ItemRun]],
        now: float,
    ) -> UpstreamState:
        """Returns the state of an upstream.

        Args:
            upstream: The upstream.
            preemptible: Items of this worker there that may be preempted.
            now: Monotonic time in seconds.
        """
        upstream_id = upstream.upstream_id
        waiting = upstream.waiting(now)
        if waiting:
            self._cooldown_until_by_id[upstream_id] = now + BATCH_COOLDOWN_S
        preemptions = self._shares.share(
            upstream_id,
            waiting,
            _count_items(preemptible),
            now - upstream.load_age(now),
            now,
        )
        return UpstreamState(
            upstream_id=upstream_id,
            slots=upstream.slots,
            load=upstream.estimated_load(now),
            waiting=waiting,
            preemptible_items=preemptions,
            is_cooling_down=upstream_id in self._cooldown_until_by_id,
            normal_items=_count_items(preemptible).normal,
        )

    def _busy_s(
        self, service: str, upstreams: Iterable[Upstream], now: float
    ) -> float | None:
        """Returns the longest time without slots for items, if known."""
        forecast = self._outlooks_by_service.get(service)
        if forecast is None:
            return None
        return forecast.busy_s(sum(u.slots for u in upstreams), now)

    def _remaining_s(self, run: ItemRun) -> float:
        return self._speed.remaining_s(run.item.output_tokens, len(run.texts))

    def _priority(
        self, owned: OwnedJob, run: ItemRun, busy_s: float | None
    ) -> ItemPriority:
        remaining_s = self._remaining_s(run)
        return item_priority(
            owned.job.due_ms / 1000,
            remaining_s,
            clock.wall(),
            URGENT_S if busy_s is None else urgent_s(remaining_s, busy_s),
        )

    def _move_late_items(
        self,
        jobs: Iterable[OwnedJob],
        running_by_upstream: dict[str, list[RunningItem[ItemRun]]],
        upstreams_by_id: dict[str, Upstream],
        now: float,
    ) -> None:
        """Stops items that slowed upstreams make late and faster ones do not.

        They wait with their progress, and start again before the others.
        """
        paces = [
            u.pace
            for u in upstreams_by_id.values()
            if u.estimated_load(now) < u.slots and not u.is_held(now)
        ]
        if not self._plans_ahead or not paces:
            return
        due_by_item = {
            run.item.item_id: owned.job.due_ms / 1000
            for owned in jobs
            for run in owned.running()
        }
        moves = 0
        for upstream_id, items in running_by_upstream.items():
            upstream = upstreams_by_id.get(upstream_id)
            if upstream is None:
                continue
            for item in list(items):
                if moves >= MOVES_PER_ROUND:
                    return
                run = item.run
                left_s = due_by_item[run.item.item_id] - clock.wall()
                remaining_s = self._remaining_s(run)
                if move_pays(remaining_s, left_s, upstream.pace, min(paces)):
                    moves += 1
                    items.remove(item)
                    events.log(
                        events.Event.ITEM_MOVED,
                        item=run.item.item_id,
                        upstream=upstream_id,
                        pace=round(upstream.pace, 2),
                        left_s=round(left_s, 1),
                    )
                    run.stop()

    def _waiting(
        self, jobs: Iterable[OwnedJob], now: float, busy_s: float | None
    ) -> list[WaitingItem]:
        """Returns the items that may start, by priority."""
        rows: list[WaitingItem] = []
        tried_parts: set[str] = set()
        for owned in jobs:
            for run in owned.startable(now):
                if self._is_held(owned, run, tried_parts, now):
                    continue
                rows.append((self._priority(owned, run, busy_s), owned, run))
        return sorted(
            rows,
            key=lambda row: (row[0].is_late, not row[0].is_urgent, row[0]),
        )

    def _is_held(
        self, owned: OwnedJob, run: ItemRun, tried_parts: set[str], now: float
    ) -> bool:
        """Returns whether an item waits because its prompt crashes upstreams.

        An accepted item may be given up only when its retention has passed.

        Args:
            owned: The item's job.
            run: The item.
            tried_parts: Parts of which an item is tried in this round; updated.
            now: Monotonic time in seconds.
        """
        found = self._quarantine.find(run.prompt)
        if found is not None and run.held_by is None:
            events.log(
                events.Event.ITEM_HELD,
                job=owned.job.job_id,
                item=run.item.item_id,
                part=found.part,
                upstreams=found.upstreams,
            )
        run.held_by = found
        if found is None:
            return False
        if found.part not in tried_parts and self._trials.is_due(found, now):
            tried_parts.add(found.part)
            return False
        if clock.wall() * 1000 >= owned.job.retention_ms:
            owned.give_up(run)
            events.log(
                events.Event.ITEM_GIVEN_UP,
                job=owned.job.job_id,
                item=run.item.item_id,
                failures=owned.failure_count(run.item.item_id),
            )
        return True

    def _running_by_upstream(
        self, jobs: Iterable[OwnedJob], busy_s: float | None
    ) -> dict[str, list[RunningItem[ItemRun]]]:
        items_by_upstream: dict[str, list[RunningItem[ItemRun]]] = {}
        for owned in jobs:
            for run in owned.running():
                if not run.is_stopping:
                    is_urgent = self._priority(owned, run, busy_s).is_urgent
                    item = RunningItem(run, is_urgent, run.started)
                    items_by_upstream.setdefault(run.upstream_id, []).append(
                        item
                    )
        return items_by_upstream


def _count_items(items: Iterable[RunningItem[ItemRun]]) -> PreemptibleItems:
    urgent = [item.is_urgent for item in items]
    return PreemptibleItems(urgent.count(False), urgent.count(True))


def _group_by_version(
    waiting: Sequence[WaitingItem], versions: Collection[str]
) -> list[tuple[str | None, list[WaitingItem]]]:
    """Groups items by the only version that may run them; None for any.

    Args:
        waiting: The items.
        versions: Versions of the service's upstreams.
    """
    items_by_version: dict[str, list[WaitingItem]] = {}
    unbound: list[WaitingItem] = []
    for row in waiting:
        run = row[2]
        if all(map(run.may_continue_at, versions)):
            unbound.append(row)
        else:
            items_by_version.setdefault(run.version, []).append(row)
    return [*items_by_version.items(), (None, unbound)]


def _with_starts(
    states: Sequence[UpstreamState], starts: Sequence[str]
) -> list[UpstreamState]:
    """Returns states whose loads include items that are about to start."""
    return [
        dataclasses.replace(
            state, load=state.load + starts.count(state.upstream_id)
        )
        for state in states
    ]
