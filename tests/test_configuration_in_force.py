"""A configuration that the store acknowledged is in force at every gateway.

The store leaves calls of one gateway without a response, and serves the others.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from plumvane import clock
from plumvane.httppool import NETWORK_ERRORS, HttpPool
from soak.fleet import HOST, FleetSize, SoakFleet
from standins.launcher import Process
from tests.platform_fleets import run_on_fleet

SIZE = FleetSize(gateways=2, workers=2, engines=1, services=1)
# The platform's bound on the time from the acknowledgement of a configuration
# until it is in force, in seconds.
APPLY_S = 2.0
# Time for which the gateways run undisturbed before, in seconds; their watches
# wait then.
SETTLING_S = 2.0
PAUSE_S = 0.1
CALL_TIMEOUT_S = 3.0
# Requests on each route after the bound.
CALLS = 20
# Answers of a gateway with the configuration before the last.
OLD_ANSWERS = (("/added/0", 404), ("/removed/0", 200))

Disturb = Callable[[SoakFleet], Awaitable[None]]


async def call(gateway: Process, path: str, number: int) -> int:
    """Sends a request; returns its status, or 0 if there is no response."""
    pool = HttpPool()
    try:
        with anyio.fail_after(CALL_TIMEOUT_S):
            response = await pool.request(
                "POST",
                f"{gateway.url}{path}",
                headers=[
                    ("host", HOST),
                    ("x-request-id", f"{gateway.name}{path}{number}"),
                    ("content-length", "0"),
                ],
            )
    except (TimeoutError, *NETWORK_ERRORS):
        return 0
    finally:
        await pool.aclose()
    return response.status


async def wait_served(gateway: Process, path: str) -> None:
    while await call(gateway, path, 0) != 200:
        await anyio.sleep(PAUSE_S)


async def start_with_route(fleet: SoakFleet, name: str) -> None:
    """Waits until all gateways serve a route and have settled."""
    fleet.extra_routes.append(name)
    await fleet.write_configuration()
    for gateway in fleet.gateways:
        await wait_served(gateway, f"/{name}/0")
    await anyio.sleep(SETTLING_S)


def check_in_force(disturb: Disturb) -> None:
    """Checks a gateway that is disturbed while the configuration changes.

    From the bound on it does not refuse a route that was added, nor serve one
    that was removed.

    Args:
        disturb: Brings the disturbance about; it lasts to the end.
    """

    async def steps(fleet: SoakFleet) -> None:
        await start_with_route(fleet, "removed")
        await disturb(fleet)
        fleet.extra_routes[:] = ["added"]
        await fleet.write_configuration()
        written_at = clock.monotonic()
        await wait_served(fleet.gateways[1], "/added/0")
        await anyio.sleep(clock.remaining(written_at + APPLY_S))
        statuses = []
        for number in range(CALLS):
            for path in ("/added/0", "/removed/0"):
                status = await call(fleet.gateways[0], path, number)
                statuses.append((path, status))
            await anyio.sleep(PAUSE_S)
        old = [row for row in statuses if row in OLD_ANSWERS]
        assert not old, f"handled as an older version says: {old}"
        assert ("/added/0", 200) in statuses

    run_on_fleet(SIZE, steps)


# Guards against requests that a gateway handles by an old configuration: the
# response to its watch is not sent while the store does not answer it.
def test_configuration_is_in_force_while_the_store_is_silent() -> None:
    async def disturb(fleet: SoakFleet) -> None:
        fleet.set_faults("gateway-0-store", mode="freeze")

    check_in_force(disturb)


# The same if only the response to the watch is lost: new calls are answered.
def test_configuration_is_in_force_after_a_lost_response() -> None:
    async def disturb(fleet: SoakFleet) -> None:
        fleet.set_faults("gateway-0-store", mode="freeze", new_pass=True)

    check_in_force(disturb)


# Guards against requests that are run by a route that was removed, while no
# other request leads the gateway to read the configuration.
def test_removed_route_is_not_served_while_the_store_is_silent() -> None:
    async def steps(fleet: SoakFleet) -> None:
        await start_with_route(fleet, "removed")
        fleet.set_faults("gateway-0-store", mode="freeze")
        fleet.extra_routes.clear()
        await fleet.write_configuration()
        await anyio.sleep(APPLY_S)
        gateway = fleet.gateways[0]
        statuses = [
            await call(gateway, "/removed/0", number) for number in range(CALLS)
        ]
        assert 200 not in statuses, statuses

    run_on_fleet(SIZE, steps)
