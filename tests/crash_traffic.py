"""Shared fixture: sound requests beside such as crash upstreams, on a fleet."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc

from plumvane import clock
from plumvane.httppool import NETWORK_ERRORS, HttpPool
from plumvane.platform import names
from soak.fleet import HOST, SoakFleet
from standins.launcher import Process

__all__ = [
    "CONTACT_S",
    "FINAL_STATUS",
    "MAX_LATE_REQUESTS",
    "REFUSALS",
    "REQUEST_INTERVAL_S",
    "SampleRequest",
    "Traffic",
    "running_traffic",
]

# Time after the crashes that suffice for a verdict from which the bound holds,
# and the bound, as the platform states them: seconds, and requests.
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
# Interval between two sound requests, and delay before a crashed upstream
# starts again, in seconds.
REQUEST_INTERVAL_S = 0.1
RESTART_DELAY_S = 0.5
# Number of refused requests after which a request counts as refused everywhere.
REFUSALS = 20
REQUEST_TIMEOUT_S = 5.0
FINAL_STATUS = 400


@dataclasses.dataclass(frozen=True)
class SampleRequest:
    """One request of a test.

    Attributes:
        path: Path without its last segment, unless `is_repeated`.
        parts: Parts of its prompt but the last one; None for no prompt.
        is_repeated: Whether all requests have the same path.
        key: Key of its caller; empty if callers need none.
    """

    path: str
    parts: tuple[str, ...] | None = None
    is_repeated: bool = False
    key: str = ""


@dataclasses.dataclass
class Traffic:
    """Sound requests and requests that crash upstreams, at all gateways.

    Attributes:
        fleet: The processes.
        sound: Returns the sound request with a number.
        crashing: Returns the crashing request with a number.
        crashing_interval_s: Interval between two crashing requests, in seconds.
        crashing_statuses: Statuses of the requests that crash upstreams.
        sound_statuses: Statuses of the sound requests; 0 for no response.
        is_crashing: Whether requests that crash upstreams are sent.
    """

    fleet: SoakFleet
    sound: Callable[[int], SampleRequest]
    crashing: Callable[[int], SampleRequest]
    crashing_interval_s: float = REQUEST_INTERVAL_S
    crashing_statuses: list[int] = dataclasses.field(default_factory=list)
    sound_statuses: list[int] = dataclasses.field(default_factory=list)
    is_crashing: bool = False

    async def run(self) -> None:
        """Sends requests and restarts crashed upstreams until cancelled."""
        pool = HttpPool()
        async with anyio.create_task_group() as group:
            for server in self.fleet.servers:
                group.start_soon(_restart_crashed, server)
            group.start_soon(self._send_crashing, pool, group)
            for number in itertools.count():
                group.start_soon(
                    self._send, pool, number, self.sound(number), "sound"
                )
                await anyio.sleep(REQUEST_INTERVAL_S)

    async def _send_crashing(
        self, pool: HttpPool, group: anyio.abc.TaskGroup
    ) -> None:
        for number in itertools.count():
            if self.is_crashing:
                request = self.crashing(number)
                group.start_soon(self._send, pool, number, request, "crashing")
            await anyio.sleep(self.crashing_interval_s)

    async def _send(
        self, pool: HttpPool, number: int, request: SampleRequest, kind: str
    ) -> None:
        request_id = f"{kind}{number}"
        gateways = self.fleet.gateways
        headers = [
            ("host", HOST),
            (names.REQUEST_ID_HEADER.decode(), request_id),
            (names.TOKEN_USAGE_HEADER, "100,200"),
            ("content-length", "0"),
        ]
        if request.parts is not None:
            parts = [*request.parts, f"own-{kind}-{number}"]
            prompt = ",".join(f"{part}:9" for part in parts)
            headers.append((names.PROMPT_HEADER.decode(), prompt))
        if request.key:
            headers.append((names.KEY_HEADER.decode(), request.key))
        path = request.path
        if not request.is_repeated:
            path = f"{path}/{request_id}"
        url = f"{gateways[number % len(gateways)].url}{path}"
        status = 0
        with anyio.move_on_after(REQUEST_TIMEOUT_S):
            # A response that breaks off is none.
            with contextlib.suppress(*NETWORK_ERRORS):
                response = await pool.request("POST", url, headers=headers)
                status = response.status
        statuses = (
            self.crashing_statuses
            if kind == "crashing"
            else self.sound_statuses
        )
        statuses.append(status)

    def crashes_at(self) -> list[float]:
        """Returns the Unix times of the starts of runs that crash."""
        rows = self.fleet.executions()
        return [row["at"] for row in rows if row["crashes"]]

    async def wait_crashes(self, count: int) -> float:
        """Waits for crashes, or until a crashing request is refused for good.

        Returns:
            Unix time of the last of them, or of the refusal.
        """
        while FINAL_STATUS not in self.crashing_statuses:
            crashes = self.crashes_at()
            if len(crashes) >= count:
                return crashes[count - 1]
            await anyio.sleep(REQUEST_INTERVAL_S)
        crashes = self.crashes_at()
        return crashes[count - 1] if len(crashes) >= count else clock.wall()

    async def wait_refused(self) -> None:
        """Waits until all new crashing requests are refused."""
        while self.crashing_statuses[-REFUSALS:].count(FINAL_STATUS) < REFUSALS:
            await anyio.sleep(REQUEST_INTERVAL_S)

    async def wait_served(self) -> None:
        """Waits until all new sound requests are served."""
        self.sound_statuses.clear()
        while self.sound_statuses[-REFUSALS:].count(200) < REFUSALS:
            await anyio.sleep(REQUEST_INTERVAL_S)


async def _restart_crashed(server: Process) -> None:
    while True:
        await anyio.sleep(REQUEST_INTERVAL_S)
        if server.has_exited():
            await anyio.sleep(RESTART_DELAY_S)
            server.start()


@contextlib.asynccontextmanager
async def running_traffic(traffic: Traffic) -> AsyncIterator[Traffic]:
    """Runs traffic on a fleet; yields once it serves, with crashes from then.

    Args:
        traffic: The traffic.
    """
    await traffic.fleet.write_configuration()
    async with anyio.create_task_group() as group:
        group.start_soon(traffic.run)
        await traffic.wait_served()
        traffic.is_crashing = True
        yield traffic
        group.cancel_scope.cancel()
