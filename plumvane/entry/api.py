"""HTTP interface for callers and operators."""

from __future__ import annotations

import hashlib
import json
import math
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plumvane import clock, events, hashing
from plumvane.entry.batches import BatchService
from plumvane.entry.bodies import check_completion
from plumvane.entry.event_stream import EventStream
from plumvane.entry.owners import OwnerClient
from plumvane.entry.problems import (
    outcome_error,
    problem_response,
)
from plumvane.entry.runner import Answer, Request, RequestRunner
from plumvane.entry.status import FleetStatus
from plumvane.errors import (
    BadRequestError,
    BodyTooLargeError,
    ConflictError,
    DeadlineExceededError,
    ForbiddenError,
    InvalidJsonError,
    LeavingError,
    MethodNotAllowedError,
    NotFoundError,
    PlumvaneError,
    RequestCancelledError,
    StoreUnavailableError,
    UnauthorizedError,
    UnknownModelError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.fleet.document import FleetDocument, Workload, token_digest
from plumvane.fleet.revisions import DocumentStore
from plumvane.instances.directory import Directory
from plumvane.limits.teams import TeamLimits
from plumvane.peers.messages import (
    CancelRequest,
    ClaimResult,
    JobState,
    Lookup,
)

__all__ = ["Api"]

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_KEY_LENGTH = 200
# How much of a prompt routing looks at.
PREFIX_CHARACTERS = 256
LOOKUP_TIMEOUT_S = 5.0
SERVICE_TIMEOUT_S = 60.0

# Who applies the first document, which names the operators.
FIRST_OPERATOR = "first-operator"

Handler = Callable[[HttpRequest], Awaitable[Response]]


class Api:
    """The entry's HTTP interface."""

    def __init__(
        self,
        current: CurrentDocument,
        runner: RequestRunner,
        batches: BatchService,
        owners: OwnerClient,
        documents: DocumentStore,
        directory: Directory,
        status: FleetStatus,
        limits: TeamLimits,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Creates the interface.

        Args:
            current: Fleet document in force.
            runner: Runs requests.
            batches: Batch jobs.
            owners: Calls partition owners.
            documents: Changes the fleet document.
            directory: Instances of the fleet.
            status: State of all instances.
            limits: Request limits by team.
            is_leaving: Whether the entry takes no new work.
        """
        self._current = current
        self._runner = runner
        self._batches = batches
        self._owners = owners
        self._documents = documents
        self._directory = directory
        self._status = status
        self._limits = limits
        self._is_leaving = is_leaving

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
            ("GET", "/v1/fleet/document", self.show_document),
            ("PUT", "/v1/fleet/document", self.apply_document),
            ("GET", "/v1/fleet/audit", self.show_audit),
            ("GET", "/v1/fleet/instances", self.show_instances),
            ("GET", "/healthz", self.healthz),
            ("GET", "/readyz", self.readyz),
        ]
        return Starlette(
            routes=[
                Route(path, _with_problems(handler), methods=[method])
                for method, path, handler in routes
            ],
            exception_handlers={404: _http_problem, 405: _http_problem},
        )

    async def complete(self, http: HttpRequest) -> Response:
        """Serves POST /v1/completions."""
        team = self._team(http)
        self._check_leaving()
        self._limits.admit(team)
        body = await _read_body(http)
        fields = _json_object(body)
        document = self._current.document
        model = fields.get("model")
        if not isinstance(model, str) or model not in document.models:
            raise UnknownModelError(
                f"Model {model!r} is unknown.", not_run=True
            )
        check_completion(fields, document.models[model])
        prompt = str(fields["prompt"])
        workload = _workload(document, fields.pop("workload", None), model)
        timeout_s = workload.timeout_s if workload else SERVICE_TIMEOUT_S
        stream = bool(fields.pop("stream", False))
        request = Request(
            team=team,
            key=_key(http),
            path="/v1/completions",
            body=json.dumps(fields).encode(),
            digest=_digest("/v1/completions", body),
            serves=model,
            online=workload.kind == "online" if workload else True,
            idempotent=workload.idempotent if workload else True,
            deadline=_deadline(http, timeout_s),
            stream=stream,
            rank=workload.rank if workload else 0,
            prefix=prompt[:PREFIX_CHARACTERS],
            new_key="idempotency-key" not in http.headers,
        )
        running = self._runner.start(request)
        if stream:
            # A refusal is then an answer with its own status and headers.
            await running.started()
            return EventStream(running, model)
        return _answer_response(await running.answer())

    async def call_service(self, http: HttpRequest) -> Response:
        """Serves POST /v1/services/{name}."""
        team = self._team(http)
        self._check_leaving()
        self._limits.admit(team)
        name = http.path_params["name"]
        service = self._current.document.services.get(name)
        if service is None:
            raise NotFoundError(f"Service {name!r} is unknown.", not_run=True)
        body = await _read_body(http)
        request = Request(
            team=team,
            key=_key(http),
            path="/call",
            body=body,
            digest=_digest(f"/v1/services/{name}", body),
            serves=name,
            online=True,
            idempotent=service.idempotent,
            deadline=_deadline(http, SERVICE_TIMEOUT_S),
            new_key="idempotency-key" not in http.headers,
        )
        return _answer_response(await self._runner.start(request).answer())

    async def show_request(self, http: HttpRequest) -> Response:
        """Serves GET /v1/requests/{key}."""
        team = self._team(http)
        key = http.path_params["key"]
        partition = hashing.partition_of(team, key)
        reply = await self._owners.call(
            partition,
            Lookup(partition, team, key),
            deadline=clock.monotonic() + LOOKUP_TIMEOUT_S,
        )
        if not isinstance(reply, ClaimResult):
            raise PlumvaneError("The owner's reply is not understood.")
        return _answer_response(
            Answer(reply.request_id, reply.outcome, reply.durable)
        )

    async def cancel_request(self, http: HttpRequest) -> Response:
        """Serves POST /v1/requests/{key}/cancel."""
        team = self._team(http)
        key = http.path_params["key"]
        partition = hashing.partition_of(team, key)
        reply = await self._owners.call(
            partition,
            CancelRequest(partition, team, key),
            deadline=clock.monotonic() + LOOKUP_TIMEOUT_S,
        )
        if not isinstance(reply, ClaimResult):
            raise PlumvaneError("The owner's reply is not understood.")
        return JSONResponse(_cancel_body(key, reply))

    async def submit_batch(self, http: HttpRequest) -> Response:
        """Serves POST /v1/batches."""
        team = self._team(http)
        self._check_leaving()
        state = await self._batches.submit(
            team, _key(http), _header_deadline(http), http.stream()
        )
        return JSONResponse(_job_body(state), status_code=202)

    async def list_batches(self, http: HttpRequest) -> Response:
        """Serves GET /v1/batches."""
        jobs = await self._batches.list(self._team(http))
        return JSONResponse({"jobs": [_job_body(job) for job in jobs]})

    async def show_batch(self, http: HttpRequest) -> Response:
        """Serves GET /v1/batches/{job_id}."""
        state = await self._batches.show(
            self._team(http), http.path_params["job_id"]
        )
        return JSONResponse(_job_body(state))

    async def cancel_batch(self, http: HttpRequest) -> Response:
        """Serves POST /v1/batches/{job_id}/cancel."""
        state = await self._batches.cancel(
            self._team(http), http.path_params["job_id"]
        )
        return JSONResponse(_job_body(state))

    async def batch_results(self, http: HttpRequest) -> Response:
        """Serves GET /v1/batches/{job_id}/results."""
        blocks = await self._batches.results(
            self._team(http), http.path_params["job_id"]
        )
        return StreamingResponse(blocks, media_type="application/jsonl")

    async def show_document(self, http: HttpRequest) -> Response:
        """Serves GET /v1/fleet/document."""
        await self._operator(http, "view")
        try:
            revision, _ = await self._documents.read()
        except StoreUnavailableError:
            # What is in force here goes on being in force.
            return _document_response(
                self._current.revision, self._current.data, from_store=False
            )
        return _document_response(
            revision.number, revision.document, from_store=True
        )

    async def apply_document(self, http: HttpRequest) -> Response:
        """Serves PUT /v1/fleet/document."""
        operator = await self._operator(http, "view")
        from_revision = 0
        body = b""
        try:
            from_revision = _from_revision(http)
            body = await _read_body(http)
            await self._operator(http, "change")
            if operator == FIRST_OPERATOR and from_revision != 0:
                raise ConflictError("The first change is based on revision 0.")
            revision = await self._documents.apply(
                body, from_revision=from_revision, operator=operator
            )
        except PlumvaneError as error:
            await self._documents.refuse(
                from_revision=from_revision,
                operator=operator,
                refusal=error.code,
                document=body,
            )
            raise
        if revision.document:
            self._current.offer(revision)
        return JSONResponse({"revision": revision.number})

    async def show_audit(self, http: HttpRequest) -> Response:
        """Serves GET /v1/fleet/audit."""
        await self._operator(http, "view")
        changes = await self._documents.audit()
        return JSONResponse({"changes": msgspec.to_builtins(changes)})

    async def show_instances(self, http: HttpRequest) -> Response:
        """Serves GET /v1/fleet/instances."""
        await self._operator(http, "view")
        found = await self._status.instances()
        return JSONResponse(
            {"revision": self._current.revision, "instances": found}
        )

    async def healthz(self, http: HttpRequest) -> Response:
        """Serves GET /healthz: the process runs."""
        return JSONResponse({"status": "ok"})

    async def readyz(self, http: HttpRequest) -> Response:
        """Serves GET /readyz: the balancer may send callers here."""
        ready = (
            self._directory.loaded.is_set()
            and self._current.loaded.is_set()
            and not self._is_leaving()
        )
        names = [
            instance.name
            for role in ("entry", "sidecar", "bulk")
            for instance in self._directory.live(role)
        ]
        return JSONResponse(
            {
                "ready": ready,
                "revision": self._current.revision,
                "instances": names,
                "partitions_without_owner": self._owners.without_owner(),
            },
            status_code=200 if ready else 503,
        )

    def _check_leaving(self) -> None:
        if self._is_leaving():
            raise LeavingError(
                "The entry is leaving.", not_run=True, retry_after_s=1.0
            )

    def _check_loaded(self) -> None:
        if not self._current.loaded.is_set():
            raise StoreUnavailableError(
                "This entry has just started and knows no fleet document yet.",
                not_run=True,
                retry_after_s=1.0,
            )

    def _team(self, http: HttpRequest) -> str:
        self._check_loaded()
        team = self._current.document.team_by_token(_token(http))
        if team is None:
            raise UnauthorizedError("The token is unknown.", not_run=True)
        return team

    async def _operator(self, http: HttpRequest, role: str) -> str:
        if self._current.revision == 0:
            revision, _ = await self._documents.read()
            if revision.number == 0:
                # The first document names the first operators.
                return FIRST_OPERATOR
            self._current.offer(revision)
        operators = self._current.document.operators
        digest = token_digest(_token(http))
        for name, operator in operators.items():
            if operator.token_sha256 == digest:
                if role == "change" and operator.role != "change":
                    raise ForbiddenError(f"Operator {name!r} may only view.")
                return name
        raise UnauthorizedError("The token is no operator's.")


def _with_problems(handler: Handler) -> Handler:
    """Turns errors into problem documents."""

    async def serve(http: HttpRequest) -> Response:
        try:
            return await handler(http)
        except PlumvaneError as error:
            return problem_response(error)
        except ClientDisconnect:
            raise
        except Exception as error:
            events.log(
                events.Event.CALL_FAILED,
                path=http.url.path,
                error=repr(error),
            )
            return problem_response(PlumvaneError("The entry failed."))

    return serve


async def _http_problem(http: HttpRequest, error: Exception) -> Response:
    """Answers a path or method that is not served."""
    if isinstance(error, HTTPException) and error.status_code == 405:
        return problem_response(
            MethodNotAllowedError(f"{http.method} is not served here.")
        )
    return problem_response(
        NotFoundError(f"{http.url.path} is not served.", not_run=True)
    )


def _token(http: HttpRequest) -> str:
    scheme, _, token = http.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise UnauthorizedError("No bearer token was sent.", not_run=True)
    return token


def _key(http: HttpRequest) -> str:
    key = http.headers.get("idempotency-key")
    if key is None:
        return f"auto-{secrets.token_hex(12)}"
    if not key or len(key) > MAX_KEY_LENGTH:
        raise BadRequestError(
            f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters.",
            not_run=True,
        )
    return key


def _header_deadline(http: HttpRequest) -> float | None:
    text = http.headers.get("plumvane-deadline")
    if text is None:
        return None
    try:
        deadline = float(text)
    except ValueError:
        deadline = math.nan
    if not math.isfinite(deadline):
        raise BadRequestError(
            "Plumvane-Deadline must be seconds since the epoch.", not_run=True
        )
    return deadline


def _deadline(http: HttpRequest, timeout_s: float) -> float:
    deadline = _header_deadline(http)
    now = clock.wall()
    if deadline is None:
        return now + timeout_s
    if deadline <= now:
        raise DeadlineExceededError("The deadline has passed.", not_run=True)
    return deadline


def _from_revision(http: HttpRequest) -> int:
    text = http.headers.get("if-match", "").strip('"')
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        raise BadRequestError(
            "If-Match must name the revision that the change is based on."
        )
    return int(text)


async def _read_body(http: HttpRequest) -> bytes:
    body = bytearray()
    async for data in http.stream():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise BodyTooLargeError(
                f"The body is over {MAX_BODY_BYTES} bytes.", not_run=True
            )
    return bytes(body)


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body, parse_constant=_refuse_constant)
    except ValueError as error:
        raise InvalidJsonError(
            f"The body is not JSON: {error}.", not_run=True
        ) from None
    except RecursionError:
        raise InvalidJsonError(
            "The body is nested too deeply.", not_run=True
        ) from None
    if not isinstance(fields, dict):
        raise InvalidJsonError("The body is not a JSON object.", not_run=True)
    return fields


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON number")


def _digest(path: str, body: bytes) -> bytes:
    return hashlib.sha256(path.encode() + b"\0" + body).digest()


def _workload(
    document: FleetDocument, name: object, model: str
) -> Workload | None:
    if name is None:
        for workload in document.workloads.values():
            if workload.model == model and workload.kind == "online":
                return workload
        return None
    found = document.workloads.get(str(name))
    if found is None or found.model != model:
        raise NotFoundError(
            f"Workload {name!r} of model {model!r} is unknown.", not_run=True
        )
    return found


def _answer_response(answer: Answer) -> Response:
    outcome = answer.outcome
    headers = {
        "plumvane-request-id": answer.request_id,
        "plumvane-durable": "true" if answer.durable else "false",
    }
    if outcome.error is not None:
        response = problem_response(outcome_error(outcome))
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


def _document_response(
    revision: int, document: bytes, *, from_store: bool
) -> Response:
    return JSONResponse(
        {"revision": revision, "document": json.loads(document)},
        headers={"plumvane-from-store": "true" if from_store else "false"},
    )


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
