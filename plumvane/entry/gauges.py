"""Gauges of an entry."""

from __future__ import annotations

import collections
from collections.abc import Collection

from plumvane import clock
from plumvane.entry.host import PartitionHost
from plumvane.entry.owners import OwnerClient
from plumvane.fleet.current import CurrentDocument
from plumvane.instances.directory import Directory
from plumvane.jobs.job import Job
from plumvane.metrics import Metric, observe

__all__ = ["register_entry_gauges"]

ROLES = ("entry", "sidecar", "bulk")
RUNNING = "running"


def register_entry_gauges(
    current: CurrentDocument,
    directory: Directory,
    host: PartitionHost,
    owned: Collection[int],
    owners: OwnerClient,
) -> None:
    """Registers the callbacks that read the values of an entry's gauges.

    Args:
        current: Fleet document in force here.
        directory: Instances of the fleet.
        host: State of the partitions owned here.
        owned: Numbers of these partitions.
        owners: Client of the owners of all partitions.
    """

    def running_jobs() -> list[Job]:
        return [job for job in host.all_jobs() if job.state == RUNNING]

    def slacks_s() -> list[float]:
        return [_slack_s(job) for job in running_jobs()]

    observe(Metric.DOCUMENT_REVISION, lambda: current.revision)
    observe(Metric.PARTITIONS_OWNED, lambda: len(owned))
    observe(
        Metric.PARTITIONS_WITHOUT_OWNER,
        lambda: len(owners.unowned_partitions()),
    )
    observe(Metric.INSTANCES, lambda: _count_instances(directory))
    observe(Metric.JOBS_RUNNING, lambda: len(running_jobs()))
    observe(Metric.JOBS_LATE, lambda: sum(s < 0 for s in slacks_s()))
    observe(
        Metric.ITEMS_REMAINING,
        lambda: sum(j.remaining for j in running_jobs()),
    )
    observe(
        Metric.LEAST_SLACK, lambda: [(s, {}) for s in sorted(slacks_s())[:1]]
    )


def _slack_s(job: Job) -> float:
    finish = max(job.expected_finish or 0.0, clock.wall())
    return job.accepted.deadline - finish


def _count_instances(
    directory: Directory,
) -> list[tuple[float, dict[str, str]]]:
    counts = collections.Counter(
        (role, instance.state.value)
        for role in ROLES
        for instance in directory.with_role(role)
    )
    return [
        (count, {"role": role, "state": state})
        for (role, state), count in counts.items()
    ]
