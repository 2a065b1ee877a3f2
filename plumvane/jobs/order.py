"""Order in which batch jobs are handed out."""

from __future__ import annotations

from collections.abc import Callable

from plumvane.jobs.job import Job

__all__ = ["ORDERS_BY_NAME", "order"]

OrderKey = Callable[[Job, float], float]
ORDERS_BY_NAME: dict[str, OrderKey] = {}

# Seconds that one item takes while nothing is known of its model.
DEFAULT_ITEM_S = 0.05


def order(name: str) -> Callable[[OrderKey], OrderKey]:
    """Registers an order; the job with the lowest key goes first."""

    def register(key: OrderKey) -> OrderKey:
        ORDERS_BY_NAME[name] = key
        return key

    return register


@order("fifo")
def fifo(job: Job, now: float) -> float:
    """Orders jobs by the time of their acceptance."""
    return job.accepted.time


@order("least_slack")
def least_slack(job: Job, now: float) -> float:
    """Orders jobs by the time left beyond their remaining work."""
    return job.accepted.deadline - now - job.remaining * DEFAULT_ITEM_S
