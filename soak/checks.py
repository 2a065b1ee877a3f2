"""Checks of a soak on what servers ran, after all processes have settled."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

from soak.clients import Observations
from soak.faults import FaultLog

__all__ = ["find_violations"]

# Kinds of request that may run once.
ONCE = frozenset({"quote", "pay"})
# Time after an acknowledged end within which items may still start, in seconds,
# for an instance that reaches the store.
CANCEL_S = 3.0
# Share of requests that must be served once all faults are over and the time
# to recover has passed.
SERVED_WHEN_CALM = 0.95
RECOVERY_S = 6.0


def find_violations(
    observed: Observations,
    faults: FaultLog,
    runs: Iterable[dict[str, Any]],
    healed_at: float,
) -> list[str]:
    """Returns all promises that were broken, one line each.

    Args:
        observed: What the callers saw.
        faults: The faults, and what processes did wrong.
        runs: What servers ran.
        healed_at: Unix time in seconds at which the last fault ended.
    """
    rows = list(runs)
    errors = [*observed.errors, *faults.errors]
    counts = collections.Counter(row["run"] for row in rows)
    for request_id, count in counts.items():
        kind = observed.kind_by_request.get(request_id)
        if kind is None:
            errors.append(f"{request_id} ran and nobody sent it")
        elif kind in ONCE and count > 1:
            errors.append(f"{kind} {request_id} ran {count} times")
        if request_id in observed.refused_ids:
            errors.append(f"{kind} {request_id} ran and was called not run")
    errors += _late_items(observed, rows, healed_at)
    calm = [ok for at, ok in observed.outcomes if at > healed_at + RECOVERY_S]
    if not calm:
        errors.append("no request was sent after the faults")
    elif sum(calm) < SERVED_WHEN_CALM * len(calm):
        errors.append(
            f"{sum(calm)} of {len(calm)} requests were served after the faults"
        )
    return errors


def _late_items(
    observed: Observations, rows: list[dict[str, Any]], healed_at: float
) -> list[str]:
    """Returns the items that started long after their job's end."""
    ended_at_by_item = {
        item_id: ended_at
        for job_id, ended_at in observed.cancelled_at_by_job.items()
        for item_id in observed.item_ids_by_job[job_id]
    }
    return [
        f"item {row['run']} started {row['at'] - ended_at:.1f} s after its "
        "job's end"
        for row in rows
        if (ended_at := ended_at_by_item.get(row["run"])) is not None
        and row["at"] > max(ended_at, healed_at + RECOVERY_S) + CANCEL_S
    ]
