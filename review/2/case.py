"""Jobs are accepted while the store does not answer one worker."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import jobs  # noqa: E402
import rig as lib  # noqa: E402

GATEWAYS = ("gateway-1", "gateway-2")
WORKERS = ("worker-1", "worker-2")
CUT = "worker-1"
ITEMS = 2
JOBS = 6
# Length of the disruption, in seconds; the site file has 9.0 for its kind.
SILENT_S = 5.0


async def play(rig: lib.Rig) -> bool:
    """Plays the case; returns whether the rule was broken."""
    record = rig.record
    rig.store.write("op/config", jobs.configuration(3, [jobs.route()]))
    for number in (1, 2):
        await rig.add_server(f"engine-{number}", "lm", events=20)
    for name in (*GATEWAYS, *WORKERS):
        rig.start(await rig.add_program(name, name.partition("-")[0]))
    await rig.wait_ready()
    await asyncio.sleep(3.0)
    if not await jobs.submit(rig, "gateway-1", "feed0", ITEMS):
        raise lib.NotRunnableError("The first job was not accepted.")
    if not await jobs.wait_listed(rig, "gateway-1", "feed0", ITEMS, 10.0):
        raise lib.NotRunnableError("The first job was not completed.")
    await asyncio.sleep(1.5)

    port = rig.programs[CUT].store
    if lib.is_troubled():
        port.silent = True
        record.say(f"the store stops answering {CUT}")
    silent_until = record.now() + SILENT_S
    await asyncio.sleep(1.0)
    accepted = []
    for number in range(1, JOBS + 1):
        job_id = f"feed{number}"
        if await jobs.submit(rig, GATEWAYS[number % 2], job_id, ITEMS):
            accepted.append(job_id)
    traffic_ended_at = record.now()
    record.say(f"accepted with 202: {len(accepted)} of {JOBS}")
    await asyncio.sleep(silent_until - record.now())
    port.silent = False
    if lib.is_troubled():
        lost = ", ".join(port.lost_answers)
        record.say(f"the store answers {CUT} again; lost: {lost}")

    await asyncio.sleep(traffic_ended_at + lib.FINISH_S - record.now())
    checked_at = record.now()
    unlisted = []
    for job_id in accepted:
        counts = [
            len(results)
            for gateway in GATEWAYS
            if (results := await jobs.listed(rig, gateway, job_id)) is not None
        ]
        at_servers = jobs.items_at_servers(rig, job_id, checked_at - 5.0)
        record.say(
            f"{job_id}: {counts} of {ITEMS} listed; "
            f"at servers in the last 5 s: {at_servers}"
        )
        if counts and max(counts) < ITEMS and not at_servers:
            unlisted.append(job_id)
    ended = jobs.ended_since(rig, checked_at - 3.0)
    runs = jobs.runs_since(rig, checked_at - 5.0)
    record.say(
        f"items that ended in the last 3 s: {ended}; "
        f"at servers in the last 5 s: {runs}"
    )
    if unlisted:
        for job_id in unlisted:
            await jobs.wait_listed(rig, "gateway-1", job_id, ITEMS, 12.0)
        record.say("the record ends with when they ran after all, if they did")
    return bool(unlisted) and not ended and not runs


if __name__ == "__main__":
    lib.run_case(pathlib.Path(__file__).resolve().parent, play)
