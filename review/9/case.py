"""Items whose path lies outside their route's prefix are given up unrun."""

from __future__ import annotations

import asyncio
import json
import pathlib
import secrets
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
from review.rig2.wire import call

ITEMS = 5
TOKENS = 80
DUE_S = 18.0


def stream_route() -> dict[str, Any]:
    """Returns the route by which the same servers answer online callers."""
    return {
        "name": "r-note",
        "host": HOST_NAME,
        "path-prefix": "/lohu930/",
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


async def submit(site: Site, prefix: str) -> tuple[str, list[str]]:
    """Hands in a job whose items have paths below a prefix."""
    job_id = secrets.token_hex(8)
    rows = [
        {
            "id": secrets.token_hex(8),
            "path": f"{prefix}{number}f",
            "headers": {
                "X-Model": "m",
                "X-Token-Usage": f"540,{TOKENS}",
                "X-Prompt-Prefix": f"9c2e41:300,5d07b8{number}0:240",
            },
            "body": "q83vEjRWeJA=",
            "tokens": 540 + TOKENS,
        }
        for number in range(ITEMS)
    ]
    answer = await call(
        site.gateways()[0].front,
        "POST",
        f"/pule252/{job_id[:6]}",
        {
            "Host": HOST_NAME,
            "X-Request-Id": job_id,
            "Content-Type": "application/json",
        },
        json.dumps({"items": rows}).encode(),
    )
    site.log(f"job {job_id} with items at {prefix}: {answer.status}")
    if answer.status != 202:
        raise CannotRunError(f"the job was not accepted: {answer.status}")
    return job_id, [str(row["id"]) for row in rows]


async def play(site: Site) -> list[str]:
    """Submits a job and reads all its results."""
    site.put_configuration([batch_route("lm"), stream_route()], {"lm": True})
    for _ in range(4):
        await site.start_server("lm")
    await site.start_program("gateway")
    await site.start_program("worker")
    await site.wait_ready()
    prefix = "/lohu930/" if site.has_trouble else "/pule252/3/"
    began_at = time.monotonic()
    job_id, item_ids = await submit(site, prefix)
    page: dict[str, Any] = {}
    while time.monotonic() < began_at + DUE_S + FINISH_S:
        await asyncio.sleep(0.5)
        status, page = await site.read(site.gateways()[0], job_id)
        if status == 200 and page["next-token"] == ITEMS:
            break
    took_s = time.monotonic() - began_at
    results = page.get("results", [])
    site.log(f"{len(results)} results after {took_s:.1f} s")
    broken: list[str] = []
    if len(results) < ITEMS:
        broken.append(f"LOST: {len(results)} of {ITEMS} items are listed")
    for row in results:
        runs = [r.status for r in site.runs if r.request == row["id"]]
        site.log(f"item {row['id']}: {row['state']}, runs: {runs}")
        if row["state"] == "dead_letter":
            broken.append(
                f"MIXED: item {row['id']} is `dead_letter` {took_s:.1f} s "
                f"after the 202, after {len(runs)} runs; its route is there"
            )
        elif row["text"] != whole_text(row["id"], TOKENS):
            broken.append(f"MIXED: the text of {row['id']} is not whole")
    if {row["id"] for row in results} - set(item_ids):
        broken.append("MIXED: a result names an item of another job")
    return broken


if __name__ == "__main__":
    main(pathlib.Path(__file__).parent, play)
