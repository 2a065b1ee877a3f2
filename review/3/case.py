"""A route moves while the store does not answer one gateway."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import jobs  # noqa: E402
import rig as lib  # noqa: E402

GATEWAYS = ("gateway-1", "gateway-2")
CUT = "gateway-2"
# Length of the disruption, in seconds; the site file has 9.0 for its kind.
SILENT_S = 5.0
# Time for which requests are sent once all machines are in touch, in seconds.
SENDING_S = 8.0
PAUSE_S = 0.1


def _slip(service: str) -> dict[str, Any]:
    return {
        "name": "slip",
        "host": jobs.HOST,
        "path-prefix": "/slip/",
        "kind": "unsafe",
        "service": service,
        "timeout-ms": 2000,
        "max-attempts": 1,
        "target-latency-ms": 300,
        "priority": 2,
    }


async def _send(rig: lib.Rig, gateway: str, number: int) -> str:
    """Sends a request; returns its id if the old service ran it."""
    request_id = f"{gateway}r{number}"
    sent_at = rig.record.now()
    answer = await lib.call(
        rig.programs[gateway].callers,
        "POST",
        f"/slip/{number}",
        {
            "Host": jobs.HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
        },
        b"slip",
    )
    services = [r.service for r in rig.runs if r.request_id == request_id]
    rig.record.write(
        f"{request_id} sent at {sent_at:.3f}: {answer.status}, by {services}"
    )
    return request_id if "app" in services else ""


async def play(rig: lib.Rig) -> bool:
    """Plays the case; returns whether the rule was broken."""
    record = rig.record
    rig.store.write("op/config", jobs.configuration(3, [_slip("app")]))
    await rig.add_server("app-1", "app")
    await rig.add_server("lm-1", "lm")
    for name in (*GATEWAYS, "worker-1", "worker-2"):
        rig.start(await rig.add_program(name, name.partition("-")[0]))
    await rig.wait_ready()
    await asyncio.sleep(3.0)
    for gateway in GATEWAYS:
        if not await _send(rig, gateway, 0):
            raise lib.NotRunnableError(f"{gateway} does not serve.")

    port = rig.programs[CUT].store
    if lib.is_troubled():
        port.silent = True
        record.say(f"the store stops answering {CUT}")
    silent_until = record.now() + SILENT_S
    await asyncio.sleep(1.0)
    rig.store.write("op/config", jobs.configuration(7, [_slip("lm")]))
    acknowledged_at = record.now()
    record.say("a version that moves the route to `lm` is acknowledged")
    await asyncio.sleep(silent_until - record.now())
    port.silent = False
    if lib.is_troubled():
        lost = ", ".join(port.lost_answers)
        record.say(f"the store answers {CUT} again; lost: {lost}")
    await asyncio.sleep(lib.CONTACT_S + 0.5)
    record.say(
        f"all machines are in touch; {record.now() - acknowledged_at:.1f} s "
        "have passed since the acknowledgement"
    )
    old: list[str] = []
    number = 1
    until = record.now() + SENDING_S
    while record.now() < until:
        for gateway in GATEWAYS:
            old.append(await _send(rig, gateway, number))
        number += 1
        await asyncio.sleep(PAUSE_S)
    stale = [request_id for request_id in old if request_id]
    record.say(f"run by the old service: {len(stale)} of {len(old)} requests")
    return bool(stale)


if __name__ == "__main__":
    lib.run_case(pathlib.Path(__file__).resolve().parent, play)
