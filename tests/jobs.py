"""Builders of batch jobs and sidecar reports for tests."""

from __future__ import annotations

from plumvane import clock
from plumvane.jobs.job import Job
from plumvane.partitions.records import JobAccepted
from plumvane.peers.messages import (
    ChunkRef,
    FailedItem,
    RangeDone,
    RangeGrant,
)

__all__ = [
    "job_record",
    "make_job",
    "range_report",
    "renewal_report",
    "result_ref",
]

INPUT_CHUNK_ITEMS = 100


def job_record(
    job_id: str = "batch-1",
    items: int = 64,
    *,
    team: str = "intake",
    deadline: float | None = None,
    time: float = 0.0,
) -> JobAccepted:
    """Returns the log record of a job with chunked input."""
    chunks = tuple(
        ChunkRef(
            f"input-{first}",
            first,
            min(INPUT_CHUNK_ITEMS, items - first),
            ("bulk",),
        )
        for first in range(0, items, INPUT_CHUNK_ITEMS)
    )
    if deadline is None:
        deadline = clock.wall() + 3600.0
    return JobAccepted(job_id, team, b"d", "model", chunks, deadline, time)


def make_job(items: int = 64, **fields: object) -> Job:
    """Returns a new job with no finished items."""
    return Job(job_record(items=items, **fields), 0, 1)  # type: ignore[arg-type]


def result_ref(first: int, items: int, digest: str = "") -> ChunkRef:
    """Returns a reference to the results of consecutive items."""
    return ChunkRef(digest or f"results-{first}", first, items, ("bulk",))


def range_report(
    grant: RangeGrant,
    results: ChunkRef | None = None,
    failed: tuple[FailedItem, ...] = (),
    *,
    finished: bool = True,
) -> RangeDone:
    """Returns a sidecar's report on a granted range."""
    return RangeDone(
        grant.partition,
        grant.job_id,
        grant.claim_id,
        results,
        failed,
        finished,
        grant.first_item,
        grant.items,
        "sidecar",
        "first",
    )


def renewal_report(grant: RangeGrant) -> RangeDone:
    """Returns a report that only renews the claim of a grant."""
    return range_report(grant, finished=False)
