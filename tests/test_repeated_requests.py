"""Requests that come again and crash upstreams, on fleets of real processes."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from plumvane import clock
from soak.fleet import FleetSize, SoakFleet
from standins.platform_server import CRASHING_SEGMENT
from tests.crash_traffic import (
    CONTACT_S,
    FINAL_STATUS,
    MAX_LATE_REQUESTS,
    REFUSALS,
    REQUEST_INTERVAL_S,
    SampleRequest,
    Traffic,
    running_traffic,
)
from tests.platform_fleets import run_on_fleet

SIZE = FleetSize(gateways=4, workers=2, engines=4, services=4)
# Crashes after which the bound holds, as the platform states it.
FIRST_CRASHES = 3
# Interval at which the crashing request comes, in seconds.
REPEAT_INTERVAL_S = 1 / 3
# Seconds for which the crashing request comes after the bound, and the share of
# sound requests that are served in the end.
OBSERVATION_S = 10.0
MIN_SERVED = 0.95
# Number of losses of a rack.
RACK_LOSSES = 4
SHARED_PARTS = ("all", "caller")
TEAMS = 8


def make_traffic(
    fleet: SoakFleet, route: str, parts: tuple[str, ...] | None
) -> Traffic:
    """Returns sound requests and one that comes again, of one route."""
    path = f"/{route}{CRASHING_SEGMENT}again"
    return Traffic(
        fleet,
        sound=lambda number: SampleRequest(f"/{route}", parts),
        crashing=lambda number: SampleRequest(path, parts, is_repeated=True),
        crashing_interval_s=REPEAT_INTERVAL_S,
    )


def make_team_traffic(fleet: SoakFleet, route: str) -> Traffic:
    """Returns the same, but each request comes from the next team."""
    fleet.keys_by_team = {f"team{n}": [f"key{n}"] for n in range(TEAMS)}
    path = f"/{route}{CRASHING_SEGMENT}again"
    return Traffic(
        fleet,
        sound=lambda number: SampleRequest(
            f"/{route}", key=f"key{number % TEAMS}"
        ),
        crashing=lambda number: SampleRequest(
            path, is_repeated=True, key=f"key{number % TEAMS}"
        ),
        crashing_interval_s=REPEAT_INTERVAL_S,
    )


def check_budget(make: Callable[[SoakFleet], Traffic]) -> None:
    """Checks that a request that comes again stops reaching upstreams.

    Args:
        make: Returns the traffic on a fleet.
    """

    async def steps(fleet: SoakFleet) -> None:
        async with running_traffic(make(fleet)) as run:
            bound_from = await run.wait_crashes(FIRST_CRASHES) + CONTACT_S
            await anyio.sleep(bound_from - clock.wall())
            # Crashed servers take some time to start again.
            await run.wait_served()
            run.sound_statuses.clear()
            await anyio.sleep(OBSERVATION_S)
            late = [at for at in run.crashes_at() if at > bound_from]
            assert len(late) <= MAX_LATE_REQUESTS, (
                f"{len(late)} repeats after the bound"
            )
            assert set(run.crashing_statuses[-REFUSALS:]) == {FINAL_STATUS}
            served = run.sound_statuses.count(200)
            assert served >= MIN_SERVED * len(run.sound_statuses), (
                f"{served} of {len(run.sound_statuses)} sound requests served"
            )

    run_on_fleet(SIZE, steps)


# Guards against BUDGET: one request, repeated by its caller, crashed all
# servers of a plain service again and again.
def test_repeated_request_stops_crashing_servers_of_a_plain_service() -> None:
    check_budget(lambda fleet: make_traffic(fleet, "slip", None))


# The same if callers of many teams send it, with keys of their own.
def test_request_that_many_teams_repeat_stops_crashing_servers() -> None:
    check_budget(lambda fleet: make_team_traffic(fleet, "slip"))


# The same for model engines and a request without a prompt.
def test_repeated_request_without_a_prompt_stops_crashing_engines() -> None:
    check_budget(lambda fleet: make_traffic(fleet, "note", None))


# The same with a prompt whose parts but the last are those of sound requests.
def test_repeated_request_with_shared_parts_stops_crashing_engines() -> None:
    check_budget(lambda fleet: make_traffic(fleet, "note", SHARED_PARTS))


# Guards against BUDGET after restarts: which request crashed was forgotten.
def test_refused_request_outlives_all_gateways_and_workers() -> None:
    async def steps(fleet: SoakFleet) -> None:
        async with running_traffic(make_traffic(fleet, "slip", None)) as run:
            await run.wait_refused()
            run.is_crashing = False
            await anyio.sleep(CONTACT_S)
            before = len(run.crashes_at())
            for process in fleet.programs:
                process.kill()
            for process in fleet.programs:
                process.start()
            await run.wait_served()
            run.is_crashing = True
            run.crashing_statuses.clear()
            await run.wait_refused()
            assert len(run.crashes_at()) - before <= MAX_LATE_REQUESTS

    run_on_fleet(SIZE, steps)


# Guards against sound requests that are refused since they were at many
# upstreams of a rack that failed as a whole, and were repeated meanwhile.
def test_loss_of_all_upstreams_at_once_blames_no_repeated_request() -> None:
    async def steps(fleet: SoakFleet) -> None:
        traffic = Traffic(
            fleet,
            sound=lambda number: SampleRequest(
                ("/slip/poll", "/note/poll")[number % 2], is_repeated=True
            ),
            crashing=lambda number: SampleRequest(
                "/slip/poll", is_repeated=True
            ),
            crashing_interval_s=REQUEST_INTERVAL_S / 4,
        )
        async with running_traffic(traffic) as run:
            for _ in range(RACK_LOSSES):
                for server in fleet.servers:
                    server.kill()
                await run.wait_served()
                assert FINAL_STATUS not in run.crashing_statuses

    run_on_fleet(SIZE, steps)
