"""Clients of a soak: they send requests and jobs and verify the responses."""

from __future__ import annotations

import dataclasses
import json
import math
import random
from collections.abc import Mapping

import anyio

from plumvane import clock
from plumvane.httppool import KEEPALIVE_SOCKET_OPTIONS, NETWORK_ERRORS, HttpPool
from plumvane.platform import names
from soak.fleet import CRASHING_PART, HOST, SoakFleet
from soak.jobs import SubmittedJob
from soak.streams import StreamReading
from soak.teams import KEYS_BY_TEAM, LIMITED_TEAM
from standins.launcher import Process
from standins.platform_server import CRASHING_SEGMENT
from standins.server_events import ServerEvent

__all__ = [
    "ConfigurationClient",
    "JobClient",
    "JobReader",
    "Observations",
    "RequestClient",
    "Schedule",
]

# Statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Statuses that no request of a soak may get.
DENIED_STATUSES = frozenset({400, 401, 403, 404})
REQUEST_TIMEOUT_S = 5.0
# Numbers of events of a stream.
STREAM_SIZES = (12, 12, 40, 80)
# Probability with which a client's connection breaks during a stream, and most
# attempts that then take it up.
BREAK_PROBABILITY = 0.2
MAX_RESUMPTIONS = 2
# Pauses between two requests of one client, in seconds.
PAUSES_S = (0.0, 0.02, 0.1, 0.3)
# Pauses between two reads of one reader of jobs, in seconds.
READ_PAUSES_S = (0.05, 0.2, 0.5)
# Number of the jobs accepted last that readers prefer, and the probability with
# which they read any job.
RECENT_JOBS = 6
OLD_JOB_PROBABILITY = 0.3
# Probability with which a client sends a request on which engines crash, while
# such requests are sent; and numbers of the parts that requests share.
CRASH_PROBABILITY = 0.1
SHARED_PARTS = (1, 5)
# Kind of the requests that crash servers by themselves, and come again.
CRASHING_REQUEST = "crashing"
# Route that the last configuration of a soak adds.
ADDED_ROUTE = "final"
# Time after the last fault in seconds from which the last configuration must be
# in force: that from which machines are in touch again, longer than the one in
# which a configuration takes effect. Rounds of requests that check it.
CONFIGURATION_IN_FORCE_S = 3.0
CONFIGURATION_ROUNDS = 10
OK = 200
NOT_FOUND = 404
# Status of requests that the fleet refuses for good.
REFUSED_STATUS = 400
# Probability with which a client goes to another gateway after a response.
SWITCH_PROBABILITY = 0.1


@dataclasses.dataclass
class Schedule:
    """When the clients stop, as monotonic times in seconds.

    Attributes:
        requests_until: No request is sent after it.
        jobs_until: No job is submitted after it.
        jobs_finished_by: All accepted jobs must have all their results.
    """

    requests_until: float = math.inf
    jobs_until: float = math.inf
    jobs_finished_by: float = math.inf


@dataclasses.dataclass
class Observations:
    """What all clients observed.

    Attributes:
        errors: Violated guarantees.
        kind_by_request: Path prefix of each request or item; for requests on
            which servers crash, `CRASHING_PART` or `CRASHING_REQUEST`.
        team_by_request: Team that sent each request or item.
        refused_ids: Requests whose final response reports no execution.
        cancelled_at_by_job: Unix time in seconds of the acknowledged
            cancellation of each cancelled job.
        item_ids_by_job: Items of each accepted job.
        accepted_jobs: Accepted jobs, the oldest first.
        outcomes: Unix time in seconds and whether the request was served, in
            order of completion.
        statuses: Number of responses by kind and status.
    """

    errors: list[str] = dataclasses.field(default_factory=list)
    kind_by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    team_by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    cancelled_at_by_job: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    item_ids_by_job: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    accepted_jobs: list[SubmittedJob] = dataclasses.field(default_factory=list)
    outcomes: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    statuses: dict[str, int] = dataclasses.field(default_factory=dict)

    def count_response(self, kind: str, status: int) -> None:
        """Counts a response; status 0 means that there was none."""
        key = f"{kind} {status}"
        self.statuses[key] = self.statuses.get(key, 0) + 1


class _Client:
    """Sends requests to gateways over pooled connections.

    It stays at one gateway, and uses its open connections there also while
    that gateway drains, until a request fails or it draws another one.
    """

    def __init__(
        self, fleet: SoakFleet, observations: Observations, rng: random.Random
    ) -> None:
        """Creates the client."""
        self.fleet = fleet
        self.observations = observations
        self.rng = rng
        self.pool = HttpPool(socket_options=KEEPALIVE_SOCKET_OPTIONS)
        self.gateway = rng.choice(fleet.gateways)
        self.team = rng.choice(sorted(KEYS_BY_TEAM))

    def new_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def leave_gateway(self) -> None:
        """Draws another gateway for the next request."""
        others = [g for g in self.fleet.gateways if g is not self.gateway]
        if others:
            self.gateway = self.rng.choice(others)

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        gateway: Process | None = None,
        team: str = "",
    ) -> tuple[int, bytes]:
        """Sends a request of the client's team, or of another one.

        Returns:
            The status, 0 for no response, and the body.
        """
        if gateway is None and self.rng.random() < SWITCH_PROBABILITY:
            self.leave_gateway()
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S + 1.5):
                response = await self.pool.request(
                    method,
                    f"{(gateway or self.gateway).url}{target}",
                    headers=self.all_headers(
                        request_id, body, headers or {}, team
                    ),
                    content=body,
                )
        except (TimeoutError, *NETWORK_ERRORS):
            self.leave_gateway()
            return 0, b""
        return response.status, response.content

    def all_headers(
        self,
        request_id: str,
        body: bytes,
        headers: Mapping[str, str],
        team: str = "",
    ) -> list[tuple[str, str]]:
        """Returns the headers of a request of the client's team or another."""
        return [
            ("host", HOST),
            (names.REQUEST_ID_HEADER.decode(), request_id),
            ("content-length", str(len(body))),
            (names.KEY_HEADER.decode(), KEYS_BY_TEAM[team or self.team]),
            *headers.items(),
        ]


class RequestClient(_Client):
    """Sends requests of random kinds, one at a time."""

    async def run(self, schedule: Schedule) -> None:
        """Sends requests as long as the schedule says."""
        while clock.remaining(schedule.requests_until) > 0:
            if (
                self.fleet.sends_crashing_part
                and self.rng.random() < CRASH_PROBABILITY
            ):
                await self._send_crashing_part()
                continue
            routes = sorted(self.fleet.crashing_routes)
            if routes and self.rng.random() < CRASH_PROBABILITY:
                await self._repeat_crashing_request(self.rng.choice(routes))
                continue
            kind = self.rng.choice(("note", "quote", "slip", "pay"))
            if kind in ("note", "quote"):
                is_served = await self._read_stream(kind)
            else:
                is_served = await self._call(kind)
            # A team beyond its quota is refused, also by a sound fleet.
            if self.team != LIMITED_TEAM:
                self.observations.outcomes.append((clock.wall(), is_served))
            await anyio.sleep(self.rng.choice(PAUSES_S))

    def _new_request(self, kind: str) -> str:
        request_id = self.new_id()
        self.observations.kind_by_request[request_id] = kind
        self.observations.team_by_request[request_id] = self.team
        return request_id

    def _record(self, kind: str, request_id: str, status: int) -> None:
        self.observations.count_response(kind, status)
        if status in NOT_EXECUTED_STATUSES:
            self.observations.refused_ids.add(request_id)
        elif status in DENIED_STATUSES:
            self._add_error(kind, request_id, f"got status {status}")

    def _add_error(self, kind: str, request_id: str, error: str) -> None:
        self.observations.errors.append(f"{kind} {request_id}: {error}")

    async def _send_crashing_part(self) -> None:
        """Sends a request on which engines crash; its outcome is not missed."""
        request_id = self._new_request(CRASHING_PART)
        headers = {
            names.TOKEN_USAGE_HEADER: "100,120",
            **self._prompt(CRASHING_PART),
        }
        await self._send_crashing(
            CRASHING_PART, request_id, f"/note/{request_id}", headers
        )

    async def _repeat_crashing_request(self, route: str) -> None:
        """Sends the request of a route that crashes servers by itself."""
        request_id = self._new_request(CRASHING_REQUEST)
        headers = {}
        if route == "note":
            headers = {names.TOKEN_USAGE_HEADER: "100,120", **self._prompt()}
        path = f"/{route}{CRASHING_SEGMENT}again"
        await self._send_crashing(CRASHING_REQUEST, request_id, path, headers)

    async def _send_crashing(
        self, kind: str, request_id: str, path: str, headers: dict[str, str]
    ) -> None:
        headers = {**_deadline(), **headers}
        status, _ = await self.send("POST", path, request_id, b"x", headers)
        if status == REFUSED_STATUS:
            self.observations.count_response(kind, status)
        else:
            self._record(kind, request_id, status)

    def _prompt(self, *parts: str) -> dict[str, str]:
        """Returns the header of a prompt that shares its first parts."""
        shared = [
            f"part{number}-{self.rng.randrange(count)}"
            for number, count in enumerate(SHARED_PARTS)
        ]
        ids = [*shared, *parts, self.new_id()]
        prompt = ",".join(f"{part_id}:50" for part_id in ids)
        return {names.PROMPT_HEADER.decode(): prompt}

    async def _call(self, kind: str) -> bool:
        request_id = self._new_request(kind)
        status, body = await self.send(
            "POST", f"/{kind}/{request_id}", request_id, b"x", _deadline()
        )
        self._record(kind, request_id, status)
        if status != 200:
            return False
        try:
            event = ServerEvent.decode(body.decode())
        except ValueError:
            event = None
        if event is None or (event.request_id, event.number) != (request_id, 0):
            self._add_error(kind, request_id, f"MIXED: got body {body[:200]!r}")
        return True

    async def _read_stream(self, kind: str) -> bool:
        """Reads a stream; returns whether it was complete in the end.

        A resumable stream that breaks is taken up once or twice at another
        gateway.
        """
        stream = StreamReading(self.rng.choice(STREAM_SIZES))
        request_id = self._new_request(kind)
        path = f"/{kind}/{request_id}"
        if kind == "quote":
            await self._read_attempt(stream, kind, path, request_id)
            return stream.is_complete
        is_broken_off = self.rng.random() < BREAK_PROBABILITY
        break_at = self.rng.randrange(stream.total) if is_broken_off else None
        await self._read_attempt(stream, kind, path, request_id, break_at)
        for _ in range(self.rng.randint(1, MAX_RESUMPTIONS)):
            if not stream.events or stream.is_complete:
                break
            self.leave_gateway()
            await self._read_attempt(
                stream, kind, path, self._new_request(kind)
            )
        return stream.is_complete

    async def _read_attempt(
        self,
        stream: StreamReading,
        kind: str,
        path: str,
        request_id: str,
        break_at: int | None = None,
    ) -> None:
        """Reads a stream until it is complete or broken.

        Args:
            stream: The stream, with the events that earlier attempts read.
            kind: Kind of the request.
            path: Path of the request.
            request_id: Identifier of this attempt.
            break_at: Number of events after which the client's connection
                breaks, or None.
        """
        headers = {
            **_deadline(),
            names.TOKEN_USAGE_HEADER: f"100,{stream.total * 10}",
            **self._prompt(),
        }
        if stream.events:
            last_event_id = str(len(stream.events))
            headers[names.LAST_EVENT_HEADER.decode()] = last_event_id
            headers[names.RESUMES_HEADER.decode()] = stream.first_request_id
        stream.start(request_id)
        status = 0
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S + 1.5):
                async with self.pool.stream(
                    "POST",
                    f"{self.gateway.url}{path}",
                    headers=self.all_headers(request_id, b"x", headers),
                    content=b"x",
                ) as response:
                    status = response.status
                    is_broken = False
                    async for part in response.aiter_stream():
                        if status == 200:
                            stream.feed(part)
                        if break_at is not None:
                            is_broken = len(stream.events) > break_at
                        if is_broken:
                            break
            if status == 200 and not is_broken:
                stream.finish()
        except (TimeoutError, *NETWORK_ERRORS):
            self.leave_gateway()
        self._record(kind, request_id, status)
        if stream.error:
            self._add_error(kind, request_id, stream.error)


def _deadline() -> dict[str, str]:
    milliseconds = str(int(REQUEST_TIMEOUT_S * 1000))
    return {names.DEADLINE_HEADER.decode(): milliseconds}


class ConfigurationClient(_Client):
    """Checks that all gateways go by a configuration of after the faults.

    Responses to watches that were lost in a fault stay lost.
    """

    async def run(self) -> None:
        """Adds a route and removes one, and sends requests on both."""
        routes = self.fleet.extra_routes
        removed = routes.pop(0) if routes else None
        routes.append(ADDED_ROUTE)
        await self.fleet.write_configuration()
        await anyio.sleep(CONFIGURATION_IN_FORCE_S)
        for _ in range(CONFIGURATION_ROUNDS):
            for gateway in self.fleet.gateways:
                if await self._status(gateway, ADDED_ROUTE) == NOT_FOUND:
                    self._add_error(gateway, ADDED_ROUTE, "is refused")
                if removed and await self._status(gateway, removed) == OK:
                    self._add_error(gateway, removed, "is still served")
            await anyio.sleep(max(PAUSES_S))

    async def _status(self, gateway: Process, route: str) -> int:
        request_id = self.new_id()
        self.observations.kind_by_request[request_id] = route
        self.observations.team_by_request[request_id] = self.team
        status, _ = await self.send(
            "POST", f"/{route}/x", request_id, b"x", _deadline(), gateway
        )
        return status

    def _add_error(self, gateway: Process, route: str, what: str) -> None:
        self.observations.errors.append(
            f"CONFIG: route {route} {what} at {gateway.name}, version "
            f"{self.fleet.version}"
        )


class _JobCaller(_Client):
    """Reads the results of jobs."""

    async def read(
        self,
        job: SubmittedJob,
        position: int,
        wait_s: float = 0.0,
        gateway: Process | None = None,
    ) -> int:
        """Reads a page of results; returns the status, 0 for no response."""
        sent_at = clock.monotonic()
        status, body = await self.send(
            "GET",
            f"{names.JOB_PATH_PREFIX}{job.job_id}"
            f"?{names.POSITION_PARAMETER}={position}",
            self.new_id(),
            headers={names.WAIT_HEADER.decode(): str(int(wait_s * 1000))},
            gateway=gateway,
            team=job.team,
        )
        self.observations.count_response("read", status)
        error = job.check_read_status(status)
        if status == 200:
            error = job.add_page(position, json.loads(body), sent_at)
        if error:
            where = (gateway or self.gateway).name
            self.observations.errors.append(
                f"job {job.job_id}: {error} (read at {where} at "
                f"{clock.wall():.3f})"
            )
        return status


class JobClient(_JobCaller):
    """Submits batch jobs, polls their results and cancels some of them."""

    async def run(self, schedule: Schedule) -> None:
        """Submits jobs and polls each until it finishes."""
        while clock.remaining(schedule.jobs_until) > 0:
            job = SubmittedJob(self.new_id(), self.new_id, self.rng, self.team)
            if await self._submit(job, schedule):
                await self._poll_until_done(job, schedule)

    async def _submit(self, job: SubmittedJob, schedule: Schedule) -> bool:
        for item_id in job.paths_by_item:
            self.observations.kind_by_request[item_id] = "plan"
            self.observations.team_by_request[item_id] = self.team
        all_refused = True
        path = f"/plan/{job.job_id}"
        while clock.remaining(schedule.jobs_until) > 0:
            status, _ = await self.send("POST", path, job.job_id, job.body())
            self.observations.count_response("submit", status)
            if status == 202:
                self.observations.item_ids_by_job[job.job_id] = list(
                    job.paths_by_item
                )
                self.observations.accepted_jobs.append(job)
                return True
            all_refused = all_refused and status in NOT_EXECUTED_STATUSES
            self.leave_gateway()
            await anyio.sleep(0.3)
        if all_refused:
            self.observations.refused_ids.update(job.paths_by_item)
        return False

    async def _poll_until_done(
        self, job: SubmittedJob, schedule: Schedule
    ) -> None:
        """Polls a job until it has all results or was cancelled."""
        accepted_at = clock.monotonic()
        cancel_after_s = self.rng.choice((0.0, 0.3, 2.0, None, None, None))
        while not job.has_all_results():
            if clock.remaining(schedule.jobs_finished_by) <= 0:
                missing = len(job.paths_by_item) - len(job.results)
                self.observations.errors.append(
                    f"job {job.job_id} is missing {missing} results"
                )
                return
            age_s = clock.monotonic() - accepted_at
            if cancel_after_s is not None and age_s >= cancel_after_s:
                await self._cancel(job, schedule)
                return
            position = len(job.results)
            if self.rng.random() < 0.2:
                position = 0
            await self.read(job, position, wait_s=0.5)
            await anyio.sleep(0.2)

    async def _cancel(self, job: SubmittedJob, schedule: Schedule) -> None:
        path = f"{names.JOB_PATH_PREFIX}{job.job_id}"
        job.may_have_ended = True
        while clock.remaining(schedule.jobs_finished_by) > 0:
            status, _ = await self.send("DELETE", path, self.new_id())
            self.observations.count_response("end", status)
            if status == 200:
                self.observations.cancelled_at_by_job[job.job_id] = clock.wall()
                return
            error = job.check_status(status)
            if error:
                self.observations.errors.append(
                    f"cancellation of job {job.job_id}: {error}"
                )
                return
            await anyio.sleep(0.3)


class JobReader(_JobCaller):
    """Reads accepted jobs of all clients from any position at any gateway."""

    async def run(self, schedule: Schedule) -> None:
        """Reads jobs as long as the schedule says."""
        while clock.remaining(schedule.requests_until) > 0:
            jobs = self.observations.accepted_jobs
            if jobs:
                # Recent jobs are open, or have just changed their owner.
                job = self.rng.choice(jobs[-RECENT_JOBS:])
                if self.rng.random() < OLD_JOB_PROBABILITY:
                    job = self.rng.choice(jobs)
                position = self.rng.randint(0, len(job.results))
                gateway = self.rng.choice(self.fleet.gateways)
                wait_s = self.rng.choice((0.0, 0.5))
                await self.read(job, position, wait_s, gateway)
            await anyio.sleep(self.rng.choice(READ_PAUSES_S))

    async def read_all_again(self, deadline: float) -> None:
        """Reads all results of all jobs that were read, at every gateway.

        Args:
            deadline: Monotonic time in seconds by which each read must work.
        """
        reads = [
            (job, gateway, position)
            for job in self.observations.accepted_jobs
            for gateway in self.fleet.gateways
            # A page need not contain all results.
            for position in sorted({0, max(0, len(job.results) - 1)})
        ]
        for job, gateway, position in reads:
            while await self.read(job, position, gateway=gateway) != 200:
                if clock.remaining(deadline) <= 0:
                    self.observations.errors.append(
                        f"job {job.job_id}: LOST: cannot be read at "
                        f"{gateway.name} in the end"
                    )
                    return
                await anyio.sleep(0.3)
