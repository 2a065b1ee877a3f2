"""Problem documents (RFC 9457) for errors."""

from __future__ import annotations

import json
import math
import secrets
from collections.abc import Awaitable, Callable

from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from plumvane import events, metrics
from plumvane.errors import (
    MethodNotAllowedError,
    NotFoundError,
    PlumvaneError,
    error_from_code,
)
from plumvane.peers.messages import Outcome

__all__ = [
    "Handler",
    "http_problem",
    "new_request_id",
    "outcome_error",
    "problem_body",
    "problem_response",
    "with_problems",
]

Handler = Callable[[Request], Awaitable[Response]]


def new_request_id() -> str:
    """Returns a new request id."""
    return f"r-{secrets.token_hex(12)}"


def problem_body(error: PlumvaneError) -> dict[str, object]:
    """Builds the problem document of an error."""
    body: dict[str, object] = {
        "type": f"urn:plumvane:error:{error.code}",
        "title": (type(error).__doc__ or error.code).splitlines()[0],
        "status": error.status,
        "detail": error.detail,
        "code": error.code,
        "remedy": error.remedy,
        "not_run": error.not_run,
    }
    if error.request_id is not None:
        body["request_id"] = error.request_id
    if error.retry_after_s is not None:
        body["retry_after_s"] = error.retry_after_s
    return body


def problem_response(error: PlumvaneError) -> Response:
    """Builds the HTTP response of an error, and counts it."""
    metrics.add(
        metrics.Metric.REFUSALS,
        code=error.code,
        not_run=str(error.not_run).lower(),
    )
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after_s)))
    return Response(
        json.dumps(problem_body(error)),
        status_code=error.status,
        headers=headers,
        media_type="application/problem+json",
    )


def outcome_error(outcome: Outcome, request_id: str) -> PlumvaneError:
    """Rebuilds the error of a run's outcome."""
    failure = outcome.error
    if failure is None:
        error = PlumvaneError("The outcome has no error.")
    else:
        error = error_from_code(
            failure.code,
            failure.detail,
            remedy=failure.remedy,
            not_run=failure.not_run,
            retry_after_s=failure.retry_after_s,
        )
    error.request_id = request_id
    return error


def with_problems(handler: Handler) -> Handler:
    """Wraps a handler so that its errors become problem documents.

    Each call gets a request id, in `state.request_id`, which its problem
    document contains unless the error has the id of a run.
    """

    async def serve(http: Request) -> Response:
        request_id = http.state.request_id = new_request_id()
        try:
            return await handler(http)
        except PlumvaneError as error:
            problem = error
        except ClientDisconnect:
            raise
        except Exception as error:
            events.log(
                events.Event.CALL_FAILED,
                path=http.url.path,
                request_id=request_id,
                error=repr(error),
            )
            problem = PlumvaneError("Internal error of the entry.")
        problem.request_id = problem.request_id or request_id
        return problem_response(problem)

    return serve


async def http_problem(http: Request, error: Exception) -> Response:
    """Responds to an unknown path or a method that the path lacks."""
    problem: PlumvaneError
    if isinstance(error, HTTPException) and error.status_code == 405:
        problem = MethodNotAllowedError(
            f"Method {http.method} is not allowed for this path."
        )
    else:
        problem = NotFoundError(
            f"Path {http.url.path} does not exist.", not_run=True
        )
    problem.request_id = new_request_id()
    return problem_response(problem)
