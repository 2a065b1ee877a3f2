"""Decoding of HTTP requests that are answered here instead of routed."""

from __future__ import annotations

import dataclasses
from urllib.parse import parse_qs

from plumvane.platform import names
from plumvane.platform.requests import CallerRequest, milliseconds

__all__ = [
    "EndJob",
    "JobCall",
    "ReadItem",
    "ReadJob",
    "decode_job_call",
    "is_readiness_check",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadJob:
    """Request for the results of a batch job.

    Attributes:
        job_id: Identifier of the job.
        position: Position of the first requested result.
        wait_s: Longest time to wait for a result, in seconds.
    """

    job_id: str
    position: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadItem:
    """Request for the body of a batch item.

    Attributes:
        job_id: Identifier of the job.
        item_id: Identifier of the item.
    """

    job_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndJob:
    """Request to end a batch job.

    Attributes:
        job_id: Identifier of the job.
    """

    job_id: str


JobCall = ReadJob | ReadItem | EndJob


def decode_job_call(request: CallerRequest) -> JobCall | None:
    """Decodes a request that concerns a batch job.

    Args:
        request: Request of a caller.

    Returns:
        The decoded call, or None if the request must be routed.
    """
    if request.path.startswith(names.ITEM_PATH_PREFIX):
        job_id = request.path.removeprefix(names.ITEM_PATH_PREFIX)
        return ReadItem(job_id, _query_parameter(request, names.ITEM_PARAMETER))
    if not request.path.startswith(names.JOB_PATH_PREFIX):
        return None
    job_id = request.path.removeprefix(names.JOB_PATH_PREFIX)
    if request.method == "DELETE":
        return EndJob(job_id)
    wait = dict(request.headers).get(names.WAIT_HEADER)
    return ReadJob(job_id, _position(request), milliseconds(wait) or 0.0)


def is_readiness_check(request: CallerRequest) -> bool:
    """Returns whether a request is the load balancer's readiness check."""
    return request.path == names.READY_PATH


def _position(request: CallerRequest) -> int:
    try:
        return max(0, int(_query_parameter(request, names.POSITION_PARAMETER)))
    except ValueError:
        return 0


def _query_parameter(request: CallerRequest, name: str) -> str:
    query = request.target.decode("latin-1").partition("?")[2]
    return parse_qs(query).get(name, [""])[0]
