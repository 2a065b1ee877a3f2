"""Assignment of work to workers by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

__all__ = ["chosen_worker"]


def chosen_worker(work_id: str, workers: Iterable[str]) -> str | None:
    """Returns the worker that a job or an upstream is assigned to.

    All processes that know the same workers get the same result.

    Args:
        work_id: Identifier of the job or upstream.
        workers: Names of the live workers.

    Returns:
        The name of the worker, or None if there are no workers.
    """
    return max(
        workers,
        key=lambda name: xxhash.xxh64_intdigest(f"{name} {work_id}".encode()),
        default=None,
    )
