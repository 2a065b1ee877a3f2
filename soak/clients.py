"""Callers of a soak: what they send, and whether what they get is right."""

from __future__ import annotations

import base64
import dataclasses
import json
import random
from typing import Any

import anyio

from plumvane import clock
from plumvane.httppool import NETWORK_ERRORS, PROBED_SOCKET_OPTIONS, HttpPool
from plumvane.platform import names
from soak.fleet import HOST, SoakFleet
from standins.platform_server import event_data

__all__ = ["Observations", "RequestClient", "JobClient"]

# Statuses that promise that the request has not run.
NOT_RUN = frozenset({408, 421, 429, 503})
PATIENCE_S = 5.0
EVENTS = 12
ITEMS = 6
ITEM_EVENTS = 20
# Pauses between two requests of one caller, in seconds.
PAUSES_S = (0.0, 0.02, 0.1, 0.3)


@dataclasses.dataclass
class Observations:
    """What all callers saw.

    Attributes:
        errors: Broken promises.
        kind_by_request: Path prefix of each request or item.
        refused_ids: Requests whose last word was that they have not run.
        cancelled_at_by_job: Unix time of the acknowledged end of each job.
        item_ids_by_job: Items of each accepted job.
        outcomes: Unix time and whether the request was served, in order.
        statuses: Counts by kind and status.
    """

    errors: list[str] = dataclasses.field(default_factory=list)
    kind_by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    cancelled_at_by_job: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    item_ids_by_job: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    outcomes: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    statuses: dict[str, int] = dataclasses.field(default_factory=dict)

    def note(self, kind: str, status: int) -> None:
        """Counts an answer; status 0 stands for none."""
        key = f"{kind} {status}"
        self.statuses[key] = self.statuses.get(key, 0) + 1


class _Caller:
    """Sends requests to a gateway over kept connections."""

    def __init__(
        self, fleet: SoakFleet, observed: Observations, rng: random.Random
    ) -> None:
        """Creates the caller."""
        self.fleet = fleet
        self.observed = observed
        self.rng = rng
        self.pool = HttpPool(socket_options=PROBED_SOCKET_OPTIONS)

    def new_id(self) -> str:
        """Returns a new identifier."""
        return f"{self.rng.getrandbits(64):016x}"

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        **more: str,
    ) -> tuple[int, bytes]:
        """Sends a request to any gateway; status 0 if there is no answer."""
        gateway = self.rng.choice(self.fleet.gateways)
        headers = {
            "host": HOST,
            "x-request-id": request_id,
            "content-length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        try:
            with anyio.fail_after(PATIENCE_S + 1.5):
                response = await self.pool.request(
                    method,
                    f"{gateway.url}{target}",
                    headers=list(headers.items()),
                    content=body,
                )
        except (TimeoutError, *NETWORK_ERRORS):
            return 0, b""
        return response.status, response.content


class RequestClient(_Caller):
    """Sends requests of all kinds, one after the other."""

    async def run(self, deadline: float) -> None:
        """Sends requests until a deadline."""
        while clock.remaining(deadline) > 0:
            kind = self.rng.choice(("note", "quote", "slip", "pay"))
            await self._one(kind)
            await anyio.sleep(self.rng.choice(PAUSES_S))

    async def _one(self, kind: str) -> None:
        request_id = self.new_id()
        self.observed.kind_by_request[request_id] = kind
        more = {"x_deadline_ms": str(int(PATIENCE_S * 1000))}
        if kind in ("note", "quote"):
            more[names.TOKEN_USAGE_HEADER] = f"100,{EVENTS * 10}"
        path = f"/{kind}/{request_id}"
        status, body = await self.send("POST", path, request_id, b"x", **more)
        self.observed.note(kind, status)
        self.observed.outcomes.append((clock.wall(), status == 200))
        if status in NOT_RUN:
            self.observed.refused_ids.add(request_id)
        elif status == 200 and body.decode() != _expected(kind, request_id):
            self.observed.errors.append(
                f"{kind} {request_id} got the body {body[:200]!r}"
            )
        elif status in (400, 401, 403, 404):
            self.observed.errors.append(f"{kind} {request_id} got {status}")


def _expected(kind: str, request_id: str) -> str:
    if kind in ("slip", "pay"):
        return event_data(request_id, 0)
    return "".join(
        f"id: {number}\ndata: {event_data(request_id, number)}\n\n"
        for number in range(1, EVENTS + 1)
    )


class JobClient(_Caller):
    """Hands batch jobs in, reads them, and ends some."""

    async def run(self, deadline: float, final_deadline: float) -> None:
        """Hands jobs in until a deadline, each read to its end.

        Args:
            deadline: Monotonic time in seconds of the last job.
            final_deadline: Monotonic time in seconds at which all that is
                open must be listed.
        """
        while clock.remaining(deadline) > 0:
            job = _SentJob(self.new_id(), self.new_id)
            if await self._submit(job, deadline):
                await self._follow(job, final_deadline)

    async def _submit(self, job: _SentJob, deadline: float) -> bool:
        for item_id in job.paths_by_item:
            self.observed.kind_by_request[item_id] = "plan"
        was_refused_only = True
        path = f"/plan/{job.job_id}"
        while clock.remaining(deadline) > 0:
            status, _ = await self.send("POST", path, job.job_id, job.body())
            self.observed.note("submit", status)
            if status == 202:
                self.observed.item_ids_by_job[job.job_id] = list(
                    job.paths_by_item
                )
                return True
            was_refused_only = was_refused_only and status in NOT_RUN
            await anyio.sleep(0.3)
        if was_refused_only:
            self.observed.refused_ids.update(job.paths_by_item)
        return False

    async def _follow(self, job: _SentJob, final_deadline: float) -> None:
        """Reads a job until it is complete or was ended."""
        accepted = clock.monotonic()
        ends_after_s = self.rng.choice((0.0, 0.3, 2.0, None, None, None))
        while len(job.results) < len(job.paths_by_item):
            if clock.remaining(final_deadline) <= 0:
                missing = len(job.paths_by_item) - len(job.results)
                self.observed.errors.append(
                    f"job {job.job_id} lacks {missing} results"
                )
                return
            age_s = clock.monotonic() - accepted
            if ends_after_s is not None and age_s >= ends_after_s:
                await self._end(job, final_deadline)
                return
            await self._read(job)
            await anyio.sleep(0.2)
        for _ in range(2):
            await self._read(job, from_start=True)

    async def _end(self, job: _SentJob, final_deadline: float) -> None:
        path = f"/v1/lots/{job.job_id}"
        while clock.remaining(final_deadline) > 0:
            status, _ = await self.send("DELETE", path, self.new_id())
            self.observed.note("end", status)
            if status == 200:
                self.observed.cancelled_at_by_job[job.job_id] = clock.wall()
                return
            if status in (404, 410):
                self.observed.errors.append(f"end of {job.job_id}: {status}")
                return
            await anyio.sleep(0.3)

    async def _read(self, job: _SentJob, *, from_start: bool = False) -> None:
        position = len(job.results)
        if from_start or self.rng.random() < 0.2:
            position = 0
        status, body = await self.send(
            "GET",
            f"/v1/lots/{job.job_id}?after={position}",
            self.new_id(),
            x_wait_ms="500",
        )
        self.observed.note("read", status)
        if status == 200:
            fault = job.take(position, json.loads(body))
            if fault:
                self.observed.errors.append(f"job {job.job_id}: {fault}")
        elif status in (404, 410):
            self.observed.errors.append(f"read of {job.job_id}: {status}")


class _SentJob:
    """A job as its caller knows it, and the results that were read."""

    def __init__(self, job_id: str, new_id: Any) -> None:
        self.job_id = job_id
        names = ["ok"] * (ITEMS - 2) + ["failing", "impossible"]
        self.paths_by_item = {
            new_id(): f"/plan/{name}/{job_id}" for name in names
        }
        self.results: list[dict[str, Any]] = []

    def body(self) -> bytes:
        """Returns the body that hands it in."""
        rows = [
            {
                "id": item_id,
                "path": path,
                "headers": {
                    names.TOKEN_USAGE_HEADER: f"100,{ITEM_EVENTS * 10}"
                },
                "body": base64.b64encode(item_id.encode()).decode(),
                "tokens": 300,
            }
            for item_id, path in self.paths_by_item.items()
        ]
        return json.dumps({"items": rows}).encode()

    def take(self, position: int, answer: dict[str, Any]) -> str:
        """Takes an answer in; returns what is wrong with it, or nothing."""
        if answer["total"] != len(self.paths_by_item):
            return f"the total is {answer['total']}"
        for offset, result in enumerate(answer["results"]):
            place = position + offset
            if place < len(self.results):
                if self.results[place] != result:
                    return f"position {place} has changed"
                continue
            if place > len(self.results):
                return f"position {len(self.results)} was left out"
            fault = self._fault(result)
            if fault:
                return f"position {place}: {fault}"
            self.results.append(result)
        return ""

    def _fault(self, result: dict[str, Any]) -> str:
        item_id = result["id"]
        if item_id not in self.paths_by_item:
            return f"item {item_id} is of another job"
        if any(known["id"] == item_id for known in self.results):
            return f"item {item_id} stands twice"
        can_complete = "/ok/" in self.paths_by_item[item_id]
        if (result["state"] == "completed") != can_complete:
            return f"item {item_id} is {result['state']}"
        expected = "\n".join(
            event_data(item_id, n) for n in range(1, ITEM_EVENTS + 1)
        )
        if can_complete and result["text"] != expected:
            return f"item {item_id} has the text {result['text'][:100]!r}"
        return ""
