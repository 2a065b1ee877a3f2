"""Problem documents (RFC 9457) for errors."""

from __future__ import annotations

import json
import math

from starlette.responses import Response

from plumvane.errors import PlumvaneError

__all__ = ["problem_body", "problem_response"]


def problem_body(error: PlumvaneError) -> dict[str, object]:
    """Returns an error as a problem document."""
    body: dict[str, object] = {
        "type": f"urn:plumvane:error:{error.code}",
        "title": type(error).__doc__ or error.code,
        "status": error.status,
        "detail": error.detail,
        "code": error.code,
        "remedy": error.remedy,
        "not_run": error.not_run,
    }
    if error.request_id is not None:
        body["request_id"] = error.request_id
    return body


def problem_response(error: PlumvaneError) -> Response:
    """Returns an error as an HTTP response."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after_s)))
    return Response(
        json.dumps(problem_body(error)),
        status_code=error.status,
        headers=headers,
        media_type="application/problem+json",
    )
