"""Which worker runs a batch job, by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

__all__ = ["chosen_worker"]


def chosen_worker(job_id: str, workers: Iterable[str]) -> str | None:
    """Returns the worker that a job without an owner goes to.

    Args:
        job_id: Identifier of the job.
        workers: Names of the live workers.

    Returns:
        The worker, the same at all who know the same workers; None if there
        is none.
    """
    return max(
        workers,
        key=lambda name: xxhash.xxh64_intdigest(f"{name} {job_id}".encode()),
        default=None,
    )
