"""Hands ranges of an owner's jobs out to sidecars."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

from plumvane import clock
from plumvane.jobs.job import Job
from plumvane.jobs.order import ORDERS_BY_NAME, Forecast, forecast
from plumvane.peers.messages import PullWork, RangeGrant

__all__ = ["HandOut"]

# A sidecar that has not asked for this long no longer counts.
WORKER_FRESH_S = 180.0
# Each sidecar gets at most this part of its share in what is left of a job.
GUIDED = 0.5
MIN_RANGE_ITEMS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Worker:
    """A sidecar that asked for work.

    Attributes:
        model: Model behind it.
        item_rate: Items a second that it does, or 0 if not known.
        asked: When it asked last, seconds since the Unix epoch.
    """

    model: str
    item_rate: float
    asked: float


class HandOut:
    """Chooses jobs and sizes of ranges for sidecars that ask."""

    def __init__(self) -> None:
        """Creates a hand-out that has served nobody."""
        self._workers_by_address: dict[str, _Worker] = {}
        self._service_by_team: dict[str, float] = {}
        self._active_teams: set[str] = set()

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
        now = clock.wall()
        self._workers_by_address[message.sidecar_address] = _Worker(
            message.model, message.item_rate, now
        )
        running = _running(jobs, message.model)
        if not any(job.has_waiting for job in running):
            return None
        self._admit_teams({job.accepted.team for job in running})
        foreseen = self.foresee(running, message.model, now)
        for job in ORDERS_BY_NAME[batch_order](foreseen):
            grant = job.grant(
                self._range_items(job, message),
                message.sidecar_address,
                message.incarnation,
            )
            if grant is not None:
                team = job.accepted.team
                weight = share_by_team.get(team, 1)
                self._service_by_team[team] += grant.items / weight
                return grant
        return None

    def foresee(
        self, running: Sequence[Job], model: str, now: float
    ) -> Forecast:
        """Foresees the ends of a model's running jobs and notes them.

        Args:
            running: The running jobs of the model.
            model: Name of the model.
            now: Seconds since the Unix epoch.
        """
        rate = sum(w.item_rate for w in self._workers(model, now))
        foreseen = forecast(running, now, rate, self._service_by_team)
        for job in running:
            job.expected_finish = foreseen.finish_by_id.get(job.accepted.job_id)
        return foreseen

    def foresee_all(self, jobs: Sequence[Job]) -> None:
        """Notes the expected end of all running jobs."""
        now = clock.wall()
        for model in {job.accepted.model for job in jobs}:
            self.foresee(_running(jobs, model), model, now)

    def _workers(self, model: str, now: float) -> list[_Worker]:
        for address, worker in list(self._workers_by_address.items()):
            if worker.asked < now - WORKER_FRESH_S:
                del self._workers_by_address[address]
        return [
            worker
            for worker in self._workers_by_address.values()
            if worker.model == model
        ]

    def _range_items(self, job: Job, message: PullWork) -> int:
        """Returns how many items to hand out; fewer as the job ends."""
        workers = len(self._workers(message.model, clock.wall()))
        guided = int(job.remaining * GUIDED / max(1, workers))
        return max(1, min(message.items, max(MIN_RANGE_ITEMS, guided)))

    def _admit_teams(self, teams: set[str]) -> None:
        """Starts teams that had no job at the service of the others."""
        active = teams & self._active_teams
        start = min((self._service_by_team[team] for team in active), default=0)
        for team in teams - self._active_teams:
            self._service_by_team[team] = max(
                start, self._service_by_team.get(team, 0.0)
            )
        self._active_teams = teams


def _running(jobs: Sequence[Job], model: str) -> list[Job]:
    return [
        job
        for job in jobs
        if job.accepted.model == model and job.state == "running"
    ]
