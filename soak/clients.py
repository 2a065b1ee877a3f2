"""Clients of a soak: they send requests and jobs and verify the responses."""

from __future__ import annotations

import base64
import dataclasses
import json
import random
from typing import Any

import anyio

from plumvane import clock
from plumvane.httppool import KEEPALIVE_SOCKET_OPTIONS, NETWORK_ERRORS, HttpPool
from plumvane.platform import names
from soak.fleet import HOST, SoakFleet
from standins.platform_server import event_data

__all__ = ["Observations", "RequestClient", "JobClient"]

# Statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
REQUEST_TIMEOUT_S = 5.0
EVENTS_PER_STREAM = 12
ITEMS_PER_JOB = 6
EVENTS_PER_ITEM = 20
# Pauses between two requests of one client, in seconds.
PAUSES_S = (0.0, 0.02, 0.1, 0.3)


@dataclasses.dataclass
class Observations:
    """What all clients observed.

    Attributes:
        errors: Violated guarantees.
        kind_by_request: Path prefix of each request or item.
        refused_ids: Requests whose final response reports no execution.
        cancelled_at_by_job: Unix time in seconds of the acknowledged
            cancellation of each cancelled job.
        item_ids_by_job: Items of each accepted job.
        outcomes: Unix time in seconds and whether the request was served, in
            order of completion.
        statuses: Number of responses by kind and status.
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

    def count_response(self, kind: str, status: int) -> None:
        """Counts a response; status 0 means that there was none."""
        key = f"{kind} {status}"
        self.statuses[key] = self.statuses.get(key, 0) + 1


class _Client:
    """Sends requests to random gateways over pooled connections."""

    def __init__(
        self, fleet: SoakFleet, observations: Observations, rng: random.Random
    ) -> None:
        """Creates the client."""
        self.fleet = fleet
        self.observations = observations
        self.rng = rng
        self.pool = HttpPool(socket_options=KEEPALIVE_SOCKET_OPTIONS)

    def new_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        **extra_headers: str,
    ) -> tuple[int, bytes]:
        """Sends a request to a random gateway; status 0 means no response."""
        gateway = self.rng.choice(self.fleet.gateways)
        headers = {
            "host": HOST,
            "x-request-id": request_id,
            "content-length": str(len(body)),
            **{
                name.replace("_", "-"): value
                for name, value in extra_headers.items()
            },
        }
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S + 1.5):
                response = await self.pool.request(
                    method,
                    f"{gateway.url}{target}",
                    headers=list(headers.items()),
                    content=body,
                )
        except (TimeoutError, *NETWORK_ERRORS):
            return 0, b""
        return response.status, response.content


class RequestClient(_Client):
    """Sends requests of random kinds, one at a time."""

    async def run(self, deadline: float) -> None:
        """Sends requests until a monotonic deadline."""
        while clock.remaining(deadline) > 0:
            kind = self.rng.choice(("note", "quote", "slip", "pay"))
            await self._send_one(kind)
            await anyio.sleep(self.rng.choice(PAUSES_S))

    async def _send_one(self, kind: str) -> None:
        request_id = self.new_id()
        self.observations.kind_by_request[request_id] = kind
        extra_headers = {"x_deadline_ms": str(int(REQUEST_TIMEOUT_S * 1000))}
        if kind in ("note", "quote"):
            extra_headers[names.TOKEN_USAGE_HEADER] = (
                f"100,{EVENTS_PER_STREAM * 10}"
            )
        path = f"/{kind}/{request_id}"
        status, body = await self.send(
            "POST", path, request_id, b"x", **extra_headers
        )
        self.observations.count_response(kind, status)
        self.observations.outcomes.append((clock.wall(), status == 200))
        if status in NOT_EXECUTED_STATUSES:
            self.observations.refused_ids.add(request_id)
        elif status == 200 and body.decode() != _expected(kind, request_id):
            self.observations.errors.append(
                f"{kind} {request_id} got unexpected body {body[:200]!r}"
            )
        elif status in (400, 401, 403, 404):
            self.observations.errors.append(
                f"{kind} {request_id} got status {status}"
            )


def _expected(kind: str, request_id: str) -> str:
    if kind in ("slip", "pay"):
        return event_data(request_id, 0)
    return "".join(
        f"id: {number}\ndata: {event_data(request_id, number)}\n\n"
        for number in range(1, EVENTS_PER_STREAM + 1)
    )


class JobClient(_Client):
    """Submits batch jobs, polls their results and cancels some of them."""

    async def run(self, deadline: float, final_deadline: float) -> None:
        """Submits jobs until a deadline and polls each until it finishes.

        Args:
            deadline: Monotonic time in seconds after which no job is submitted.
            final_deadline: Monotonic time in seconds by which all accepted
                jobs must have all their results.
        """
        while clock.remaining(deadline) > 0:
            job = _SubmittedJob(self.new_id(), self.new_id)
            if await self._submit(job, deadline):
                await self._poll_until_done(job, final_deadline)

    async def _submit(self, job: _SubmittedJob, deadline: float) -> bool:
        for item_id in job.paths_by_item:
            self.observations.kind_by_request[item_id] = "plan"
        all_refused = True
        path = f"/plan/{job.job_id}"
        while clock.remaining(deadline) > 0:
            status, _ = await self.send("POST", path, job.job_id, job.body())
            self.observations.count_response("submit", status)
            if status == 202:
                self.observations.item_ids_by_job[job.job_id] = list(
                    job.paths_by_item
                )
                return True
            all_refused = all_refused and status in NOT_EXECUTED_STATUSES
            await anyio.sleep(0.3)
        if all_refused:
            self.observations.refused_ids.update(job.paths_by_item)
        return False

    async def _poll_until_done(
        self, job: _SubmittedJob, final_deadline: float
    ) -> None:
        """Polls a job until it has all results or was cancelled."""
        accepted_at = clock.monotonic()
        cancel_after_s = self.rng.choice((0.0, 0.3, 2.0, None, None, None))
        while len(job.results) < len(job.paths_by_item):
            if clock.remaining(final_deadline) <= 0:
                missing = len(job.paths_by_item) - len(job.results)
                self.observations.errors.append(
                    f"job {job.job_id} is missing {missing} results"
                )
                return
            age_s = clock.monotonic() - accepted_at
            if cancel_after_s is not None and age_s >= cancel_after_s:
                await self._cancel(job, final_deadline)
                return
            await self._read(job)
            await anyio.sleep(0.2)
        for _ in range(2):
            await self._read(job, from_start=True)

    async def _cancel(self, job: _SubmittedJob, final_deadline: float) -> None:
        path = f"/v1/lots/{job.job_id}"
        while clock.remaining(final_deadline) > 0:
            status, _ = await self.send("DELETE", path, self.new_id())
            self.observations.count_response("end", status)
            if status == 200:
                self.observations.cancelled_at_by_job[job.job_id] = clock.wall()
                return
            if status in (404, 410):
                self.observations.errors.append(
                    f"cancellation of job {job.job_id} got status {status}"
                )
                return
            await anyio.sleep(0.3)

    async def _read(
        self, job: _SubmittedJob, *, from_start: bool = False
    ) -> None:
        position = len(job.results)
        if from_start or self.rng.random() < 0.2:
            position = 0
        status, body = await self.send(
            "GET",
            f"/v1/lots/{job.job_id}?after={position}",
            self.new_id(),
            x_wait_ms="500",
        )
        self.observations.count_response("read", status)
        if status == 200:
            error = job.add_page(position, json.loads(body))
            if error:
                self.observations.errors.append(f"job {job.job_id}: {error}")
        elif status in (404, 410):
            self.observations.errors.append(
                f"read of job {job.job_id} got status {status}"
            )


class _SubmittedJob:
    """A job as submitted, and its results as read so far."""

    def __init__(self, job_id: str, new_id: Any) -> None:
        self.job_id = job_id
        item_kinds = ["ok"] * (ITEMS_PER_JOB - 2) + ["failing", "impossible"]
        self.paths_by_item = {
            new_id(): f"/plan/{item_kind}/{job_id}" for item_kind in item_kinds
        }
        self.results: list[dict[str, Any]] = []

    def body(self) -> bytes:
        """Returns the body of the submission."""
        rows = [
            {
                "id": item_id,
                "path": path,
                "headers": {
                    names.TOKEN_USAGE_HEADER: f"100,{EVENTS_PER_ITEM * 10}"
                },
                "body": base64.b64encode(item_id.encode()).decode(),
                "tokens": 300,
            }
            for item_id, path in self.paths_by_item.items()
        ]
        return json.dumps({"items": rows}).encode()

    def add_page(self, position: int, page: dict[str, Any]) -> str:
        """Adds a page of results; returns its first error, or ""."""
        if page["total"] != len(self.paths_by_item):
            return f"unexpected total {page['total']}"
        for page_index, result in enumerate(page["results"]):
            index = position + page_index
            if index < len(self.results):
                if self.results[index] != result:
                    return f"the result at position {index} has changed"
                continue
            if index > len(self.results):
                return f"position {len(self.results)} is missing"
            error = self._check_result(result)
            if error:
                return f"position {index}: {error}"
            self.results.append(result)
        return ""

    def _check_result(self, result: dict[str, Any]) -> str:
        item_id = result["id"]
        if item_id not in self.paths_by_item:
            return f"item {item_id} is not part of this job"
        if any(earlier["id"] == item_id for earlier in self.results):
            return f"item {item_id} is listed twice"
        should_complete = "/ok/" in self.paths_by_item[item_id]
        if (result["state"] == "completed") != should_complete:
            return f"item {item_id} has unexpected state {result['state']}"
        expected = "\n".join(
            event_data(item_id, n) for n in range(1, EVENTS_PER_ITEM + 1)
        )
        if should_complete and result["text"] != expected:
            return (
                f"item {item_id} has unexpected text {result['text'][:100]!r}"
            )
        return ""
