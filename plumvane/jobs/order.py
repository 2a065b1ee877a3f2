"""Order in which batch jobs are handed out."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from plumvane.jobs.job import Job

__all__ = ["ORDERS_BY_NAME", "Forecast", "forecast", "order"]

# Deadlines leave room for fairness while every job is expected to end within
# this part of the time to its deadline.
AMPLE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When the running jobs of a model are expected to end.

    Attributes:
        landing: Jobs that can end in time, the earliest deadline first.
        late: Jobs that cannot, the shortest first.
        finish_by_id: Expected end by job id, seconds since the Unix epoch;
            empty while no rate is known.
        ample: Whether all landing jobs end well before their deadlines.
        service_by_team: Items handed out for each team, over its share.
    """

    landing: tuple[Job, ...]
    late: tuple[Job, ...]
    finish_by_id: Mapping[str, float]
    ample: bool
    service_by_team: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


Order = Callable[[Forecast], Sequence[Job]]
ORDERS_BY_NAME: dict[str, Order] = {}


def order(name: str) -> Callable[[Order], Order]:
    """Registers an order; it returns the jobs, the first to run first."""

    def register(policy: Order) -> Order:
        ORDERS_BY_NAME[name] = policy
        return policy

    return register


def forecast(
    jobs: Sequence[Job],
    now: float,
    item_rate: float,
    service_by_team: Mapping[str, float],
) -> Forecast:
    """Foresees the ends of jobs that run by the earliest deadline first.

    A job that would end late is set aside, so that it delays no other.

    Args:
        jobs: Running jobs of one model.
        now: Seconds since the Unix epoch.
        item_rate: Items a second that the fleet does; 0 if not known.
        service_by_team: Items handed out for each team, over its share.
    """
    by_deadline = sorted(jobs, key=lambda job: job.accepted.deadline)
    if item_rate <= 0:
        return Forecast(tuple(by_deadline), (), {}, False, service_by_team)
    landing: list[Job] = []
    late: list[Job] = []
    finish_by_id: dict[str, float] = {}
    ample = True
    busy_until = now
    for job in by_deadline:
        finish = busy_until + job.remaining / item_rate
        if finish > job.accepted.deadline:
            late.append(job)
            continue
        landing.append(job)
        busy_until = finish
        finish_by_id[job.accepted.job_id] = finish
        ample = ample and finish - now <= AMPLE * (job.accepted.deadline - now)
    late.sort(key=lambda job: job.remaining)
    for job in late:
        busy_until += job.remaining / item_rate
        finish_by_id[job.accepted.job_id] = busy_until
    return Forecast(
        tuple(landing), tuple(late), finish_by_id, ample, service_by_team
    )


@order("fifo")
def fifo(foreseen: Forecast) -> Sequence[Job]:
    """Orders jobs by the time of their acceptance."""
    jobs = [*foreseen.landing, *foreseen.late]
    return sorted(jobs, key=lambda job: job.accepted.time)


@order("least_slack")
def least_slack(foreseen: Forecast) -> Sequence[Job]:
    """Orders jobs by urgency, or by fairness while no job is urgent.

    All jobs share the fleet's rate, so the job with the earliest deadline has
    the least slack. Jobs that will be late come after those that will not.
    """
    landing = list(foreseen.landing)
    if foreseen.ample:
        landing.sort(key=lambda job: _service(foreseen, job))
    late = sorted(foreseen.late, key=lambda job: _service(foreseen, job))
    return [*landing, *late]


def _service(foreseen: Forecast, job: Job) -> float:
    return foreseen.service_by_team.get(job.accepted.team, 0.0)
