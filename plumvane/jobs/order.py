"""Policies that order batch jobs, and the forecast that they rank by."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from plumvane.jobs.job import Job
from plumvane.peers.messages import JobDemand, Urgency

__all__ = [
    "ORDERS_BY_NAME",
    "Forecast",
    "RankedJob",
    "compute_forecast",
    "order",
]

# Teams are served by their shares, not by deadline, while every job is expected
# to finish within this fraction of the time left to its deadline.
AMPLE_SLACK_RATIO = 0.7
# A job is deferred if it needs more than this multiple of the time left to its
# deadline. The margin above 1 keeps a brief dip of the measured item rate from
# deferring a job that can still finish in time.
DEFER_RATIO = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class RankedJob:
    """A job and its rank, which is comparable between owners.

    Attributes:
        urgency: Priority class of the job.
        key: Sort key within the class; lower keys run first.
        job: The job.
        preempts: Whether sidecars release running ranges of less urgent jobs
            to run this one.
    """

    urgency: Urgency
    key: float
    job: Job
    preempts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Expected finish times of the running jobs of a model.

    Attributes:
        on_time: Jobs that are not deferred.
        late: Jobs deferred because they would miss their deadlines.
        finish_by_id: Expected finish time by job id, in seconds since the Unix
            epoch; empty while no item rate is known.
        has_ample_slack: Whether all jobs that are not deferred are expected to
            finish well before their deadlines.
        service_by_team: Items granted to each team, divided by its share.
    """

    on_time: tuple[Job, ...]
    late: tuple[Job, ...]
    finish_by_id: Mapping[str, float]
    has_ample_slack: bool
    service_by_team: Mapping[str, float]


Order = Callable[[Forecast], Sequence[RankedJob]]
ORDERS_BY_NAME: dict[str, Order] = {}


def order(name: str) -> Callable[[Order], Order]:
    """Registers an order policy, which ranks the jobs of a forecast."""

    def register(policy: Order) -> Order:
        ORDERS_BY_NAME[name] = policy
        return policy

    return register


def compute_forecast(
    jobs: Sequence[Job],
    other_demands: Sequence[JobDemand],
    now: float,
    item_rate: float,
    service_by_team: Mapping[str, float],
) -> Forecast:
    """Predicts when jobs finish if they run earliest deadline first.

    A job that would clearly miss its deadline is deferred, so that it delays no
    other job. Deferred jobs run after all others, the shortest first.

    Args:
        jobs: Running jobs of one model at this owner.
        other_demands: Running jobs of the model at other owners.
        now: Current time in seconds since the Unix epoch.
        item_rate: Items per second that the fleet completes; 0 if unknown.
        service_by_team: Items granted to each team, divided by its share.
    """
    if item_rate <= 0:
        return Forecast(tuple(jobs), (), {}, False, service_by_team)
    demands: list[tuple[float, int, Job | None]] = [
        (job.accepted.deadline, job.items_to_run, job) for job in jobs
    ]
    demands.extend((d.deadline, d.items, None) for d in other_demands)
    demands.sort(key=lambda demand: demand[:2])
    on_time: list[Job] = []
    deferred: list[tuple[int, Job | None]] = []
    finish_by_id: dict[str, float] = {}
    has_ample_slack = True
    busy_until = now
    for deadline, items, job in demands:
        finish = busy_until + items / item_rate
        if finish - now > DEFER_RATIO * (deadline - now):
            deferred.append((items, job))
            continue
        busy_until = finish
        has_ample_slack = (
            has_ample_slack
            and finish - now <= AMPLE_SLACK_RATIO * (deadline - now)
        )
        if job is not None:
            on_time.append(job)
            finish_by_id[job.accepted.job_id] = finish
    deferred.sort(key=lambda demand: demand[0])
    for items, job in deferred:
        busy_until += items / item_rate
        if job is not None:
            finish_by_id[job.accepted.job_id] = busy_until
    late = tuple(job for _, job in deferred if job is not None)
    return Forecast(
        tuple(on_time), late, finish_by_id, has_ample_slack, service_by_team
    )


@order("fifo")
def fifo(forecast: Forecast) -> Sequence[RankedJob]:
    """Ranks jobs by acceptance time."""
    jobs = [*forecast.on_time, *forecast.late]
    return [RankedJob(Urgency.URGENT, job.accepted.time, job) for job in jobs]


@order("least_slack")
def least_slack(forecast: Forecast) -> Sequence[RankedJob]:
    """Ranks jobs by deadline, or by team service while slack is ample.

    All jobs share the fleet's item rate, so the job with the earliest deadline
    has the least slack. Deferred jobs rank after all others.
    """
    ranked = [
        RankedJob(Urgency.FAIR, _service_of(forecast, job), job)
        if forecast.has_ample_slack
        else RankedJob(
            Urgency.URGENT, job.accepted.deadline, job, preempts=True
        )
        for job in forecast.on_time
    ]
    ranked.extend(
        RankedJob(Urgency.LATE, _service_of(forecast, job), job)
        for job in forecast.late
    )
    return ranked


def _service_of(forecast: Forecast, job: Job) -> float:
    return forecast.service_by_team.get(job.accepted.team, 0.0)
