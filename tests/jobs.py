"""Builders of batch jobs and reports for tests."""

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

__all__ = ["job_record", "done", "make_job", "ref", "renewal"]

INPUT_CHUNK_ITEMS = 100


def job_record(
    job_id: str = "batch-1",
    items: int = 64,
    *,
    team: str = "intake",
    deadline: float | None = None,
    time: float = 0.0,
) -> JobAccepted:
    """Returns the record of a job whose input is cut into chunks."""
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
    """Returns a job of which nothing is done."""
    return Job(job_record(items=items, **fields), 0, 1)  # type: ignore[arg-type]


def ref(first: int, items: int, digest: str = "") -> ChunkRef:
    """Returns a reference to results of neighbouring items."""
    return ChunkRef(digest or f"results-{first}", first, items, ("bulk",))


def done(
    grant: RangeGrant,
    results: ChunkRef | None = None,
    failed: tuple[FailedItem, ...] = (),
    *,
    finished: bool = True,
) -> RangeDone:
    """Returns a report on a grant."""
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


def renewal(grant: RangeGrant) -> RangeDone:
    """Returns a report that only renews a grant's claim."""
    return done(grant, finished=False)
