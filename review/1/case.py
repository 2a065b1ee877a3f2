"""The route of an accepted batch job is removed while its items run."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import jobs  # noqa: E402
import rig as lib  # noqa: E402

GATEWAYS = ("gateway-1", "gateway-2")
ITEMS = 8
RETENTION_S = 25.0
OTHER_ROUTE = {
    "name": "slip",
    "host": jobs.HOST,
    "path-prefix": "/slip/",
    "kind": "safe",
    "service": "app",
    "timeout-ms": 2000,
    "max-attempts": 2,
    "target-latency-ms": 300,
    "priority": 2,
}


async def play(rig: lib.Rig) -> bool:
    """Plays the case; returns whether the rule was broken."""
    record = rig.record
    before = [jobs.route(RETENTION_S), OTHER_ROUTE]
    rig.store.write("op/config", jobs.configuration(3, before))
    await rig.add_server("engine-1", "lm", slots=2, events=20, step_s=0.1)
    await rig.add_server("app-1", "app")
    for name in (*GATEWAYS, "worker-1", "worker-2"):
        rig.start(await rig.add_program(name, name.partition("-")[0]))
    await rig.wait_ready()
    await asyncio.sleep(3.0)
    submitted_at = record.now()
    if not await jobs.submit(rig, "gateway-1", "feed1", ITEMS):
        raise lib.NotRunnableError("The job was not accepted.")
    await asyncio.sleep(3.0)
    if lib.is_troubled():
        after = jobs.configuration(7, [OTHER_ROUTE])
        rig.store.write("op/config", after)
        record.say("a version without the route of the job is acknowledged")
    await asyncio.sleep(submitted_at + lib.FINISH_S + 4.0 - record.now())
    is_broken = await _has_unlisted(rig)
    await asyncio.sleep(submitted_at + RETENTION_S + 8.0 - record.now())
    record.say(f"retention-s ({RETENTION_S:g}) has passed 8 s ago")
    return await _has_unlisted(rig) and is_broken


async def _has_unlisted(rig: lib.Rig) -> bool:
    """Returns whether items are listed neither way that are nowhere at work."""
    now = rig.record.now()
    counts = []
    for gateway in GATEWAYS:
        results = await jobs.listed(rig, gateway, "feed1")
        counts.append(len(results) if results is not None else -1)
    at_servers = jobs.items_at_servers(rig, "feed1", now - 5.0)
    ended = jobs.ended_since(rig, now - 3.0)
    runs = jobs.runs_since(rig, now - 5.0)
    rig.record.say(
        f"feed1: {counts} of {ITEMS} listed; at servers in the last 5 s: "
        f"{at_servers}, of all jobs: {runs}; ended in the last 3 s: {ended}"
    )
    is_calm = not at_servers and not runs and not ended
    return 0 <= max(counts) < ITEMS and is_calm


if __name__ == "__main__":
    lib.run_case(pathlib.Path(__file__).resolve().parent, play)
