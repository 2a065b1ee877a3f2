"""Order in which batch jobs are handed out."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from plumvane.jobs.job import Job
from plumvane.peers.messages import JobDemand, Urgency

__all__ = ["ORDERS_BY_NAME", "Forecast", "Ranked", "forecast", "order"]

# Deadlines leave room for fairness while every job is expected to end within
# this part of the time to its deadline.
AMPLE = 0.7
# A job is set aside if it needs this much of the time that it has; a measured
# rate that dips for a moment must not make it late.
SET_ASIDE = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Ranked:
    """A job and its place, which owners can compare.

    Attributes:
        urgency: Class of the job.
        key: Place in the class; a lower one goes first.
        job: The job.
        takes_back: Whether running ranges of less urgent jobs are handed
            back for it.
    """

    urgency: Urgency
    key: float
    job: Job
    takes_back: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When the running jobs of a model are expected to end.

    Attributes:
        landing: Jobs that can end in time.
        late: Jobs that cannot.
        finish_by_id: Expected end by job id, seconds since the Unix epoch;
            empty while no rate is known.
        ample: Whether all landing jobs end well before their deadlines.
        service_by_team: Items handed out for each team, over its share.
    """

    landing: tuple[Job, ...]
    late: tuple[Job, ...]
    finish_by_id: Mapping[str, float]
    ample: bool
    service_by_team: Mapping[str, float]


Order = Callable[[Forecast], Sequence[Ranked]]
ORDERS_BY_NAME: dict[str, Order] = {}


def order(name: str) -> Callable[[Order], Order]:
    """Registers an order; it ranks the jobs that a forecast holds."""

    def register(policy: Order) -> Order:
        ORDERS_BY_NAME[name] = policy
        return policy

    return register


def forecast(
    jobs: Sequence[Job],
    others: Sequence[JobDemand],
    now: float,
    item_rate: float,
    service_by_team: Mapping[str, float],
) -> Forecast:
    """Foresees the ends of jobs that run by the earliest deadline first.

    A job that would clearly end late is set aside, so that it delays no other;
    those jobs follow the others, the shortest first.

    Args:
        jobs: Running jobs of one model at this owner.
        others: Those at the other owners.
        now: Seconds since the Unix epoch.
        item_rate: Items a second that the fleet does; 0 if not known.
        service_by_team: Items handed out for each team, over its share.
    """
    if item_rate <= 0:
        return Forecast(tuple(jobs), (), {}, False, service_by_team)
    all_demands: list[tuple[float, int, Job | None]] = [
        (job.accepted.deadline, job.to_run, job) for job in jobs
    ]
    all_demands.extend((d.deadline, d.items, None) for d in others)
    all_demands.sort(key=lambda demand: demand[:2])
    landing: list[Job] = []
    set_aside: list[tuple[int, Job | None]] = []
    finish_by_id: dict[str, float] = {}
    ample = True
    busy_until = now
    for deadline, items, job in all_demands:
        finish = busy_until + items / item_rate
        if finish - now > SET_ASIDE * (deadline - now):
            set_aside.append((items, job))
            continue
        busy_until = finish
        ample = ample and finish - now <= AMPLE * (deadline - now)
        if job is not None:
            landing.append(job)
            finish_by_id[job.accepted.job_id] = finish
    set_aside.sort(key=lambda demand: demand[0])
    for items, job in set_aside:
        busy_until += items / item_rate
        if job is not None:
            finish_by_id[job.accepted.job_id] = busy_until
    late = tuple(job for _, job in set_aside if job is not None)
    return Forecast(tuple(landing), late, finish_by_id, ample, service_by_team)


@order("fifo")
def fifo(foreseen: Forecast) -> Sequence[Ranked]:
    """Ranks jobs by the time of their acceptance."""
    jobs = [*foreseen.landing, *foreseen.late]
    return [Ranked(Urgency.URGENT, job.accepted.time, job) for job in jobs]


@order("least_slack")
def least_slack(foreseen: Forecast) -> Sequence[Ranked]:
    """Ranks jobs by urgency, or by fairness while no job is urgent.

    All jobs share the fleet's rate, so the job with the earliest deadline has
    the least slack. Jobs that will be late come after those that will not.
    """
    ranked = [
        Ranked(Urgency.FAIR, _service(foreseen, job), job)
        if foreseen.ample
        else Ranked(Urgency.URGENT, job.accepted.deadline, job, takes_back=True)
        for job in foreseen.landing
    ]
    ranked.extend(
        Ranked(Urgency.LATE, _service(foreseen, job), job)
        for job in foreseen.late
    )
    return ranked


def _service(foreseen: Forecast, job: Job) -> float:
    return foreseen.service_by_team.get(job.accepted.team, 0.0)
