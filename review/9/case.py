"""A route that is added over items' paths has the items given up unrun."""

from __future__ import annotations

import asyncio
import pathlib
import time
from typing import Any

from review.rig2.servers import whole_text
from review.rig2.site import (
    FINISH_S,
    HOST_NAME,
    CannotRunError,
    Site,
    batch_route,
    main,
)

ITEMS = 60
TOKENS = 400
DUE_S = 18.0
# Time after the 202 at which the operator adds the route, in seconds.
CHANGE_S = 1.0


def stream_route() -> dict[str, Any]:
    """Returns a route for online callers of the same servers."""
    return {
        "name": "r-note",
        "host": HOST_NAME,
        "path-prefix": "/pule252/3/",
        "kind": "streaming",
        "timeout-ms": 5000,
        "target-latency-ms": 300,
        "priority": 0,
        "service": "lm",
        "max-attempts": 2,
        "session-affinity": True,
        "resumable": True,
        "gap-aim-ms": 200,
    }


async def play(site: Site) -> list[str]:
    """Submits a job, adds a route and reads all results of the job."""
    site.put_configuration([batch_route("lm")], {"lm": True})
    for _ in range(2):
        await site.start_server("lm")
    await site.start_program("gateway")
    await site.start_program("worker")
    await site.wait_ready()
    gateway = site.gateways()[0]
    began_at = time.monotonic()
    job_id, item_ids, answer = await site.submit(
        gateway, "/pule252/", ITEMS, TOKENS
    )
    if answer.status != 202:
        raise CannotRunError(f"the job was not accepted: {answer.status}")
    await asyncio.sleep(CHANGE_S)
    if site.has_trouble:
        site.put_configuration(
            [batch_route("lm"), stream_route()], {"lm": True}
        )
        site.log("the operator adds a streaming route at /pule252/3/")
    results: list[dict[str, Any]] = []
    while time.monotonic() < began_at + DUE_S + FINISH_S:
        await asyncio.sleep(0.5)
        if await site.read_on(gateway, job_id, results):
            break
    took_s = time.monotonic() - began_at
    completed = sum(row["state"] == "completed" for row in results)
    site.log(
        f"{len(results)} of {ITEMS} items are listed after {took_s:.1f} s, "
        f"{completed} as completed"
    )
    broken: list[str] = []
    if len(results) < ITEMS and not site.is_excused(item_ids):
        broken.append(f"LOST: {len(results)} of {ITEMS} items are listed")
    if any(
        row["state"] == "completed"
        and row["text"] != whole_text(row["id"], TOKENS)
        for row in results
    ):
        broken.append("MIXED: a text is not whole")
    given_up = [row["id"] for row in results if row["state"] == "dead_letter"]
    if given_up:
        reached = [run for run in site.runs if run.request in given_up]
        broken.append(
            f"MIXED: {len(given_up)} items are `dead_letter` {took_s:.1f} s "
            f"after the 202, after {len(reached)} runs; their batch route is "
            "in force, unchanged"
        )
    return broken


if __name__ == "__main__":
    main(pathlib.Path(__file__).parent, play)
