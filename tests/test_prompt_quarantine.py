"""Prompts that crash upstreams, on fleets of real processes."""

from __future__ import annotations

import anyio

from plumvane import clock
from soak.fleet import CRASHING_PART, FleetSize, SoakFleet
from tests.crash_traffic import (
    CONTACT_S,
    FINAL_STATUS,
    MAX_LATE_REQUESTS,
    REFUSALS,
    SampleRequest,
    Traffic,
    running_traffic,
)
from tests.platform_fleets import run_on_fleet

SIZE = FleetSize(gateways=3, workers=2, engines=4, services=1)
# Crashes after which the bound holds, as the platform states it.
FIRST_CRASHES = 5


def make_traffic(fleet: SoakFleet) -> Traffic:
    """Returns streams, some with the part; no two requests are alike."""

    def make_request(number: int, *parts: str) -> SampleRequest:
        # Both kinds share the first parts.
        return SampleRequest("/note", ("all", f"caller-{number % 3}", *parts))

    return Traffic(
        fleet,
        sound=make_request,
        crashing=lambda number: make_request(number, CRASHING_PART),
    )


# Guards against BUDGET: one kind of request crashed upstream after upstream.
def test_requests_with_a_part_that_crashes_upstreams_stop_reaching_them() -> (
    None
):
    async def steps(fleet: SoakFleet) -> None:
        async with running_traffic(make_traffic(fleet)) as traffic:
            bound_from = await traffic.wait_crashes(FIRST_CRASHES) + CONTACT_S
            await anyio.sleep(bound_from - clock.wall() + CONTACT_S)
            late = [at for at in traffic.crashes_at() if at > bound_from]
            assert len(late) <= MAX_LATE_REQUESTS, late
            assert set(traffic.crashing_statuses[-REFUSALS:]) == {FINAL_STATUS}
            assert FINAL_STATUS not in traffic.sound_statuses
            assert traffic.sound_statuses[-REFUSALS:].count(200) > REFUSALS / 2

    run_on_fleet(SIZE, steps)


# Guards against BUDGET after restarts: what crashed upstreams was forgotten.
def test_refused_part_outlives_all_gateways_and_workers() -> None:
    async def steps(fleet: SoakFleet) -> None:
        async with running_traffic(make_traffic(fleet)) as traffic:
            await traffic.wait_refused()
            traffic.is_crashing = False
            await anyio.sleep(CONTACT_S)
            before = len(traffic.crashes_at())
            for process in fleet.programs:
                process.kill()
            for process in fleet.programs:
                process.start()
            await traffic.wait_served()
            traffic.is_crashing = True
            traffic.crashing_statuses.clear()
            await traffic.wait_refused()
            assert len(traffic.crashes_at()) - before <= MAX_LATE_REQUESTS

    run_on_fleet(SIZE, steps)
