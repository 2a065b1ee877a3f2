"""Batch jobs as callers submit and read them."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import rig as lib

HOST = "jobs.example"
COMPLETION_TARGET_MS = 18_000


def route(retention_s: float = 60) -> dict[str, Any]:
    """Returns the route of the batch jobs, as an operator writes it."""
    return {
        "name": "plan",
        "host": HOST,
        "path-prefix": "/plan/",
        "kind": "batch",
        "service": "lm",
        "timeout-ms": 15000,
        "max-attempts": 3,
        "target-latency-ms": 400,
        "completion-target-ms": COMPLETION_TARGET_MS,
        "retention-s": retention_s,
        "priority": 2,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration with these routes and two services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "lm", "health-path": "/health", "engine": {}},
            {"name": "app", "health-path": "/health"},
        ],
        "limits": {"max-body-bytes": 4194304, "idle-timeout-ms": 15000},
    }


def _body(job_id: str, items: int) -> bytes:
    rows = [
        {
            "id": f"{job_id}i{number}",
            "path": f"/plan/{number}",
            "headers": {"X-Model": "m", "X-Token-Usage": "300,40"},
            "body": base64.b64encode(b"item").decode(),
            "tokens": 340,
        }
        for number in range(items)
    ]
    return json.dumps({"items": rows}).encode()


async def submit(rig: lib.Rig, gateway: str, job_id: str, items: int) -> bool:
    """Submits a job; returns whether it was accepted with 202."""
    answer = await lib.call(
        rig.programs[gateway].callers,
        "POST",
        "/plan/submit",
        {"Host": HOST, "X-Request-Id": job_id},
        _body(job_id, items),
    )
    rig.record.write(f"submit {job_id} at {gateway}: {answer.status}")
    return answer.status == 202


async def listed(
    rig: lib.Rig, gateway: str, job_id: str
) -> list[dict[str, Any]] | None:
    """Returns the listed results of a job; None if they could not be read."""
    answer = await lib.call(
        rig.programs[gateway].callers,
        "GET",
        f"/v1/lots/{job_id}?after=0",
        {"Host": HOST},
    )
    if answer.status != 200:
        rig.record.write(f"read {job_id} at {gateway}: {answer.status}")
        return None
    results: list[dict[str, Any]] = json.loads(answer.body)["results"]
    return results


async def wait_listed(
    rig: lib.Rig, gateway: str, job_id: str, items: int, timeout_s: float
) -> bool:
    """Reads a job until all items are listed; returns whether they are."""
    deadline = rig.record.now() + timeout_s
    while rig.record.now() < deadline:
        results = await listed(rig, gateway, job_id)
        if results is not None and len(results) == items:
            return True
        await asyncio.sleep(0.2)
    return False


def items_at_servers(rig: lib.Rig, job_id: str, since: float) -> list[str]:
    """Returns the items of a job that servers had after a time."""
    return [
        run.request_id
        for run in rig.runs
        if run.request_id.startswith(f"{job_id}i")
        and (run.ended_at is None or run.ended_at > since)
    ]


def ended_since(rig: lib.Rig, since: float) -> int:
    """Returns the number of runs that ended after a time."""
    return sum(
        run.ended_at is not None and run.ended_at > since for run in rig.runs
    )


def runs_since(rig: lib.Rig, since: float) -> int:
    """Returns the number of runs, of whatever, at servers after a time.

    If there are none, all servers are under half full.
    """
    return sum(run.ended_at is None or run.ended_at > since for run in rig.runs)
