"""Checks what the servers of a soak executed, and when, after all faults."""

from __future__ import annotations

import collections
import pathlib
from collections.abc import Iterable
from typing import Any

from soak import teams
from soak.clients import Observations
from soak.faults import FaultLog
from standins.platform_server import CRASHING_SEGMENT

__all__ = ["find_violations"]

# Kinds of request that may be executed at most once.
AT_MOST_ONCE_KINDS = frozenset({"quote", "pay"})
# Seconds after an acknowledged cancellation within which items may still start
# on an instance that can reach the store.
CANCEL_GRACE_S = 3.0
# Minimum share of requests served once RECOVERY_S seconds have passed since the
# last fault.
MIN_SUCCESS_RATE = 0.95
RECOVERY_S = 6.0
# Crashes of engines under one part of prompts, or of servers under one request,
# time after them, in seconds, and the most requests of that kind that may then
# still reach one.
FIRST_CRASHES = 5
FIRST_CRASHES_OF_REQUEST = 3
CONTACT_S = 3.0
MAX_LATE_CRASHES = 3
# Length in seconds of the windows in which requests to a server with a limit
# are counted, and the most that are allowed: a multiple of the limit, and some.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SURPLUS = 5


def find_violations(
    observations: Observations,
    faults: FaultLog,
    executions: Iterable[dict[str, Any]],
    faults_ended_at: float,
    arrivals: Iterable[dict[str, Any]] = (),
    logs: Iterable[pathlib.Path] = (),
) -> list[str]:
    """Returns all violated guarantees, one line each.

    Args:
        observations: What the clients observed.
        faults: The injected faults, and violations seen while injecting them.
        executions: Requests and items that the servers executed.
        faults_ended_at: Unix time in seconds at which the last fault ended.
        arrivals: Requests that reached servers while they had a limit.
        logs: Logs of gateways and workers.
    """
    rows = list(executions)
    errors = [*observations.errors, *faults.errors]
    counts = collections.Counter(row["run"] for row in rows)
    for request_id, count in counts.items():
        kind = observations.kind_by_request.get(request_id)
        if kind is None:
            errors.append(f"{request_id} was executed but no client sent it")
        elif kind in AT_MOST_ONCE_KINDS and count > 1:
            errors.append(f"{kind} {request_id} was executed {count} times")
        if request_id in observations.refused_ids:
            errors.append(
                f"{kind} {request_id} was executed but reported as not executed"
            )
    errors += _items_started_late(observations, rows, faults_ended_at)
    crash_times = _crash_times(rows)
    errors += _crashes_too_many(crash_times, faults_ended_at)
    errors += _limits_exceeded(arrivals, faults_ended_at)
    item_ids = {
        request_id
        for request_id, kind in observations.kind_by_request.items()
        if kind == "plan"
    }
    errors += teams.find_violations(
        rows, observations.team_by_request, item_ids, logs
    )
    # No process can know what crashes servers before it has done so some times.
    known_at = [
        times[first - 1]
        for first, times in crash_times
        if first == FIRST_CRASHES_OF_REQUEST and len(times) >= first
    ]
    served_from = max([faults_ended_at, *known_at]) + RECOVERY_S
    recovered = [ok for at, ok in observations.outcomes if at > served_from]
    sent_until = max((at for at, _ in observations.outcomes), default=0.0)
    if sent_until <= faults_ended_at + RECOVERY_S:
        errors.append("no request was sent after the faults")
    elif sum(recovered) < MIN_SUCCESS_RATE * len(recovered):
        errors.append(
            f"{sum(recovered)} of {len(recovered)} requests were served after "
            "the faults"
        )
    return errors


def _crash_times(rows: list[dict[str, Any]]) -> list[tuple[int, list[float]]]:
    """Returns when servers crashed under each request and under the part.

    Returns:
        For each request that crashes servers by itself, and for all with the
        part, the crashes from which it is known, and the Unix times of all.
    """
    times_by_path = collections.defaultdict(list)
    for row in rows:
        if row.get("crashes"):
            path = row.get("path", "")
            is_request = CRASHING_SEGMENT in path
            times_by_path[path if is_request else ""].append(row["at"])
    return [
        (FIRST_CRASHES_OF_REQUEST if path else FIRST_CRASHES, times)
        for path, times in times_by_path.items()
    ]


def _crashes_too_many(
    crash_times: Iterable[tuple[int, list[float]]], faults_ended_at: float
) -> list[str]:
    """Returns whether a known part or request went on to crash servers."""
    errors = []
    for first, times in crash_times:
        if len(times) < first:
            continue
        bound_from = max(times[first - 1], faults_ended_at) + CONTACT_S
        late = sum(at > bound_from for at in times)
        if late > MAX_LATE_CRASHES:
            errors.append(
                f"BUDGET: {late} requests on which servers crash reached them "
                f"after {len(times) - late} others"
            )
    return errors


def _limits_exceeded(
    arrivals: Iterable[dict[str, Any]], faults_ended_at: float
) -> list[str]:
    """Returns the servers that got far more requests than their limit."""
    rows_by_server = collections.defaultdict(list)
    for row in arrivals:
        if row["at"] > faults_ended_at + CONTACT_S:
            rows_by_server[row["arrival"], row["max_rate"]].append(row["at"])
    errors = []
    for (server, max_rate), times in rows_by_server.items():
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * max_rate + LIMIT_SURPLUS
        most = max(
            sum(start <= at < start + LIMIT_WINDOW_S for at in times)
            for start in times
        )
        if most > allowed:
            errors.append(
                f"LIMIT: {server} got {most} requests in {LIMIT_WINDOW_S} s "
                f"with a limit of {max_rate} per second"
            )
    return errors


def _items_started_late(
    observations: Observations,
    rows: list[dict[str, Any]],
    faults_ended_at: float,
) -> list[str]:
    """Returns the items that started too long after their job was cancelled."""
    cancelled_at_by_item = {
        item_id: cancelled_at
        for job_id, cancelled_at in observations.cancelled_at_by_job.items()
        for item_id in observations.item_ids_by_job[job_id]
    }
    return [
        f"item {row['run']} started {row['at'] - cancelled_at:.1f} s after its "
        "job was cancelled"
        for row in rows
        if (cancelled_at := cancelled_at_by_item.get(row["run"])) is not None
        and row["at"]
        > max(cancelled_at, faults_ended_at + RECOVERY_S) + CANCEL_GRACE_S
    ]
