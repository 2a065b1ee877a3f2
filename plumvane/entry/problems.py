"""Problem documents (RFC 9457) for errors."""

from __future__ import annotations

import json
import math
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
    "outcome_error",
    "problem_body",
    "problem_response",
    "with_problems",
]

Handler = Callable[[Request], Awaitable[Response]]


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


def outcome_error(outcome: Outcome) -> PlumvaneError:
    """Rebuilds the error of an outcome."""
    failure = outcome.error
    if failure is None:
        return PlumvaneError("The outcome has no error.")
    return error_from_code(
        failure.code,
        failure.detail,
        remedy=failure.remedy,
        not_run=failure.not_run,
        retry_after_s=failure.retry_after_s,
    )


def with_problems(handler: Handler) -> Handler:
    """Wraps a handler so that its errors become problem documents."""

    async def serve(http: Request) -> Response:
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
            return problem_response(
                PlumvaneError("Internal error of the entry.")
            )

    return serve


async def http_problem(http: Request, error: Exception) -> Response:
    """Responds to an unknown path or a method that the path lacks."""
    if isinstance(error, HTTPException) and error.status_code == 405:
        return problem_response(
            MethodNotAllowedError(
                f"Method {http.method} is not allowed for this path."
            )
        )
    return problem_response(
        NotFoundError(f"Path {http.url.path} does not exist.", not_run=True)
    )
