"""Problem documents (RFC 9457) for errors."""

from __future__ import annotations

import json
import math

from starlette.responses import Response

from plumvane import metrics
from plumvane.errors import PlumvaneError, error_from_code
from plumvane.peers.messages import Outcome

__all__ = ["outcome_error", "problem_body", "problem_response"]


def problem_body(error: PlumvaneError) -> dict[str, object]:
    """Returns an error as a problem document."""
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
    """Returns an error as an HTTP response."""
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
    """Returns the error that an outcome carries."""
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
