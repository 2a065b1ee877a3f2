"""Hands ranges of an owner's jobs out to sidecars."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Mapping, Sequence

import msgspec

from plumvane import clock
from plumvane.jobs.job import Job
from plumvane.jobs.order import (
    ORDERS_BY_NAME,
    Forecast,
    RankedJob,
    compute_forecast,
)
from plumvane.peers.messages import (
    JobDemand,
    OfferWork,
    OwnerView,
    PullWork,
    RangeGrant,
    Urgency,
    WorkOffer,
)

__all__ = ["RangeScheduler"]

# A sidecar that has not asked for this long no longer counts.
WORKER_FRESH_S = 180.0
# What another owner told is forgotten after this.
VIEW_FRESH_S = 90.0
# How often, and how many, busy sidecars are told of urgent work that waits.
URGENT_S = 2.0
URGENT_WORKERS = 8
# Jobs of which an owner tells the others.
MAX_DEMANDS = 64
# A range holds at most this part of the sidecar's share in what waits.
GUIDED = 0.5
# A range lasts at most this part of the time to the deadline.
DEADLINE_PART = 0.25
MIN_RANGE_ITEMS = 4


@dataclasses.dataclass(slots=True)
class _Worker:
    """A sidecar that asked for work.

    Attributes:
        model: Model behind it.
        item_rate: Items a second that it does, or 0 if not known.
        asked: When it asked last, seconds since the Unix epoch.
        is_idle: Whether it found no work.
    """

    model: str
    item_rate: float
    asked: float
    is_idle: bool


class RangeScheduler:
    """Chooses jobs and sizes of ranges for sidecars that ask.

    Owners learn each other's demand from the sidecars, which ask all of them
    before they pull from one.
    """

    def __init__(self, address: str) -> None:
        """Creates a hand-out that has served nobody.

        Args:
            address: Peer address of this owner.
        """
        self._address = address
        self._workers_by_address: dict[str, _Worker] = {}
        self._service_by_team: dict[str, float] = collections.defaultdict(float)
        self._teams_by_model: dict[str, set[str]] = {}
        self._urgent_at_by_model: dict[str, float] = {}
        self._views_by_owner: dict[
            tuple[str, str], tuple[float, OwnerView]
        ] = {}

    def offer(
        self, message: OfferWork, jobs: Sequence[Job], batch_order: str
    ) -> WorkOffer:
        """Returns what a sidecar would be handed.

        Args:
            message: The sidecar.
            jobs: All jobs of the owner.
            batch_order: Name of the order policy.
        """
        self._note_worker(message, is_idle=False)
        self._note_views(message)
        running = _running(jobs, message.model)
        ranked = self._ranked(running, message.model, batch_order)
        view = self._view(running)
        if not ranked:
            self._note_worker(message, is_idle=True)
            return WorkOffer(view)
        first = ranked[0]
        due = first.job.accepted.deadline if first.preempts else None
        return WorkOffer(view, True, first.urgency, first.key, due)

    def pull(
        self,
        message: PullWork,
        jobs: Sequence[Job],
        batch_order: str,
        share_by_team: Mapping[str, int],
    ) -> RangeGrant | None:
        """Hands out a range of the job that goes first.

        Args:
            message: What the sidecar can take.
            jobs: All jobs of the owner.
            batch_order: Name of the order policy.
            share_by_team: Weights of the teams.

        Returns:
            The grant, or None if no item waits.
        """
        self._note_worker(message, is_idle=False)
        self._note_views(message)
        running = _running(jobs, message.model)
        all_ranked = self._ranked(running, message.model, batch_order)
        due = min(
            (
                r.job.accepted.deadline
                for r in all_ranked
                if r.urgency != Urgency.LATE
            ),
            default=0.0,
        )
        for ranked in all_ranked:
            grant = ranked.job.grant(
                self._range_items(ranked.job, message, due),
                message.sidecar_address,
                message.incarnation,
            )
            if grant is not None:
                team = ranked.job.accepted.team
                weight = share_by_team.get(team, 1)
                self._service_by_team[team] += grant.items / weight
                return msgspec.structs.replace(grant, urgency=ranked.urgency)
        self._note_worker(message, is_idle=True)
        return None

    def foresee(self, running: Sequence[Job], model: str) -> Forecast:
        """Foresees the ends of a model's running jobs and notes them.

        Args:
            running: The running jobs of the model.
            model: Name of the model.
        """
        now = clock.wall()
        views = self._views(model, now)
        service_by_team = self._service_elsewhere(model)
        service_by_team.update(self._service_by_team)
        teams = {job.accepted.team for job in running}
        teams.update(team for view in views for team in view.service_by_team)
        forecast = compute_forecast(
            running,
            [demand for view in views for demand in view.demands],
            now,
            sum(w.item_rate for w in self._workers(model, now)),
            service_by_team,
        )
        if len(teams) < 2:
            # Nobody to be fair to; owners then agree on the deadlines.
            forecast = dataclasses.replace(forecast, has_ample_slack=False)
        for job in running:
            job.expected_finish = forecast.finish_by_id.get(job.accepted.job_id)
        return forecast

    def update_forecasts(self, jobs: Sequence[Job]) -> None:
        """Notes the expected end of all running jobs."""
        for model in {job.accepted.model for job in jobs}:
            self.foresee(_running(jobs, model), model)

    def pop_idle_sidecars(self, jobs: Sequence[Job]) -> list[str]:
        """Returns idle sidecars that work waits for; each once.

        Args:
            jobs: All jobs of the owner.
        """
        models = {job.accepted.model for job in jobs if job.has_waiting}
        found = [
            address
            for address, worker in self._workers_by_address.items()
            if worker.is_idle and worker.model in models
        ]
        for address in found:
            self._workers_by_address[address].is_idle = False
        return found

    def sample_busy_sidecars(
        self, jobs: Sequence[Job], batch_order: str
    ) -> list[str]:
        """Returns sidecars to ask whether they hand a range back.

        A few for each model whose first waiting job takes ranges back, every
        few seconds, so that their number does not grow with the fleet.

        Args:
            jobs: All jobs of the owner.
            batch_order: Name of the order policy.
        """
        now = clock.monotonic()
        found: list[str] = []
        for model in {job.accepted.model for job in jobs if job.has_waiting}:
            if now < self._urgent_at_by_model.get(model, 0.0):
                continue
            self._urgent_at_by_model[model] = now + URGENT_S
            running = _running(jobs, model)
            ranked = self._ranked(running, model, batch_order)
            if ranked and ranked[0].preempts:
                found.extend(self._some_busy(model))
        return found

    def _some_busy(self, model: str) -> list[str]:
        self._workers(model, clock.wall())
        busy = [
            address
            for address, worker in self._workers_by_address.items()
            if worker.model == model and not worker.is_idle
        ]
        return random.sample(busy, min(URGENT_WORKERS, len(busy)))

    def _ranked(
        self, running: Sequence[Job], model: str, batch_order: str
    ) -> list[RankedJob]:
        """Returns the jobs with waiting items, the first to run first."""
        self._admit_teams(model, {job.accepted.team for job in running})
        forecast = self.foresee(running, model)
        ranked = [
            ranked
            for ranked in ORDERS_BY_NAME[batch_order](forecast)
            if ranked.job.has_waiting
        ]
        return sorted(ranked, key=lambda r: (r.urgency, r.key))

    def _view(self, running: Sequence[Job]) -> OwnerView:
        demands = sorted(
            (JobDemand(job.accepted.deadline, job.to_run) for job in running),
            key=lambda demand: demand.deadline,
        )
        teams = {job.accepted.team for job in running}
        return OwnerView(
            self._address,
            tuple(demands[:MAX_DEMANDS]),
            {team: self._service_by_team[team] for team in teams},
            clock.wall(),
        )

    def _note_views(self, message: OfferWork | PullWork) -> None:
        """Takes in what other owners told, unless newer is known."""
        now = clock.wall()
        for view in message.others:
            key = message.model, view.address
            noted, known = self._views_by_owner.get(key, (0.0, view))
            if noted < now - VIEW_FRESH_S or known.told <= view.told:
                self._views_by_owner[key] = (now, view)

    def _views(self, model: str, now: float) -> list[OwnerView]:
        return [
            view
            for (of_model, _), (told, view) in self._views_by_owner.items()
            if of_model == model and told >= now - VIEW_FRESH_S
        ]

    def _note_worker(
        self, message: OfferWork | PullWork, *, is_idle: bool
    ) -> None:
        self._workers_by_address[message.sidecar_address] = _Worker(
            message.model, message.item_rate, clock.wall(), is_idle
        )

    def _workers(self, model: str, now: float) -> list[_Worker]:
        for address, worker in list(self._workers_by_address.items()):
            if worker.asked < now - WORKER_FRESH_S:
                del self._workers_by_address[address]
        return [
            worker
            for worker in self._workers_by_address.values()
            if worker.model == model
        ]

    def _range_items(self, job: Job, message: PullWork, due: float) -> int:
        """Returns how many items to hand out.

        Args:
            job: The job.
            message: What the sidecar can take.
            due: The earliest deadline that can be met; a long range of
                another job must not hold the sidecar until then.
        """
        now = clock.wall()
        workers = len(self._workers(message.model, now))
        most = int(job.waiting * GUIDED / max(1, workers))
        left_s = due - now
        if message.item_rate > 0 and left_s > 0:
            most = min(most, int(message.item_rate * left_s * DEADLINE_PART))
        return min(message.items, max(MIN_RANGE_ITEMS, most))

    def _admit_teams(self, model: str, teams: set[str]) -> None:
        """Starts teams that had no job at the service of the others.

        What other owners have handed out for a team counts, so that it does
        not matter at which of them its job is.
        """
        before = self._teams_by_model.get(model, set())
        self._teams_by_model[model] = teams
        if teams <= before:
            return
        elsewhere = self._service_elsewhere(model)
        served = [
            self._service_by_team[team] + elsewhere[team]
            for team in (teams & before) | elsewhere.keys()
        ]
        start = min(served, default=0.0)
        for team in teams - before:
            own = self._service_by_team[team]
            self._service_by_team[team] = max(own, start - elsewhere[team])

    def _service_elsewhere(self, model: str) -> collections.Counter[str]:
        """Returns what other owners handed out, by team."""
        found: collections.Counter[str] = collections.Counter()
        for view in self._views(model, clock.wall()):
            found.update(view.service_by_team)
        return found


def _running(jobs: Sequence[Job], model: str) -> list[Job]:
    return [
        job
        for job in jobs
        if job.accepted.model == model and job.state == "running"
    ]
