"""Scheduling of the owner's jobs: grants of item ranges to sidecars."""

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

# A sidecar that has sent no request for this long is forgotten.
SIDECAR_EXPIRY_S = 180.0
# Views of other owners are ignored when received longer ago than this.
VIEW_EXPIRY_S = 90.0
# Interval at which busy sidecars are woken for urgent items, and the maximum
# number woken for each model, whatever the size of the fleet.
URGENT_WAKE_INTERVAL_S = 2.0
MAX_URGENT_WAKES = 8
# Maximum number of jobs of a model that an owner reports to other owners.
MAX_DEMANDS = 64
# A range holds at most this fraction of an even split of the waiting items
# among the sidecars (guided self-scheduling), so ranges shrink towards the end
# of a job.
GUIDED_FRACTION = 0.5
# A range takes at most this fraction of the time left to the earliest deadline
# that can be met.
DEADLINE_FRACTION = 0.25
MIN_RANGE_ITEMS = 4


@dataclasses.dataclass(slots=True)
class _Sidecar:
    """A sidecar that asked for work.

    Attributes:
        model: Model that its upstream serves.
        item_rate: Items per second that it completes, or 0 if unknown.
        last_request: Time of its last request, in seconds since the Unix epoch.
        is_idle: Whether its last request found no work.
    """

    model: str
    item_rate: float
    last_request: float
    is_idle: bool


class RangeScheduler:
    """Chooses the job and the size of the range for each sidecar request.

    Sidecars ask all owners for offers before they pull from one, and pass on
    the views of the other owners, so owners learn each other's demand without
    calls between them.
    """

    def __init__(self, address: str) -> None:
        """Creates a scheduler without known sidecars.

        Args:
            address: Peer address of this owner.
        """
        self._address = address
        self._sidecars_by_address: dict[str, _Sidecar] = {}
        self._service_by_team: dict[str, float] = collections.defaultdict(float)
        self._teams_by_model: dict[str, set[str]] = {}
        self._next_wake_by_model: dict[str, float] = {}
        self._views_by_owner: dict[
            tuple[str, str], tuple[float, OwnerView]
        ] = {}

    def offer(
        self, message: OfferWork, jobs: Sequence[Job], batch_order: str
    ) -> WorkOffer:
        """Returns an offer for the job that would be granted next.

        Args:
            message: The sidecar's request.
            jobs: All jobs of the owner.
            batch_order: Name of the order policy.
        """
        self._record_sidecar(message, is_idle=False)
        self._merge_views(message)
        running = _running_jobs(jobs, message.model)
        ranked = self._ranked(running, message.model, batch_order)
        view = self._own_view(running)
        if not ranked:
            self._record_sidecar(message, is_idle=True)
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
        """Grants a range of the first job in order.

        Args:
            message: The sidecar's request, with the items that it can take.
            jobs: All jobs of the owner.
            batch_order: Name of the order policy.
            share_by_team: Weights of the teams.

        Returns:
            The grant, or None if no item is waiting for this sidecar.
        """
        self._record_sidecar(message, is_idle=False)
        self._merge_views(message)
        running = _running_jobs(jobs, message.model)
        ranked_jobs = self._ranked(running, message.model, batch_order)
        earliest_deadline = min(
            (
                r.job.accepted.deadline
                for r in ranked_jobs
                if r.urgency != Urgency.LATE
            ),
            default=0.0,
        )
        for ranked in ranked_jobs:
            grant = ranked.job.grant(
                self._range_size(ranked.job, message, earliest_deadline),
                message.sidecar_address,
                message.incarnation,
            )
            if grant is not None:
                team = ranked.job.accepted.team
                weight = share_by_team.get(team, 1)
                self._service_by_team[team] += grant.items / weight
                return msgspec.structs.replace(grant, urgency=ranked.urgency)
        self._record_sidecar(message, is_idle=True)
        return None

    def update_forecast(self, running: Sequence[Job], model: str) -> Forecast:
        """Predicts and stores the finish times of a model's running jobs.

        Args:
            running: The running jobs of the model.
            model: Name of the model.
        """
        now = clock.wall()
        views = self._current_views(model, now)
        service_by_team = self._service_of_others(model)
        service_by_team.update(self._service_by_team)
        teams = {job.accepted.team for job in running}
        teams.update(team for view in views for team in view.service_by_team)
        forecast = compute_forecast(
            running,
            [demand for view in views for demand in view.demands],
            now,
            sum(
                sidecar.item_rate
                for sidecar in self._active_sidecars(model, now)
            ),
            service_by_team,
        )
        if len(teams) < 2:
            # With a single team there is nothing to share, so all owners order
            # its jobs by deadline.
            forecast = dataclasses.replace(forecast, has_ample_slack=False)
        for job in running:
            job.expected_finish = forecast.finish_by_id.get(job.accepted.job_id)
        return forecast

    def update_forecasts(self, jobs: Sequence[Job]) -> None:
        """Updates the expected finish times of all running jobs."""
        for model in {job.accepted.model for job in jobs}:
            self.update_forecast(_running_jobs(jobs, model), model)

    def pop_idle_sidecars(self, jobs: Sequence[Job]) -> list[str]:
        """Returns the idle sidecars of models with waiting items.

        The sidecars are marked busy, so each is returned only once.

        Args:
            jobs: All jobs of the owner.
        """
        models = {job.accepted.model for job in jobs if job.has_waiting}
        addresses = [
            address
            for address, sidecar in self._sidecars_by_address.items()
            if sidecar.is_idle and sidecar.model in models
        ]
        for address in addresses:
            self._sidecars_by_address[address].is_idle = False
        return addresses

    def sample_busy_sidecars(
        self, jobs: Sequence[Job], batch_order: str
    ) -> list[str]:
        """Returns busy sidecars to wake for a job that preempts.

        Sidecars that are woken check whether to release a range of a less
        urgent job. For each model whose first waiting job preempts, a bounded
        number is returned every `URGENT_WAKE_INTERVAL_S`, so that the load does
        not grow with the fleet.

        Args:
            jobs: All jobs of the owner.
            batch_order: Name of the order policy.
        """
        now = clock.monotonic()
        addresses: list[str] = []
        for model in {job.accepted.model for job in jobs if job.has_waiting}:
            if now < self._next_wake_by_model.get(model, 0.0):
                continue
            self._next_wake_by_model[model] = now + URGENT_WAKE_INTERVAL_S
            running = _running_jobs(jobs, model)
            ranked = self._ranked(running, model, batch_order)
            if ranked and ranked[0].preempts:
                addresses.extend(self._sample_busy(model))
        return addresses

    def _sample_busy(self, model: str) -> list[str]:
        self._active_sidecars(model, clock.wall())
        busy = [
            address
            for address, sidecar in self._sidecars_by_address.items()
            if sidecar.model == model and not sidecar.is_idle
        ]
        return random.sample(busy, min(MAX_URGENT_WAKES, len(busy)))

    def _ranked(
        self, running: Sequence[Job], model: str, batch_order: str
    ) -> list[RankedJob]:
        """Returns the jobs with waiting items in order of rank."""
        self._initialize_service(model, {job.accepted.team for job in running})
        forecast = self.update_forecast(running, model)
        ranked = [
            ranked
            for ranked in ORDERS_BY_NAME[batch_order](forecast)
            if ranked.job.has_waiting
        ]
        return sorted(ranked, key=lambda r: (r.urgency, r.key))

    def _own_view(self, running: Sequence[Job]) -> OwnerView:
        demands = sorted(
            (
                JobDemand(job.accepted.deadline, job.items_to_run)
                for job in running
            ),
            key=lambda demand: demand.deadline,
        )
        teams = {job.accepted.team for job in running}
        return OwnerView(
            self._address,
            tuple(demands[:MAX_DEMANDS]),
            {team: self._service_by_team[team] for team in teams},
            clock.wall(),
        )

    def _merge_views(self, message: OfferWork | PullWork) -> None:
        """Stores the views of other owners that are newer than those known."""
        now = clock.wall()
        for view in message.others:
            key = message.model, view.address
            received, known = self._views_by_owner.get(key, (0.0, view))
            if received < now - VIEW_EXPIRY_S or known.told <= view.told:
                self._views_by_owner[key] = (now, view)

    def _current_views(self, model: str, now: float) -> list[OwnerView]:
        return [
            view
            for (of_model, _), (received, view) in self._views_by_owner.items()
            if of_model == model and received >= now - VIEW_EXPIRY_S
        ]

    def _record_sidecar(
        self, message: OfferWork | PullWork, *, is_idle: bool
    ) -> None:
        self._sidecars_by_address[message.sidecar_address] = _Sidecar(
            message.model, message.item_rate, clock.wall(), is_idle
        )

    def _active_sidecars(self, model: str, now: float) -> list[_Sidecar]:
        """Returns the sidecars of a model, after removing expired ones."""
        for address, sidecar in list(self._sidecars_by_address.items()):
            if sidecar.last_request < now - SIDECAR_EXPIRY_S:
                del self._sidecars_by_address[address]
        return [
            sidecar
            for sidecar in self._sidecars_by_address.values()
            if sidecar.model == model
        ]

    def _range_size(
        self, job: Job, message: PullWork, earliest_deadline: float
    ) -> int:
        """Returns the number of items to grant.

        Args:
            job: The job.
            message: The sidecar's request.
            earliest_deadline: Earliest deadline that can be met; a long range
                of another job must not occupy the sidecar until then.
        """
        now = clock.wall()
        sidecar_count = len(self._active_sidecars(message.model, now))
        max_items = int(
            job.waiting_items * GUIDED_FRACTION / max(1, sidecar_count)
        )
        remaining_s = earliest_deadline - now
        if message.item_rate > 0 and remaining_s > 0:
            max_items = min(
                max_items,
                int(message.item_rate * remaining_s * DEADLINE_FRACTION),
            )
        return min(message.items, max(MIN_RANGE_ITEMS, max_items))

    def _initialize_service(self, model: str, teams: set[str]) -> None:
        """Initializes the service of teams that had no running job before.

        A new team starts at the lowest service among the other teams, so it is
        not compensated for the time without jobs. Items granted by other owners
        count too, so it does not matter which owner has the job.
        """
        previous = self._teams_by_model.get(model, set())
        self._teams_by_model[model] = teams
        if teams <= previous:
            return
        others_service = self._service_of_others(model)
        served = [
            self._service_by_team[team] + others_service[team]
            for team in (teams & previous) | others_service.keys()
        ]
        initial = min(served, default=0.0)
        for team in teams - previous:
            own_service = self._service_by_team[team]
            self._service_by_team[team] = max(
                own_service, initial - others_service[team]
            )

    def _service_of_others(self, model: str) -> collections.Counter[str]:
        """Returns the service that other owners reported, by team."""
        service: collections.Counter[str] = collections.Counter()
        for view in self._current_views(model, clock.wall()):
            service.update(view.service_by_team)
        return service


def _running_jobs(jobs: Sequence[Job], model: str) -> list[Job]:
    return [
        job
        for job in jobs
        if job.accepted.model == model and job.state == "running"
    ]
