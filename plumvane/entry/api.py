"""HTTP API for callers and operators."""

from __future__ import annotations

import json
from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plumvane import clock, hashing
from plumvane.entry.batches import BatchService
from plumvane.entry.bodies import check_completion
from plumvane.entry.event_stream import EventStream
from plumvane.entry.fields import (
    bearer_token,
    body_digest,
    header_deadline,
    idempotency_key,
    json_object,
    read_body,
    request_deadline,
)
from plumvane.entry.fleet_api import FleetApi
from plumvane.entry.owners import OwnerClient
from plumvane.entry.problems import (
    Handler,
    http_problem,
    outcome_error,
    problem_response,
    with_problems,
)
from plumvane.entry.runner import Answer, Request, RequestRunner
from plumvane.errors import (
    LeavingError,
    NotFoundError,
    PlumvaneError,
    RequestCancelledError,
    StoreUnavailableError,
    UnauthorizedError,
    UnknownModelError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.fleet.document import FleetDocument, Workload
from plumvane.instances.directory import Directory
from plumvane.limits.teams import TeamLimits
from plumvane.peers.messages import (
    CancelRequest,
    ClaimResult,
    JobState,
    Lookup,
)

__all__ = ["Api"]

# Length of the prompt prefix that routing uses.
PREFIX_CHARACTERS = 256
LOOKUP_TIMEOUT_S = 5.0
# Applies to services and to completions without a workload.
DEFAULT_TIMEOUT_S = 60.0


class Api:
    """HTTP API of the entry."""

    def __init__(
        self,
        current: CurrentDocument,
        runner: RequestRunner,
        batches: BatchService,
        owners: OwnerClient,
        directory: Directory,
        fleet_api: FleetApi,
        limits: TeamLimits,
        is_draining: Callable[[], bool],
    ) -> None:
        """Creates the API.

        Args:
            current: Fleet document in force.
            runner: Runs requests.
            batches: Manages batch jobs.
            owners: Client of the partition owners.
            directory: Directory of the instances.
            fleet_api: API for operators.
            limits: Rate limits by team.
            is_draining: Returns whether the entry is draining and refuses
                new work.
        """
        self._current = current
        self._runner = runner
        self._batches = batches
        self._owners = owners
        self._directory = directory
        self._fleet_api = fleet_api
        self._limits = limits
        self._is_draining = is_draining

    def application(self) -> Starlette:
        """Returns the ASGI application."""
        routes: list[tuple[str, str, Handler]] = [
            ("POST", "/v1/completions", self.complete),
            ("POST", "/v1/services/{name}", self.call_service),
            ("GET", "/v1/requests/{key}", self.show_request),
            ("POST", "/v1/requests/{key}/cancel", self.cancel_request),
            ("POST", "/v1/batches", self.submit_batch),
            ("GET", "/v1/batches", self.list_batches),
            ("GET", "/v1/batches/{job_id}", self.show_batch),
            ("POST", "/v1/batches/{job_id}/cancel", self.cancel_batch),
            ("GET", "/v1/batches/{job_id}/results", self.batch_results),
            ("GET", "/healthz", self.healthz),
            ("GET", "/readyz", self.readyz),
            *self._fleet_api.routes(),
        ]
        return Starlette(
            routes=[
                Route(path, with_problems(handler), methods=[method])
                for method, path, handler in routes
            ],
            exception_handlers={404: http_problem, 405: http_problem},
        )

    async def complete(self, http: HttpRequest) -> Response:
        """Serves POST /v1/completions."""
        team = self._authenticate(http)
        self._check_draining()
        self._limits.admit(team)
        body = await read_body(http)
        fields = json_object(body)
        document = self._current.document
        model = fields.get("model")
        if not isinstance(model, str) or model not in document.models:
            raise UnknownModelError(
                f"Model {model!r} is unknown.", not_run=True
            )
        check_completion(fields, document.models[model])
        prompt = str(fields["prompt"])
        workload = _find_workload(document, fields.pop("workload", None), model)
        timeout_s = workload.timeout_s if workload else DEFAULT_TIMEOUT_S
        stream = bool(fields.pop("stream", False))
        request = Request(
            team=team,
            key=idempotency_key(http),
            path="/v1/completions",
            body=json.dumps(fields).encode(),
            digest=body_digest("/v1/completions", body),
            serves=model,
            online=workload.kind == "online" if workload else True,
            idempotent=workload.idempotent if workload else True,
            deadline=request_deadline(http, timeout_s),
            stream=stream,
            rank=workload.rank if workload else 0,
            prefix=prompt[:PREFIX_CHARACTERS],
            new_key="idempotency-key" not in http.headers,
        )
        running = self._runner.start(request, http.state.request_id)
        if stream:
            # An error before the first text gets its own status and headers;
            # afterwards it can only be sent as an event.
            await running.wait_started()
            return EventStream(running, model)
        return _answer_response(await running.answer())

    async def call_service(self, http: HttpRequest) -> Response:
        """Serves POST /v1/services/{name}."""
        team = self._authenticate(http)
        self._check_draining()
        self._limits.admit(team)
        name = http.path_params["name"]
        service = self._current.document.services.get(name)
        if service is None:
            raise NotFoundError(f"Service {name!r} is unknown.", not_run=True)
        body = await read_body(http)
        request = Request(
            team=team,
            key=idempotency_key(http),
            path="/call",
            body=body,
            digest=body_digest(f"/v1/services/{name}", body),
            serves=name,
            online=True,
            idempotent=service.idempotent,
            deadline=request_deadline(http, DEFAULT_TIMEOUT_S),
            new_key="idempotency-key" not in http.headers,
        )
        running = self._runner.start(request, http.state.request_id)
        return _answer_response(await running.answer())

    async def show_request(self, http: HttpRequest) -> Response:
        """Serves GET /v1/requests/{key}."""
        reply = await self._call_owner(http, Lookup)
        return _answer_response(
            Answer(reply.request_id, reply.outcome, reply.durable)
        )

    async def cancel_request(self, http: HttpRequest) -> Response:
        """Serves POST /v1/requests/{key}/cancel."""
        reply = await self._call_owner(http, CancelRequest)
        return JSONResponse(_cancel_body(http.path_params["key"], reply))

    async def _call_owner(
        self, http: HttpRequest, message_type: type[Lookup | CancelRequest]
    ) -> ClaimResult:
        """Calls the owner of the request that the path identifies."""
        team = self._authenticate(http)
        key = http.path_params["key"]
        partition = hashing.partition_of(team, key)
        reply = await self._owners.call(
            partition,
            message_type(partition, team, key),
            deadline=clock.monotonic() + LOOKUP_TIMEOUT_S,
        )
        if not isinstance(reply, ClaimResult):
            raise PlumvaneError(
                f"Unexpected owner reply: {type(reply).__name__}."
            )
        return reply

    async def submit_batch(self, http: HttpRequest) -> Response:
        """Serves POST /v1/batches."""
        team = self._authenticate(http)
        self._check_draining()
        state = await self._batches.submit(
            team, idempotency_key(http), header_deadline(http), http.stream()
        )
        return JSONResponse(_job_body(state), status_code=202)

    async def list_batches(self, http: HttpRequest) -> Response:
        """Serves GET /v1/batches."""
        jobs = await self._batches.list(self._authenticate(http))
        return JSONResponse({"jobs": [_job_body(job) for job in jobs]})

    async def show_batch(self, http: HttpRequest) -> Response:
        """Serves GET /v1/batches/{job_id}."""
        state = await self._batches.show(
            self._authenticate(http), http.path_params["job_id"]
        )
        return JSONResponse(_job_body(state))

    async def cancel_batch(self, http: HttpRequest) -> Response:
        """Serves POST /v1/batches/{job_id}/cancel."""
        state = await self._batches.cancel(
            self._authenticate(http), http.path_params["job_id"]
        )
        return JSONResponse(_job_body(state))

    async def batch_results(self, http: HttpRequest) -> Response:
        """Serves GET /v1/batches/{job_id}/results."""
        blocks = await self._batches.results(
            self._authenticate(http), http.path_params["job_id"]
        )
        return StreamingResponse(blocks, media_type="application/jsonl")

    async def healthz(self, http: HttpRequest) -> Response:
        """Serves GET /healthz, the liveness probe."""
        return JSONResponse({"status": "ok"})

    async def readyz(self, http: HttpRequest) -> Response:
        """Serves GET /readyz, the readiness probe of the load balancer."""
        ready = (
            self._directory.loaded.is_set()
            and self._current.loaded.is_set()
            and not self._is_draining()
        )
        instance_names = [
            instance.name
            for role in ("entry", "sidecar", "bulk")
            for instance in self._directory.live(role)
        ]
        return JSONResponse(
            {
                "ready": ready,
                "revision": self._current.revision,
                "instances": instance_names,
                "partitions_without_owner": self._owners.unowned_partitions(),
            },
            status_code=200 if ready else 503,
        )

    def _check_draining(self) -> None:
        if self._is_draining():
            raise LeavingError(
                "The entry is shutting down.", not_run=True, retry_after_s=1.0
            )

    def _check_loaded(self) -> None:
        if not self._current.loaded.is_set():
            raise StoreUnavailableError(
                "This entry has just started and knows no fleet document yet.",
                not_run=True,
                retry_after_s=1.0,
            )

    def _authenticate(self, http: HttpRequest) -> str:
        self._check_loaded()
        team = self._current.document.team_by_token(bearer_token(http))
        if team is None:
            raise UnauthorizedError("The token is unknown.", not_run=True)
        return team


def _find_workload(
    document: FleetDocument, name: object, model: str
) -> Workload | None:
    if name is None:
        for workload in document.workloads.values():
            if workload.model == model and workload.kind == "online":
                return workload
        return None
    named = document.workloads.get(str(name))
    if named is None or named.model != model:
        raise NotFoundError(
            f"Workload {name!r} of model {model!r} is unknown.", not_run=True
        )
    return named


def _answer_response(answer: Answer) -> Response:
    outcome = answer.outcome
    headers = {
        "plumvane-request-id": answer.request_id,
        "plumvane-durable": "true" if answer.durable else "false",
    }
    if outcome.error is not None:
        response = problem_response(outcome_error(outcome, answer.request_id))
        response.headers.update(headers)
        return response
    return Response(
        outcome.body,
        status_code=outcome.status,
        headers=headers,
        media_type=outcome.content_type,
    )


def _cancel_body(key: str, result: ClaimResult) -> dict[str, object]:
    error = result.outcome.error
    cancelled = error is not None and error.code == RequestCancelledError.code
    return {
        "key": key,
        "state": "cancelled" if cancelled else "completed",
        "durable": result.durable,
    }


def _job_body(state: JobState) -> dict[str, object]:
    return {
        "id": state.job_id,
        "object": "batch",
        "state": state.state,
        "items": state.items,
        "done": state.done,
        "failed": [
            {
                "index": item.index,
                "cause": item.cause,
                "kind": item.kind.value,
            }
            for item in state.failed
        ],
        "failed_count": state.failed_count,
        "deadline": state.deadline,
        "late": state.late,
        "expected_finish": state.expected_finish,
        "created": state.created,
    }
