"""Streams that are taken up after all gateways were killed at once.

Two software versions are in service, or the upstreams of one have just left. A
stream goes on at the version that began it, or is refused.
"""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Awaitable, Callable

import anyio

from plumvane import clock
from plumvane.httppool import NETWORK_ERRORS, HttpPool
from plumvane.platform import names
from soak.fleet import FIRST_VERSIONS, HOST, FleetSize, SoakFleet
from soak.streams import StreamReading
from tests.platform_fleets import run_on_fleet

SIZE = FleetSize(gateways=3, workers=2, engines=4, services=1)
OLD_VERSION, NEW_VERSION = FIRST_VERSIONS
STREAMS = 12
EVENTS = 80
# Events that each stream has when the gateways are killed.
FIRST_EVENTS = 5
# Time for which a caller tries to take its stream up, and pause between two
# attempts, in seconds.
TAKE_UP_S = 8.0
PAUSE_S = 0.1
ATTEMPT_TIMEOUT_S = 5.0
# Statuses of a stream that cannot go on now: refused, or gone.
REFUSED_STATUSES = frozenset({429, 502, 503})

Change = Callable[[SoakFleet], Awaitable[None]]


class Caller:
    """Reads one stream in as many attempts as it takes."""

    def __init__(self, fleet: SoakFleet, number: int) -> None:
        self.stream = StreamReading(EVENTS)
        self.statuses: list[int] = []
        self._fleet = fleet
        self._number = number
        self._pool = HttpPool()

    async def read(self) -> None:
        """Reads until the stream is complete or the time is up."""
        deadline = clock.monotonic() + TAKE_UP_S
        while not self.stream.is_complete and clock.remaining(deadline) > 0:
            with contextlib.suppress(TimeoutError, *NETWORK_ERRORS):
                with anyio.fail_after(ATTEMPT_TIMEOUT_S):
                    await self._attempt()
            await anyio.sleep(PAUSE_S)

    async def _attempt(self) -> None:
        request_id = f"s{self._number}a{len(self.statuses)}"
        gateways = self._fleet.gateways
        gateway = gateways[(self._number + len(self.statuses)) % len(gateways)]
        headers = [
            ("host", HOST),
            (names.REQUEST_ID_HEADER.decode(), request_id),
            (names.TOKEN_USAGE_HEADER, f"100,{EVENTS * 10}"),
            ("content-length", "0"),
        ]
        if self.stream.events:
            last = str(len(self.stream.events))
            headers += [
                (names.LAST_EVENT_HEADER.decode(), last),
                (names.RESUMES_HEADER.decode(), self.stream.first_request_id),
            ]
        self.stream.start(request_id)
        self.statuses.append(0)
        async with self._pool.stream(
            "POST", f"{gateway.url}/note/{self._number}", headers=headers
        ) as response:
            self.statuses[-1] = response.status
            async for part in response.aiter_stream():
                if response.status == 200:
                    self.stream.feed(part)
        if response.status == 200:
            self.stream.finish()


async def kill_gateways(fleet: SoakFleet) -> None:
    """Kills all gateways at once and starts them again."""
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start()


def check_streams(change: Change, rounds: int = 1) -> None:
    """Checks that no stream joins two versions.

    Args:
        change: What happens to the upstreams and gateways while streams run.
        rounds: Number of times that it happens.
    """

    async def steps(fleet: SoakFleet) -> None:
        await fleet.write_configuration()
        await wait_ready(fleet)
        callers = [Caller(fleet, number) for number in range(STREAMS)]
        async with anyio.create_task_group() as group:
            for caller in callers:
                group.start_soon(caller.read)
            while any(
                len(caller.stream.events) < FIRST_EVENTS for caller in callers
            ):
                await anyio.sleep(0.02)
            for _ in range(rounds):
                await change(fleet)
                await anyio.sleep(1.5)
        errors = [c.stream.error for c in callers if c.stream.error]
        assert not errors, errors
        began = collections.Counter(c.stream.events[0].version for c in callers)
        assert began.keys() == {OLD_VERSION, NEW_VERSION}, began
        statuses = {s for caller in callers for s in caller.statuses}
        assert statuses <= {0, 200} | REFUSED_STATUSES, statuses
        # Each stream was broken off, so that all of it was taken up or refused.
        assert all(len(caller.statuses) > 1 for caller in callers)

    run_on_fleet(SIZE, steps)


async def wait_ready(fleet: SoakFleet) -> None:
    """Waits until both versions serve streams through each gateway."""
    pool = HttpPool()
    for gateway in fleet.gateways:
        served = 0
        while served < 2 * SIZE.engines:
            headers = [
                ("host", HOST),
                (names.REQUEST_ID_HEADER.decode(), f"first{served}"),
                (names.TOKEN_USAGE_HEADER, "100,20"),
                ("content-length", "0"),
            ]
            url = f"{gateway.url}/note/first"
            with contextlib.suppress(*NETWORK_ERRORS):
                response = await pool.request("POST", url, headers=headers)
                served += response.status == 200
            await anyio.sleep(0.02)


# Guards against ORDER: gateways that know nothing of a stream took it up at
# another version.
def test_streams_of_two_versions_are_not_joined_after_a_kill() -> None:
    check_streams(kill_gateways, rounds=2)


# The same where the upstreams of the old version leave just before.
def test_streams_are_not_joined_if_the_old_version_has_just_left() -> None:
    async def change(fleet: SoakFleet) -> None:
        for engine in fleet.servers[: SIZE.engines : len(FIRST_VERSIONS)]:
            engine.kill()
        await kill_gateways(fleet)

    check_streams(change)


# The same where the new version replaces them, and workers are killed too.
def test_streams_are_not_joined_if_the_old_version_is_replaced() -> None:
    async def change(fleet: SoakFleet) -> None:
        for engine in fleet.servers[: SIZE.engines : len(FIRST_VERSIONS)]:
            fleet.set_version(engine, NEW_VERSION)
            engine.kill()
            engine.start()
        for worker in fleet.workers:
            worker.kill()
            worker.start()
        await kill_gateways(fleet)

    check_streams(change, rounds=2)
