"""The sidecar's worker for batch items."""

from __future__ import annotations

import types
from typing import Any
from unittest import mock

import anyio

from plumvane.sidecar import batch
from plumvane.sidecar.batch import BatchWorker

OUTER_DEADLINE_S = 30.0
LONG_S = 3600.0


def _idle_worker() -> BatchWorker:
    """Returns a worker without owners, which has nothing to pull."""
    unused: Any = None
    chunks: Any = types.SimpleNamespace(available=lambda: True)
    reporter: Any = types.SimpleNamespace(owners=())
    return BatchWorker("m", "a", unused, unused, unused, chunks, reporter)


def test_idle_worker_ends_when_the_sidecar_leaves() -> None:
    async def check() -> None:
        worker = _idle_worker()
        with anyio.fail_after(OUTER_DEADLINE_S):
            async with anyio.create_task_group() as group:
                group.start_soon(worker.run)
                await anyio.wait_all_tasks_blocked()
                worker.leave()

    with (
        mock.patch.object(batch, "IDLE_MIN_S", LONG_S),
        mock.patch.object(batch, "IDLE_MAX_S", LONG_S),
        mock.patch.object(batch, "BLOCKED_MAX_S", LONG_S),
    ):
        anyio.run(check)
